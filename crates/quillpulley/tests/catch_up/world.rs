//! A simulation of control nodes in virtual time, with links of limited bandwidth. It uses the real replicas, storage
//! and link queues.

use super::disk::Disk;
use quillpulley_protocol::{
    Body, Entry, FrameDecoder, FrameEncoder, FrameQueue, Lane, NodeId, OutgoingMessage,
};
use quillpulley_replication::{
    Action, Event, Faults, Options, RejectReason, Replica, RestoreError, Role, StateMachine, WriteFailed,
};
use quillpulley_simulation::EventQueue;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// The bandwidth of a machine for everything that it sends to the others: 86 Mbit/s.
const BYTES_PER_US: f64 = 10.75;
/// The time that a packet takes from one machine to another after it has been sent.
const LATENCY_US: u64 = 12_000;
/// The interval between two ticks of a replica.
const TICK_INTERVAL_US: u64 = 50_000;
/// The number of bytes that the kernel buffers for a connection before they are sent.
const SOCKET_BUFFER_BYTES: usize = 2 * 1024 * 1024;
const PACKET_BYTES: usize = 16 * 1024;
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;
/// The time from the start of a process until its connections open.
const CONNECT_DELAY_US: u64 = 50_000;

/// A state machine that stores the number of commands and the latest of the longest payloads, so that its state stays
/// large even if short commands follow.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    pub count: u64,
    pub body: Vec<u8>,
}

impl StateMachine for Counter {
    fn apply(&mut self, entry: &Entry) {
        self.count += 1;
        if entry.payload.len() >= self.body.len() {
            self.body = entry.payload.clone();
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        [&self.count.to_le_bytes()[..], &self.body].concat()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let (count, body) = snapshot
            .split_first_chunk()
            .ok_or(RestoreError { reason: "the snapshot lacks the count".into() })?;
        *self = Counter { count: u64::from_le_bytes(*count), body: body.to_vec() };
        Ok(())
    }
}

/// One direction of the connection between two machines.
#[derive(Default)]
struct Pipe {
    /// The number of the current connection. Bytes of earlier connections are discarded.
    connection: u64,
    open: bool,
    queue: FrameQueue,
    /// Packets in the socket buffer of the sender.
    socket: VecDeque<Vec<u8>>,
    decoder: FrameDecoder,
    /// The times at which the heartbeats that are in flight were sent, in microseconds.
    heartbeats: VecDeque<u64>,
}

pub struct Machine {
    pub id: NodeId,
    pub replica: Option<Replica<Counter>>,
    pub disk: Disk,
    /// The number of starts and kills of processes on the machine. Events for an earlier process are ignored.
    incarnation: u64,
    /// The time at which the process was started, in microseconds.
    started_at: u64,
    /// Whether a packet is being sent.
    sending: bool,
    /// The machine to which the next packet is sent, if its connection has one.
    next_target: usize,
}

#[derive(Clone, Debug)]
enum ScheduledEvent {
    Arrive { from: usize, to: usize, connection: u64, bytes: Vec<u8> },
    Stored { machine: usize, incarnation: u64, ticket: u64, result: Result<(), ()> },
    Tick { machine: usize, incarnation: u64 },
    Sent { machine: usize },
    Connect { one: usize, other: usize },
}

/// Whether links compress long messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    Plain,
    Compressed,
}

pub struct World {
    /// The virtual time in microseconds.
    pub now: u64,
    pub machines: Vec<Machine>,
    pipes: BTreeMap<(usize, usize), Pipe>,
    /// The scheduled events, with their times in microseconds.
    queue: EventQueue<ScheduledEvent>,
    encoder: FrameEncoder,
    witnesses: Vec<NodeId>,
    faults: Faults,
    links: Links,
    /// The number of acknowledged commands.
    pub acknowledged: u64,
    /// The number of rejected commands that may nevertheless take effect.
    pub unknown_outcomes: u64,
    next_command: u64,
    /// The number of the command in flight, and the time in microseconds at which it was proposed.
    in_flight: Option<(u64, u64)>,
    /// The longest time that a command has taken, in microseconds.
    pub slowest_command_us: u64,
    /// The longest time that a heartbeat has taken to arrive, in microseconds.
    pub slowest_heartbeat_us: u64,
    /// The maximum number of bytes that the queues of the links and the log of one machine have held.
    pub peak_memory_bytes: usize,
}

impl World {
    pub fn new(count: usize) -> Self {
        World::with_links(count, Links::Plain)
    }

