//! Random runs: operators send commands while machines are killed, frozen, partitioned and wiped, and disks
//! fail.

use super::disk::DiskMode;
use super::network::NetworkOptions;
use super::node::Fault;
use super::world::World;
use quickcheck::QuickCheck;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The number of random operations in a run, most of which start or end a fault.
const OPERATION_COUNT: usize = 40;
const OPERATOR_COUNT: usize = 4;
/// The duration of a partition after which a primary has lost its lease but has not stepped down yet.
const LEASE_LOSS_PARTITION_MS: std::ops::Range<u64> = 650..1250;
/// The maximum time after the last fault until all commands are answered, and then until all states are
/// equal.
const RECOVERY_TIMEOUT_MS: u64 = 8000;

/// The totals of all runs of a test.
#[derive(Default)]
pub struct Totals {
    pub runs: usize,
    pub activation_count: usize,
    pub responses: BTreeMap<&'static str, usize>,
}

/// Runs a simulation with random faults on `count` machines. Panics if an invariant is violated.
pub fn run_with_random_faults(seed: u64, count: usize, fault: Fault) -> World {
    let mut random = fastrand::Rng::with_seed(seed);
    let network = if random.bool() {
        NetworkOptions { min_delay_ms: 1, max_delay_ms: 60, lost: 20, duplicated: 30, delayed: 20, late: 0 }
    } else {
        NetworkOptions::default()
    };
    let mut world = World::new(seed, count, network, fault);
    world.run_for(1500);
    (0..OPERATOR_COUNT).for_each(|_| world.add_operator());
    for _ in 0..OPERATION_COUNT {
        let max_pause_ms = [20, 150, 400, 400, 1000, 1500][random.usize(0..6)];
        world.run_for(random.u64(0..max_pause_ms));
        perform_random_operation(&mut world, &mut random);
    }
    check_recovery(&mut world);
    world
}

/// Partitions the leader until its lease has expired, and reconnects it before it steps down.
fn lose_lease_briefly(world: &mut World, leader: usize, random: &mut fastrand::Rng) {
    world.isolate(leader, true);
    world.run_for(random.u64(LEASE_LOSS_PARTITION_MS));
    world.network.heal_all();
}

fn perform_random_operation(world: &mut World, random: &mut fastrand::Rng) {
    let random_machine = random.usize(0..world.machines.len());
    let leader = world.leader().unwrap_or(random_machine);
    match random.usize(0..32) {
        0..=1 => world.kill(leader),
        2 => world.kill(random_machine),
        3..=6 => (0..world.machines.len()).for_each(|machine| world.start(machine)),
        7..=8 => world.freeze(leader),
        9 => world.freeze(random_machine),
        10..=13 => resume_all(world),
        14..=15 => world.isolate(leader, true),
        16 => world.isolate(leader, false),
        17 => world.isolate(random_machine, true),
        18..=21 => world.network.heal_all(),
        22 => (world.lost_response_percent, world.held_up_percent) = (random.u32(0..70), random.u32(0..50)),
        23 => (world.lost_response_percent, world.held_up_percent) = (0, 0),
        24 => world.set_disk_mode(random_machine, [DiskMode::Hangs, DiskMode::Full][random.usize(0..2)]),
        25 => (0..world.machines.len()).for_each(|machine| world.set_disk_mode(machine, DiskMode::Healthy)),
        26 => (0..world.machines.len()).for_each(|machine| world.kill(machine)),
        27 => world.shut_down(leader),
        28..=29 => lose_lease_briefly(world, leader, random),
        _ if world.has_full_membership() => {
            world.wipe(random_machine);
            world.start(random_machine);
        }
        _ => {}
    }
}

fn resume_all(world: &mut World) {
    for machine in 0..world.machines.len() {
        if world.machines[machine].frozen {
            world.resume(machine);
        }
    }
}

/// Ends all faults, and checks that every operator then gets its response and that all processes reach the
/// newest state.
fn check_recovery(world: &mut World) {
    world.heal();
    world.operators.iter_mut().for_each(|operator| operator.is_stopped = true);
    let all_idle = |world: &World| world.operators.iter().all(|operator| operator.is_idle());
    assert!(
        world.run_until(RECOVERY_TIMEOUT_MS, all_idle),
        "an operator gets no response after all faults have ended"
    );
    let all_same = |world: &World| {
        let states = world.machines.iter().filter_map(|machine| machine.node.as_ref());
        states.into_iter().all(|node| *node.replica.state() == world.checker.state)
    };
    assert!(
        world.run_until(RECOVERY_TIMEOUT_MS, all_same),
        "a process does not reach the newest state after all faults have ended"
    );
}

/// Runs a property with random seeds: `tests` times, unless QUICKCHECK_TESTS gives another number.
fn run_quickcheck(property: fn(u64) -> bool, tests: u64) {
    let tests = std::env::var("QUICKCHECK_TESTS").ok().and_then(|text| text.parse().ok()).unwrap_or(tests);
    QuickCheck::new().tests(tests).quickcheck(property);
}

fn add_to_totals(totals: &Mutex<Totals>, world: &World) {
    let mut totals = totals.lock().expect("the totals are not poisoned");
    totals.runs += 1;
    totals.activation_count += world.checker.activation_count();
    for (name, count) in &world.checker.responses {
        *totals.responses.entry(name).or_default() += count;
    }
}

fn print_totals(label: &str, totals: &Mutex<Totals>) {
    let totals = totals.lock().expect("the totals are not poisoned");
    println!(
        "{label}: {} runs, {} activations, responses {:?}",
        totals.runs, totals.activation_count, totals.responses
    );
}

static THREE_MACHINES: Mutex<Totals> =
    Mutex::new(Totals { runs: 0, activation_count: 0, responses: BTreeMap::new() });
static FIVE_MACHINES: Mutex<Totals> =
    Mutex::new(Totals { runs: 0, activation_count: 0, responses: BTreeMap::new() });

#[test]
fn operators_of_three_machines_get_correct_responses() {
    fn property(seed: u64) -> bool {
        add_to_totals(&THREE_MACHINES, &run_with_random_faults(seed, 3, Fault::None));
        true
    }
    run_quickcheck(property, 200);
    print_totals("three machines", &THREE_MACHINES);
}

#[test]
fn operators_of_five_machines_get_correct_responses() {
    fn property(seed: u64) -> bool {
        add_to_totals(&FIVE_MACHINES, &run_with_random_faults(seed, 5, Fault::None));
        true
    }
    run_quickcheck(property, 80);
    print_totals("five machines", &FIVE_MACHINES);
}
