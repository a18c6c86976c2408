//! Reads as the host serves them: one thread prepares the response under the lease, and another thread writes
//! it later. Between the two, machines are partitioned, frozen, killed and shut down at random.
//!
//! A response has to contain all commands that any *other* process had acknowledged when the response was
//! written. The redirects of clients must not form a loop.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::harness::{NetworkOptions, Simulation, SimulationOptions};

const SCHEDULES: u64 = 150;
const STEPS: usize = 60;
/// The maximum time from the preparation of a response until it is written, while the process runs.
const LONGEST_WAIT_MS: u64 = 30;

/// The start of the message if a response lacks an acknowledged command.
const PAST: &str = "a stale read response";

/// The operation of a step.
#[derive(Clone, Copy)]
enum Operation {
    Propose,
    Read,
    /// The leader receives a read, and freezes before it has written the response.
    ReadAndFreeze,
    Freeze,
    Resume,
    Isolate,
    IsolateInbound,
    IsolateOutbound,
    PartitionPair,
    HealPartitions,
    Kill,
    Start,
    ShutDown,
}

const OPERATIONS: [Operation; 24] = [
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::Propose,
    Operation::Read,
    Operation::Read,
    Operation::Read,
    Operation::Read,
    Operation::ReadAndFreeze,
    Operation::ReadAndFreeze,
    Operation::Freeze,
    Operation::Resume,
    Operation::Resume,
    Operation::Resume,
    Operation::Isolate,
    Operation::IsolateInbound,
    Operation::IsolateOutbound,
    Operation::PartitionPair,
    Operation::HealPartitions,
    Operation::HealPartitions,
    Operation::Kill,
    Operation::Start,
    Operation::ShutDown,
];

/// A prepared response that is not written yet.
struct Waiting {
    machine: usize,
    incarnation: u64,
    due: u64,
    /// The end of the lease by the machine's own clock.
    valid_until: Duration,
    /// The accepted commands in the state that the response reports.
    accepted: Vec<u64>,
}

/// The counters of a run.
#[derive(Default, Debug, Clone, Copy)]
struct Counts {
    decided: usize,
    written: usize,
    too_late: usize,
    /// The number of checks of the redirects from a machine.
    looks: usize,
    /// The maximum number of machines that a client visits.
    longest_way: usize,
}

struct Callers {
    simulation: Simulation,
    random: fastrand::Rng,
    /// Whether a response is written only if the lease has not ended by then.
    checks_clock: bool,
    waiting: Vec<Waiting>,
    proposers: BTreeMap<u64, usize>,
    counts: Counts,
}

