//! Control state by primary and backups, with witnesses that decide failover, as a pure state machine.
//!
//! [`Replica`] takes [`Event`]s with the time at which they happen and says which [`Action`]s are due; sockets,
//! timers and files are the host's. Times are durations since the start of the process by a steady clock.
//!
//! - The primary appends orders to its log. Every member of the *view* stores an entry before it is committed, so
//!   any one member of the newest view holds all that was acknowledged.
//! - *Witnesses* store epochs and views. A majority of them decides which view follows, and grants the primary a
//!   lease. Their set changes one node at a time, and both sets decide until the change is over.
//! - A node is its address and the incarnation of its disk. A wiped disk is another node, which has promised
//!   nothing and is let in like any new one.

mod catch_up;
mod cover;
mod disk;
mod election;
mod event;
mod formation;
mod lease;
mod leaving;
mod log;
mod member;
mod options;
mod peers;
mod place;
mod primary;
mod progress;
mod quorum;
mod reconfiguration;
mod replica;
mod state_machine;
mod view_change;
mod voter;
mod witness;
mod witness_set;

pub use cover::ViewExposure;
pub use event::{Action, Event, Rejection, Role, StoreFault, Write};
#[doc(hidden)]
pub use options::Faults;
pub use options::{Options, Recovered, StartError};
pub use place::{Exposure, Place};
pub use replica::Replica;
pub use state_machine::{RestoreError, StateMachine};
