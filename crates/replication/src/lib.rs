//! Primary-backup replication with witnesses that decide failover, as a pure state machine.
//!
//! [`Replica`] takes [`Event`]s together with the time at which they happen, and returns the [`Action`]s that are due.
//! It opens no sockets, reads no clocks and writes no files: that is the host's part. Times are durations since the
//! start of the process by a monotonic clock.
//!
//! The protocol belongs to the family of Vertical Paxos and PacificA:
//!
//! - The *primary* appends proposals to its log. An entry is committed once **every** member of the view (the primary
//!   and its backups) has stored it. So any one member of the newest view holds all that was ever acknowledged.
//! - *Witnesses* store epochs and views, never data. A majority of them decides which view follows, and grants the
//!   primary its lease. Their set changes by one node at a time; majorities of the old and of the new set have to
//!   agree until the change is complete (joint consensus).
//! - A *learner* is a node that receives the log and is no member yet.
//! - A node is its address and the incarnation of its disk. A wiped disk makes another node, which has promised
//!   nothing.
//!
//! | module | holds |
//! | --- | --- |
//! | [`Replica`] (`replica/`) | the coordinator: routes events to the parts below, one file for each role |
//! | `member_state` | the replicated state machine, its log, and how far it is applied |
//! | `witness` | promises, accepted views and granted leases |
//! | `primary`, `proposals`, `lease` | the state of a primary |
//! | `view_change` | the phases of an election or reconfiguration |
//! | `membership/` | the view that a primary wants: learners, lost members, the set of witnesses |
//! | `progress` | how far the log of each replication target goes |
//! | `durability`, `fault_tolerance` | which failures a view survives, and when commits are acknowledged |
//! | `write_queue` | writes to disk, and what has to wait for them |
//!
//! The parts know nothing of [`Replica`]; their fields are private. `docs/CONTROL-STATE.md` argues why this is safe.
#![forbid(unsafe_code)]

mod durability;
mod election_timer;
mod event;
mod fault_tolerance;
mod faults;
mod lease;
mod log;
mod member_state;
mod membership;
mod options;
mod outbox;
mod peers;
mod primary;
mod progress;
mod proposals;
mod replica;
mod shutdown;
mod state_machine;
mod view;
mod view_change;
mod witness;
mod write_queue;

pub use durability::DurabilityStatus;
pub use event::{Action, Event, RejectReason, Role, Write, WriteFailed};
pub use fault_tolerance::{FaultTolerance, UncoveredFailures};
#[doc(hidden)]
pub use faults::Faults;
pub use options::{Options, Recovered, StartError};
pub use quillpulley_protocol::Locality;
pub use replica::Replica;
pub use state_machine::{RestoreError, StateMachine};
