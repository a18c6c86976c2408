//! The simulation: machines, virtual time, and scheduled events.

use super::checker::Checker;
use super::disk::{DiskImage, DiskMode};
use super::network::{Network, NetworkOptions};
use super::node::{Fault, Input, Node, Output, RequestId};
use super::operator::Operator;
use super::requests::Request;
use quillpulley::control::confirmations::ConfirmationId;
use quillpulley::control::response::Response;
use quillpulley_protocol::{Body, NodeId};
use quillpulley_replication::{Event, Locality, Write, WriteFailed};
use quillpulley_simulation::EventQueue;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// The interval between two ticks of a process.
pub(super) const TICK_INTERVAL_MS: u64 = 50;
/// The minimum interval between two polls of an operator.
const MIN_POLL_INTERVAL_MS: u64 = 10;
/// The minimum duration of a write.
const MIN_WRITE_MS: u64 = 2;
/// The time for which a request is held up on its way, if it is.
const HELD_UP_MS: std::ops::Range<u64> = 200..6000;
/// The time that a process takes to detect a broken connection.
const DISCONNECT_DETECTION_MS: u64 = 300;

/// A machine: an address, a disk, and a process if one runs. Times are in milliseconds.
pub struct Machine {
    pub id: NodeId,
    pub disk: DiskImage,
    pub disk_mode: DiskMode,
    /// Whether the node knows the first witnesses and may bootstrap the cluster.
    pub bootstrap: bool,
    /// The node of the running process; `None` if no process runs.
    pub node: Option<Node>,
    /// The number of processes started on this machine, which identifies the latest one.
    pub process: u64,
    /// The newest request for confirmation that the latest process has sent.
    pub confirmation: ConfirmationId,
    /// The start time of the latest process, at which its clock shows 0.
    pub started_at: u64,
    pub frozen: bool,
    /// Inputs that arrived while the process was frozen.
    pub buffered: VecDeque<Input>,
    /// The write in flight and its ticket.
    pub pending_write: Option<(u64, Write)>,
    /// The connected processes by machine: the node and the number of its process.
    pub connections: BTreeMap<usize, (NodeId, u64)>,
    /// The time, by machine, since which the connection has not matched the process that can be reached
    /// there.
    pub broken_since: BTreeMap<usize, u64>,
}

/// A scheduled event. Events for a process that has ended are ignored, and so are messages to a replaced
/// node.
#[derive(Debug)]
pub enum ScheduledEvent {
    Deliver { to: usize, id: NodeId, from: NodeId, body: Body },
    WriteDone { machine: usize, process: u64, ticket: u64 },
    Tick { machine: usize, process: u64 },
    DeliverRequest { machine: usize, id: RequestId },
    Poll { operator: usize },
}

/// A connection of an operator to a process.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    process: u64,
    /// The newest request for confirmation that the process had sent when the connection was opened.
    opened_after: ConfirmationId,
}

/// The state of a simulation. Times are in milliseconds since its start.
pub struct World {
    pub now: u64,
    /// The fault injected into every process.
    pub fault: Fault,
    /// The number of failed machines that the cluster tolerates.
    pub tolerated_machines: usize,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub checker: Checker,
    pub operators: Vec<Operator>,
    /// The outcome of each completed request, which its caller sees from the given time on: a response, or
    /// `None` if the connection ended without one.
    pub responses: BTreeMap<RequestId, (u64, Option<Response>)>,
    /// The percentage of responses that are lost.
    pub lost_response_percent: u32,
    pub random: fastrand::Rng,
    /// The machine to which each request was sent, by request id.
    pub(super) target_machines: Vec<usize>,
    /// The connection on which each request was sent, by request id.
    connections: Vec<Connection>,
    /// The percentage of requests that are held up on their way.
    pub held_up_percent: u32,
    queue: EventQueue<ScheduledEvent>,
}

impl World {
    /// Creates `count` machines, which all run and are the first witnesses.
    pub fn new(seed: u64, count: usize, network: NetworkOptions, fault: Fault) -> Self {
        let mut world = World {
            now: 0,
            fault,
            tolerated_machines: count / 2,
            machines: Vec::new(),
            network: Network::new(network),
            checker: Checker::default(),
            operators: Vec::new(),
            responses: BTreeMap::new(),
            lost_response_percent: 0,
            random: fastrand::Rng::with_seed(seed),
            target_machines: Vec::new(),
            connections: Vec::new(),
            held_up_percent: 0,
            queue: EventQueue::default(),
        };
        for machine in 0..count {
            world.machines.push(Machine::new(NodeId::new(address(machine), 0)));
        }
        (0..count).for_each(|machine| world.start(machine));
        world
    }

