//! Long random runs of five machines in five zones and three regions. Any two machines may be lost with their
//! disks, and lost machines may be replaced by new ones. The safety invariants are checked after every event.
//! After every [`STEPS_TO_RECOVERY`] steps the faults end, and liveness is checked: a command is acknowledged
//! in time, every machine becomes a member and a witness, and all machines reach the end of the log.
//!
//! The test executes [`RUNS`] runs of [`STEPS`] steps. The environment variables `SEEDED_RUNS`,
//! `SEEDED_FIRST` (the first seed) and `SEEDED_STEPS` override this, preferably with `--release`:
//!
//! ```text
//! SEEDED_RUNS=1000 cargo test --release -p quillpulley-replication seeded:: -- --nocapture
//! ```
//!
//! A run loses only as many disks as are tolerated: no third disk before the view excludes the first two lost
//! nodes.

use std::ops::AddAssign;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::thread;

use crate::harness::{NetworkOptions, Simulation, SimulationOptions};
use crate::operations::{perform, Operation};
use crate::recovery::{check_acknowledgement, JOIN_MS};

const RUNS: u64 = 24;
const STEPS: u64 = 3000;
const THREADS: u64 = 3;
const MACHINES: usize = 5;
const BOOTSTRAP_WITNESSES: usize = 3;
const TOLERATED_MACHINES: usize = 2;
/// The maximum deviation of clock rates, per thousand, in either direction.
const CLOCK_DRIFT: u64 = 30;
/// The number of steps between two fault-free periods.
const STEPS_TO_RECOVERY: u64 = 100;
/// The maximum time in which all machines, once they are members, reach the end of the leader's log.
const CATCH_UP_MS: u64 = 1000;

/// The weight of each operation in the random choice.
const OPERATIONS: [(Operation, u32); 30] = [
    (Operation::Propose, 20),
    (Operation::ProposeConflicting, 8),
    (Operation::ProposeAnywhere, 4),
    (Operation::ProposeAgain, 12),
    (Operation::Read, 14),
    (Operation::Kill, 4),
    (Operation::PowerLoss, 3),
    (Operation::Wipe, 4),
    (Operation::Replace, 2),
    (Operation::ShutDownAndReplace, 2),
    (Operation::Start, 12),
    (Operation::RestartAtOnce, 6),
    (Operation::RestartUnderLease, 2),
    (Operation::StartAll, 3),
    (Operation::ShutDown, 2),
    (Operation::Freeze, 4),
    (Operation::Pause, 2),
    (Operation::Resume, 8),
    (Operation::SlowDisk, 3),
    (Operation::HangDisk, 2),
    (Operation::FillDisk, 2),
    (Operation::RepairDisk, 7),
    (Operation::Isolate, 3),
    (Operation::IsolateOutbound, 3),
    (Operation::PartitionPair, 3),
    (Operation::PartitionRegion, 2),
    (Operation::HealPartitions, 8),
    (Operation::RegionPowerLoss, 1),
    (Operation::WipeRegion, 1),
    (Operation::KillAll, 1),
];

/// The totals of one or several runs.
#[derive(Clone, Copy, Debug, Default)]
struct Coverage {
    runs: u64,
    steps: u64,
    /// The virtual time in seconds.
    seconds: u64,
    commands: u64,
    acknowledged: u64,
    reads: u64,
    /// The number of epochs in which a replica held the lease.
    primaries: u64,
    lost_disks: u64,
    recoveries: u64,
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Self) {
        self.runs += other.runs;
        self.steps += other.steps;
        self.seconds += other.seconds;
        self.commands += other.commands;
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.primaries += other.primaries;
        self.lost_disks += other.lost_disks;
        self.recoveries += other.recoveries;
    }
}

fn pick(random: &mut fastrand::Rng) -> Operation {
    let total: u32 = OPERATIONS.iter().map(|(_, weight)| weight).sum();
    let mut remaining = random.u32(0..total);
    for (operation, weight) in OPERATIONS {
        if remaining < weight {
            return operation;
        }
        remaining -= weight;
    }
    Operation::Read
}

fn start(seed: u64, options: &SimulationOptions) -> Simulation {
    let network = if seed.is_multiple_of(2) {
        NetworkOptions { min_delay_ms: 1, max_delay_ms: 60, lost: 20, duplicated: 30, delayed: 20, late: 30 }
    } else {
        NetworkOptions::default()
    };
    let options = SimulationOptions {
        seed,
        network,
        tolerated_machines: TOLERATED_MACHINES,
        tolerated_zones: 1,
        tolerated_regions: 1,
        announces_zones: true,
        clock_drift: CLOCK_DRIFT,
        ..options.clone()
    };
    Simulation::first_start(options, MACHINES, BOOTSTRAP_WITNESSES)
}

