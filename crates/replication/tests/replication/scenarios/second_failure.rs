//! A second failure right after a repair or a replacement, or at any moment during one.

use quillpulley_replication::Faults;
use std::panic::{catch_unwind, AssertUnwindSafe};

use super::{three_and_a_spare, StableCluster, SEEDS};
use crate::harness::{Simulation, SimulationOptions};

/// Signals a machine to shut down, and removes it as soon as it may exit.
fn shut_down_and_remove(simulation: &mut Simulation, machine: usize) {
    simulation.shut_down(machine);
    let can_exit = simulation.run_until(3000, |simulation| simulation.can_exit(machine));
    assert!(
        can_exit,
        "{} is not allowed to exit\n{}",
        simulation.machines[machine].name,
        simulation.trace.join("\n")
    );
    simulation.remove(machine);
}

/// Checks that a machine leads within 4 s, and that a command is acknowledged soon.
fn assert_serves_again(simulation: &mut Simulation) {
    let is_led = simulation.run_until(4000, |simulation| simulation.leader().is_some());
    assert!(is_led, "no machine leads\n{}", simulation.trace.join("\n"));
    // The machine that led when the disk was lost may not have detected the loss yet.
    let is_accepted = (0..4).any(|_| {
        let Some(leader) = simulation.leader() else {
            simulation.run_for(1000);
            return false;
        };
        let command = simulation.propose(leader);
        simulation.run_until(1500, |simulation| simulation.is_acknowledged(command))
    });
    assert!(is_accepted, "no command is acknowledged\n{}", simulation.trace.join("\n"));
}

/// Returns a cluster of three machines and a fourth one that has joined as a member and a witness.
fn cluster_of_four(seed: u64) -> StableCluster<3> {
    let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
    cluster.names.push(("S", cluster.simulation.add_spare()));
    let has_joined =
        |simulation: &Simulation| simulation.members().len() == 4 && simulation.witnesses().len() == 4;
    assert!(cluster.simulation.run_until(4000, has_joined), "{}", cluster.simulation.trace.join("\n"));
    cluster.simulation.run_for(300 + seed * 37 % 150);
    cluster
}

#[test]
fn a_machine_may_be_lost_right_after_a_planned_replacement() {
    for seed in 0..SEEDS {
        for retired in 0..3 {
            for lost in (0..4).filter(|lost| *lost != retired) {
                let mut cluster = cluster_of_four(seed);
                let (retired, lost) = (cluster.names[retired].1, cluster.names[lost].1);
                let simulation = &mut cluster.simulation;
                let leader = simulation.leader().expect("no primary");
                let command = simulation.propose(leader);
                assert!(simulation.run_until(500, |simulation| simulation.is_acknowledged(command)));
                shut_down_and_remove(simulation, retired);
                simulation.remove(lost);
                assert_serves_again(simulation);
            }
        }
    }
}

#[test]
fn a_lost_witness_is_replaced_by_a_spare_within_two_seconds() {
    three_and_a_spare(
        "time | P | B          | C          | S              | *
            0 |   |            | power-loss |                |
         1800 |   |            |            | member witness | propose=1
         1900 |   | power-loss |            |                | acked=1
         5000 |   |            |            |                | propose=2
         5500 |   |            |            |                | acked=2",
    );
}

#[test]
fn an_unresponsive_witness_of_four_is_dropped_before_the_next_loss() {
    for seed in 0..SEEDS {
        cluster_of_four(seed).run_timeline(
            "time | P | B          | C          | S | *
                0 |   |            | power-loss |   |
             1500 |   |            | no-witness |   | propose=1
             1700 |   | power-loss |            |   | acked=1
             5500 |   |            |            |   | propose=2
             6000 |   |            |            |   | acked=2",
        );
    }
}

/// Adds a node to three machines, injects a fault after each of many delays, and checks that the cluster
/// serves again and that all machines become members. `inject` receives the simulation, a backup and the
/// node that joins.
fn inject_while_a_node_joins(inject: impl Fn(&mut Simulation, usize, usize)) {
    for delay in (0..1500).step_by(25) {
        let mut cluster = StableCluster::new(delay, 1, ["P", "B", "C"]);
        cluster.names.push(("S", cluster.simulation.add_spare()));
        let (backup, spare) = (cluster.names[1].1, cluster.names[3].1);
        let simulation = &mut cluster.simulation;
        let leader = simulation.leader().expect("no primary");
        let command = simulation.propose(leader);
        simulation.run_for(delay);
        inject(simulation, backup, spare);
        simulation.run_for(1500);
        assert_serves_again(simulation);
        assert!(simulation.is_acknowledged(command) || delay < 100, "{}", simulation.trace.join("\n"));
        simulation.end_all_faults();
        let is_complete = |simulation: &Simulation| simulation.members().len() == simulation.present().len();
        assert!(simulation.run_until(6000, is_complete), "{}", simulation.trace.join("\n"));
        assert_serves_again(simulation);
    }
}

#[test]
fn a_backup_loses_its_disk_at_any_moment_of_adding_a_node() {
    inject_while_a_node_joins(|simulation, backup, _| {
        simulation.kill(backup, true);
        simulation.wipe(backup);
    });
}

#[test]
fn a_backup_is_removed_at_any_moment_of_adding_a_node() {
    inject_while_a_node_joins(|simulation, backup, _| simulation.remove(backup));
}

