//! Processes with a CPU quota of a tenth of a core: in each period of 100 ms they run for 10 ms and are then
//! throttled.

use crate::harness::quota::Quota;
use crate::harness::{Simulation, SimulationOptions};

const RUNS: u64 = 1000;
const RUNTIME_MS: u64 = 10;
const COMMANDS: u64 = 8;
const PAUSE_MS: u64 = 700;
/// The maximum time until a command is acknowledged. It takes several steps of several processes, each of
/// which may have to wait for its next quota period.
const ACKNOWLEDGE_MS: u64 = 1000;

fn set_quota(simulation: &mut Simulation, machine: usize) {
    let offset_ms = simulation.random.u64(0..100);
    simulation.machines[machine].quota = Some(Quota { runtime_ms: RUNTIME_MS, offset_ms });
}

/// Limits all three machines once they are members and witnesses, and sends commands. Returns how many of the
/// commands were sent while the first primary did not lead.
fn elections_under_quota(seed: u64) -> usize {
    let mut simulation =
        Simulation::first_start(SimulationOptions { seed, ..SimulationOptions::default() }, 3, 3);
    assert!(simulation
        .run_until(6000, |simulation| simulation.members().len() == 3 && simulation.witnesses().len() == 3));
    (0..3).for_each(|machine| set_quota(&mut simulation, machine));
    let leader = simulation.leader().expect("no primary");
    let mut elections = 0;
    for _ in 0..COMMANDS {
        simulation.run_for(PAUSE_MS);
        elections += usize::from(simulation.leader() != Some(leader));
        assert_eq!(simulation.members().len(), 3, "a member was dropped\n{}", simulation.trace.join("\n"));
        let command = simulation.propose(leader);
        let acknowledged =
            simulation.run_until(ACKNOWLEDGE_MS, |simulation| simulation.is_acknowledged(command));
        assert!(acknowledged, "seed {seed}\n{}", simulation.trace.join("\n"));
    }
    elections
}

#[test]
fn a_quota_causes_no_election_and_drops_no_member() {
    let elections: usize = (0..RUNS).map(elections_under_quota).sum();
    assert_eq!(elections, 0);
}

#[test]
fn a_killed_primary_is_replaced_under_a_quota() {
    for seed in 0..100 {
        let mut simulation =
            Simulation::first_start(SimulationOptions { seed, ..SimulationOptions::default() }, 3, 3);
        assert!(simulation.run_until(6000, |simulation| simulation.members().len() == 3
            && simulation.witnesses().len() == 3));
        (0..3).for_each(|machine| set_quota(&mut simulation, machine));
        let leader = simulation.leader().expect("no primary");
        simulation.run_for(300);
        simulation.kill(leader, true);
        let another_leads =
            |simulation: &Simulation| simulation.leader().is_some_and(|other| other != leader);
        assert!(simulation.run_until(4000, another_leads), "seed {seed}\n{}", simulation.trace.join("\n"));
    }
}
