//! The simulated machines and their network in virtual time, in microseconds.

use crate::hosts::agent::AgentHost;
use crate::hosts::control::ControlHost;
use crate::hosts::proxy::ProxyHost;
use crate::hosts::{Address, Context, Host, Input, LinkId, Output, ProcessKind};
use crate::measurement::Measurement;
use crate::network::{wire_bytes, Connection, End, EndState, Packet, RETRANSMISSION_DELAY_US};
use crate::published::{self, PublishedItems};
use crate::timeline::{Command, FaultKind, Selector};
use crate::topology::{places, ranked_agents, AgentCounts, Place, ROOT};
use quillpulley_protocol::{Body, FrameEncoder, Lane, OutgoingMessage};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const CONNECT_TIMEOUT_US: u64 = 500_000;
const HELLO_TIMEOUT_US: u64 = 1_000_000;
/// A connection breaks if sent bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT_US: u64 = 1_500_000;
const LOOPBACK_LATENCY_US: u64 = 50;
const REGION_LATENCY_US: u64 = 500;
const DISTANT_LATENCY_US: u64 = 35_000;
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;
/// The interval at which the ages are checked.
const CHECK_INTERVAL_US: u64 = 50_000;
/// The time between the end of a process that was restarted and its start.
const RESTART_GAP_US: u64 = 1_000_000;
/// The processor time of a whole core for a message that is received or sent, and for each of its kilobytes.
const MESSAGE_COST_US: f64 = 20.0;
const KILOBYTE_COST_US: f64 = 8.0;
const CHURN_INTERVAL_US: u64 = 1_000_000;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    pub seed: u64,
    /// The numbers of agents in zones `a`, `b` and `c`.
    pub agents: AgentCounts,
    pub agent_link_mbps: f64,
    /// The share of an agent's link that the traffic of clients takes.
    pub client_traffic: f64,
    /// The share of a core that each process has.
    pub cores: f64,
    /// The maximum age of the state of a machine that has no trouble of its own.
    pub bound_ms: u64,
}

/// What arrives at a process and waits for its processor time.
enum Item {
    Accepted { link: LinkId },
    Connected { link: LinkId },
    Data { link: LinkId, bytes: Vec<u8> },
    PeerClosed { link: LinkId },
    Failed { link: LinkId },
    HelloTimeout { link: LinkId },
    Datagram { from: SocketAddr, body: Body },
    Shutdown,
    Publish(Vec<quillpulley_state_sync::Change>),
}

struct Process {
    machine: usize,
    kind: ProcessKind,
    host: Option<Box<dyn Host>>,
    /// The number of starts and ends so far.
    incarnation: u64,
    started_at: u64,
    is_listening: bool,
    is_frozen: bool,
    inbox: VecDeque<Item>,
    busy_until: u64,
    /// When the process runs next.
    run_at: Option<u64>,
}

struct Machine {
    has_power: bool,
    /// Machines reach only those of the same network.
    network: usize,
    bytes_per_us: f64,
    /// The ends of connections that wait to send a packet, and whether one is being sent.
    waiting: VecDeque<(LinkId, usize)>,
    is_sending: bool,
    sends_until: u64,
    receives_until: u64,
    processes: Vec<usize>,
    restarts: bool,
}

enum Event {
    Syn { link: LinkId },
    Refused { link: LinkId },
    SynAck { link: LinkId },
    ConnectTimeout { link: LinkId },
    HelloTimeout { link: LinkId, side: usize },
    LinkFree { machine: usize },
    Arrive { link: LinkId, side: usize, packet: Packet },
    Deliver { link: LinkId, side: usize, packet: Packet },
    Acknowledged { link: LinkId, side: usize, bytes: usize },
    Reset { link: LinkId, side: usize },
    Retransmit { link: LinkId, side: usize },
    CheckProgress { link: LinkId, side: usize },
    Datagram { from: usize, to: usize, sender: SocketAddr, body: Body },
    Run { process: usize },
    Command(Command),
    EndFault { kind: FaultKind, machines: Vec<usize> },
    StartMachine { machine: usize },
    Configure { every_us: u64 },
    Churn { servers: usize },
    CheckAges,
}

