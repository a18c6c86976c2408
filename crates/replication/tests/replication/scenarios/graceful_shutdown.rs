//! Graceful shutdown: a process may exit once its data is safe on other nodes.

use super::{three, StableCluster, SEEDS};
use crate::harness::{Simulation, SimulationOptions};
use quillpulley_replication::Faults;

/// Proposes a command to the leader, and checks that it is acknowledged within 2 s. Returns its number.
fn propose_and_wait(simulation: &mut Simulation) -> u64 {
    let leader =
        simulation.leader().unwrap_or_else(|| panic!("no machine leads\n{}", simulation.trace.join("\n")));
    let command = simulation.propose(leader);
    let is_acknowledged = simulation.run_until(2000, |simulation| simulation.is_acknowledged(command));
    assert!(is_acknowledged, "{}", simulation.trace.join("\n"));
    command
}

/// Signals a machine to shut down. Returns the time in milliseconds until it may exit; `None` if it may not
/// within 7 s.
fn time_to_exit(simulation: &mut Simulation, machine: usize) -> Option<u64> {
    let signalled_at = simulation.now;
    simulation.shut_down(machine);
    simulation
        .run_until(7000, |simulation| simulation.can_exit(machine))
        .then(|| simulation.now - signalled_at)
}

#[test]
fn a_backup_can_exit_at_once_and_a_primary_after_a_handover() {
    for seed in 0..SEEDS {
        for (index, within) in [(1, 400), (2, 400), (0, 800)] {
            let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
            let machine = cluster.names[index].1;
            let time = time_to_exit(&mut cluster.simulation, machine)
                .expect("the machine is not allowed to exit in time");
            assert!(time <= within, "{time} ms\n{}", cluster.simulation.trace.join("\n"));
        }
    }
}

#[test]
fn a_rolling_restart_of_all_machines() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let simulation = &mut cluster.simulation;
        for machine in [0, 1, 2, 0, 1, 2] {
            propose_and_wait(simulation);
            let time = time_to_exit(simulation, machine).expect("the machine is not allowed to exit in time");
            assert!(time <= 2500, "{time} ms\n{}", simulation.trace.join("\n"));
            simulation.kill(machine, false);
            simulation.run_for(300);
            simulation.start(machine);
            assert!(
                simulation.run_until(1500, |simulation| simulation.leader().is_some()),
                "{}",
                simulation.trace.join("\n")
            );
        }
        propose_and_wait(simulation);
    }
}

#[test]
fn a_member_exits_only_once_enough_others_hold_its_data() {
    for seed in 0..SEEDS {
        for shutting_down in [0, 2] {
            let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
            let (wiped, shutting_down) = (cluster.names[1].1, cluster.names[shutting_down].1);
            let remaining = 3 - wiped - shutting_down;
            let simulation = &mut cluster.simulation;
            let command = propose_and_wait(simulation);
            simulation.kill(wiped, true);
            simulation.wipe(wiped);
            simulation.run_for(1500);
            simulation.shut_down(shutting_down);
            simulation.run_for(3000);
            assert!(
                !simulation.can_exit(shutting_down),
                "a machine may exit although only two have the data\n{}",
                simulation.trace.join("\n")
            );
            assert!(simulation.leader().is_some(), "{}", simulation.trace.join("\n"));
            propose_and_wait(simulation);
            simulation.start(wiped);
            assert!(
                simulation.run_until(3000, |simulation| simulation.can_exit(shutting_down)),
                "{}",
                simulation.trace.join("\n")
            );
            // The other machine that held the data is killed right after this one was removed.
            simulation.remove(shutting_down);
            simulation.kill(remaining, true);
            assert!(simulation.is_acknowledged(command));
            simulation.run_for(500);
            simulation.start(remaining);
            assert!(
                simulation.run_until(3000, |simulation| simulation.leader().is_some()),
                "{}",
                simulation.trace.join("\n")
            );
        }
    }
}

#[test]
fn of_two_members_that_shut_down_one_stays_until_the_other_restarts() {
    for seed in 0..SEEDS {
        for (one, other) in [(1, 2), (0, 1)] {
            let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
            let pair = [cluster.names[one].1, cluster.names[other].1];
            let simulation = &mut cluster.simulation;
            propose_and_wait(simulation);
            pair.iter().for_each(|machine| simulation.shut_down(*machine));
            let first_to_exit =
                |simulation: &Simulation| pair.into_iter().find(|machine| simulation.can_exit(*machine));
            assert!(
                simulation.run_until(2000, |simulation| first_to_exit(simulation).is_some()),
                "{}",
                simulation.trace.join("\n")
            );
            let first = first_to_exit(simulation).expect("neither machine is allowed to exit");
            let second = pair[0] + pair[1] - first;
            simulation.run_for(100);
            propose_and_wait(simulation);
            simulation.kill(first, false);
            simulation.run_for(1000);
            assert!(!simulation.can_exit(second), "{}", simulation.trace.join("\n"));
            propose_and_wait(simulation);
            simulation.start(first);
            assert!(
                simulation.run_until(3000, |simulation| simulation.can_exit(second)),
                "{}",
                simulation.trace.join("\n")
            );
            simulation.remove(second);
            propose_and_wait(simulation);
        }
    }
}

