//! Failures that `FaultTolerance` does not cover: a partition into halves, the loss of more processes than
//! tolerated while their disks remain, and a power loss of all machines together with the tolerated number of
//! lost disks. Commands may stop being acknowledged, but no acknowledged command may be lost or be missing
//! from a read. The checker runs after every event.

use crate::harness::{World, WorldOptions};
use crate::recovery::check_acknowledgement;

const RUNS: u64 = 1000;
const STEP_MS: u64 = 100;

/// Starts three machines of which one may be lost, or, with an odd seed, five of which two may be lost.
fn start(seed: u64) -> World {
    let tolerated = 1 + (seed % 2) as usize;
    let count = 2 * tolerated + 1;
    let mut world = World::first_start(WorldOptions { seed, tolerated, ..WorldOptions::default() }, count, 3);
    let is_complete = |world: &World| world.members().len() == count && world.witnesses().len() == count;
    assert!(world.run_until(8000, is_complete), "{}", world.trace.join("\n"));
    world
}

/// Sends a read to every running machine, and a command to the leader.
fn use_all(world: &mut World) {
    for machine in world.present() {
        if world.is_running(machine) {
            world.read(machine);
        }
    }
    if let Some(leader) = world.leader() {
        world.propose(leader);
    }
    world.run_for(STEP_MS);
}

fn shuffled(world: &mut World) -> Vec<usize> {
    let mut machines = world.present();
    world.random.shuffle(&mut machines);
    machines
}

#[test]
fn a_cut_into_halves_shows_no_older_state_on_either_side() {
    let mut reads = 0;
    for seed in 0..RUNS {
        let mut world = start(seed);
        use_all(&mut world);
        let machines = shuffled(&mut world);
        let (one, other) = machines.split_at(machines.len() / 2);
        for machine in one {
            other.iter().for_each(|there| world.partition_pair(*machine, *there));
        }
        for _ in 0..world.random.u64(10..60) {
            use_all(&mut world);
        }
        reads += world.reads;
        check_acknowledgement(&mut world);
    }
    assert!(reads > 10 * RUNS, "only {reads} reads were served");
}

#[test]
fn processes_that_are_lost_beyond_the_tolerance_lose_nothing() {
    for seed in 0..RUNS {
        let mut world = start(seed);
        for _ in 0..6 {
            use_all(&mut world);
            let machines = shuffled(&mut world);
            let lost = world.random.usize(1..=machines.len());
            for machine in &machines[..lost] {
                let power = world.random.bool();
                world.kill(*machine, power);
                let pause = world.random.u64(0..40);
                world.run_for(pause);
            }
            let pause = world.random.u64(0..1500);
            world.run_for(pause);
            for machine in machines {
                if !world.is_running(machine) && world.random.u32(0..3) > 0 {
                    world.start(machine);
                }
            }
        }
        check_acknowledgement(&mut world);
    }
}

#[test]
fn power_lost_by_all_as_disks_are_lost_loses_nothing() {
    for seed in 0..RUNS {
        let mut world = start(seed);
        for _ in 0..5 {
            use_all(&mut world);
        }
        let acknowledged = world.checker.acknowledged.len();
        let machines = shuffled(&mut world);
        let tolerated = world.options.tolerated;
        for machine in &machines {
            world.kill(*machine, true);
        }
        for machine in &machines[..tolerated] {
            world.wipe(*machine);
        }
        for machine in machines {
            let pause = world.random.u64(0..100);
            world.run_for(pause);
            world.start(machine);
        }
        check_acknowledgement(&mut world);
        let leader = world.leader().expect("no primary");
        let now = world.checker.acknowledged.len();
        assert!(acknowledged > 0 && now > acknowledged, "seed {seed}: {acknowledged}, {now}");
        world.read(leader);
        world.run_for(STEP_MS);
    }
}