struct Scheduled {
    at: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest event is the greatest, as a binary heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

pub struct World {
    pub now: u64,
    pub places: Vec<Place>,
    pub measurement: Measurement,
    /// What has happened at each machine, with the times.
    pub history: Vec<Vec<(u64, String)>>,
    parameters: Parameters,
    machines: Vec<Machine>,
    processes: Vec<Process>,
    connections: BTreeMap<LinkId, Connection>,
    next_link: LinkId,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    encoder: FrameEncoder,
    items: PublishedItems,
    random: fastrand::Rng,
    next_network: usize,
}

impl World {
    /// Creates the machines and starts all processes.
    pub fn new(parameters: Parameters) -> Self {
        let places = places(parameters.agents, parameters.agent_link_mbps);
        let count = places.len();
        let mut world = World {
            now: 0,
            measurement: Measurement::new(count, parameters.bound_ms * 1_000),
            history: vec![Vec::new(); count],
            machines: Vec::new(),
            processes: Vec::new(),
            connections: BTreeMap::new(),
            next_link: 1,
            queue: BinaryHeap::new(),
            sequence: 0,
            encoder: FrameEncoder::default(),
            items: PublishedItems::new(parameters.seed),
            random: fastrand::Rng::with_seed(parameters.seed),
            next_network: 1,
            parameters,
            places,
        };
        (0..count).for_each(|machine| world.add_machine(machine));
        (0..count).for_each(|machine| world.start_machine(machine));
        let initial = world.items.initial(&world.places);
        world.push_item(world.root(), Item::Publish(initial));
        world.schedule(CHECK_INTERVAL_US, Event::CheckAges);
        world
    }

    fn add_machine(&mut self, machine: usize) {
        let place = &self.places[machine];
        let kinds: &[ProcessKind] = match place.is_control_node {
            true => &[ProcessKind::Control],
            false => &[ProcessKind::Agent, ProcessKind::Proxy],
        };
        let share = if place.is_control_node { 1.0 } else { 1.0 - self.parameters.client_traffic };
        let first = self.processes.len();
        self.processes.extend(kinds.iter().map(|kind| Process {
            machine,
            kind: *kind,
            host: None,
            incarnation: 0,
            started_at: 0,
            is_listening: false,
            is_frozen: false,
            inbox: VecDeque::new(),
            busy_until: 0,
            run_at: None,
        }));
        self.machines.push(Machine {
            has_power: true,
            network: 0,
            bytes_per_us: place.settings.limits.link_mbps / 8.0 * share,
            waiting: VecDeque::new(),
            is_sending: false,
            sends_until: 0,
            receives_until: 0,
            processes: (first..self.processes.len()).collect(),
            restarts: false,
        });
    }

    fn root(&self) -> usize {
        self.machines[ROOT].processes[0]
    }

    /// Schedules the commands of a timeline.
    pub fn play(&mut self, timeline: &[(u64, Command)]) {
        for (time_ms, command) in timeline {
            self.schedule_at(time_ms * 1_000, Event::Command(command.clone()));
        }
    }

    pub fn run_until(&mut self, end_ms: u64) {
        let end = end_ms * 1_000;
        while self.queue.peek().is_some_and(|scheduled| scheduled.at <= end) {
            let Some(scheduled) = self.queue.pop() else { break };
            self.now = scheduled.at;
            self.dispatch(scheduled.event);
        }
        self.now = end;
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now + delay_us, event);
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Scheduled { at, sequence: self.sequence, event });
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Syn { link } => self.syn(link),
            Event::Refused { link } | Event::ConnectTimeout { link } => self.fail_connecting(link),
            Event::SynAck { link } => self.push_link_item(link, 0, Item::Connected { link }),
            Event::HelloTimeout { link, side } => {
                self.push_link_item(link, side, Item::HelloTimeout { link })
            }
            Event::LinkFree { machine } => {
                self.machines[machine].is_sending = false;
                self.send_packet(machine);
            }
            Event::Arrive { link, side, packet } => self.arrive(link, side, packet),
            Event::Deliver { link, side, packet } => self.deliver(link, side, packet),
            Event::Acknowledged { link, side, bytes } => self.acknowledged(link, side, bytes),
            Event::Reset { link, side } => self.break_end(link, side),
            Event::Retransmit { link, side } => self.retransmit(link, side),
            Event::CheckProgress { link, side } => self.check_progress(link, side),
            Event::Datagram { from, to, sender, body } => {
                let reachable = self.is_reachable(self.processes[from].machine, self.processes[to].machine);
                if reachable && self.processes[to].host.is_some() {
                    self.push_item(to, Item::Datagram { from: sender, body });
                }
            }
            Event::Run { process } => self.run(process),
            Event::Command(command) => self.command(command),
            Event::EndFault { kind, machines } => self.end_fault(kind, &machines),
            Event::StartMachine { machine } => self.start_machine(machine),
            Event::Configure { every_us } => self.configure(every_us),
            Event::Churn { servers } => {
                let changes = self.items.replace_servers(servers);
                self.push_item(self.root(), Item::Publish(changes));
                self.schedule(CHURN_INTERVAL_US, Event::Churn { servers });
            }
            Event::CheckAges => {
                for machine in 0..self.machines.len() {
                    if !self.places[machine].is_control_node {
                        self.measurement.check(self.now, machine);
                    }
                }
                self.schedule(CHECK_INTERVAL_US, Event::CheckAges);
            }
        }
    }

    fn configure(&mut self, every_us: u64) {
        let version = self.measurement.publish_version(self.now);
        self.push_item(self.root(), Item::Publish(published::configuration(version)));
        self.schedule(every_us, Event::Configure { every_us });
    }

    fn log(&mut self, machine: usize, line: impl Into<String>) {
        self.history[machine].push((self.now, line.into()));
    }
}

