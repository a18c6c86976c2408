//! Distribution of published state down a tree and of counts up it, as pure state machines.
//!
//! A [`SyncNode`] is one node of the tree: the root (the primary), a relay (other control processes, agents) or a leaf
//! (proxies). It holds a [`Store`] of the published items as they were at a revision. What a host tells it are
//! [`Event`]s with the time since the host's start; what it wants done are [`Action`]s. It never goes back: a
//! frame whose revision is not newer than its own changes nothing.
//!
//! Connections must keep frames in order. A host whose queue to a child is full may leave out `Update` frames (the
//! child notices by the gap and subscribes again), but for a `Report` or `Totals` that it cannot send it has to
//! close the connection.
//!
//! [`parent_selection`] works out where an agent finds its parent.

mod aggregate;
mod aggregation;
mod children;
mod counters;
mod node;
mod options;
pub mod parent_selection;
mod publishing;
mod store;
mod subtree;
mod totals;
mod updates;

pub use counters::{server_key, CounterTable, LoadCounters, RetryCounters};
pub use node::{Action, Event, SyncNode};
pub use options::Options;
pub use store::{Change, ChangedKey, Digests, Store, RANGES};
pub use subtree::{LocalReport, SubtreeState};
pub use totals::Totals;