/// Executes a run. Panics if an invariant does not hold.
fn run(seed: u64, steps: u64, options: &SimulationOptions) -> Coverage {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut simulation = start(seed, options);
    let network = simulation.network.options;
    let mut recoveries = 0;
    for step in 1..=steps {
        let max_pause = [10, 40, 100, 100, 300, 1000][random.usize(0..6)];
        simulation.run_for(random.u64(0..max_pause));
        let present = simulation.present();
        let machine = present[random.usize(0..present.len())];
        let operation = pick(&mut random);
        perform(&mut simulation, operation, machine);
        if step % STEPS_TO_RECOVERY == 0 {
            check_recovery(&mut simulation);
            simulation.network.options = network;
            recoveries += 1;
        }
    }
    Coverage {
        runs: 1,
        steps,
        seconds: simulation.now / 1000,
        commands: simulation.command_count(),
        acknowledged: simulation.checker.acknowledged.len() as u64,
        reads: simulation.reads,
        primaries: simulation.checker.epochs() as u64,
        lost_disks: simulation.lost_count(),
        recoveries,
    }
}

/// Ends all faults, and checks that a command is acknowledged, that all machines become members and witnesses
/// and reach the end of the log, each in time, and that the outcome of every proposal is reported.
fn check_recovery(simulation: &mut Simulation) {
    check_acknowledgement(simulation);
    let is_complete = simulation.run_until(JOIN_MS, |simulation| {
        simulation.members() == simulation.present() && simulation.witnesses() == simulation.present()
    });
    assert!(
        is_complete,
        "not all machines have joined: members {:?}, witnesses {:?}",
        simulation.members(),
        simulation.witnesses()
    );
    let leader = simulation.leader().expect("no primary in a fault-free period");
    let end = simulation.applied_index(leader);
    let all_caught_up = |simulation: &Simulation| {
        simulation.present().into_iter().all(|machine| simulation.applied_index(machine) >= end)
    };
    assert!(simulation.run_until(CATCH_UP_MS, all_caught_up), "a machine does not reach the end of the log");
    let unresolved = simulation.unresolved_proposals();
    assert!(unresolved.is_empty(), "the outcome of proposals {unresolved:?} is not reported");
}

/// Returns the panic message of a run; `None` if no invariant was violated.
pub fn failure(seed: u64, steps: u64, options: &SimulationOptions) -> Option<String> {
    let panic = catch_unwind(AssertUnwindSafe(|| run(seed, steps, options))).err()?;
    let text = panic.downcast_ref::<String>().cloned();
    Some(text.unwrap_or_else(|| panic.downcast_ref::<&str>().copied().unwrap_or_default().into()))
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Executes the runs of every `THREADS`th seed of a range. Returns their totals, and the seeds that failed.
fn run_share(seeds: std::ops::Range<u64>, share: u64, steps: u64) -> (Coverage, Vec<u64>) {
    let mut coverage = Coverage::default();
    let mut failed = Vec::new();
    for seed in seeds.filter(|seed| seed % THREADS == share) {
        match catch_unwind(|| run(seed, steps, &SimulationOptions::default())) {
            Ok(run) => coverage += run,
            Err(_) => {
                eprintln!("seed {seed} failed");
                failed.push(seed);
            }
        }
    }
    (coverage, failed)
}

#[test]
fn long_runs_of_five_machines_in_three_regions() {
    let first = setting("SEEDED_FIRST", 0);
    let seeds = first..first + setting("SEEDED_RUNS", RUNS);
    let steps = setting("SEEDED_STEPS", STEPS);
    let threads: Vec<_> = (0..THREADS)
        .map(|share| {
            let seeds = seeds.clone();
            thread::spawn(move || run_share(seeds, share, steps))
        })
        .collect();
    let mut covered = Coverage::default();
    let mut failed = Vec::new();
    for thread in threads {
        let (coverage, seeds) = thread.join().expect("a thread of the test panicked");
        covered += coverage;
        failed.extend(seeds);
    }
    println!("{covered:?}");
    assert!(failed.is_empty(), "seeds {failed:?} failed");
}
