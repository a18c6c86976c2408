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

use crate::harness::timeline::run_timeline;
use crate::harness::{Simulation, SimulationOptions};

/// The number of seeds with which each scenario runs.
pub const SEEDS: u64 = 12;

/// A cluster in which all machines are members and witnesses.
pub struct StableCluster<const N: usize> {
    pub simulation: Simulation,
    /// The names of the machines in timelines, and their numbers. The first one is the primary.
    pub names: Vec<(&'static str, usize)>,
}

impl<const N: usize> StableCluster<N> {
    pub fn new(seed: u64, tolerated_machines: usize, names: [&'static str; N]) -> Self {
        Self::with(SimulationOptions { seed, tolerated_machines, ..SimulationOptions::default() }, names)
    }

    pub fn with(options: SimulationOptions, names: [&'static str; N]) -> Self {
        let seed = options.seed;
        let mut simulation = Simulation::first_start(options, N, 3);
        let is_complete =
            |simulation: &Simulation| simulation.members().len() == N && simulation.witnesses().len() == N;
        assert!(simulation.run_until(6000, is_complete), "{}", simulation.trace.join("\n"));
        // Each seed starts at a different point between two heartbeats.
        simulation.run_for(500 + seed * 37 % 150);
        let leader = simulation.leader().expect("no primary");
        let mut machines: Vec<usize> = (0..N).collect();
        machines.sort_by_key(|machine| *machine != leader);
        let names = names.into_iter().zip(machines).collect();
        StableCluster { simulation, names }
    }

    pub fn run_timeline(&mut self, text: &str) {
        run_timeline(&mut self.simulation, &self.names, text);
    }
}

/// Runs a timeline on three machines, of which one may be lost.
pub fn three(text: &str) {
    for seed in 0..SEEDS {
        StableCluster::new(seed, 1, ["P", "B", "C"]).run_timeline(text);
    }
}

/// Runs a timeline on five machines, of which two may be lost.
pub fn five(text: &str) {
    for seed in 0..SEEDS {
        StableCluster::new(seed, 2, ["P", "B", "C", "D", "E"]).run_timeline(text);
    }
}

/// Runs a timeline on three machines, and a spare `S` with a new address and an empty disk that has just
/// started.
pub fn three_and_a_spare(text: &str) {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        cluster.names.push(("S", cluster.simulation.add_spare()));
        cluster.run_timeline(text);
    }
}