    /// Creates and starts machines. If the links compress long messages, the commands are compressible texts that resemble
    /// configurations.
    pub fn with_links(count: usize, links: Links) -> Self {
        let node = |machine| NodeId::new(Ipv4Addr::new(10, 0, 0, 1 + machine as u8), 0);
        let witnesses: Vec<NodeId> = (0..count).map(node).collect();
        let machine = |id: &NodeId| Machine {
            id: *id,
            replica: None,
            disk: Disk::new(),
            incarnation: 0,
            started_at: 0,
            sending: false,
            next_target: 0,
        };
        let mut world = World {
            now: 0,
            machines: witnesses.iter().map(machine).collect(),
            pipes: BTreeMap::new(),
            queue: EventQueue::default(),
            encoder: FrameEncoder::default(),
            witnesses,
            faults: Faults::default(),
            links,
            acknowledged: 0,
            unknown_outcomes: 0,
            next_command: 1,
            in_flight: None,
            slowest_command_us: 0,
            slowest_heartbeat_us: 0,
            peak_memory_bytes: 0,
        };
        (0..count).for_each(|machine| world.start(machine));
        assert!(
            world.run_until(5_000, |world| world.members().len() == count),
            "the first view has all members"
        );
        world
    }

    /// Starts a process on a machine, which recovers from its disk.
    pub fn start(&mut self, machine: usize) {
        let machine_state = &mut self.machines[machine];
        machine_state.incarnation += 1;
        machine_state.started_at = self.now;
        let (incarnation, bootstrap) = (machine_state.incarnation, Some(self.witnesses.clone()));
        let options = Options {
            me: machine_state.id,
            bootstrap,
            seed: incarnation * 31 + machine as u64,
            faults: self.faults,
            ..Options::default()
        };
        let recovered = machine_state.disk.open();
        machine_state.replica = Some(
            Replica::new(options, recovered, Counter::default(), Duration::ZERO).expect("the replica starts"),
        );
        self.schedule(TICK_INTERVAL_US, ScheduledEvent::Tick { machine, incarnation });
        for other in 0..self.machines.len() {
            self.schedule(CONNECT_DELAY_US, ScheduledEvent::Connect { one: machine, other });
        }
    }

