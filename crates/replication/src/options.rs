//! What a replica is told at its start.

use crate::RestoreError;
use displaydoc::Display;
use quillpulley_protocol::{Entry, NodeId, Position, WitnessRecord};
use std::time::Duration;

/// How a replica behaves. Start from [`Options::default`] and set at least `me`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The identity of this process: its address, and the incarnation that its disk holds.
    pub me: NodeId,
    /// The zone of its machine.
    pub zone: String,
    /// The region of its machine.
    pub region: String,
    /// At the first start of the whole system: the first set of witnesses, with incarnation 0. It is looked at
    /// only if the disk holds no record.
    pub bootstrap: Option<Vec<NodeId>>,
    /// How many machines may lose their disks at once. Orders are acknowledged by more members than this.
    pub tolerated_machines: usize,
    /// How many zones may be lost at once, with all members and witnesses in them.
    pub tolerated_zones: usize,
    /// How many regions may be lost at once, with all members and witnesses in them.
    pub tolerated_regions: usize,
    /// How long a granted lease runs.
    pub lease: Duration,
    /// How often a primary renews its lease.
    pub heartbeat: Duration,
    /// How long a member may leave the primary without an answer before the primary drops it from the view.
    pub drop_after: Duration,
    /// Seeds the jitter of elections; replicas should get different seeds.
    pub seed: u64,
    /// The log is compacted once it has more applied entries than this.
    pub compact_entries: usize,
    /// The log is compacted once it holds more bytes than this.
    pub compact_bytes: usize,
    /// Faults that tests build in to see that they are caught.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            me: NodeId::default(),
            zone: String::new(),
            region: String::new(),
            bootstrap: None,
            tolerated_machines: 1,
            tolerated_zones: 0,
            tolerated_regions: 0,
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

/// Deliberate faults, for tests only.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The primary acknowledges once a majority of members has stored, not every one.
    pub acknowledge_by_majority: bool,
    /// The primary acknowledges without a look at its lease, and acts as if it held one for ever.
    pub ignore_own_lease: bool,
    /// A witness promises although a lease that it granted to another still runs.
    pub promise_under_lease: bool,
    /// A witness answers before its record is on disk.
    pub answer_before_sync: bool,
    /// A node that is to become a member counts as one before it holds the data.
    pub count_joiner_early: bool,
    /// A primary lets the new set of witnesses decide alone, without the agreement of the one before.
    pub change_witnesses_in_one_step: bool,
    /// All members of a view become its witnesses at once, without the agreement of the old set.
    pub replace_all_witnesses: bool,
    /// A witness that is no member of the newest view leads with the state that it has, and fetches none.
    pub elect_from_stale_snapshot: bool,
    /// Whoever leads answers what is in force, without a look at its lease at that moment.
    pub answer_without_lease_check: bool,
    /// A member tells that a state is installed before all of it is on its disk.
    pub install_before_complete: bool,
}

/// What a replica finds on its disk.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The record of the witness; none on an empty disk.
    pub record: Option<WitnessRecord>,
    /// The last snapshot and the position that it stands for.
    pub snapshot: Option<(Position, Vec<u8>)>,
    /// The entries after the snapshot. Those that the snapshot covers are skipped.
    pub entries: Vec<Entry>,
}

/// Why a replica cannot start from what its disk holds.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StartError {
    /// the record on disk is of incarnation {0:x}, but the replica was started as {1:x}: start it with the record's
    Incarnation(u64, u64),
    /// {0}
    Snapshot(RestoreError),
    /// the log on disk goes from entry {0} to {1}: empty the data folder, so that it joins as a new machine
    Gap(u64, u64),
}

impl std::error::Error for StartError {}