/// Processes.
impl World {
    fn start_machine(&mut self, machine: usize) {
        self.machines[machine].restarts = false;
        self.measurement.trouble_ended(self.now, machine);
        self.log(machine, "starts");
        for process in self.machines[machine].processes.clone() {
            self.start_process(process);
        }
    }

    fn start_process(&mut self, process: usize) {
        let state = &self.processes[process];
        let settings = &self.places[state.machine].settings;
        let seed = self.parameters.seed.wrapping_mul(1_000_003)
            ^ (state.incarnation << 32 | (process as u64) << 8 | 1);
        let host: Box<dyn Host> = match state.kind {
            ProcessKind::Control => Box::new(ControlHost::new(settings, self.places[ROOT].settings.ip, seed)),
            ProcessKind::Agent => Box::new(AgentHost::new(settings, seed)),
            ProcessKind::Proxy => Box::new(ProxyHost::new(settings, self.now)),
        };
        let state = &mut self.processes[process];
        state.host = Some(host);
        state.incarnation += 1;
        state.started_at = self.now;
        state.is_listening = true;
        state.is_frozen = false;
        state.inbox.clear();
        state.busy_until = self.now;
        state.run_at = None;
        self.schedule_run(process, self.now);
    }

    /// Ends a process. Its connections are closed, and the peers learn of it if the machine has power.
    fn end_process(&mut self, process: usize) {
        let links = self.links_of(process);
        let state = &mut self.processes[process];
        state.host = None;
        state.incarnation += 1;
        state.inbox.clear();
        links.into_iter().for_each(|(link, side)| self.close(link, side));
    }

    fn links_of(&self, process: usize) -> Vec<(LinkId, usize)> {
        let incarnation = self.processes[process].incarnation;
        let side = |(link, connection): (&LinkId, &Connection)| {
            let is_own = |end: &End| end.process == process && end.incarnation == incarnation;
            connection.ends.iter().position(is_own).map(|side| (*link, side))
        };
        self.connections.iter().filter_map(side).collect()
    }

    fn push_item(&mut self, process: usize, item: Item) {
        if self.processes[process].host.is_none() {
            return;
        }
        self.processes[process].inbox.push_back(item);
        self.schedule_run(process, self.now);
    }

    /// Passes an item to the process at one end of a connection, if that is still the same process.
    fn push_link_item(&mut self, link: LinkId, side: usize, item: Item) {
        let Some(connection) = self.connections.get(&link) else { return };
        let end = &connection.ends[side];
        if end.state != EndState::Closed && self.processes[end.process].incarnation == end.incarnation {
            self.push_item(end.process, item);
        }
    }

    fn schedule_run(&mut self, process: usize, at: u64) {
        let state = &mut self.processes[process];
        let at = at.max(state.busy_until);
        if state.run_at.is_none_or(|run_at| at < run_at) {
            state.run_at = Some(at);
            self.schedule_at(at, Event::Run { process });
        }
    }

