//! Random days: operators at work while machines are killed, frozen, cut off, wiped, and their disks fail.

use super::disk::DiskMode;
use super::network::NetworkOptions;
use super::node::Fault;
use super::world::World;
use quickcheck::QuickCheck;
use std::collections::BTreeMap;
use std::sync::Mutex;

const DEEDS: usize = 40;
const OPERATORS: usize = 4;
/// How soon after the last trouble all orders are answered.
const CALM_MS: u64 = 8000;

/// What all days of a test came to.
#[derive(Default)]
pub struct Tally {
    pub days: usize,
    pub changes: usize,
    pub answers: BTreeMap<&'static str, usize>,
}

/// Plays a day; panics if anything does not hold.
pub fn play(seed: u64, count: usize, fault: Fault) -> World {
    let mut random = fastrand::Rng::with_seed(seed);
    let network = if random.bool() {
        NetworkOptions { min_delay: 1, max_delay: 60, lost: 20, doubled: 30, late: 20 }
    } else {
        NetworkOptions::default()
    };
    let mut world = World::new(seed, count, network, fault);
    world.run_for(1500);
    (0..OPERATORS).for_each(|_| world.add_operator());
    for _ in 0..DEEDS {
        let longest = [20, 150, 400, 400, 1000, 1500][random.usize(0..6)];
        world.run_for(random.u64(0..longest));
        act(&mut world, &mut random);
    }
    end(&mut world);
    world
}

fn act(world: &mut World, random: &mut fastrand::Rng) {
    let any = random.usize(0..world.machines.len());
    let leader = world.leader().unwrap_or(any);
    match random.usize(0..30) {
        0..=1 => world.kill(leader),
        2 => world.kill(any),
        3..=6 => (0..world.machines.len()).for_each(|machine| world.start(machine)),
        7..=8 => world.freeze(leader),
        9 => world.freeze(any),
        10..=13 => wake_all(world),
        14..=15 => world.cut_off(leader, true),
        16 => world.cut_off(leader, false),
        17 => world.cut_off(any, true),
        18..=21 => world.network.join_all(),
        22 => world.lost_answers = 50,
        23 => world.lost_answers = 0,
        24 => world.set_disk(any, [DiskMode::Hangs, DiskMode::Full][random.usize(0..2)]),
        25 => (0..world.machines.len()).for_each(|machine| world.set_disk(machine, DiskMode::Good)),
        26 => (0..world.machines.len()).for_each(|machine| world.kill(machine)),
        27 => world.stop(leader),
        _ if world.is_whole() => {
            world.wipe(any);
            world.start(any);
        }
        _ => {}
    }
}

fn wake_all(world: &mut World) {
    for machine in 0..world.machines.len() {
        if world.machines[machine].frozen {
            world.wake(machine);
        }
    }
}

/// After the troubles every operator gets its answer, and all states become the same.
fn end(world: &mut World) {
    world.calm();
    world.operators.iter_mut().for_each(|operator| operator.retired = true);
    let all_idle = |world: &World| world.operators.iter().all(|operator| operator.is_idle());
    assert!(world.run_until(CALM_MS, all_idle), "an operator gets no answer in a calm time");
    let all_same = |world: &World| {
        let states = world.machines.iter().filter_map(|machine| machine.node.as_ref());
        states.into_iter().all(|node| *node.replica.state() == world.checker.state)
    };
    assert!(world.run_until(CALM_MS, all_same), "not all states become the newest one");
}

fn check_random(property: fn(u64) -> bool, tests: u64) {
    let tests = std::env::var("QUICKCHECK_TESTS").ok().and_then(|text| text.parse().ok()).unwrap_or(tests);
    QuickCheck::new().tests(tests).quickcheck(property);
}

fn add_to(tally: &Mutex<Tally>, world: &World) {
    let mut tally = tally.lock().expect("a tally");
    tally.days += 1;
    tally.changes += world.checker.changes();
    for (name, count) in &world.checker.answers {
        *tally.answers.entry(name).or_default() += count;
    }
}

fn print(what: &str, tally: &Mutex<Tally>) {
    let tally = tally.lock().expect("a tally");
    println!("{what}: {} days, {} changes, answers {:?}", tally.days, tally.changes, tally.answers);
}

static THREE: Mutex<Tally> = Mutex::new(Tally { days: 0, changes: 0, answers: BTreeMap::new() });
static FIVE: Mutex<Tally> = Mutex::new(Tally { days: 0, changes: 0, answers: BTreeMap::new() });

#[test]
fn operators_of_three_machines_are_told_what_holds() {
    fn property(seed: u64) -> bool {
        add_to(&THREE, &play(seed, 3, Fault::None));
        true
    }
    check_random(property, 200);
    print("three machines", &THREE);
}

#[test]
fn operators_of_five_machines_are_told_what_holds() {
    fn property(seed: u64) -> bool {
        add_to(&FIVE, &play(seed, 5, Fault::None));
        true
    }
    check_random(property, 80);
    print("five machines", &FIVE);
}
