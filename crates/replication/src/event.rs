//! The events that a replica handles and the actions that it returns.

use std::fmt;

use crate::Locality;
use quillpulley_protocol::{Body, Entry, NodeId, Position, WitnessRecord};

/// An input of a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another control node, which identified itself with a `Hello`, has sent a message.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        body: Body,
    },
    /// A node has stated its failure domains in its `Hello`. Precedes [`Event::Connected`] of that node.
    LocalityLearned {
        /// The node.
        node: NodeId,
        /// The failure domains of the node.
        locality: Locality,
    },
    /// A connection to the node is established: messages can be sent to it from now on.
    Connected(NodeId),
    /// The connection to the node is closed: messages to it are lost from now on.
    Disconnected(NodeId),
    /// A write has become durable or has failed.
    WriteCompleted {
        /// The ticket of the write, from [`Action::Store`].
        ticket: u64,
        /// `Ok` if the write is durable.
        result: Result<(), WriteFailed>,
    },
    /// A client proposes a payload for the log, which must not be empty. [`Action::Committed`] or
    /// [`Action::Rejected`] reports the outcome with the same proposal number.
    Propose {
        /// The number of the proposal.
        proposal: u64,
        /// The payload.
        payload: Vec<u8>,
    },
    /// The monotonic clock did not advance for some time, because the whole machine was suspended. The host reports
    /// this before it handles anything else.
    ClockJumped,
    /// Time has passed. The host reports this every 50 ms.
    Tick,
    /// The process is about to shut down: a primary resigns, and the node no longer stands for election.
    Shutdown,
}

/// An output of a replica, which the host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. The message may be lost.
    Send {
        /// The recipient.
        to: NodeId,
        /// The message.
        body: Body,
    },
    /// Make a write durable and report the result with [`Event::WriteCompleted`]. At most one write is in flight.
    Store {
        /// The number that identifies the write in [`Event::WriteCompleted`].
        ticket: u64,
        /// The write.
        write: Write,
    },
    /// The entry is committed and applied to the state. Not reported for entries without a payload, nor for entries
    /// that were received as part of a snapshot.
    Applied {
        /// The index of the entry.
        index: u64,
    },
    /// The proposal is committed, and the replica held its lease when it detected this.
    Committed {
        /// The number of the proposal.
        proposal: u64,
    },
    /// The proposal is not acknowledged; the reason states whether it may still take effect.
    Rejected {
        /// The number of the proposal.
        proposal: u64,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// The role of this replica has changed.
    RoleChanged(Role),
}

/// A write to disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Replace the witness record atomically.
    Record(WitnessRecord),
    /// Truncate the stored log from the index of the first of these entries on, then append them.
    Append(Vec<Entry>),
    /// Atomically replace the whole log by a snapshot and the entries after it.
    Install {
        /// The position of the last entry that the snapshot covers.
        last: Position,
        /// The snapshot.
        snapshot: Vec<u8>,
        /// The entries after the snapshot.
        entries: Vec<Entry>,
    },
    /// Atomically replace the entries up to `last` by a snapshot.
    Compact {
        /// The position of the last entry that the snapshot covers.
        last: Position,
        /// The snapshot.
        snapshot: Vec<u8>,
    },
}

impl Write {
    /// Returns the approximate size of this write in bytes: that of its snapshot and payloads.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Write::Record(_) => 0,
            Write::Append(entries) => payload_bytes(entries),
            Write::Install { snapshot, entries, .. } => snapshot.len() + payload_bytes(entries),
            Write::Compact { snapshot, .. } => snapshot.len(),
        }
    }
}

pub(crate) fn payload_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.len()).sum()
}

/// A write has failed, for instance because the disk is full or broken. The replica retries by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteFailed;

/// Why a proposal is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The replica does not hold the lease of a primary. The proposal was not appended and never will be.
    NotPrimary {
        /// The primary whose latest heartbeat is not older than a lease; `None` if there is no such primary.
        hint: Option<NodeId>,
    },
    /// The proposal was appended, but the replica lost its lease or stepped down before it could report a commit:
    /// the proposal may or may not take effect.
    OutcomeUnknown,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The replica is neither primary nor candidate.
    Follower {
        /// The primary whose latest heartbeat is not older than a lease; `None` if there is no such primary.
        primary: Option<NodeId>,
    },
    /// The replica stands for election.
    Candidate,
    /// The replica is the primary of an epoch. It may act as primary only while it holds the lease.
    Primary {
        /// The epoch of the view that the primary has formed.
        epoch: u64,
        /// Whether the replica holds the lease.
        holds_lease: bool,
    },
    /// The replica is shutting down.
    ShuttingDown,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Role::Follower { primary: Some(primary) } => write!(formatter, "follower of {primary}"),
            Role::Follower { primary: None } => write!(formatter, "follower without a primary"),
            Role::Candidate => write!(formatter, "candidate"),
            Role::Primary { epoch, holds_lease: true } => {
                write!(formatter, "primary of epoch {epoch} with the lease")
            }
            Role::Primary { epoch, holds_lease: false } => {
                write!(formatter, "primary of epoch {epoch} without the lease")
            }
            Role::ShuttingDown => write!(formatter, "shutting down"),
        }
    }
}