    fn run(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if state.run_at != Some(self.now) || state.host.is_none() {
            return;
        }
        state.run_at = None;
        if state.is_frozen {
            return;
        }
        let mut cost_us = 0.0;
        if let Some(item) = state.inbox.pop_front() {
            cost_us += self.handle_item(process, item);
        }
        if self.processes[process].inbox.is_empty() {
            cost_us += self.with_host(process, |host, context| host.tick(context));
        }
        self.observe(process);
        let state = &mut self.processes[process];
        let Some(host) = &state.host else { return };
        state.busy_until = self.now + (cost_us / self.parameters.cores) as u64;
        let now = Duration::from_micros(self.now - state.started_at);
        let wake_at = state.started_at.saturating_add(host.next_wake(now).as_micros() as u64);
        let next = if state.inbox.is_empty() { wake_at.max(self.now + 1) } else { self.now };
        self.schedule_run(process, next);
    }

    /// Measures the state of a process after it has run.
    fn observe(&mut self, process: usize) {
        let Process { machine, kind, host: Some(host), .. } = &self.processes[process] else { return };
        match kind {
            ProcessKind::Proxy => {
                let tick = host.revision().tick;
                if self.measurement.is_new(*machine, tick) {
                    self.measurement.received(self.now, *machine, tick, published::version(host.store()));
                }
            }
            ProcessKind::Control if *machine == ROOT => {
                self.measurement.revision_published(self.now, host.revision().tick);
            }
            ProcessKind::Control | ProcessKind::Agent => {}
        }
    }

    /// Returns the cost of handling an item, in processor time of a whole core.
    fn handle_item(&mut self, process: usize, item: Item) -> f64 {
        match item {
            Item::Accepted { link } => {
                let limit = self.processes[process].host.as_ref().map_or(0, |host| host.max_incoming());
                if self.incoming_count(process) > limit {
                    self.close(link, 1);
                    return MESSAGE_COST_US;
                }
                self.establish(link, 1)
            }
            Item::Connected { link } => self.establish(link, 0),
            Item::Data { link, bytes } => self.handle_data(process, link, &bytes),
            Item::PeerClosed { link } | Item::Failed { link } => self.link_ended(process, link),
            Item::HelloTimeout { link } => match self.state_of(process, link) {
                Some(EndState::Established | EndState::Connecting) => {
                    let side = self.side(process, link);
                    self.close(link, side);
                    self.with_host(process, |host, context| host.handle(context, Input::Closed { link }))
                }
                _ => 0.0,
            },
            Item::Datagram { from, body } => self.handle_input(process, Input::Datagram { from, body }),
            Item::Shutdown => self.handle_input(process, Input::Shutdown),
            Item::Publish(changes) => self.handle_input(process, Input::Publish(changes)),
        }
    }

    fn handle_input(&mut self, process: usize, input: Input) -> f64 {
        MESSAGE_COST_US + self.with_host(process, |host, context| host.handle(context, input))
    }

    fn handle_data(&mut self, process: usize, link: LinkId, bytes: &[u8]) -> f64 {
        let side = self.side(process, link);
        let Some(connection) = self.connections.get_mut(&link) else { return 0.0 };
        let end = &mut connection.ends[side];
        if !end.is_usable() {
            return 0.0;
        }
        end.decoder.push(bytes);
        let mut cost_us = bytes.len() as f64 / 1_024.0 * KILOBYTE_COST_US;
        loop {
            let Some(connection) = self.connections.get_mut(&link) else { return cost_us };
            let end = &mut connection.ends[side];
            if !end.is_usable() {
                return cost_us;
            }
            let body = end.decoder.next_frame().expect("messages are valid");
            let (received, acknowledged) = (end.decoder.take_received(), end.decoder.take_acknowledged());
            if received > 0 {
                end.queue.acknowledge_chunks(received);
            }
            end.queue.receive_acknowledgement(acknowledged);
            let is_open = end.state == EndState::Open;
            if body.is_some() && !is_open {
                end.state = EndState::Open;
            }
            self.send_waiting(link, side);
            let input = match body {
                None => return cost_us,
                Some(Body::Hello(hello)) if !is_open => {
                    Input::Opened { link, hello: *hello, incoming: side == 1 }
                }
                Some(body) => Input::Frame { link, body },
            };
            cost_us += self.handle_input(process, input);
        }
    }

    /// Handles the end of a connection that the peer has closed or that has failed.
    fn link_ended(&mut self, process: usize, link: LinkId) -> f64 {
        let side = self.side(process, link);
        let Some(connection) = self.connections.get_mut(&link) else { return 0.0 };
        let previous = std::mem::replace(&mut connection.ends[side].state, EndState::Closed);
        self.forget_if_closed(link);
        if previous == EndState::Closed {
            return 0.0;
        }
        self.handle_input(process, Input::Closed { link })
    }

