//! What goes into a replica and what comes out of it.

use crate::Place;
use quillpulley_protocol::{Body, Entry, NodeId, Position, WitnessRecord};

/// Something that a replica must know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message of another core process, whose `Hello` named it.
    Message { from: NodeId, body: Body },
    /// Where a node stands, as its `Hello` told. Comes before [`Event::Connected`].
    Located { node: NodeId, place: Place },
    /// Messages can be sent to the node from now on.
    Connected(NodeId),
    /// Messages to the node go nowhere from now on.
    Disconnected(NodeId),
    /// A write is durable, or has failed.
    Stored { ticket: u64, result: Result<(), StoreFault> },
    /// An order to append, which is not empty. Its fate comes as [`Action::Committed`] or [`Action::Rejected`] with the same number.
    Propose { order: u64, payload: Vec<u8> },
    /// Time has passed. Due every 50 ms.
    Tick,
    /// The process is about to end: a primary hands over, and stands for no election any more.
    Stop,
}

/// Something that the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. Losing it does no harm.
    Send { to: NodeId, body: Body },
    /// Make a write durable and answer with [`Event::Stored`]. No write comes before the one before it is answered.
    Store { ticket: u64, write: Write },
    /// The entry is committed and has been applied to the state. Not told of entries that a snapshot covers.
    Applied { index: u64 },
    /// The order is committed, and the replica held the lease when it saw that.
    Committed { order: u64 },
    /// The order was not acknowledged.
    Rejected { order: u64, why: Rejection },
    /// The role is another one than before.
    RoleChanged(Role),
}

/// A write to disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Replace the record. All or nothing.
    Record(WitnessRecord),
    /// Append entries. Entries on disk from the first one's index on are cut off before.
    Append(Vec<Entry>),
    /// Replace the whole log by a snapshot and the entries after it. All or nothing.
    Install { last: Position, snapshot: Vec<u8>, entries: Vec<Entry> },
    /// Put a snapshot in the place of the entries up to `last`. All or nothing.
    Compact { last: Position, snapshot: Vec<u8> },
}

impl Write {
    /// About how many bytes it puts on disk.
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

/// A write has failed: the disk is full or broken. The replica tries again by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFault;

/// Why an order was not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The replica holds no lease, and the order was not appended and never will be. The hint is the primary that
    /// it has heard within the lease.
    NotPrimary { hint: Option<NodeId> },
    /// The order was appended, and the replica lost its lease or its leadership before it was committed: it may come
    /// into force or not.
    Unknown,
}

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows the primary that it has heard within the lease, if there is one.
    Follower { primary: Option<NodeId> },
    /// It stands for election.
    Candidate,
    /// It is the primary of an epoch. Without the lease it must not act as one.
    Primary { epoch: u64, lease: bool },
    /// It has been told to stop.
    Stopped,
}
