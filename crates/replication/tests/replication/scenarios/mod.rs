//! Faults one by one, as timelines. Each is played with several seeds.

mod clock_jumps;
mod failure_domains;
mod graceful_shutdown;
mod loss_orders;
mod lost_machines;
pub mod operators;
mod overlapping_losses;
mod partition_times;
mod partitions_and_disks;
mod quota;
mod restarts;
mod second_failure;
mod slow_links;
mod state_transfer;

use crate::harness::timeline::play;
use crate::harness::{World, WorldOptions};

pub const SEEDS: u64 = 12;

/// Machines that have started, all of them members and witnesses, named with the primary first.
pub struct StableCluster<const N: usize> {
    pub world: World,
    pub names: Vec<(&'static str, usize)>,
}

impl<const N: usize> StableCluster<N> {
    pub fn new(seed: u64, tolerated: usize, names: [&'static str; N]) -> Self {
        Self::with(WorldOptions { seed, tolerated, ..WorldOptions::default() }, names)
    }

    pub fn with(options: WorldOptions, names: [&'static str; N]) -> Self {
        let seed = options.seed;
        let mut world = World::first_start(options, N, 3);
        let is_complete = |world: &World| world.members().len() == N && world.witnesses().len() == N;
        assert!(world.run_until(6000, is_complete), "{}", world.trace.join("\n"));
        // In the midst of heartbeats at a different point with every seed.
        world.run_for(500 + seed * 37 % 150);
        let leader = world.leader().expect("a primary");
        let mut machines: Vec<usize> = (0..N).collect();
        machines.sort_by_key(|machine| *machine != leader);
        let names = names.into_iter().zip(machines).collect();
        StableCluster { world, names }
    }

    pub fn play(&mut self, text: &str) {
        play(&mut self.world, &self.names, text);
    }
}

/// Plays a timeline on three machines, of which one may be lost.
pub fn three(text: &str) {
    for seed in 0..SEEDS {
        StableCluster::new(seed, 1, ["P", "B", "C"]).play(text);
    }
}

/// Plays a timeline on five machines, of which two may be lost.
pub fn five(text: &str) {
    for seed in 0..SEEDS {
        StableCluster::new(seed, 2, ["P", "B", "C", "D", "E"]).play(text);
    }
}

/// Plays a timeline on three machines, with a spare `S` at a new address that does not run yet.
pub fn three_and_a_spare(text: &str) {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        cluster.names.push(("S", cluster.world.add_spare()));
        cluster.play(text);
    }
}
