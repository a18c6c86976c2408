//! The simulation: its machines, its virtual time and the queue of scheduled events.

use quillpulley_protocol::{Body, NodeId};
use quillpulley_replication::{Action, Event, Faults, RejectReason, Replica, Role, Write, WriteFailed};
use quillpulley_simulation::EventQueue;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use super::checker::Checker;
use super::command_history::{Command, CommandHistory};
use super::disk::{DiskImage, DiskMode};
use super::messages;
use super::network::{Network, NetworkOptions};
use super::quota::Quota;

/// The number of zones; machines are assigned to them in turn.
pub const ZONES: usize = 5;
/// The region of each zone.
pub const REGION_OF: [usize; ZONES] = [0, 0, 1, 1, 2];
pub(super) const TICK_MS: u64 = 50;
/// The time after which a process detects that a connection is dead.
pub(super) const DETECTION_MS: u64 = 1000;
/// The time that a process takes to establish a connection, or to detect that the peer has closed one.
pub(super) const CONNECT_MS: u64 = 40;
/// The minimum duration of a write to a healthy disk.
pub(super) const MIN_WRITE_MS: u64 = 2;
/// The factor by which the writes of a slow disk take longer.
const SLOW_DISK_FACTOR: u64 = 30;
/// The size of the log's payloads, in bytes, above which replicas compact the log.
pub(super) const COMPACT_BYTES: usize = 1500;

#[derive(Clone, Debug)]
pub struct SimulationOptions {
    pub seed: u64,
    /// The number of machines that may lose their disks at once.
    pub tolerated_machines: usize,
    pub tolerated_zones: usize,
    pub tolerated_regions: usize,
    /// The zone and the region of each machine, by its number. Machines beyond the end of the list have none.
    pub localities: Vec<(&'static str, &'static str)>,
    /// Whether machines announce the zone in `Machine::zone` and its region, instead of those in
    /// `localities`.
    pub announces_zones: bool,
    pub network: NetworkOptions,
    pub faults: Faults,
    pub compact_entries: usize,
    /// The maximum deviation of clock rates, per thousand, in either direction.
    pub clock_drift: u64,
    /// Whether every message is checked against the disk of its sender, and every lease against the grants
    /// that were sent. Disabled in tests that expect the other invariants to detect a fault.
    pub checks_messages: bool,
    /// Whether processes learn that their clock was stopped.
    pub notices_clock_jumps: bool,
    /// Whether a machine returns as the same node after its disk was wiped. This is a fault that tests have
    /// to detect.
    pub keeps_identity: bool,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        let network = NetworkOptions::default();
        SimulationOptions {
            seed: 1,
            tolerated_machines: 1,
            tolerated_zones: 0,
            tolerated_regions: 0,
            localities: Vec::new(),
            announces_zones: false,
            network,
            faults: Faults::default(),
            compact_entries: 8,
            clock_drift: 0,
            checks_messages: true,
            notices_clock_jumps: true,
            keeps_identity: false,
        }
    }
}

