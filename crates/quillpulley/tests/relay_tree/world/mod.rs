//! The simulated machines and their network in virtual time, in microseconds.

mod connections;
mod faults;
mod processes;

use crate::hosts::{Host, LinkId, ProcessKind};
use crate::measurement::Measurement;
use crate::network::{Connection, Packet};
use crate::published::{self, PublishedItems};
use crate::timeline::{Command, FaultKind};
use crate::topology::{places, AgentCounts, Place, ROOT};
use quillpulley_protocol::{Body, FrameEncoder};
use quillpulley_simulation::EventQueue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The interval at which the ages are checked.
const CHECK_INTERVAL_US: u64 = 50_000;
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
    EndPart { pairs: Vec<(usize, usize)> },
    StartMachine { machine: usize },
    Configure { every_us: u64 },
    Churn { servers: usize },
    CheckAges,
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
    queue: EventQueue<Event>,
    encoder: FrameEncoder,
    items: PublishedItems,
    random: fastrand::Rng,
    next_network: usize,
    /// The pairs of machines that do not reach each other although they are in the same network.
    parted: BTreeSet<(usize, usize)>,
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
            queue: EventQueue::default(),
            encoder: FrameEncoder::default(),
            items: PublishedItems::new(parameters.seed),
            random: fastrand::Rng::with_seed(parameters.seed),
            next_network: 1,
            parted: BTreeSet::new(),
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
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.dispatch(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now + delay_us, event);
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.queue.push(at, event);
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
            Event::EndPart { pairs } => self.parted.retain(|pair| !pairs.contains(pair)),
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
