//! Primary-backup replication with witnesses that decide failover, as a pure state machine.
//!
//! [`Replica`] handles [`Event`]s, each with the time at which it occurred, and returns the [`Action`]s that the
//! host has to carry out. It opens no sockets, reads no clocks and writes no files; the host does. Times are
//! durations since the start of the process, measured by a monotonic clock.
//!
//! The protocol belongs to the family of Vertical Paxos and PacificA:
//!
//! - The *primary* appends proposals to its log. An entry is committed once **every** member of the view (the primary
//!   and its backups) has stored it. Therefore every member of the newest view holds all acknowledged entries.
//! - *Witnesses* store epochs and views, never data. A majority of them decides on the next view and grants the
//!   primary its lease. The set of witnesses changes by one node at a time; until a change is complete, majorities
//!   of both the old and the new set have to agree (joint consensus).
//! - A *learner* is a node that receives the log but is not a member yet.
//! - A node is identified by its address and the incarnation of its disk. A machine whose disk was wiped is a new
//!   node, which has made no promises.
//!
//! | module | contents |
//! | --- | --- |
//! | [`Replica`] (`replica/`) | the coordinator: passes events to the modules below; one file per role |
//! | `member_state` | the replicated state machine, its log, and the position up to which the log is applied |
//! | `witness` | promises, accepted views and granted leases |
//! | `primary`, `proposals`, `lease` | the state of a primary |
//! | `view_change` | the phases of an election or a reconfiguration |
//! | `membership/` | the view that the primary should form: learners to add, members to drop, the set of witnesses |
//! | `progress` | how far the log of each replication target matches, and what is sent to it next |
//! | `durability`, `fault_tolerance` | which failures a view survives, and when commits are acknowledged |
//! | `write_queue` | pending disk writes, and what is deferred until they are durable |
//!
//! The other modules do not depend on [`Replica`], and their state is private to them. `docs/CONTROL-STATE.md` gives
//! the safety argument.
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
