//! The options of a replica, the stored state that it starts from, and the errors of a start.

use crate::{FaultTolerance, Faults, Locality, RestoreError};
use displaydoc::Display;
use quillpulley_protocol::{Entry, NodeId, Position, WitnessRecord};
use std::time::Duration;

/// The options of a replica. Callers start from [`Options::default`] and set at least `me`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The identity of this node: its address, and the incarnation that is stored on its disk.
    pub me: NodeId,
    /// The failure domains of this machine.
    pub locality: Locality,
    /// The first set of witnesses, with incarnation 0, at the first start of the whole system; otherwise `None`.
    /// Ignored if the disk holds a witness record.
    pub bootstrap: Option<Vec<NodeId>>,
    /// The failures that a view has to survive.
    pub fault_tolerance: FaultTolerance,
    /// The time after which a granted lease expires at a witness. The primary stops relying on it earlier.
    pub lease: Duration,
    /// The interval at which a primary sends heartbeats, each of which requests its lease again.
    pub heartbeat: Duration,
    /// The time without replies, or without progress while its log is behind, after which the primary drops a
    /// member from the view.
    pub drop_after: Duration,
    /// The seed of the election jitter. Each replica should get a different seed.
    pub seed: u64,
    /// The number of applied entries in the log above which it is compacted.
    pub compact_entries: usize,
    /// The size of the log's payloads, in bytes, above which it is compacted.
    pub compact_bytes: usize,
    /// Faults that tests inject.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            me: NodeId::default(),
            locality: Locality::default(),
            bootstrap: None,
            fault_tolerance: FaultTolerance::default(),
            lease: Duration::from_millis(900),
            heartbeat: Duration::from_millis(150),
            drop_after: Duration::from_millis(500),
            seed: 0,
            compact_entries: 256,
            compact_bytes: 16 * 1024 * 1024,
            faults: Faults::default(),
        }
    }
}

/// The state that the disk of a replica holds at its start.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The witness record; `None` on an empty disk.
    pub record: Option<WitnessRecord>,
    /// The latest snapshot and the position of the last entry that it covers; `None` before the first snapshot.
    pub snapshot: Option<(Position, Vec<u8>)>,
    /// The stored log entries. Those that the snapshot covers are skipped; the others have to follow it without gaps.
    pub entries: Vec<Entry>,
}

/// Why a replica cannot start from what its disk holds.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StartError {
    /// the witness record on disk has incarnation {found:x}, but the replica was started with incarnation {expected:x}: start it with the incarnation of the record
    Incarnation {
        /// The incarnation in the witness record.
        found: u64,
        /// The incarnation in the options.
        expected: u64,
    },
    /// {0}
    Snapshot(RestoreError),
    /// the log on disk has a gap between entries {last} and {next}: empty the data folder, so that this machine joins as a new one
    Gap {
        /// The index of the last entry that the snapshot covers.
        last: u64,
        /// The index of the first entry after the gap.
        next: u64,
    },
}

impl std::error::Error for StartError {}
