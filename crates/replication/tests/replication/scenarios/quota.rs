//! Processes with a CPU quota of a tenth of a core: in each period of 100 ms they run for 10 ms and are then
//! throttled.

use crate::harness::quota::Quota;
use crate::harness::{World, WorldOptions};

const RUNS: u64 = 1000;
const WORKING_MS: u64 = 10;
const COMMANDS: u64 = 8;
const PAUSE_MS: u64 = 700;
/// The maximum time until a command is acknowledged. It takes several steps of several processes, each of
/// which may have to wait for its next quota period.
const ANSWER_MS: u64 = 1000;

fn limit(world: &mut World, machine: usize) {
    let offset_ms = world.random.u64(0..100);
    world.machines[machine].quota = Some(Quota { working_ms: WORKING_MS, offset_ms });
}

/// Limits all three machines once they are members and witnesses, and sends commands. Returns how many of the
/// commands were sent while the first primary did not lead.
fn elections_under_quota(seed: u64) -> usize {
    let mut world = World::first_start(WorldOptions { seed, ..WorldOptions::default() }, 3, 3);
    assert!(world.run_until(6000, |world| world.members().len() == 3 && world.witnesses().len() == 3));
    (0..3).for_each(|machine| limit(&mut world, machine));
    let leader = world.leader().expect("no primary");
    let mut elections = 0;
    for _ in 0..COMMANDS {
        world.run_for(PAUSE_MS);
        elections += usize::from(world.leader() != Some(leader));
        assert_eq!(world.members().len(), 3, "a member was dropped\n{}", world.trace.join("\n"));
        let command = world.propose(leader);
        let acknowledged = world.run_until(ANSWER_MS, |world| world.is_acknowledged(command));
        assert!(acknowledged, "seed {seed}\n{}", world.trace.join("\n"));
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
        let mut world = World::first_start(WorldOptions { seed, ..WorldOptions::default() }, 3, 3);
        assert!(world.run_until(6000, |world| world.members().len() == 3 && world.witnesses().len() == 3));
        (0..3).for_each(|machine| limit(&mut world, machine));
        let leader = world.leader().expect("no primary");
        world.run_for(300);
        world.kill(leader, true);
        let elsewhere = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(4000, elsewhere), "seed {seed}\n{}", world.trace.join("\n"));
    }
}