    /// Runs a function of a process, and performs what it does. Returns the cost of the messages that are sent.
    fn with_host(&mut self, process: usize, run: impl FnOnce(&mut dyn Host, &mut Context)) -> f64 {
        let now = Duration::from_micros(self.now - self.processes[process].started_at);
        let Some(mut host) = self.processes[process].host.take() else { return 0.0 };
        let mut context = Context { now, next_link: &mut self.next_link, outputs: Vec::new() };
        run(host.as_mut(), &mut context);
        let outputs = context.outputs;
        self.processes[process].host = Some(host);
        let mut cost_us = 0.0;
        for output in outputs {
            cost_us += self.perform(process, output);
        }
        cost_us
    }

    fn perform(&mut self, process: usize, output: Output) -> f64 {
        match output {
            Output::Connect { link, to } => self.connect(process, link, to),
            Output::Send { links, body } => return self.send(process, &links, &body),
            Output::Close(link) => {
                let side = self.side(process, link);
                self.close(link, side);
            }
            Output::Datagram { to, body } => self.send_datagram(process, to, body),
            Output::StopListening => self.processes[process].is_listening = false,
            Output::Exit => self.exit(process),
            Output::Log(line) => {
                let machine = self.processes[process].machine;
                self.log(machine, line);
            }
        }
        MESSAGE_COST_US
    }

    /// Ends a process after its drain. When the agent has ended, the machine is started again.
    fn exit(&mut self, process: usize) {
        if self.processes[process].host.is_none() {
            return;
        }
        self.end_process(process);
        let machine = self.processes[process].machine;
        if self.processes[process].kind == ProcessKind::Agent && self.machines[machine].restarts {
            self.log(machine, "has drained");
            self.schedule(RESTART_GAP_US, Event::StartMachine { machine });
        }
    }

    fn incoming_count(&self, process: usize) -> usize {
        let is_incoming = |connection: &&Connection| {
            connection.ends[1].process == process && connection.ends[1].state != EndState::Closed
        };
        self.connections.values().filter(is_incoming).count()
    }

    fn side(&self, process: usize, link: LinkId) -> usize {
        let connection = self.connections.get(&link);
        connection.map_or(0, |connection| usize::from(connection.ends[1].process == process))
    }

    fn state_of(&self, process: usize, link: LinkId) -> Option<EndState> {
        let side = self.side(process, link);
        self.connections.get(&link).map(|connection| connection.ends[side].state)
    }
}