/// A machine: an address, a disk, and its process while one runs.
pub struct Machine {
    pub name: String,
    pub id: NodeId,
    pub(super) bootstrap: Option<Vec<NodeId>>,
    pub disk: DiskImage,
    pub disk_mode: DiskMode,
    pub replica: Option<Replica<CommandHistory>>,
    /// The number of processes that were started on this machine. It identifies the current process.
    pub(super) process: u64,
    /// The virtual time in milliseconds at which the current process was started.
    pub(super) started_at: u64,
    /// The number of milliseconds by which its clock advances per second.
    pub(super) clock_rate: u64,
    pub frozen: bool,
    /// Whether the machine was removed permanently.
    pub removed: bool,
    /// Events that arrived while the process was frozen.
    pub(super) buffered: VecDeque<Event>,
    /// The ticket and the contents of the write in flight.
    pub(super) write: Option<(u64, Write)>,
    /// The connections of the process: the node at the other end, by machine.
    pub(super) connections: BTreeMap<usize, NodeId>,
    /// The number of entries of the state that were checked.
    pub(super) checked_entries: usize,
    /// The number of acknowledged commands that the state was verified to hold.
    pub(super) verified_commands: usize,
    /// The number of reads that became due while the process was frozen.
    pub(super) buffered_reads: usize,
    /// The number of writes that the process has started.
    pub(super) writes: u64,
    /// The epoch in which the process became the primary; `None` if it is not the primary.
    pub(super) elected_in: Option<u64>,
    /// The total time in milliseconds for which its clock was stopped since the start of the process.
    pub(super) clock_lag: u64,
    /// The virtual time in milliseconds at which its clock was stopped; `None` while the clock runs.
    pub(super) paused_at: Option<u64>,
    /// The CPU quota of its process; `None` if it is not limited.
    pub quota: Option<Quota>,
    /// Events that arrived while the process was throttled.
    pub(super) postponed: Vec<Event>,
    /// The number of its zone, below `ZONES`.
    pub zone: usize,
}

#[derive(Clone, Debug)]
pub(super) enum ScheduledEvent {
    /// A message arrives at a machine. It is lost if the machine is no longer the node `id`.
    Deliver {
        to: usize,
        id: NodeId,
        from: NodeId,
        body: Body,
    },
    WriteDone {
        machine: usize,
        process: u64,
        ticket: u64,
    },
    Tick {
        machine: usize,
        process: u64,
    },
    Connect {
        machine: usize,
        process: u64,
        other: usize,
    },
    Disconnect {
        machine: usize,
        process: u64,
        other: usize,
        id: NodeId,
    },
    Read {
        machine: usize,
        process: u64,
    },
    /// The next quota period of a throttled process begins.
    QuotaRenewed {
        machine: usize,
        process: u64,
    },
}

pub struct Simulation {
    pub options: SimulationOptions,
    /// The virtual time in milliseconds.
    pub now: u64,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub checker: Checker,
    pub random: fastrand::Rng,
    /// All commands so far; command number `n` is at index `n - 1`.
    pub(super) commands: Vec<Command>,
    /// The command of each proposal; proposal number `n` is at index `n - 1`.
    pub(super) proposals: Vec<Command>,
    /// The number of each proposal, and the machine and the process that received it.
    pub(super) received_proposals: Vec<(u64, usize, u64)>,
    /// The epoch and the time in milliseconds of the last lease that was granted, by witness and grantee.
    pub(super) grants: BTreeMap<(NodeId, NodeId), (u64, u64)>,
    /// The number of reads that were served.
    pub reads: u64,
    /// The nodes whose disks were lost, and the time of each loss in milliseconds.
    pub(super) lost: Vec<(NodeId, u64)>,
    /// The scheduled events, with their times in milliseconds.
    pub(super) queue: EventQueue<ScheduledEvent>,
    /// A description of each event, for the message of a failed test.
    pub trace: Vec<String>,
}

impl Simulation {
    pub fn new(options: SimulationOptions) -> Self {
        if prints_trace() {
            // Only the first call in the process succeeds.
            let _ = log::set_logger(&StderrLogger).map(|()| log::set_max_level(log::LevelFilter::Info));
        }
        let network = Network::new(options.network);
        Simulation {
            now: 0,
            machines: Vec::new(),
            network,
            checker: Checker::default(),
            random: fastrand::Rng::with_seed(options.seed),
            commands: Vec::new(),
            proposals: Vec::new(),
            received_proposals: Vec::new(),
            grants: BTreeMap::new(),
            reads: 0,
            lost: Vec::new(),
            queue: EventQueue::default(),
            trace: Vec::new(),
            options,
        }
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        self.run_until(milliseconds, |_| false);
    }