    pub fn add_operator(&mut self) {
        let operator = self.operators.len();
        self.operators.push(Operator::new(operator));
        self.schedule(MIN_POLL_INTERVAL_MS, ScheduledEvent::Poll { operator });
    }

    /// Sends a request on a connection of its own.
    pub fn send_request(&mut self, machine: usize, request: &Request) -> RequestId {
        let is_held_up = self.random.u32(0..100) < self.held_up_percent;
        let delay = if is_held_up { self.random.u64(HELD_UP_MS) } else { self.random.u64(1..20) };
        self.send_held_up(machine, request, self.connect(machine), delay)
    }

    /// Sends a request that arrives after `delay`.
    pub fn send_held_up(
        &mut self,
        machine: usize,
        request: &Request,
        connection: Connection,
        delay: u64,
    ) -> RequestId {
        let id = self.checker.record_sent(self.now, request);
        self.target_machines.push(machine);
        self.connections.push(connection);
        self.schedule(delay, ScheduledEvent::DeliverRequest { machine, id });
        id
    }

    /// Opens a connection to a machine.
    pub fn connect(&self, machine: usize) -> Connection {
        let Machine { process, confirmation, .. } = self.machines[machine];
        Connection { process, opened_after: confirmation }
    }

    /// Returns the machine to which a request was sent.
    pub fn target_machine(&self, id: RequestId) -> usize {
        self.target_machines[id]
    }

    /// Returns what the caller sees at this time: `Some(Some(_))` is a response, `Some(None)` is the end of
    /// the connection, `None` means that the request is still open or that its response was lost.
    pub fn response_to(&self, id: RequestId) -> Option<&Option<Response>> {
        self.responses.get(&id).filter(|(at, _)| *at <= self.now).map(|(_, response)| response)
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        self.run_until(milliseconds, |_| false);
    }