/// The network.
impl World {
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.machines[from], &self.machines[to]);
        from.has_power && to.has_power && from.network == to.network
    }

    fn machine_of(&self, link: LinkId, side: usize) -> usize {
        self.processes[self.connections[&link].ends[side].process].machine
    }

    fn process_at(&self, address: Address) -> Option<usize> {
        let machine = self.places.iter().position(|place| place.settings.ip == address.ip)?;
        let mut processes = self.machines[machine].processes.iter().copied();
        processes.find(|process| self.processes[*process].kind == address.kind)
    }

    fn latency_us(&self, from: usize, to: usize) -> u64 {
        match (from == to, self.places[from].region == self.places[to].region) {
            (true, _) => LOOPBACK_LATENCY_US,
            (_, true) => REGION_LATENCY_US,
            _ => DISTANT_LATENCY_US,
        }
    }

    fn connect(&mut self, process: usize, link: LinkId, to: Address) {
        let target = self.process_at(to).expect("the address of a process");
        let (from_machine, to_machine) = (self.processes[process].machine, self.processes[target].machine);
        let latency_us = self.latency_us(from_machine, to_machine);
        let ends = [
            End::new(process, self.processes[process].incarnation),
            End::new(target, self.processes[target].incarnation),
        ];
        let is_loopback = from_machine == to_machine;
        self.connections.insert(link, Connection { ends, latency_us, is_loopback });
        self.schedule(latency_us, Event::Syn { link });
        self.schedule(CONNECT_TIMEOUT_US, Event::ConnectTimeout { link });
    }

    /// The first packet of a connection arrives.
    fn syn(&mut self, link: LinkId) {
        let Some(connection) = self.connections.get(&link) else { return };
        let latency_us = connection.latency_us;
        let target = connection.ends[1].process;
        if !self.is_reachable(self.machine_of(link, 0), self.machine_of(link, 1)) {
            return;
        }
        if self.processes[target].host.is_none() || !self.processes[target].is_listening {
            return self.schedule(latency_us, Event::Refused { link });
        }
        let incarnation = self.processes[target].incarnation;
        if let Some(connection) = self.connections.get_mut(&link) {
            connection.ends[1].incarnation = incarnation;
        }
        self.push_item(target, Item::Accepted { link });
        self.schedule(latency_us, Event::SynAck { link });
    }

    fn fail_connecting(&mut self, link: LinkId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        if connection.ends[0].state == EndState::Connecting {
            self.push_link_item(link, 0, Item::HelloTimeout { link });
        }
    }

    /// Sends the `Hello` on a connection that is established. Returns the cost.
    fn establish(&mut self, link: LinkId, side: usize) -> f64 {
        let Some(connection) = self.connections.get_mut(&link) else { return 0.0 };
        let end = &mut connection.ends[side];
        if end.state != EndState::Connecting {
            return 0.0;
        }
        end.state = EndState::Established;
        end.queue.enable_compression();
        let process = end.process;
        let Some(host) = &self.processes[process].host else { return 0.0 };
        let hello = Body::Hello(Box::new(host.hello()));
        self.schedule(HELLO_TIMEOUT_US, Event::HelloTimeout { link, side });
        self.send(process, &[link], &hello)
    }

    /// Returns the cost of sending a message on several links.
    fn send(&mut self, process: usize, links: &[LinkId], body: &Body) -> f64 {
        let bytes = self.encoder.message(body).to_vec();
        let message = OutgoingMessage::new(Lane::of(body), &bytes);
        for link in links {
            let side = self.side(process, *link);
            let Some(connection) = self.connections.get_mut(link) else { continue };
            let end = &mut connection.ends[side];
            if !end.is_usable() {
                continue;
            }
            match end.queue.push(&message, MAX_QUEUED_BYTES) {
                Ok(()) => self.send_waiting(*link, side),
                Err(_) => self.break_end(*link, side),
            }
        }
        let kilobytes = bytes.len() as f64 / 1_024.0;
        kilobytes * KILOBYTE_COST_US + links.len() as f64 * MESSAGE_COST_US
    }

    fn send_datagram(&mut self, process: usize, to: SocketAddr, body: Body) {
        let IpAddr::V4(ip) = to.ip() else { return };
        let Some(target) = self.process_at(Address { ip, kind: ProcessKind::Agent }) else { return };
        let (from_machine, to_machine) = (self.processes[process].machine, self.processes[target].machine);
        let settings = &self.places[from_machine].settings;
        let sender = SocketAddr::from((settings.ip, settings.agent_port()));
        let latency_us = self.latency_us(from_machine, to_machine);
        self.schedule(latency_us, Event::Datagram { from: process, to: target, sender, body });
    }

    /// Sends what waits at one end of a connection as soon as its turn comes.
    fn send_waiting(&mut self, link: LinkId, side: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let (now, latency_us) = (self.now, connection.latency_us);
        let end = &mut connection.ends[side];
        if connection.is_loopback {
            let packets: Vec<Vec<u8>> = std::iter::from_fn(|| end.next_packet(now)).collect();
            for bytes in packets {
                self.schedule(latency_us, Event::Arrive { link, side, packet: Packet::Bytes(bytes) });
            }
            return;
        }
        if !end.waits_for_link && end.has_packet() {
            end.waits_for_link = true;
            let machine = self.processes[end.process].machine;
            self.machines[machine].waiting.push_back((link, side));
            self.send_packet(machine);
        }
    }

    /// Sends the next packet of a machine. Its connections take turns.
    fn send_packet(&mut self, machine: usize) {
        while !self.machines[machine].is_sending {
            let Some((link, side)) = self.machines[machine].waiting.pop_front() else { return };
            let now = self.now;
            let Some(connection) = self.connections.get_mut(&link) else { continue };
            let end = &mut connection.ends[side];
            end.waits_for_link = false;
            let Some(bytes) = end.next_packet(now) else { continue };
            let checks = std::mem::replace(&mut end.checks_progress, true);
            let latency_us = connection.latency_us;
            let packet = Packet::Bytes(bytes);
            let time_us = (wire_bytes(&packet) as f64 / self.machines[machine].bytes_per_us) as u64;
            self.machines[machine].is_sending = true;
            self.machines[machine].sends_until = now + time_us;
            self.schedule(time_us, Event::LinkFree { machine });
            self.schedule(time_us + latency_us, Event::Arrive { link, side, packet });
            if !checks {
                self.schedule(USER_TIMEOUT_US, Event::CheckProgress { link, side });
            }
            self.send_waiting(link, side);
        }
    }

    /// A packet arrives at the machine of the other end, or is lost.
    fn arrive(&mut self, link: LinkId, side: usize, packet: Packet) {
        if !self.connections.contains_key(&link) {
            return;
        }
        let (from, to) = (self.machine_of(link, side), self.machine_of(link, 1 - side));
        let is_reachable = self.is_reachable(from, to);
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let is_loopback = connection.is_loopback;
        let end = &mut connection.ends[side];
        if !is_reachable || !end.lost.is_empty() {
            if end.lost.is_empty() && end.state != EndState::Closed {
                let delay_us = end.retransmission_delay_us;
                self.schedule(delay_us, Event::Retransmit { link, side });
            }
            if matches!(packet, Packet::Bytes(_)) {
                self.connections.get_mut(&link).expect("known").ends[side].lost.push_back(packet);
            }
            return;
        }
        if is_loopback {
            return self.deliver(link, side, packet);
        }
        let machine = &mut self.machines[to];
        let time_us = (wire_bytes(&packet) as f64 / machine.bytes_per_us) as u64;
        machine.receives_until = machine.receives_until.max(self.now) + time_us;
        let at = machine.receives_until;
        self.schedule_at(at, Event::Deliver { link, side, packet });
    }

    /// The kernel of the other end's machine receives a packet.
    fn deliver(&mut self, link: LinkId, side: usize, packet: Packet) {
        let Some(connection) = self.connections.get(&link) else { return };
        let latency_us = connection.latency_us;
        let end = &connection.ends[1 - side];
        let process = &self.processes[end.process];
        let is_gone = matches!(end.state, EndState::Closed | EndState::Broken)
            || process.host.is_none()
            || process.incarnation != end.incarnation;
        match packet {
            Packet::Close => self.push_link_item(link, 1 - side, Item::PeerClosed { link }),
            Packet::Bytes(_) if is_gone => self.schedule(latency_us, Event::Reset { link, side }),
            Packet::Bytes(bytes) => {
                self.schedule(latency_us, Event::Acknowledged { link, side, bytes: bytes.len() });
                self.push_link_item(link, 1 - side, Item::Data { link, bytes });
            }
        }
    }

    fn acknowledged(&mut self, link: LinkId, side: usize, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.ends[side].acknowledged(self.now, bytes);
        self.send_waiting(link, side);
    }

    fn retransmit(&mut self, link: LinkId, side: usize) {
        if !self.connections.contains_key(&link) {
            return;
        }
        let is_reachable = self.is_reachable(self.machine_of(link, side), self.machine_of(link, 1 - side));
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if !end.is_usable() {
            return;
        }
        if !is_reachable {
            end.retransmission_delay_us = (end.retransmission_delay_us * 2).max(RETRANSMISSION_DELAY_US);
            let delay_us = end.retransmission_delay_us;
            return self.schedule(delay_us, Event::Retransmit { link, side });
        }
        let lost = std::mem::take(&mut end.lost);
        end.resent.extend(lost);
        self.send_waiting(link, side);
    }

    fn check_progress(&mut self, link: LinkId, side: usize) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if !end.is_usable() || end.unacknowledged_bytes == 0 {
            end.checks_progress = false;
            return;
        }
        let due = end.progress_at + USER_TIMEOUT_US;
        match now >= due {
            true => self.break_end(link, side),
            false => self.schedule_at(due, Event::CheckProgress { link, side }),
        }
    }

    /// A connection fails at one end.
    fn break_end(&mut self, link: LinkId, side: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if end.is_usable() {
            end.state = EndState::Broken;
            self.push_link_item(link, side, Item::Failed { link });
            self.send_close(link, side);
        }
    }

    /// Closes a connection at one end.
    fn close(&mut self, link: LinkId, side: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if end.state != EndState::Closed {
            end.state = EndState::Closed;
            self.send_close(link, side);
            self.forget_if_closed(link);
        }
    }

    fn send_close(&mut self, link: LinkId, side: usize) {
        let machine = &self.machines[self.machine_of(link, side)];
        if machine.has_power {
            let at = self.now.max(machine.sends_until) + self.connections[&link].latency_us;
            self.schedule_at(at, Event::Arrive { link, side, packet: Packet::Close });
        }
    }

    fn forget_if_closed(&mut self, link: LinkId) {
        let Some(connection) = self.connections.get(&link) else { return };
        if connection.ends.iter().all(|end| end.state == EndState::Closed) {
            self.connections.remove(&link);
        }
    }
}

