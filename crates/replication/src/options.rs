//! The options of a replica, and the stored state that it starts from.

use crate::{FaultTolerance, Faults, Locality, RestoreError};
use displaydoc::Display;
use quillpulley_protocol::{Entry, NodeId, Position, WitnessRecord};
use std::time::Duration;

/// The options of a replica. Start from [`Options::default`] and set at least `me`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The identity of this process: its address, and the incarnation that its disk holds.
    pub me: NodeId,
    /// The failure domains of its machine.
    pub locality: Locality,
    /// At the first start of the whole system: the first set of witnesses, with incarnation 0. Used only if the disk
    /// holds no record.
    pub bootstrap: Option<Vec<NodeId>>,
    /// The failures to survive.
    pub fault_tolerance: FaultTolerance,
    /// How long a granted lease runs.
    pub lease: Duration,
    /// The interval at which a primary renews its lease.
    pub heartbeat: Duration,
    /// How long a member may send nothing before the primary drops it from the view.
    pub drop_after: Duration,
    /// Seeds the jitter of elections. Replicas should get different seeds.
    pub seed: u64,
    /// The log is compacted once it has more applied entries than this.
    pub compact_entries: usize,
    /// The log is compacted once it holds more bytes than this.
    pub compact_bytes: usize,
    /// Deliberate faults of tests.
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

/// What a replica has found on its disk.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The record of the witness; none on an empty disk.
    pub record: Option<WitnessRecord>,
    /// The last snapshot and the position of the last entry that it covers.
    pub snapshot: Option<(Position, Vec<u8>)>,
    /// The entries after the snapshot. Entries that the snapshot covers are skipped.
    pub entries: Vec<Entry>,
}

/// Why a replica cannot start from what its disk holds.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StartError {
    /// the record on disk is of incarnation {found:x}, but the replica was started as {expected:x}: start it with the record's
    Incarnation {
        /// The incarnation in the record.
        found: u64,
        /// The incarnation in the options.
        expected: u64,
    },
    /// {0}
    Snapshot(RestoreError),
    /// the log on disk goes from entry {last} to {next}: empty the data folder, so that it joins as a new machine
    Gap {
        /// The last index before the gap.
        last: u64,
        /// The first index after it.
        next: u64,
    },
}

impl std::error::Error for StartError {}