    /// Kills the process on a machine.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].replica = None;
        self.machines[machine].incarnation += 1;
        for other in 0..self.machines.len() {
            self.disconnect(machine, other);
        }
    }

    fn disconnect(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let Some(pipe) = self.pipes.get_mut(&(from, to)).filter(|pipe| pipe.open) else { continue };
            *pipe = Pipe { connection: pipe.connection + 1, ..Pipe::default() };
            let id = self.machines[to].id;
            self.handle(from, Event::Disconnected(id));
        }
    }

    fn connect(&mut self, one: usize, other: usize) {
        if one == other || self.machines[one].replica.is_none() || self.machines[other].replica.is_none() {
            return;
        }
        for (from, to) in [(one, other), (other, one)] {
            let pipe = self.pipes.entry((from, to)).or_default();
            if pipe.open {
                continue;
            }
            pipe.open = true;
            if self.links == Links::Compressed {
                pipe.queue.enable_compression();
            }
            let id = self.machines[to].id;
            self.handle(from, Event::Connected(id));
        }
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        self.run_until(milliseconds, |_| false);
    }

    /// Runs until a condition holds, at most for `milliseconds`. Returns whether it holds.
    pub fn run_until(&mut self, milliseconds: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + milliseconds * 1_000;
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
            ScheduledEvent::Arrive { from, to, connection, bytes } => {
                self.arrive(from, to, connection, &bytes)
            }
            ScheduledEvent::Stored { machine, incarnation, ticket, result }
                if self.machines[machine].incarnation == incarnation =>
            {
                let result = result.map_err(|()| WriteFailed);
                self.handle(machine, Event::WriteCompleted { ticket, result });
            }
            ScheduledEvent::Tick { machine, incarnation }
                if self.machines[machine].incarnation == incarnation =>
            {
                self.handle(machine, Event::Tick);
                self.schedule(TICK_INTERVAL_US, ScheduledEvent::Tick { machine, incarnation });
            }
            ScheduledEvent::Sent { machine } => {
                self.machines[machine].sending = false;
                self.send_packet(machine);
            }
            ScheduledEvent::Connect { one, other } => self.connect(one, other),
            ScheduledEvent::Stored { .. } | ScheduledEvent::Tick { .. } => {}
        }
    }

    fn arrive(&mut self, from: usize, to: usize, connection: u64, bytes: &[u8]) {
        let Some(pipe) = self.pipes.get_mut(&(from, to)).filter(|pipe| pipe.connection == connection) else {
            return;
        };
        pipe.decoder.push(bytes);
        let mut bodies = Vec::new();
        while let Some(body) = pipe.decoder.next_frame().expect("messages") {
            if is_heartbeat(&body) {
                let sent_at = pipe.heartbeats.pop_front().expect("a heartbeat was sent");
                self.slowest_heartbeat_us = self.slowest_heartbeat_us.max(self.now - sent_at);
            }
            bodies.push(body);
        }
        let (received_bytes, acknowledged_bytes) =
            (pipe.decoder.take_received(), pipe.decoder.take_acknowledged());
        if let Some(reverse) = self.pipes.get_mut(&(to, from)) {
            if received_bytes > 0 {
                reverse.queue.acknowledge_chunks(received_bytes);
            }
            reverse.queue.receive_acknowledgement(acknowledged_bytes);
        }
        self.send_packet(to);
        let from = self.machines[from].id;
        for body in bodies {
            self.handle(to, Event::Message { from, body });
        }
    }

    /// Sends the next packet of a machine. The connections of the machine take turns.
    fn send_packet(&mut self, machine: usize) {
        if self.machines[machine].sending {
            return;
        }
        let count = self.machines.len();
        for _ in 0..count {
            let to = self.machines[machine].next_target;
            self.machines[machine].next_target = (to + 1) % count;
            let Some(pipe) = self.pipes.get_mut(&(machine, to)) else { continue };
            while pipe.socket.len() < SOCKET_BUFFER_BYTES / PACKET_BYTES {
                let pending = pipe.queue.pending();
                let length = pending.len().min(PACKET_BYTES);
                if length == 0 {
                    break;
                }
                pipe.socket.push_back(pending[..length].to_vec());
                pipe.queue.advance(length);
            }
            let Some(bytes) = pipe.socket.pop_front() else { continue };
            let length = bytes.len();
            let connection = pipe.connection;
            let transmission_us = (length as f64 / BYTES_PER_US) as u64;
            self.machines[machine].sending = true;
            self.schedule(transmission_us, ScheduledEvent::Sent { machine });
            self.schedule(
                transmission_us + LATENCY_US,
                ScheduledEvent::Arrive { from: machine, to, connection, bytes },
            );
            return;
        }
    }

    fn handle(&mut self, machine: usize, event: Event) {
        let now = Duration::from_micros(self.now - self.machines[machine].started_at);
        let Some(replica) = &mut self.machines[machine].replica else { return };
        let mut actions = Vec::new();
        replica.handle(now, event, &mut actions);
        for action in actions {
            self.perform(machine, action);
        }
        let queued = self.pipes.range((machine, 0)..(machine + 1, 0)).map(|(_, pipe)| pipe.queue.bytes());
        let log = self.machines[machine].replica.as_ref().map_or(0, Replica::log_bytes);
        self.peak_memory_bytes = self.peak_memory_bytes.max(log + queued.sum::<usize>());
    }

    fn perform(&mut self, machine: usize, action: Action) {
        match action {
            Action::Send { to, body } => self.send(machine, to, &body),
            Action::Store { ticket, write } => {
                let machine_state = &mut self.machines[machine];
                let (result, time_us) = machine_state.disk.write(write);
                let result = result.map_err(|_| ());
                let stored = ScheduledEvent::Stored {
                    machine,
                    incarnation: machine_state.incarnation,
                    ticket,
                    result,
                };
                self.schedule(time_us, stored);
            }
            Action::Committed { proposal } => {
                self.acknowledged += 1;
                self.command_finished(proposal);
            }
            Action::Rejected { proposal, reason } => {
                self.unknown_outcomes += u64::from(reason == RejectReason::OutcomeUnknown);
                self.command_finished(proposal);
            }
            Action::Applied { .. } | Action::RoleChanged(_) => {}
        }
    }

    fn command_finished(&mut self, command: u64) {
        if let Some((_, at)) = self.in_flight.take_if(|(in_flight, _)| *in_flight == command) {
            self.slowest_command_us = self.slowest_command_us.max(self.now - at);
        }
    }

    fn send(&mut self, machine: usize, to: NodeId, body: &Body) {
        let Some(to) = self.machines.iter().position(|other| other.id == to) else { return };
        let now = self.now;
        let Some(pipe) = self.pipes.get_mut(&(machine, to)).filter(|pipe| pipe.open) else { return };
        if is_heartbeat(body) {
            pipe.heartbeats.push_back(now);
        }
        let message = self.encoder.message(body);
        pipe.queue
            .push(&OutgoingMessage::new(Lane::of(body), message), MAX_QUEUED_BYTES)
            .expect("the link stays open");
        self.send_packet(machine);
    }

    fn schedule(&mut self, delay_us: u64, scheduled: ScheduledEvent) {
        self.queue.push(self.now + delay_us, scheduled);
    }

    /// Sends a command of this many bytes to the primary. Returns whether there is a primary.
    pub fn propose(&mut self, bytes: usize) -> bool {
        let Some(primary) = self.primary() else { return false };
        let command = self.next_command;
        self.next_command += 1;
        self.in_flight = Some((command, self.now));
        self.handle(primary, Event::Propose { proposal: command, payload: self.payload(command, bytes) });
        true
    }

    fn payload(&self, command: u64, bytes: usize) -> Vec<u8> {
        match self.links {
            Links::Plain => vec![command as u8; bytes],
            Links::Compressed => configuration_like(command, bytes),
        }
    }

    /// Sends commands one after the other until `count` more are acknowledged.
    pub fn run_commands(&mut self, count: u64, bytes: usize) {
        let target = self.acknowledged + count;
        let end = self.now + 600_000_000;
        while self.acknowledged < target {
            assert!(
                self.now < end,
                "only {} of {target} commands were acknowledged within ten minutes",
                self.acknowledged
            );
            if self.in_flight.is_none() && !self.propose(bytes) {
                self.run_for(10);
                continue;
            }
            self.run_until(20_000, |world| world.in_flight.is_none());
        }
    }

    /// Returns whether no command is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    pub fn primary(&self) -> Option<usize> {
        let leads =
            |machine: &usize| matches!(self.role(*machine), Some(Role::Primary { holds_lease: true, .. }));
        (0..self.machines.len()).find(leads)
    }

    fn role(&self, machine: usize) -> Option<Role> {
        let machine_state = &self.machines[machine];
        let now = Duration::from_micros(self.now - machine_state.started_at);
        machine_state.replica.as_ref().map(|replica| replica.role(now))
    }

    /// Returns the machines in the primary's view.
    pub fn members(&self) -> Vec<usize> {
        let replica = self.primary().and_then(|primary| self.machines[primary].replica.as_ref());
        let Some(view) = replica.and_then(Replica::view) else { return Vec::new() };
        let is_member = |machine: &usize| {
            let id = self.machines[*machine].id;
            view.primary == id || view.backups.contains(&id)
        };
        (0..self.machines.len()).filter(is_member).collect()
    }

    /// Returns the epoch of the primary's view, or 0 if there is no primary.
    pub fn view_epoch(&self) -> u64 {
        let replica = self.primary().and_then(|primary| self.machines[primary].replica.as_ref());
        replica.and_then(Replica::view).map_or(0, |view| view.epoch)
    }

    /// Returns the number of commands that a machine has applied.
    pub fn count(&self, machine: usize) -> u64 {
        self.machines[machine].replica.as_ref().map_or(0, |replica| replica.state().count)
    }
}

fn is_heartbeat(body: &Body) -> bool {
    matches!(body, Body::LeaseRequest(_) | Body::LeaseGrant(_))
}

/// Returns a text that resembles a configuration: similar routes with random names and numbers.
fn configuration_like(seed: u64, bytes: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut text = String::with_capacity(bytes + 300);
    while text.len() < bytes {
        let (name, service, timeout) = (random.u32(..), random.u32(0..200), random.u32(100..60_000));
        text.push_str(&format!(
            "{{\"Name\":\"route-{name:08x}\",\"Host\":\"h{:05}.example\",\"Path\":\"/v1/{:06x}/completions\",\
             \"Service\":\"service-{service}\",\"TimeoutMs\":{timeout},\"MaxAttempts\":{},\"Priority\":{},\
             \"Idempotent\":{},\"HomeRegions\":[\"region-{}\"]}},",
            random.u32(0..100_000),
            random.u32(0..1 << 24),
            random.u32(1..5),
            random.u32(0..10),
            random.bool(),
            random.u32(0..22),
        ));
    }
    text.truncate(bytes);
    text.into_bytes()
}