#[test]
fn all_machines_can_exit_at_once_if_all_shut_down() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let simulation = &mut cluster.simulation;
        let command = propose_and_wait(simulation);
        (0..3).for_each(|machine| simulation.shut_down(machine));
        let can_exit = |simulation: &Simulation| (0..3).all(|machine| simulation.can_exit(machine));
        assert!(simulation.run_until(400, can_exit), "{}", simulation.trace.join("\n"));
        (0..3).for_each(|machine| simulation.kill(machine, false));
        (0..3).for_each(|machine| simulation.start(machine));
        assert!(
            simulation.run_until(3000, |simulation| simulation.leader().is_some()),
            "{}",
            simulation.trace.join("\n")
        );
        assert!(simulation.is_acknowledged(command));
    }
}

#[test]
fn the_last_running_machine_does_not_exit() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let simulation = &mut cluster.simulation;
        propose_and_wait(simulation);
        simulation.kill(0, true);
        simulation.kill(1, true);
        simulation.shut_down(2);
        simulation.run_for(5000);
        assert!(!simulation.can_exit(2), "{}", simulation.trace.join("\n"));
        simulation.start(0);
        simulation.start(1);
        assert!(
            simulation.run_until(5000, |simulation| simulation.can_exit(2)),
            "{}",
            simulation.trace.join("\n")
        );
    }
}

#[test]
fn a_member_signalled_to_shut_down_at_any_moment_of_adding_a_node_loses_nothing() {
    for delay in (0..1500).step_by(25) {
        for shutting_down in [0, 2] {
            let mut cluster = StableCluster::new(delay, 1, ["P", "B", "C"]);
            cluster.names.push(("S", cluster.simulation.add_spare()));
            let (shutting_down, lost) = (cluster.names[shutting_down].1, cluster.names[1].1);
            let simulation = &mut cluster.simulation;
            propose_and_wait(simulation);
            simulation.run_for(delay);
            simulation.shut_down(shutting_down);
            assert!(
                simulation.run_until(4000, |simulation| simulation.can_exit(shutting_down)),
                "{}",
                simulation.trace.join("\n")
            );
            simulation.remove(shutting_down);
            // The spare has joined, and has had the time to take over.
            simulation.run_for(1500);
            simulation.remove(lost);
            assert!(simulation
                .run_until(4000, |simulation| simulation.leader().is_some_and(|leader| leader != lost)));
            simulation.run_for(1500);
            propose_and_wait(simulation);
        }
    }
}

/// An operator raises `FaultTolerance.Machines` from one to two, one machine at a time. The first of them was
/// down, and is signalled to shut down before it is a member again. Returns whether it may exit while the
/// others are the only two members, which are too few under its own settings.
fn exits_beside_two_members(seed: u64, faults: Faults) -> bool {
    let mut cluster = StableCluster::with(
        SimulationOptions { seed, faults, ..SimulationOptions::default() },
        ["P", "B", "C"],
    );
    let away = cluster.names[2].1;
    let simulation = &mut cluster.simulation;
    simulation.kill(away, false);
    assert!(simulation.run_until(3000, |simulation| simulation.members().len() == 2));
    simulation.options.tolerated_machines = 2;
    simulation.start(away);
    simulation.run_for(100);
    simulation.shut_down(away);
    simulation.run_until(500, |simulation| simulation.can_exit(away) && simulation.members().len() == 2)
}

#[test]
fn a_node_does_not_exit_if_its_own_settings_require_more_members() {
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
fn a_node_that_keeps_running_after_the_shutdown_signal_is_not_added_again() {
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
fn a_backup_of_five_can_exit_at_once() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 2, ["P", "B", "C", "D", "E"]);
        let machine = cluster.names[4].1;
        let time = time_to_exit(&mut cluster.simulation, machine)
            .expect("the machine is not allowed to exit in time");
        assert!(time <= 600, "{time} ms\n{}", cluster.simulation.trace.join("\n"));
    }
}