/// Faults.
impl World {
    fn command(&mut self, command: Command) {
        match command {
            Command::Configure { every_ms } => self.configure(every_ms * 1_000),
            Command::Churn { servers } => self.schedule(0, Event::Churn { servers }),
            Command::Fault { kind, machines, for_ms } => {
                let machines = self.select(&machines);
                self.begin_fault(kind, &machines);
                self.schedule(for_ms * 1_000, Event::EndFault { kind, machines });
            }
            Command::Restart { machines } => {
                for machine in self.select(&machines) {
                    self.restart(machine);
                }
            }
            Command::Roll { machines, every_ms } => {
                for (number, machine) in self.select(&machines).into_iter().enumerate() {
                    let name = self.places[machine].name.clone();
                    let command = Command::Restart { machines: vec![Selector::Machine(name)] };
                    self.schedule(number as u64 * every_ms * 1_000, Event::Command(command));
                }
            }
        }
    }

    /// Returns the selected machines, except for the root and those that have trouble now.
    fn select(&mut self, selectors: &[Selector]) -> Vec<usize> {
        let mut machines: Vec<usize> =
            selectors.iter().flat_map(|selector| self.matching(selector)).collect();
        machines.retain(|machine| *machine != ROOT);
        machines.sort_unstable();
        machines.dedup();
        assert!(!machines.is_empty(), "no machine matches {selectors:?}");
        machines.retain(|machine| !self.measurement.is_troubled(*machine));
        machines
    }