#[test]
fn the_joining_node_loses_its_disk_at_any_moment() {
    inject_while_a_node_joins(|simulation, _, spare| {
        simulation.kill(spare, true);
        simulation.wipe(spare);
    });
}

#[test]
fn the_primary_loses_its_disk_at_any_moment_of_adding_a_node() {
    inject_while_a_node_joins(|simulation, _, _| {
        let Some(leader) = simulation.leader() else { return };
        simulation.kill(leader, true);
        simulation.wipe(leader);
    });
}

#[test]
fn another_loss_at_any_moment_after_a_member_is_signalled_to_shut_down() {
    for delay in (0..900).step_by(15) {
        for lost in [0, 1, 3] {
            let mut cluster = cluster_of_four(delay);
            let (shutting_down, lost) = (cluster.names[2].1, cluster.names[lost].1);
            let simulation = &mut cluster.simulation;
            simulation.shut_down(shutting_down);
            let end = simulation.now + delay;
            if simulation.run_until(delay, |simulation| simulation.can_exit(shutting_down)) {
                simulation.remove(shutting_down);
                simulation.run_for(end.saturating_sub(simulation.now));
            }
            simulation.remove(lost);
            if simulation.is_running(shutting_down) {
                let can_exit = simulation.run_until(7000, |simulation| simulation.can_exit(shutting_down));
                assert!(can_exit, "{}", simulation.trace.join("\n"));
                simulation.remove(shutting_down);
            }
            assert_serves_again(simulation);
        }
    }
}

/// Returns a simulation with injected faults in which all three machines are members.
fn started_simulation(faults: Faults, seed: u64) -> Simulation {
    let mut simulation =
        Simulation::first_start(SimulationOptions { seed, faults, ..SimulationOptions::default() }, 3, 3);
    let is_complete = |simulation: &Simulation| simulation.members().len() == 3;
    assert!(simulation.run_until(6000, is_complete), "{}", simulation.trace.join("\n"));
    simulation.run_for(500);
    simulation
}

/// A backup restarts with an empty disk, and `delay` ms later the primary is signalled to shut down.
fn hand_over_while_a_wiped_node_returns(faults: Faults, delay: u64) {
    let mut simulation = started_simulation(faults, delay);
    let leader = simulation.leader().expect("no primary");
    let backup = (leader + 1) % 3;
    for _ in 0..3 {
        simulation.propose(leader);
        simulation.run_for(150);
    }
    simulation.kill(backup, true);
    simulation.wipe(backup);
    simulation.run_for(1500);
    simulation.start(backup);
    simulation.run_for(delay);
    simulation.shut_down(leader);
    simulation.run_for(2000);
    assert_serves_again(&mut simulation);
}

/// A lost witness is replaced. During the replacement the other backup is partitioned from the primary and
/// the new node, together with the lost witness, which restarts. These two are a majority of the old
/// witnesses.
fn partition_during_a_replacement(faults: Faults, delay: u64) {
    let mut simulation = started_simulation(faults, delay);
    let leader = simulation.leader().expect("no primary");
    let (backup, lost) = ((leader + 1) % 3, (leader + 2) % 3);
    simulation.kill(lost, true);
    simulation.run_for(900);
    let spare = simulation.add_spare();
    simulation.run_for(300 + delay);
    for other in [leader, spare] {
        for (from, to) in [(backup, other), (other, backup), (lost, other), (other, lost)] {
            simulation.network.partition(from, to);
        }
    }
    simulation.detect_partitions();
    simulation.start(lost);
    for _ in 0..30 {
        for machine in [leader, backup] {
            if simulation.is_running(machine) {
                simulation.propose(machine);
            }
        }
        simulation.run_for(100);
    }
    simulation.end_all_faults();
    simulation.run_for(4000);
    assert_serves_again(&mut simulation);
}

/// Returns whether a safety invariant, and not only liveness, is violated with some delay.
fn is_detected(faults: Faults, scenario: fn(Faults, u64)) -> bool {
    (0..1000).step_by(10).any(|delay| {
        let result = catch_unwind(AssertUnwindSafe(|| scenario(faults, delay)));
        let message = result.err().and_then(|panic| panic.downcast_ref::<String>().cloned());
        message.is_some_and(|text| ["lost", "two ", "gap", "differ"].iter().any(|word| text.contains(word)))
    })
}

#[test]
fn a_wiped_node_that_rejoins_during_a_handover_is_no_member_before_it_holds_the_log() {
    for delay in (0..1000).step_by(10) {
        hand_over_while_a_wiped_node_returns(Faults::default(), delay);
    }
}

#[test]
fn the_old_witnesses_cannot_decide_alone_during_a_replacement() {
    for delay in (0..1000).step_by(10) {
        partition_during_a_replacement(Faults::default(), delay);
    }
}

#[test]
fn a_witness_change_without_the_old_majority_is_detected() {
    let faults = Faults { change_witnesses_in_one_step: true, ..Faults::default() };
    assert!(is_detected(faults, partition_during_a_replacement));
}

#[test]
fn a_learner_that_becomes_a_member_without_the_log_is_detected() {
    let faults = Faults { count_learner_early: true, ..Faults::default() };
    assert!(is_detected(faults, hand_over_while_a_wiped_node_returns));
}
