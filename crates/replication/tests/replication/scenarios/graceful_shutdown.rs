//! Graceful shutdown: a process may exit once its data is safe on other nodes.

use super::{three, StableCluster, SEEDS};
use crate::harness::{World, WorldOptions};
use quillpulley_replication::Faults;

/// Proposes a command to the leader, and checks that it is acknowledged within 2 s. Returns its number.
fn acknowledge(world: &mut World) -> u64 {
    let leader = world.leader().unwrap_or_else(|| panic!("no machine leads\n{}", world.trace.join("\n")));
    let command = world.propose(leader);
    let is_acknowledged = world.run_until(2000, |world| world.is_acknowledged(command));
    assert!(is_acknowledged, "{}", world.trace.join("\n"));
    command
}

/// Signals a machine to shut down. Returns the time in milliseconds until it may exit; `None` if it may not
/// within 7 s.
fn time_to_exit(world: &mut World, machine: usize) -> Option<u64> {
    let signalled_at = world.now;
    world.shut_down(machine);
    world.run_until(7000, |world| world.can_exit(machine)).then(|| world.now - signalled_at)
}

#[test]
fn a_backup_can_exit_at_once_and_a_primary_after_the_handover() {
    for seed in 0..SEEDS {
        for (index, within) in [(1, 400), (2, 400), (0, 800)] {
            let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
            let machine = cluster.names[index].1;
            let time = time_to_exit(&mut cluster.world, machine)
                .expect("the machine is not allowed to exit in time");
            assert!(time <= within, "{time} ms\n{}", cluster.world.trace.join("\n"));
        }
    }
}

#[test]
fn the_core_ends_and_starts_again_one_machine_after_the_other() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let world = &mut cluster.world;
        for machine in [0, 1, 2, 0, 1, 2] {
            acknowledge(world);
            let time = time_to_exit(world, machine).expect("the machine is not allowed to exit in time");
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
        for shutting_down in [0, 2] {
            let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
            let (wiped, shutting_down) = (cluster.names[1].1, cluster.names[shutting_down].1);
            let stays = 3 - wiped - shutting_down;
            let world = &mut cluster.world;
            let command = acknowledge(world);
            world.kill(wiped, true);
            world.wipe(wiped);
            world.run_for(1500);
            world.shut_down(shutting_down);
            world.run_for(3000);
            assert!(
                !world.can_exit(shutting_down),
                "a machine may exit although only two have the data\n{}",
                world.trace.join("\n")
            );
            assert!(world.leader().is_some(), "{}", world.trace.join("\n"));
            acknowledge(world);
            world.start(wiped);
            assert!(
                world.run_until(3000, |world| world.can_exit(shutting_down)),
                "{}",
                world.trace.join("\n")
            );
            // The other machine that held the data is killed right after this one was removed.
            world.remove(shutting_down);
            world.kill(stays, true);
            assert!(world.is_acknowledged(command));
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
            let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
            let pair = [cluster.names[one].1, cluster.names[other].1];
            let world = &mut cluster.world;
            acknowledge(world);
            pair.iter().for_each(|machine| world.shut_down(*machine));
            let ended = |world: &World| pair.into_iter().find(|machine| world.can_exit(*machine));
            assert!(world.run_until(2000, |world| ended(world).is_some()), "{}", world.trace.join("\n"));
            let first = ended(world).expect("neither machine is allowed to exit");
            let second = pair[0] + pair[1] - first;
            world.run_for(100);
            acknowledge(world);
            world.kill(first, false);
            world.run_for(1000);
            assert!(!world.can_exit(second), "{}", world.trace.join("\n"));
            acknowledge(world);
            world.start(first);
            assert!(world.run_until(3000, |world| world.can_exit(second)), "{}", world.trace.join("\n"));
            world.remove(second);
            acknowledge(world);
        }
    }
}