impl Callers {
    fn new(seed: u64, count: usize, checks_clock: bool) -> Self {
        let lossy =
            NetworkOptions { min_delay: 1, max_delay: 60, lost: 20, duplicated: 30, delayed: 20, late: 0 };
        let network = if seed.is_multiple_of(2) { NetworkOptions::default() } else { lossy };
        let options =
            SimulationOptions { seed, tolerated: count / 2, network, ..SimulationOptions::default() };
        let mut simulation = Simulation::first_start(options, count, 3);
        simulation.run_for(3000);
        Callers {
            simulation,
            random: fastrand::Rng::with_seed(seed),
            checks_clock,
            waiting: Vec::new(),
            proposers: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    fn play(mut self) -> Counts {
        for _ in 0..STEPS {
            let longest = [20, 150, 400, 1000, 2500][self.random.usize(0..5)];
            let pause = self.random.u64(0..longest);
            self.run_for(pause);
            let operation = OPERATIONS[self.random.usize(0..OPERATIONS.len())];
            let machine = self.random.usize(0..self.simulation.machines.len());
            self.act(operation, machine);
        }
        self.counts
    }

    /// Runs for some milliseconds, and checks redirects and writes due responses every few milliseconds.
    fn run_for(&mut self, time: u64) {
        let end = self.simulation.now + time;
        while self.simulation.now < end {
            let step = self.random.u64(1..20).min(end - self.simulation.now);
            self.simulation.run_for(step);
            self.check_redirects();
            self.write_due();
        }
    }

    fn act(&mut self, operation: Operation, machine: usize) {
        let simulation = &mut self.simulation;
        let runs = simulation.is_running(machine);
        match operation {
            Operation::Propose => {
                if let Some(leader) = simulation.leader() {
                    let command = simulation.propose(leader);
                    self.proposers.insert(command, leader);
                }
            }
            Operation::Read => (0..simulation.machines.len()).for_each(|machine| self.decide(machine)),
            Operation::ReadAndFreeze => {
                let machine = simulation.leader().unwrap_or(machine);
                self.decide(machine);
                if self.simulation.is_running(machine) {
                    self.simulation.freeze(machine);
                }
            }
            Operation::Freeze if runs => simulation.freeze(machine),
            Operation::Resume => (0..simulation.machines.len()).for_each(|machine| self.resume(machine)),
            Operation::Isolate => self.isolate(machine, true, true),
            Operation::IsolateInbound => self.isolate(machine, true, false),
            Operation::IsolateOutbound => self.isolate(machine, false, true),
            Operation::PartitionPair => {
                simulation.partition_pair(machine, (machine + 1) % simulation.machines.len())
            }
            Operation::HealPartitions => simulation.network.heal_all(),
            Operation::Kill => simulation.kill(machine, false),
            Operation::Start => {
                for machine in 0..simulation.machines.len() {
                    if !simulation.is_running(machine) {
                        simulation.start(machine);
                    }
                }
            }
            Operation::ShutDown if runs => {
                simulation.shut_down(machine);
                simulation.run_for(300);
                simulation.kill(machine, false);
            }
            _ => {}
        }
    }

    fn isolate(&mut self, machine: usize, hears_nothing: bool, is_not_heard: bool) {
        for other in (0..self.simulation.machines.len()).filter(|other| *other != machine) {
            if hears_nothing {
                self.simulation.network.partition(other, machine);
            }
            if is_not_heard {
                self.simulation.network.partition(machine, other);
            }
        }
        self.simulation.detect_partitions();
    }

    /// Prepares the response to a read on a machine, if that holds its lease.
    fn decide(&mut self, machine: usize) {
        if self.simulation.machines[machine].frozen {
            return;
        }
        let now = self.simulation.clock(machine);
        let slot = &self.simulation.machines[machine];
        let Some(replica) = &slot.replica else { return };
        let Some(valid_until) = replica.lease_until(now) else { return };
        let history = replica.state();
        let accepted = history.entries.iter().filter(|applied| applied.accepted_on.is_some());
        let waiting = Waiting {
            machine,
            incarnation: self.simulation.process(machine),
            due: self.simulation.now + self.random.u64(0..LONGEST_WAIT_MS),
            valid_until,
            accepted: accepted.map(|applied| applied.command).collect(),
        };
        self.counts.decided += 1;
        self.waiting.push(waiting);
    }

    /// Resumes a process. Its threads that write responses may run before its main thread.
    fn resume(&mut self, machine: usize) {
        if self.simulation.is_running(machine) && self.simulation.machines[machine].frozen {
            self.simulation.machines[machine].frozen = false;
            self.write_due();
            self.simulation.resume(machine);
        }
    }

    fn write_due(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for answer in waiting {
            let runs = self.simulation.is_running(answer.machine);
            if !runs || self.simulation.process(answer.machine) != answer.incarnation {
                continue;
            }
            if self.simulation.machines[answer.machine].frozen || answer.due > self.simulation.now {
                self.waiting.push(answer);
            } else {
                self.write(&answer);
            }
        }
    }

    fn write(&mut self, answer: &Waiting) {
        if self.checks_clock && self.simulation.clock(answer.machine) >= answer.valid_until {
            self.counts.too_late += 1;
            return;
        }
        self.counts.written += 1;
        for command in &self.simulation.checker.acknowledged {
            let own = self.proposers.get(command) == Some(&answer.machine);
            assert!(
                own || answer.accepted.contains(command),
                "{PAST} lacks command {command}\n{}",
                self.simulation.trace.join("\n")
            );
        }
    }

    fn check_redirects(&mut self) {
        for machine in 0..self.simulation.machines.len() {
            let way = self.simulation.redirects(machine);
            let last = way[way.len() - 1];
            assert!(!way[..way.len() - 1].contains(&last), "the redirects form a loop: {way:?}");
            self.counts.looks += 1;
            self.counts.longest_way = self.counts.longest_way.max(way.len());
        }
    }
}

fn play(seed: u64, count: usize, checks_clock: bool) -> Counts {
    Callers::new(seed, count, checks_clock).play()
}

fn play_all(count: usize) -> Counts {
    let runs = (0..SCHEDULES).map(|seed| play(seed, count, true));
    let sum = runs.fold(Counts::default(), |sum, run| Counts {
        decided: sum.decided + run.decided,
        written: sum.written + run.written,
        too_late: sum.too_late + run.too_late,
        looks: sum.looks + run.looks,
        longest_way: sum.longest_way.max(run.longest_way),
    });
    println!("{count} machines, {SCHEDULES} schedules of {STEPS} steps: {sum:?}");
    sum
}

#[test]
fn reads_from_three_machines_are_never_stale() {
    let sum = play_all(3);
    assert!(sum.written > 0 && sum.too_late > 0, "{sum:?}");
}

#[test]
fn reads_from_five_machines_are_never_stale() {
    let sum = play_all(5);
    assert!(sum.written > 0 && sum.too_late > 0, "{sum:?}");
}

#[test]
fn a_response_written_without_a_lease_check_is_detected() {
    let is_caught = |seed| {
        let Err(panic) = std::panic::catch_unwind(|| play(seed, 3, false)) else { return false };
        panic.downcast_ref::<String>().is_some_and(|message| message.starts_with(PAST))
    };
    assert!((0..SCHEDULES).any(is_caught));
}