    fn matching(&mut self, selector: &Selector) -> Vec<usize> {
        let all = 0..self.places.len();
        let places = &self.places;
        match selector {
            Selector::Ranks { zone, first, last } => {
                let ranked = ranked_agents(places, zone);
                ranked[first - 1..*last].to_vec()
            }
            Selector::AgentsOf(zone) => ranked_agents(places, zone),
            Selector::Zone(zone) => all.filter(|machine| places[*machine].zone == zone).collect(),
            Selector::Region(region) => all.filter(|machine| places[*machine].region == region).collect(),
            Selector::Control(number) => vec![number - 1],
            Selector::Machine(name) => all.filter(|machine| places[*machine].name == *name).collect(),
            Selector::PercentOfAgents(percent) => {
                let agents: Vec<usize> = all.filter(|machine| !places[*machine].is_control_node).collect();
                let count = (agents.len() * percent).div_ceil(100);
                self.random.choose_multiple(agents, count)
            }
        }
    }

    fn begin_fault(&mut self, kind: FaultKind, machines: &[usize]) {
        let network = self.next_network;
        self.next_network += 1;
        for machine in machines {
            self.measurement.trouble_began(*machine);
            self.log(*machine, format!("{kind:?} begins"));
            match kind {
                FaultKind::Kill => self.end_processes(*machine),
                FaultKind::Power => {
                    self.machines[*machine].has_power = false;
                    self.end_processes(*machine);
                }
                FaultKind::Freeze => self.set_frozen(*machine, true),
                FaultKind::Cut => self.machines[*machine].network = network,
            }
        }
    }

    fn end_fault(&mut self, kind: FaultKind, machines: &[usize]) {
        for machine in machines {
            self.measurement.trouble_ended(self.now, *machine);
            self.log(*machine, format!("{kind:?} ends"));
            match kind {
                FaultKind::Kill => self.start_machine(*machine),
                FaultKind::Power => {
                    self.machines[*machine].has_power = true;
                    self.start_machine(*machine);
                }
                FaultKind::Freeze => self.set_frozen(*machine, false),
                FaultKind::Cut => self.machines[*machine].network = 0,
            }
        }
    }

    fn end_processes(&mut self, machine: usize) {
        self.machines[machine].restarts = false;
        for process in self.machines[machine].processes.clone() {
            self.end_process(process);
        }
    }

    fn set_frozen(&mut self, machine: usize, is_frozen: bool) {
        for process in self.machines[machine].processes.clone() {
            self.processes[process].is_frozen = is_frozen;
            self.schedule_run(process, self.now);
        }
    }

    fn restart(&mut self, machine: usize) {
        self.measurement.trouble_began(machine);
        self.log(machine, "is restarted");
        self.machines[machine].restarts = true;
        for process in self.machines[machine].processes.clone() {
            self.push_item(process, Item::Shutdown);
        }
    }
}