#[test]
fn all_that_are_signalled_to_shut_down_at_once_end_at_once() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let world = &mut cluster.world;
        let command = acknowledge(world);
        (0..3).for_each(|machine| world.shut_down(machine));
        let can_exit = |world: &World| (0..3).all(|machine| world.can_exit(machine));
        assert!(world.run_until(400, can_exit), "{}", world.trace.join("\n"));
        (0..3).for_each(|machine| world.kill(machine, false));
        (0..3).for_each(|machine| world.start(machine));
        assert!(world.run_until(3000, |world| world.leader().is_some()), "{}", world.trace.join("\n"));
        assert!(world.is_acknowledged(command));
    }
}

#[test]
fn the_last_one_that_runs_stays() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let world = &mut cluster.world;
        acknowledge(world);
        world.kill(0, true);
        world.kill(1, true);
        world.shut_down(2);
        world.run_for(5000);
        assert!(!world.can_exit(2), "{}", world.trace.join("\n"));
        world.start(0);
        world.start(1);
        assert!(world.run_until(5000, |world| world.can_exit(2)), "{}", world.trace.join("\n"));
    }
}

#[test]
fn a_member_signalled_to_shut_down_at_any_moment_of_adding_a_node_loses_nothing() {
    for delay in (0..1500).step_by(25) {
        for shutting_down in [0, 2] {
            let mut cluster = StableCluster::new(delay, 1, ["P", "B", "C"]);
            cluster.names.push(("S", cluster.world.add_spare()));
            let (shutting_down, lost) = (cluster.names[shutting_down].1, cluster.names[1].1);
            let world = &mut cluster.world;
            acknowledge(world);
            world.run_for(delay);
            world.shut_down(shutting_down);
            assert!(
                world.run_until(4000, |world| world.can_exit(shutting_down)),
                "{}",
                world.trace.join("\n")
            );
            world.remove(shutting_down);
            // The spare has joined, and has had the time to take over.
            world.run_for(1500);
            world.remove(lost);
            assert!(world.run_until(4000, |world| world.leader().is_some_and(|leader| leader != lost)));
            world.run_for(1500);
            acknowledge(world);
        }
    }
}

/// An operator raises `FaultTolerance.Machines` from one to two, one machine at a time. The first of them was
/// down, and is signalled to shut down before it is a member again. Returns whether it may exit while the
/// others are the only two members, which are too few under its own settings.
fn exits_beside_two_members(seed: u64, faults: Faults) -> bool {
    let mut cluster =
        StableCluster::with(WorldOptions { seed, faults, ..WorldOptions::default() }, ["P", "B", "C"]);
    let away = cluster.names[2].1;
    let world = &mut cluster.world;
    world.kill(away, false);
    assert!(world.run_until(3000, |world| world.members().len() == 2));
    world.options.tolerated = 2;
    world.start(away);
    world.run_for(100);
    world.shut_down(away);
    world.run_until(500, |world| world.can_exit(away) && world.members().len() == 2)
}

#[test]
fn a_node_stays_beside_fewer_members_than_its_own_settings_ask_for() {
    for seed in 0..SEEDS {
        assert!(!exits_beside_two_members(seed, Faults::default()));
    }
    let faults = Faults { exit_with_too_few_members: true, ..Faults::default() };
    assert!(
        (0..SEEDS).any(|seed| exits_beside_two_members(seed, faults)),
        "the injected fault is not detected"
    );
}

#[test]
fn a_node_that_goes_on_running_after_its_signal_is_not_added_again() {
    three(
        "time | P         | B | C         | *
            0 |           |   | shutdown  |
          500 |           |   | no-member |
         4000 |           |   | no-member |
         4000 | propose=1 |   |           |
         4300 | acked=1   |   |           |
         9000 |           |   | no-member |",
    );
}

#[test]
fn one_of_five_can_exit_at_once_as_a_witness() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 2, ["P", "B", "C", "D", "E"]);
        let machine = cluster.names[4].1;
        let time =
            time_to_exit(&mut cluster.world, machine).expect("the machine is not allowed to exit in time");
        assert!(time <= 600, "{time} ms\n{}", cluster.world.trace.join("\n"));
    }
}
