//! The events that a replica takes and the actions that it returns.

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
    /// The failure domains of a node, as its `Hello` states. Comes before [`Event::Connected`].
    LocalityLearned {
        /// The node.
        node: NodeId,
        /// Its failure domains.
        locality: Locality,
    },
    /// Messages can be sent to the node from now on.
    Connected(NodeId),
    /// Messages to the node are lost from now on.
    Disconnected(NodeId),
    /// A write is durable, or has failed.
    WriteCompleted {
        /// The number of the write.
        ticket: u64,
        /// Whether it is durable.
        result: Result<(), WriteFailed>,
    },
    /// A payload to append to the log; must not be empty. Its outcome is reported by [`Action::Committed`] or
    /// [`Action::Rejected`] with the same number.
    Propose {
        /// The number of the proposal.
        proposal: u64,
        /// The payload.
        payload: Vec<u8>,
    },
    /// The monotonic clock has stood still for a while, with the whole machine. Due before anything else is handled.
    ClockJumped,
    /// Time has passed. Due every 50 ms.
    Tick,
    /// The process is about to shut down: a primary hands over, and the node does not campaign any more.
    Shutdown,
}

/// An output of a replica, which the host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. It may get lost.
    Send {
        /// The recipient.
        to: NodeId,
        /// The message.
        body: Body,
    },
    /// Make a write durable and report it with [`Event::WriteCompleted`]. There is one write at a time.
    Store {
        /// The number of the write.
        ticket: u64,
        /// The write.
        write: Write,
    },
    /// The entry is committed and applied to the state. Not reported for entries that a snapshot covers.
    Applied {
        /// The index of the entry.
        index: u64,
    },
    /// The proposal is committed, and the replica held its lease when it saw that.
    Committed {
        /// The number of the proposal.
        proposal: u64,
    },
    /// The proposal is not acknowledged.
    Rejected {
        /// The number of the proposal.
        proposal: u64,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// The role has changed.
    RoleChanged(Role),
}

/// A write to disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Replace the witness record, atomically.
    Record(WitnessRecord),
    /// Append entries, after truncating the stored log from the index of the first one on.
    Append(Vec<Entry>),
    /// Replace the whole log by a snapshot and the entries after it, atomically.
    Install {
        /// The last entry that the snapshot covers.
        last: Position,
        /// The snapshot.
        snapshot: Vec<u8>,
        /// The entries after the snapshot.
        entries: Vec<Entry>,
    },
    /// Replace the entries up to `last` by a snapshot, atomically.
    Compact {
        /// The last entry that the snapshot covers.
        last: Position,
        /// The snapshot.
        snapshot: Vec<u8>,
    },
}

impl Write {
    /// Returns about how many bytes it puts on disk.
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

/// A write has failed: the disk is full or broken. The replica retries by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteFailed;

/// Why a proposal is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The replica holds no lease. The proposal was not appended and never will be. `hint` is the primary that the
    /// replica has received a heartbeat from within the lease.
    NotPrimary {
        /// The primary, if it is known.
        hint: Option<NodeId>,
    },
    /// The proposal was appended, and the replica lost its lease before it was committed: it may take effect or not.
    OutcomeUnknown,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows the primary whose heartbeat it has received within the lease, if there is one.
    Follower {
        /// The primary.
        primary: Option<NodeId>,
    },
    /// It campaigns.
    Candidate,
    /// It is the primary of an epoch. Without the lease it must not act as one.
    Primary {
        /// The epoch.
        epoch: u64,
        /// Whether it holds the lease.
        holds_lease: bool,
    },
    /// It is shutting down.
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
