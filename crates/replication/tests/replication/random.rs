//! Random schedules of operations that check the safety invariants, and liveness after the faults have ended.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::harness::{NetworkOptions, Simulation, SimulationOptions};
use crate::operations::{perform, Operation};
use crate::recovery::{check_acknowledgement, JOIN_MS};

const STEPS: usize = 40;

/// Each step picks one of these at random. An operation is listed several times to be picked more often.
const OPERATIONS: [Operation; 37] = [
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::ProposeAnywhere,
    Operation::Kill,
    Operation::Kill,
    Operation::PowerLoss,
    Operation::Wipe,
    Operation::Wipe,
    Operation::Wipe,
    Operation::Replace,
    Operation::Start,
    Operation::Start,
    Operation::Start,
    Operation::StartAll,
    Operation::StartAll,
    Operation::RestartAtOnce,
    Operation::RestartAtOnce,
    Operation::ShutDown,
    Operation::Freeze,
    Operation::Pause,
    Operation::Resume,
    Operation::Resume,
    Operation::HangDisk,
    Operation::FillDisk,
    Operation::RepairDisk,
    Operation::RepairDisk,
    Operation::Isolate,
    Operation::IsolateOutbound,
    Operation::PartitionPair,
    Operation::PartitionPair,
    Operation::HealPartitions,
    Operation::HealPartitions,
    Operation::KillAll,
];

#[derive(Clone, Copy, Debug)]
struct Step {
    /// The time before the operation, in milliseconds.
    pause_ms: u64,
    operation: Operation,
    machine: usize,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    seed: u64,
    lossy: bool,
    steps: Vec<Step>,
}

impl Step {
    fn random(random: &mut fastrand::Rng) -> Self {
        let max_pause = [20, 150, 400, 400, 1000, 2500][random.usize(0..6)];
        Step {
            pause_ms: random.u64(0..max_pause),
            operation: OPERATIONS[random.usize(0..OPERATIONS.len())],
            machine: random.usize(0..60),
        }
    }
}

impl Schedule {
    pub fn from_seed(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let steps = (0..STEPS).map(|_| Step::random(&mut random)).collect();
        Schedule { seed, lossy: random.bool(), steps }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(random: &mut Gen) -> Self {
        Schedule::from_seed(u64::arbitrary(random))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let halves = [&self.steps[..self.steps.len() / 2], &self.steps[self.steps.len() / 2..]];
        let halves: Vec<Vec<Step>> =
            halves.into_iter().map(<[Step]>::to_vec).filter(|steps| steps.len() < self.steps.len()).collect();
        let without_one = (0..self.steps.len()).map(move |index| {
            let mut steps = whole.steps.clone();
            steps.remove(index);
            steps
        });
        let whole = self.clone();
        Box::new(halves.into_iter().chain(without_one).map(move |steps| Schedule { steps, ..whole.clone() }))
    }
}

fn run(schedule: &Schedule, count: usize, options: SimulationOptions) -> Simulation {
    let network = if schedule.lossy {
        NetworkOptions { min_delay_ms: 1, max_delay_ms: 60, lost: 20, duplicated: 30, delayed: 20, late: 30 }
    } else {
        NetworkOptions::default()
    };
    let options = SimulationOptions { seed: schedule.seed, network, ..options };
    let mut simulation = Simulation::first_start(options, count, 3);
    for step in &schedule.steps {
        simulation.run_for(step.pause_ms);
        let present = simulation.present();
        let machine = present[step.machine % present.len()];
        perform(&mut simulation, step.operation, machine);
    }
    simulation
}

/// Ends all faults, and checks that a command is acknowledged in time, that all machines become members and
/// witnesses in time, and that the outcome of every proposal is reported.
fn check_recovery(simulation: &mut Simulation) {
    check_acknowledgement(simulation);
    let all_joined = |simulation: &Simulation| {
        simulation.members() == simulation.present() && {
            let witnesses = simulation.witnesses();
            simulation.present().iter().all(|machine| witnesses.contains(machine))
        }
    };
    let is_complete = simulation.run_until(JOIN_MS, all_joined);
    let unresolved = simulation.unresolved_proposals();
    assert!(unresolved.is_empty(), "the outcome of proposals {unresolved:?} is not reported");
    assert!(
        is_complete,
        "not all machines have joined: members {:?}, witnesses {:?}",
        simulation.members(),
        simulation.witnesses()
    );
}

/// Runs a schedule. Panics if an invariant does not hold.
pub fn check(schedule: &Schedule, count: usize, options: SimulationOptions) {
    let mut simulation = run(schedule, count, options);
    check_recovery(&mut simulation);
}

/// Runs as many random schedules as the environment variable `QUICKCHECK_TESTS` states, or `tests` if it is
/// not set.
fn check_random(property: fn(Schedule) -> bool, tests: u64) {
    let tests = std::env::var("QUICKCHECK_TESTS").ok().and_then(|text| text.parse().ok()).unwrap_or(tests);
    QuickCheck::new().tests(tests).quickcheck(property);
}

#[test]
fn random_schedules_of_three_machines_that_tolerate_one_loss() {
    fn property(schedule: Schedule) -> bool {
        check(&schedule, 3, SimulationOptions { tolerated_machines: 1, ..SimulationOptions::default() });
        true
    }
    check_random(property, 300);
}

#[test]
fn random_schedules_of_five_machines_that_tolerate_two_losses() {
    fn property(schedule: Schedule) -> bool {
        check(&schedule, 5, SimulationOptions { tolerated_machines: 2, ..SimulationOptions::default() });
        true
    }
    check_random(property, 150);
}
