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
const MAX_WRITE_DELAY_MS: u64 = 30;

/// The start of the message if a response lacks an acknowledged command.
const STALE_RESPONSE: &str = "a stale read response";

/// The operation of a step.
#[derive(Clone, Copy)]
enum Operation {
    Propose,
    Read,
    /// The leader, or this machine if there is none, receives a read and freezes before it has written the
    /// response.
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
struct PendingResponse {
    machine: usize,
    process: u64,
    /// The virtual time in milliseconds from which the response may be written.
    due_at: u64,
    /// The end of the lease by the machine's own clock.
    valid_until: Duration,
    /// The accepted commands in the state that the response reports.
    accepted: Vec<u64>,
}

/// The numbers of responses and of redirect checks in a run.
#[derive(Default, Debug, Clone, Copy)]
struct Counts {
    prepared: usize,
    written: usize,
    /// The number of responses that were not written because the lease had ended.
    expired: usize,
    /// The number of checks of the redirects from a machine.
    redirect_checks: usize,
    /// The maximum number of machines that a client visits.
    longest_path: usize,
}

/// A simulation with random operations, and the responses that are not written yet.
struct ReadRun {
    simulation: Simulation,
    random: fastrand::Rng,
    /// Whether a response is written only if the lease has not ended by then.
    checks_lease_end: bool,
    pending: Vec<PendingResponse>,
    /// The machine that each command was sent to, by the number of the command.
    proposers: BTreeMap<u64, usize>,
    counts: Counts,
}

impl ReadRun {
    fn new(seed: u64, count: usize, checks_lease_end: bool) -> Self {
        let lossy = NetworkOptions {
            min_delay_ms: 1,
            max_delay_ms: 60,
            lost: 20,
            duplicated: 30,
            delayed: 20,
            late: 0,
        };
        let network = if seed.is_multiple_of(2) { NetworkOptions::default() } else { lossy };
        let options = SimulationOptions {
            seed,
            tolerated_machines: count / 2,
            network,
            ..SimulationOptions::default()
        };
        let mut simulation = Simulation::first_start(options, count, 3);
        simulation.run_for(3000);
        ReadRun {
            simulation,
            random: fastrand::Rng::with_seed(seed),
            checks_lease_end,
            pending: Vec::new(),
            proposers: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        for _ in 0..STEPS {
            let max_pause = [20, 150, 400, 1000, 2500][self.random.usize(0..5)];
            let pause = self.random.u64(0..max_pause);
            self.run_for(pause);
            let operation = OPERATIONS[self.random.usize(0..OPERATIONS.len())];
            let machine = self.random.usize(0..self.simulation.machines.len());
            self.perform(operation, machine);
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
            self.write_due_responses();
        }
    }

    fn perform(&mut self, operation: Operation, machine: usize) {
        let simulation = &mut self.simulation;
        let runs = simulation.is_running(machine);
        match operation {
            Operation::Propose => {
                if let Some(leader) = simulation.leader() {
                    let command = simulation.propose(leader);
                    self.proposers.insert(command, leader);
                }
            }
            Operation::Read => {
                (0..simulation.machines.len()).for_each(|machine| self.prepare_response(machine))
            }
            Operation::ReadAndFreeze => {
                let machine = simulation.leader().unwrap_or(machine);
                self.prepare_response(machine);
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

    fn isolate(&mut self, machine: usize, inbound: bool, outbound: bool) {
        for other in (0..self.simulation.machines.len()).filter(|other| *other != machine) {
            if inbound {
                self.simulation.network.partition(other, machine);
            }
            if outbound {
                self.simulation.network.partition(machine, other);
            }
        }
        self.simulation.detect_partitions();
    }

    /// Prepares the response to a read on a machine, if the machine holds the lease.
    fn prepare_response(&mut self, machine: usize) {
        if self.simulation.machines[machine].frozen {
            return;
        }
        let now = self.simulation.clock(machine);
        let slot = &self.simulation.machines[machine];
        let Some(replica) = &slot.replica else { return };
        let Some(valid_until) = replica.lease_until(now) else { return };
        let history = replica.state();
        let accepted = history.entries.iter().filter(|applied| applied.accepted_on.is_some());
        let pending = PendingResponse {
            machine,
            process: self.simulation.process(machine),
            due_at: self.simulation.now + self.random.u64(0..MAX_WRITE_DELAY_MS),
            valid_until,
            accepted: accepted.map(|applied| applied.command).collect(),
        };
        self.counts.prepared += 1;
        self.pending.push(pending);
    }

    /// Resumes a process. Its threads that write responses may run before its main thread.
    fn resume(&mut self, machine: usize) {
        if self.simulation.is_running(machine) && self.simulation.machines[machine].frozen {
            self.simulation.machines[machine].frozen = false;
            self.write_due_responses();
            self.simulation.resume(machine);
        }
    }

    fn write_due_responses(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for response in pending {
            let runs = self.simulation.is_running(response.machine);
            if !runs || self.simulation.process(response.machine) != response.process {
                continue;
            }
            if self.simulation.machines[response.machine].frozen || response.due_at > self.simulation.now {
                self.pending.push(response);
            } else {
                self.write_response(&response);
            }
        }
    }

    fn write_response(&mut self, response: &PendingResponse) {
        if self.checks_lease_end && self.simulation.clock(response.machine) >= response.valid_until {
            self.counts.expired += 1;
            return;
        }
        self.counts.written += 1;
        for command in &self.simulation.checker.acknowledged {
            let is_own = self.proposers.get(command) == Some(&response.machine);
            assert!(
                is_own || response.accepted.contains(command),
                "{STALE_RESPONSE} lacks command {command}\n{}",
                self.simulation.trace.join("\n")
            );
        }
    }

    fn check_redirects(&mut self) {
        for machine in 0..self.simulation.machines.len() {
            let path = self.simulation.redirect_path(machine);
            let last = path[path.len() - 1];
            assert!(!path[..path.len() - 1].contains(&last), "the redirects form a loop: {path:?}");
            self.counts.redirect_checks += 1;
            self.counts.longest_path = self.counts.longest_path.max(path.len());
        }
    }
}

fn run_schedule(seed: u64, count: usize, checks_lease_end: bool) -> Counts {
    ReadRun::new(seed, count, checks_lease_end).run()
}

fn run_schedules(count: usize) -> Counts {
    let runs = (0..SCHEDULES).map(|seed| run_schedule(seed, count, true));
    let sum = runs.fold(Counts::default(), |sum, run| Counts {
        prepared: sum.prepared + run.prepared,
        written: sum.written + run.written,
        expired: sum.expired + run.expired,
        redirect_checks: sum.redirect_checks + run.redirect_checks,
        longest_path: sum.longest_path.max(run.longest_path),
    });
    println!("{count} machines, {SCHEDULES} schedules of {STEPS} steps: {sum:?}");
    sum
}

#[test]
fn reads_from_three_machines_are_never_stale() {
    let sum = run_schedules(3);
    assert!(sum.written > 0 && sum.expired > 0, "{sum:?}");
}

#[test]
fn reads_from_five_machines_are_never_stale() {
    let sum = run_schedules(5);
    assert!(sum.written > 0 && sum.expired > 0, "{sum:?}");
}

#[test]
fn a_response_written_without_a_lease_check_is_detected() {
    let is_detected = |seed| {
        let Err(panic) = std::panic::catch_unwind(|| run_schedule(seed, 3, false)) else { return false };
        panic.downcast_ref::<String>().is_some_and(|message| message.starts_with(STALE_RESPONSE))
    };
    assert!((0..SCHEDULES).any(is_detected));
}