    /// Runs until a condition holds, for at most `milliseconds`. Returns whether it holds.
    pub fn run_until(&mut self, milliseconds: u64, condition: impl Fn(&Simulation) -> bool) -> bool {
        let end = self.now + milliseconds;
        while !condition(self) {
            let Some((at, scheduled)) = self.queue.pop_until(end) else {
                self.now = end;
                return condition(self);
            };
            self.now = at;
            self.dispatch(scheduled);
        }
        true
    }

    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Deliver { to, id, from, body } => {
                if self.machines[to].id == id {
                    self.handle(to, Event::Message { from, body });
                }
            }
            ScheduledEvent::WriteDone { machine, process, ticket } => {
                self.write_done(machine, process, ticket)
            }
            ScheduledEvent::Read { machine, process } => self.complete_read(machine, process),
            ScheduledEvent::QuotaRenewed { machine, process } => {
                if self.runs_process(machine, process) {
                    for event in std::mem::take(&mut self.machines[machine].postponed) {
                        self.handle(machine, event);
                    }
                }
            }
            ScheduledEvent::Tick { machine, process } => {
                if self.runs_process(machine, process) {
                    if !self.machines[machine].frozen {
                        self.handle(machine, Event::Tick);
                    }
                    self.schedule(TICK_MS, ScheduledEvent::Tick { machine, process });
                }
            }
            ScheduledEvent::Connect { machine, process, other } => {
                if self.runs_process(machine, process) {
                    self.connect(machine, other);
                }
            }
            ScheduledEvent::Disconnect { machine, process, other, id } => {
                if self.runs_process(machine, process)
                    && self.machines[machine].connections.get(&other) == Some(&id)
                {
                    self.machines[machine].connections.remove(&other);
                    self.handle(machine, Event::Disconnected(id));
                    self.schedule(CONNECT_MS, ScheduledEvent::Connect { machine, process, other });
                }
            }
        }
    }

    /// Connects a machine to another if the other one runs and both directions of the link are open.
    /// Otherwise retries, except if the other one was started before and is down now: it connects when it
    /// starts again.
    pub(super) fn connect(&mut self, machine: usize, other: usize) {
        let id = self.machines[other].id;
        let is_reachable = self.is_running(other) && self.network.can_exchange(machine, other);
        if !is_reachable {
            let process = self.machines[machine].process;
            if self.machines[other].replica.is_some() || self.machines[other].process == 0 {
                self.schedule(CONNECT_MS * 2, ScheduledEvent::Connect { machine, process, other });
            }
            return;
        }
        let before = self.machines[machine].connections.insert(other, id);
        if before == Some(id) {
            return;
        }
        if let Some(previous) = before {
            self.handle(machine, Event::Disconnected(previous));
        }
        let locality = self.locality_of(other);
        self.handle(machine, Event::LocalityLearned { node: id, locality });
        self.handle(machine, Event::Connected(id));
    }

    fn write_done(&mut self, machine: usize, process: u64, ticket: u64) {
        let is_due = self.runs_process(machine, process)
            && self.machines[machine].write.as_ref().is_some_and(|(current, _)| *current == ticket)
            && self.machines[machine].disk_mode != DiskMode::Hangs;
        if !is_due {
            return;
        }
        let slot = &mut self.machines[machine];
        let Some((_, write)) = slot.write.take() else { return };
        let result = if slot.disk_mode == DiskMode::Full {
            Err(WriteFailed)
        } else {
            slot.disk.apply(write);
            Ok(())
        };
        self.check_disks();
        self.handle(machine, Event::WriteCompleted { ticket, result });
    }

    pub(super) fn handle(&mut self, machine: usize, event: Event) {
        let now = self.local_time(machine);
        if self.postpone(machine, &event) {
            return;
        }
        let slot = &mut self.machines[machine];
        let Some(replica) = &mut slot.replica else { return };
        if slot.frozen {
            slot.buffered.push_back(event);
            return;
        }
        let mut actions = Vec::new();
        replica.handle(now, event, &mut actions);
        for action in actions {
            self.perform_action(machine, action);
        }
        self.check_state(machine);
        self.check_leases();
    }

    /// Postpones an event to the next quota period if the process is throttled. Returns whether it does.
    fn postpone(&mut self, machine: usize, event: &Event) -> bool {
        let slot = &mut self.machines[machine];
        let wait = slot.quota.map_or(0, |quota| quota.throttled_for(self.now));
        if wait == 0 || slot.replica.is_none() {
            return false;
        }
        slot.postponed.push(event.clone());
        if slot.postponed.len() == 1 {
            let process = slot.process;
            self.schedule(wait, ScheduledEvent::QuotaRenewed { machine, process });
        }
        true
    }

    /// Carries out an action of a replica.
    fn perform_action(&mut self, machine: usize, action: Action) {
        match action {
            Action::Send { to, body } => self.send(machine, to, body),
            Action::Store { ticket, write } => {
                let slot = &mut self.machines[machine];
                assert!(slot.write.is_none(), "a write is started while another one is in flight");
                slot.write = Some((ticket, write));
                slot.writes += 1;
                let done = ScheduledEvent::WriteDone { machine, process: slot.process, ticket };
                let factor = if slot.disk_mode == DiskMode::Slow { SLOW_DISK_FACTOR } else { 1 };
                let delay = (MIN_WRITE_MS + self.random.u64(0..4)) * factor;
                self.schedule(delay, done);
            }
            Action::Committed { proposal } => {
                let command = self.command_of(proposal);
                self.trace_event(machine, &format!("acknowledges command {command}"));
                if let Some(replica) = &self.machines[machine].replica {
                    self.checker.acknowledge(proposal, command, replica.state());
                }
                self.check_disks();
            }
            Action::Rejected { proposal, reason } => {
                let command = self.command_of(proposal);
                self.trace_event(machine, &format!("rejects command {command}: {reason:?}"));
                self.checker.reject(proposal, matches!(reason, RejectReason::NotPrimary { .. }));
            }
            Action::RoleChanged(role) => {
                let elected_in = self.machines[machine].elected_in;
                self.machines[machine].elected_in = match role {
                    Role::Primary { epoch, .. } => elected_in.or(Some(epoch)),
                    _ => None,
                };
                self.trace_event(machine, &format!("{role:?}"));
            }
            Action::Applied { .. } => {}
        }
    }

    fn send(&mut self, machine: usize, to: NodeId, body: Body) {
        if self.options.checks_messages {
            let missing = messages::missing_on_disk(&body, &self.machines[machine].disk);
            assert!(
                missing.is_none(),
                "{} sends a message before its requirement is durable: {missing:?}",
                self.machines[machine].name
            );
        }
        let from = self.machines[machine].id;
        let Some(target) = self.machines.iter().position(|other| other.id == to) else { return };
        self.record_grant(from, to, &body);
        let is_reply = matches!(body, Body::Promise(_) | Body::LeaseGrant(_) | Body::Accepted(_));
        let late = match is_reply {
            true => self.network.late_copy_delay(machine, target, &mut self.random),
            false => None,
        };
        let delivery_delays = self.network.delivery_delays(machine, target, &mut self.random);
        for delay in delivery_delays.into_iter().chain(late) {
            let body = body.clone();
            self.schedule(delay, ScheduledEvent::Deliver { to: target, id: to, from, body });
        }
    }

    pub(super) fn schedule(&mut self, delay: u64, scheduled: ScheduledEvent) {
        self.queue.push(self.now + delay, scheduled);
    }
}

/// Returns whether events are printed, which the environment variable `TRACE` enables.
pub(super) fn prints_trace() -> bool {
    std::env::var_os("TRACE").is_some()
}

/// Prints the log messages of the replicas to standard error.
struct StderrLogger;

impl log::Log for StderrLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        eprintln!("          {}", record.args());
    }

    fn flush(&self) {}
}

pub(super) fn address(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + machine as u8)
}
