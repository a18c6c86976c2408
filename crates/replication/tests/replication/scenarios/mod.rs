//! Scenarios with specific faults, most of them written as timelines. Each runs with several seeds.

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

/// The number of seeds with which each scenario runs.
pub const SEEDS: u64 = 12;

/// A cluster in which all machines are members and witnesses.
pub struct StableCluster<const N: usize> {
    pub world: World,
    /// The names of the machines in timelines, and their numbers. The first one is the primary.
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
        // Each seed starts at a different point between two heartbeats.
        world.run_for(500 + seed * 37 % 150);
        let leader = world.leader().expect("no primary");
        let mut machines: Vec<usize> = (0..N).collect();
        machines.sort_by_key(|machine| *machine != leader);
        let names = names.into_iter().zip(machines).collect();
        StableCluster { world, names }
    }

    pub fn play(&mut self, text: &str) {
        play(&mut self.world, &self.names, text);
    }
}

/// Runs a timeline on three machines, of which one may be lost.
pub fn three(text: &str) {
    for seed in 0..SEEDS {
        StableCluster::new(seed, 1, ["P", "B", "C"]).play(text);
    }
}

/// Runs a timeline on five machines, of which two may be lost.
pub fn five(text: &str) {
    for seed in 0..SEEDS {
        StableCluster::new(seed, 2, ["P", "B", "C", "D", "E"]).play(text);
    }
}

/// Runs a timeline on three machines, and a spare `S` with a new address and an empty disk that has just
/// started.
pub fn three_and_a_spare(text: &str) {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        cluster.names.push(("S", cluster.world.add_spare()));
        cluster.play(text);
    }
}