    /// Runs until a condition holds, for at most `milliseconds`. Returns whether it holds.
    pub fn run_until(&mut self, milliseconds: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + milliseconds;
        while !holds(self) {
            let Some((at, scheduled)) = self.queue.pop_until(end) else {
                self.now = end;
                return holds(self);
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
                    self.handle(to, Input::Event(Event::Message { from, body }));
                }
            }
            ScheduledEvent::WriteDone { machine, process, ticket } => {
                self.handle_write_completed(machine, process, ticket)
            }
            ScheduledEvent::Tick { machine, process } => {
                if self.runs_process(machine, process) {
                    self.check_connections(machine);
                    if !self.machines[machine].frozen {
                        self.handle(machine, Input::Event(Event::Tick));
                    }
                    self.schedule(TICK_INTERVAL_MS, ScheduledEvent::Tick { machine, process });
                }
            }
            ScheduledEvent::DeliverRequest { machine, id } => self.deliver_request(machine, id),
            ScheduledEvent::Poll { operator } => {
                self.poll(operator);
                let pause = MIN_POLL_INTERVAL_MS + self.random.u64(0..MIN_POLL_INTERVAL_MS);
                self.schedule(pause, ScheduledEvent::Poll { operator });
            }
        }
    }

    fn poll(&mut self, operator: usize) {
        let mut current_operator = std::mem::replace(&mut self.operators[operator], Operator::new(operator));
        current_operator.poll(self);
        self.operators[operator] = current_operator;
    }

    fn deliver_request(&mut self, machine: usize, id: RequestId) {
        if !self.checker.sent_requests[id].is_open {
            // The process was killed while the request was in flight.
            return;
        }
        if self.machines[machine].node.is_none() {
            return self.complete_request(id, None);
        }
        let Connection { process, opened_after } = self.connections[id];
        let is_same_process = process == self.machines[machine].process;
        // A process that has started since accepts the connection anew, and has requested nothing before.
        let sent_after = if is_same_process { opened_after } else { ConfirmationId::default() };
        let input = match self.checker.sent_requests[id].request.command() {
            Some(command) => Input::Command(id, command, sent_after),
            None => Input::Read(id),
        };
        self.handle(machine, input);
    }

    /// Completes a request with a response, or with `None` if its process has ended.
    pub(super) fn complete_request(&mut self, id: RequestId, response: Option<Response>) {
        self.checker.record_response(self.now, id, response.as_ref());
        let is_lost = response.is_some() && self.random.u32(0..100) < self.lost_response_percent;
        if !is_lost {
            let at = self.now + self.random.u64(1..20);
            self.responses.insert(id, (at, response));
        }
    }

    fn handle_write_completed(&mut self, machine: usize, process: u64, ticket: u64) {
        let slot = &mut self.machines[machine];
        let is_current = slot.pending_write.as_ref().is_some_and(|(current, _)| *current == ticket);
        if slot.node.is_none() || slot.process != process || !is_current || slot.disk_mode == DiskMode::Hangs
        {
            return;
        }
        let Some((_, write)) = slot.pending_write.take() else { return };
        let result = if slot.disk_mode == DiskMode::Full {
            Err(WriteFailed)
        } else {
            slot.disk.apply(write);
            Ok(())
        };
        self.handle(machine, Input::Event(Event::WriteCompleted { ticket, result }));
    }

    /// Opens connections to the processes that can be reached, and closes those that have been broken for
    /// [`DISCONNECT_DETECTION_MS`].
    fn check_connections(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            let target = &self.machines[other];
            let is_reachable = target.node.is_some() && self.network.can_exchange(machine, other);
            let reachable_process = is_reachable.then_some((target.id, target.process));
            let slot = &mut self.machines[machine];
            let current = slot.connections.get(&other).copied();
            if current == reachable_process {
                slot.broken_since.remove(&other);
                continue;
            }
            let since = *slot.broken_since.entry(other).or_insert(self.now);
            if let Some((id, _)) = current {
                if self.now >= since + DISCONNECT_DETECTION_MS {
                    slot.connections.remove(&other);
                    self.handle(machine, Input::Event(Event::Disconnected(id)));
                }
            } else if let Some((id, process)) = reachable_process {
                slot.connections.insert(other, (id, process));
                let locality = Locality { zone: zone(other), region: "region".to_string() };
                self.handle(machine, Input::Event(Event::LocalityLearned { node: id, locality }));
                self.handle(machine, Input::Event(Event::Connected(id)));
            }
        }
    }

    pub(super) fn handle(&mut self, machine: usize, input: Input) {
        let now = self.process_time(machine);
        let slot = &mut self.machines[machine];
        let Some(node) = &mut slot.node else { return };
        if slot.frozen {
            slot.buffered.push_back(input);
            return;
        }
        for output in node.handle(now, input) {
            self.perform_output(machine, output);
        }
        self.check_state(machine);
    }

    fn perform_output(&mut self, machine: usize, output: Output) {
        match output {
            Output::Send(to, body) => self.send(machine, to, body),
            Output::Store(ticket, write) => {
                let process = self.machines[machine].process;
                self.machines[machine].pending_write = Some((ticket, write));
                let delay = MIN_WRITE_MS + self.random.u64(0..4);
                self.schedule(delay, ScheduledEvent::WriteDone { machine, process, ticket });
            }
            Output::Applied { index, entry } => self.checker.record_applied(index, entry),
            Output::Response(id, response) => {
                if let Response::ConfirmationRequired(confirmation) = response {
                    let newest = &mut self.machines[machine].confirmation;
                    *newest = confirmation.max(*newest);
                }
                self.complete_request(id, Some(response));
            }
        }
    }

    /// Checks the state of a process against the invariants.
    fn check_state(&mut self, machine: usize) {
        let now = self.process_time(machine);
        let Some(node) = &self.machines[machine].node else { return };
        let state = node.replica.state();
        if state.version() > 0 {
            self.checker.check_active_configuration(state);
        }
        if node.holds_lease(now) {
            self.checker.check_lease_holder(state);
        }
    }

    fn send(&mut self, machine: usize, to: NodeId, body: Body) {
        let from = self.machines[machine].id;
        let Some(target) = self.machines.iter().position(|other| other.id == to) else { return };
        for delay in self.network.delivery_delays(machine, target, &mut self.random) {
            let body = body.clone();
            self.schedule(delay, ScheduledEvent::Deliver { to: target, id: to, from, body });
        }
    }

    pub(super) fn runs_process(&self, machine: usize, process: u64) -> bool {
        self.machines[machine].node.is_some() && self.machines[machine].process == process
    }

    /// Returns the time on the clock of a process, which starts at 0 with the process.
    pub(super) fn process_time(&self, machine: usize) -> Duration {
        Duration::from_millis(self.now - self.machines[machine].started_at)
    }

    pub(super) fn schedule(&mut self, delay: u64, scheduled: ScheduledEvent) {
        self.queue.push(self.now + delay, scheduled);
    }
}

impl Machine {
    fn new(id: NodeId) -> Self {
        Machine {
            id,
            disk: DiskImage::default(),
            disk_mode: DiskMode::Healthy,
            bootstrap: true,
            node: None,
            process: 0,
            confirmation: ConfirmationId::default(),
            started_at: 0,
            frozen: false,
            buffered: VecDeque::new(),
            pending_write: None,
            connections: BTreeMap::new(),
            broken_since: BTreeMap::new(),
        }
    }
}

pub fn address(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + machine as u8)
}

/// Returns the zone of a machine. Each machine is in a zone of its own.
pub fn zone(machine: usize) -> String {
    format!("zone {machine}")
}
