//! Failures that `FaultTolerance` does not cover: a partition into halves, the loss of more processes than
//! tolerated while their disks remain, and a power loss of all machines together with the tolerated number of
//! lost disks. Commands may stop being acknowledged, but no acknowledged command may be lost or be missing
//! from a read. The checker runs after every event.

use crate::harness::{Simulation, SimulationOptions};
use crate::recovery::check_acknowledgement;

const RUNS: u64 = 1000;
const STEP_MS: u64 = 100;

/// Starts three machines of which one may be lost, or, with an odd seed, five of which two may be lost.
fn start(seed: u64) -> Simulation {
    let tolerated_machines = 1 + (seed % 2) as usize;
    let count = 2 * tolerated_machines + 1;
    let mut simulation = Simulation::first_start(
        SimulationOptions { seed, tolerated_machines, ..SimulationOptions::default() },
        count,
        3,
    );
    let is_complete = |simulation: &Simulation| {
        simulation.members().len() == count && simulation.witnesses().len() == count
    };
    assert!(simulation.run_until(8000, is_complete), "{}", simulation.trace.join("\n"));
    simulation
}

/// Sends a read to every running machine, and a command to the leader.
fn read_and_propose(simulation: &mut Simulation) {
    for machine in simulation.present() {
        if simulation.is_running(machine) {
            simulation.read(machine);
        }
    }
    if let Some(leader) = simulation.leader() {
        simulation.propose(leader);
    }
    simulation.run_for(STEP_MS);
}

fn shuffled_machines(simulation: &mut Simulation) -> Vec<usize> {
    let mut machines = simulation.present();
    simulation.random.shuffle(&mut machines);
    machines
}

#[test]
fn a_partition_into_halves_causes_no_stale_reads() {
    let mut reads = 0;
    for seed in 0..RUNS {
        let mut simulation = start(seed);
        read_and_propose(&mut simulation);
        let machines = shuffled_machines(&mut simulation);
        let (one, other) = machines.split_at(machines.len() / 2);
        for machine in one {
            other.iter().for_each(|there| simulation.partition_pair(*machine, *there));
        }
        for _ in 0..simulation.random.u64(10..60) {
            read_and_propose(&mut simulation);
        }
        reads += simulation.reads;
        check_acknowledgement(&mut simulation);
    }
    assert!(reads > 10 * RUNS, "only {reads} reads were served");
}

#[test]
fn killing_more_processes_than_tolerated_loses_no_commands() {
    for seed in 0..RUNS {
        let mut simulation = start(seed);
        for _ in 0..6 {
            read_and_propose(&mut simulation);
            let machines = shuffled_machines(&mut simulation);
            let lost = simulation.random.usize(1..=machines.len());
            for machine in &machines[..lost] {
                let loses_power = simulation.random.bool();
                simulation.kill(*machine, loses_power);
                let pause = simulation.random.u64(0..40);
                simulation.run_for(pause);
            }
            let pause = simulation.random.u64(0..1500);
            simulation.run_for(pause);
            for machine in machines {
                if !simulation.is_running(machine) && simulation.random.u32(0..3) > 0 {
                    simulation.start(machine);
                }
            }
        }
        check_acknowledgement(&mut simulation);
    }
}

#[test]
fn a_power_loss_of_all_with_lost_disks_loses_no_commands() {
    for seed in 0..RUNS {
        let mut simulation = start(seed);
        for _ in 0..5 {
            read_and_propose(&mut simulation);
        }
        let acknowledged_before = simulation.checker.acknowledged.len();
        let machines = shuffled_machines(&mut simulation);
        let tolerated_machines = simulation.options.tolerated_machines;
        for machine in &machines {
            simulation.kill(*machine, true);
        }
        for machine in &machines[..tolerated_machines] {
            simulation.wipe(*machine);
        }
        for machine in machines {
            let pause = simulation.random.u64(0..100);
            simulation.run_for(pause);
            simulation.start(machine);
        }
        check_acknowledgement(&mut simulation);
        let leader = simulation.leader().expect("no primary");
        let acknowledged_after = simulation.checker.acknowledged.len();
        assert!(
            acknowledged_before > 0 && acknowledged_after > acknowledged_before,
            "seed {seed}: {acknowledged_before} commands acknowledged before the losses, {acknowledged_after} after them"
        );
        simulation.read(leader);
        simulation.run_for(STEP_MS);
    }
}
