//! Distribution of published state down a relay tree, and of counters up the tree, as pure state machines.
//!
//! A [`SyncNode`] is one node of the tree: the root (the primary), a relay (other control nodes, agents) or a
//! leaf (proxies). It holds a [`Store`] of the published items at a revision. Its host passes [`Event`]s with the
//! time since the start of the process, and performs the resulting [`Action`]s. Invariant: the revision never
//! decreases; a frame whose revision is not newer changes nothing.
//!
//! Connections must keep frames in order. A host whose queue to a child is full may leave out `Update` frames (the
//! child notices by the gap and subscribes again), but if it cannot send a `Report` or `Totals` it has to close the
//! connection.
//!
//! [`parent_selection`] ranks the candidates for an agent's parent.
#![forbid(unsafe_code)]

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
