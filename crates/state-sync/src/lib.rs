//! Distribution of published state down a relay tree, and aggregation of counters up the tree, as pure state
//! machines.
//!
//! A [`SyncNode`] is one node of the tree: the root (the primary control node), a relay (other control nodes
//! and agents) or a leaf (proxies). It holds a [`Store`] of the published items at a revision. Its host
//! passes [`Event`]s to it, together with the time since the start of the process, and performs the resulting
//! [`Action`]s. Invariant: the revision never decreases, and an update whose revision is not newer does not
//! change the store.
//!
//! Connections must deliver frames in order. If the host's queue to a child is full, the host may drop
//! `Update` frames: the child detects the gap and subscribes again. If the host cannot send a `Report` or
//! `Totals` frame, it must close the connection.
//!
//! [`parent_selection`] ranks the candidates for an agent's parent.
#![forbid(unsafe_code)]

mod aggregate;
mod aggregation;
mod children;
mod counters;
mod history;
mod node;
mod options;
pub mod parent_selection;
mod publishing;
mod store;
mod subscription_progress;
mod subtree;
mod totals;
mod updates;

pub use counters::{server_key, CounterTable, LoadCounters, RetryCounters};
pub use node::{Action, Event, SyncNode};
pub use options::Options;
pub use store::{Change, ChangedKey, Digests, Store, RANGE_COUNT};
pub use subscription_progress::SubscriptionProgress;
pub use subtree::{LocalReport, SubtreeState};
pub use totals::Totals;
