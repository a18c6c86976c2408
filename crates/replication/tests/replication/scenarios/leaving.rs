//! Processes that are told to end: they may do so once their data stands elsewhere.

use super::{Settled, SEEDS};
use crate::harness::World;

fn acknowledge(world: &mut World) -> u64 {
    let leader = world.leader().unwrap_or_else(|| panic!("no one leads\n{}", world.trace.join("\n")));
    let order = world.propose(leader);
    let is_acknowledged = world.run_until(2000, |world| world.is_acknowledged(order));
    assert!(is_acknowledged, "{}", world.trace.join("\n"));
    order
}

/// How long it takes until a machine that is told to stop may end.
fn time_to_end(world: &mut World, machine: usize) -> Option<u64> {
    let told_at = world.now;
    world.stop(machine);
    world.run_until(7000, |world| world.may_end(machine)).then(|| world.now - told_at)
}

#[test]
fn a_backup_may_end_at_once_and_a_primary_after_the_handover() {
    for seed in 0..SEEDS {
        for (index, within) in [(1, 400), (2, 400), (0, 800)] {
            let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
            let machine = settled.names[index].1;
            let time = time_to_end(&mut settled.world, machine).expect("an end");
            assert!(time <= within, "{time} ms\n{}", settled.world.trace.join("\n"));
        }
    }
}

#[test]
fn the_core_ends_and_starts_again_one_machine_after_the_other() {
    for seed in 0..SEEDS {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let world = &mut settled.world;
        for machine in [0, 1, 2, 0, 1, 2] {
            acknowledge(world);
            let time = time_to_end(world, machine).expect("an end");
            assert!(time <= 2500, "{time} ms\n{}", world.trace.join("\n"));
            world.kill(machine, false);
            world.run_for(300);
            world.start(machine);
            assert!(world.run_until(1500, |world| world.leader().is_some()), "{}", world.trace.join("\n"));
        }
        acknowledge(world);
    }
}

#[test]
fn a_member_that_is_needed_stays_until_another_holds_its_data() {
    for seed in 0..SEEDS {
        for leaving in [0, 2] {
            let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
            let (wiped, leaving) = (settled.names[1].1, settled.names[leaving].1);
            let stays = 3 - wiped - leaving;
            let world = &mut settled.world;
            let order = acknowledge(world);
            world.kill(wiped, true);
            world.wipe(wiped);
            world.run_for(1500);
            world.stop(leaving);
            world.run_for(3000);
            assert!(!world.may_end(leaving), "only two have the data\n{}", world.trace.join("\n"));
            assert!(world.leader().is_some(), "{}", world.trace.join("\n"));
            acknowledge(world);
            world.start(wiped);
            assert!(world.run_until(3000, |world| world.may_end(leaving)), "{}", world.trace.join("\n"));
            // It goes for good, and right after it the other one that had the data.
            world.remove(leaving);
            world.kill(stays, true);
            assert!(world.is_acknowledged(order));
            world.run_for(500);
            world.start(stays);
            assert!(world.run_until(3000, |world| world.leader().is_some()), "{}", world.trace.join("\n"));
        }
    }
}

#[test]
fn of_two_that_are_signalled_to_shut_down_one_stays_until_the_other_is_back() {
    for seed in 0..SEEDS {
        for (one, other) in [(1, 2), (0, 1)] {
            let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
            let pair = [settled.names[one].1, settled.names[other].1];
            let world = &mut settled.world;
            acknowledge(world);
            pair.iter().for_each(|machine| world.stop(*machine));
            let ended = |world: &World| pair.into_iter().find(|machine| world.may_end(*machine));
            assert!(world.run_until(2000, |world| ended(world).is_some()), "{}", world.trace.join("\n"));
            let first = ended(world).expect("one of them");
            let second = pair[0] + pair[1] - first;
            world.run_for(100);
            acknowledge(world);
            world.kill(first, false);
            world.run_for(1000);
            assert!(!world.may_end(second), "{}", world.trace.join("\n"));
            acknowledge(world);
            world.start(first);
            assert!(world.run_until(3000, |world| world.may_end(second)), "{}", world.trace.join("\n"));
            world.remove(second);
            acknowledge(world);
        }
    }
}

#[test]
fn all_that_are_signalled_to_shut_down_at_once_end_at_once() {
    for seed in 0..SEEDS {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let world = &mut settled.world;
        let order = acknowledge(world);
        (0..3).for_each(|machine| world.stop(machine));
        let may_end = |world: &World| (0..3).all(|machine| world.may_end(machine));
        assert!(world.run_until(400, may_end), "{}", world.trace.join("\n"));
        (0..3).for_each(|machine| world.kill(machine, false));
        (0..3).for_each(|machine| world.start(machine));
        assert!(world.run_until(3000, |world| world.leader().is_some()), "{}", world.trace.join("\n"));
        assert!(world.is_acknowledged(order));
    }
}

#[test]
fn the_last_one_that_runs_stays() {
    for seed in 0..SEEDS {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let world = &mut settled.world;
        acknowledge(world);
        world.kill(0, true);
        world.kill(1, true);
        world.stop(2);
        world.run_for(5000);
        assert!(!world.may_end(2), "{}", world.trace.join("\n"));
        world.start(0);
        world.start(1);
        assert!(world.run_until(5000, |world| world.may_end(2)), "{}", world.trace.join("\n"));
    }
}

#[test]
fn a_member_signalled_to_shut_down_at_any_moment_of_letting_a_node_in_loses_nothing() {
    for delay in (0..1500).step_by(25) {
        for leaving in [0, 2] {
            let mut settled = Settled::new(delay, 1, ["P", "B", "C"]);
            settled.names.push(("S", settled.world.add_spare()));
            let (leaving, lost) = (settled.names[leaving].1, settled.names[1].1);
            let world = &mut settled.world;
            acknowledge(world);
            world.run_for(delay);
            world.stop(leaving);
            assert!(world.run_until(4000, |world| world.may_end(leaving)), "{}", world.trace.join("\n"));
            world.remove(leaving);
            // The successor is there and has had its time.
            world.run_for(1500);
            world.remove(lost);
            assert!(world.run_until(4000, |world| world.leader().is_some_and(|leader| leader != lost)));
            world.run_for(1500);
            acknowledge(world);
        }
    }
}
