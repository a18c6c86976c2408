//! The machines, the time, and what is under way between them.

use super::checker::Checker;
use super::disk::{DiskImage, DiskMode};
use super::network::{Network, NetworkOptions};
use super::node::{CallId, Fault, Input, Node, Output};
use super::operator::Operator;
use super::orders::Wish;
use quillpulley::control::response::Response;
use quillpulley_protocol::{Body, NodeId};
use quillpulley_replication::{Event, Locality, Write, WriteFailed};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

pub(super) const TICK_MS: u64 = 50;
const POLL_MS: u64 = 10;
const DISK_MS: u64 = 2;
/// How long a process takes to notice that a connection is dead.
const NOTICE_MS: u64 = 300;

/// A machine: an address, a disk, and a process if one runs.
pub struct Machine {
    pub id: NodeId,
    pub disk: DiskImage,
    pub mode: DiskMode,
    pub bootstrap: bool,
    pub node: Option<Node>,
    pub life: u64,
    pub started_at: u64,
    pub frozen: bool,
    /// What comes while the process is frozen.
    pub held: VecDeque<Input>,
    pub write: Option<(u64, Write)>,
    /// The lives that the process has a connection to, and since when none could be made.
    pub connections: BTreeMap<usize, (NodeId, u64)>,
    pub broken_since: BTreeMap<usize, u64>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Happening {
    Deliver { to: usize, id: NodeId, from: NodeId, body: Body },
    WriteCompletion { machine: usize, life: u64, ticket: u64 },
    Tick { machine: usize, life: u64 },
    Operation { machine: usize, call: CallId },
    Poll { operator: usize },
}

pub struct World {
    pub now: u64,
    pub fault: Fault,
    pub tolerated: usize,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub checker: Checker,
    pub operators: Vec<Operator>,
    /// Answers, or the ends of connections, by the time from which their callers can see them.
    pub announced: BTreeMap<CallId, (u64, Option<Response>)>,
    /// Answers lost of a hundred.
    pub lost_answers: u32,
    pub random: fastrand::Rng,
    /// The machine that each call was sent to.
    pub(super) handle_request: Vec<usize>,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    sequence: u64,
}

impl World {
    /// Machines that are the first witnesses, all running.
    pub fn new(seed: u64, count: usize, network: NetworkOptions, fault: Fault) -> Self {
        let mut world = World {
            now: 0,
            fault,
            tolerated: count / 2,
            machines: Vec::new(),
            network: Network::new(network),
            checker: Checker::default(),
            operators: Vec::new(),
            announced: BTreeMap::new(),
            lost_answers: 0,
            random: fastrand::Rng::with_seed(seed),
            handle_request: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
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
        self.plan(POLL_MS, Happening::Poll { operator });
    }

    /// Sends a call to a machine.
    pub fn call(&mut self, machine: usize, wish: &Wish) -> CallId {
        let call = self.checker.sent(self.now, wish);
        self.handle_request.push(machine);
        let delay = self.random.u64(1..20);
        self.plan(delay, Happening::Operation { machine, call });
        call
    }

    /// What the caller of a call sees by now: an answer, the end of its connection, or nothing.
    pub fn answer(&self, call: CallId) -> Option<&Option<Response>> {
        self.announced.get(&call).filter(|(at, _)| *at <= self.now).map(|(_, answer)| answer)
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        self.run_until(milliseconds, |_| false);
    }

    /// Runs until something holds, at most for some time; says whether it came to hold.
    pub fn run_until(&mut self, milliseconds: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + milliseconds;
        while !holds(self) {
            let is_due = self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end);
            let Some(Reverse((at, _, happening))) = is_due.then(|| self.queue.pop()).flatten() else {
                self.now = end;
                return holds(self);
            };
            self.now = at;
            self.happen(happening);
        }
        true
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver { to, id, from, body } => {
                if self.machines[to].id == id {
                    self.handle(to, Input::Event(Event::Message { from, body }));
                }
            }
            Happening::WriteCompletion { machine, life, ticket } => {
                self.handle_write_completed(machine, life, ticket)
            }
            Happening::Tick { machine, life } => {
                if self.lives(machine, life) {
                    self.check_connections(machine);
                    if !self.machines[machine].frozen {
                        self.handle(machine, Input::Event(Event::Tick));
                    }
                    self.plan(TICK_MS, Happening::Tick { machine, life });
                }
            }
            Happening::Operation { machine, call } => self.deliver_call(machine, call),
            Happening::Poll { operator } => {
                self.poll(operator);
                let pause = POLL_MS + self.random.u64(0..POLL_MS);
                self.plan(pause, Happening::Poll { operator });
            }
        }
    }

    fn poll(&mut self, operator: usize) {
        let mut taken = std::mem::replace(&mut self.operators[operator], Operator::new(operator));
        taken.poll(self);
        self.operators[operator] = taken;
    }

    fn deliver_call(&mut self, machine: usize, call: CallId) {
        if !self.checker.calls[call].open {
            // The machine was killed meanwhile.
            return;
        }
        if self.machines[machine].node.is_none() {
            return self.end_call(call, None);
        }
        let input = match self.checker.calls[call].wish.order() {
            Some(order) => Input::Command(call, order),
            None => Input::Read(call),
        };
        self.handle(machine, input);
    }

    /// A call is answered, or its process has gone.
    pub(super) fn end_call(&mut self, call: CallId, answer: Option<Response>) {
        self.checker.ended(self.now, call, answer.as_ref());
        let is_lost = answer.is_some() && self.random.u32(0..100) < self.lost_answers;
        if !is_lost {
            let at = self.now + self.random.u64(1..20);
            self.announced.insert(call, (at, answer));
        }
    }

    fn handle_write_completed(&mut self, machine: usize, life: u64, ticket: u64) {
        let slot = &mut self.machines[machine];
        let is_current = slot.write.as_ref().is_some_and(|(current, _)| *current == ticket);
        if slot.node.is_none() || slot.life != life || !is_current || slot.mode == DiskMode::Hangs {
            return;
        }
        let Some((_, write)) = slot.write.take() else { return };
        let result = if slot.mode == DiskMode::Full {
            Err(WriteFailed)
        } else {
            slot.disk.apply(write);
            Ok(())
        };
        self.handle(machine, Input::Event(Event::WriteCompleted { ticket, result }));
    }

    /// Makes and drops connections as the network and the processes are.
    fn check_connections(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            let target = &self.machines[other];
            let is_open = target.node.is_some() && self.network.is_open(machine, other);
            let wanted = is_open.then_some((target.id, target.life));
            let slot = &mut self.machines[machine];
            let current = slot.connections.get(&other).copied();
            if current == wanted {
                slot.broken_since.remove(&other);
                continue;
            }
            let since = *slot.broken_since.entry(other).or_insert(self.now);
            if let Some((id, _)) = current {
                if self.now >= since + NOTICE_MS {
                    slot.connections.remove(&other);
                    self.handle(machine, Input::Event(Event::Disconnected(id)));
                }
            } else if let Some((id, life)) = wanted {
                slot.connections.insert(other, (id, life));
                let place = Locality { zone: zone(other), region: "region".to_string() };
                self.handle(machine, Input::Event(Event::LocalityLearned { node: id, locality: place }));
                self.handle(machine, Input::Event(Event::Connected(id)));
            }
        }
    }

    pub(super) fn handle(&mut self, machine: usize, input: Input) {
        let now = self.local(machine);
        let slot = &mut self.machines[machine];
        let Some(node) = &mut slot.node else { return };
        if slot.frozen {
            slot.held.push_back(input);
            return;
        }
        for output in node.handle(now, input) {
            self.act(machine, output);
        }
        self.check(machine);
    }

    fn act(&mut self, machine: usize, output: Output) {
        match output {
            Output::Send(to, body) => self.send(machine, to, body),
            Output::Store(ticket, write) => {
                let life = self.machines[machine].life;
                self.machines[machine].write = Some((ticket, write));
                let delay = DISK_MS + self.random.u64(0..4);
                self.plan(delay, Happening::WriteCompletion { machine, life, ticket });
            }
            Output::Applied { index, entry } => self.checker.applied(index, entry),
            Output::Response(call, answer) => self.end_call(call, Some(answer)),
        }
    }

    fn check(&mut self, machine: usize) {
        let now = self.local(machine);
        let Some(node) = &self.machines[machine].node else { return };
        let state = node.replica.state();
        if state.version() > 0 {
            self.checker.shown(state);
        }
        if node.holds_lease(now) {
            self.checker.check_leader(state);
        }
    }

    fn send(&mut self, machine: usize, to: NodeId, body: Body) {
        let from = self.machines[machine].id;
        let Some(target) = self.machines.iter().position(|other| other.id == to) else { return };
        for delay in self.network.deliveries(machine, target, &mut self.random) {
            let body = body.clone();
            self.plan(delay, Happening::Deliver { to: target, id: to, from, body });
        }
    }

    pub(super) fn lives(&self, machine: usize, life: u64) -> bool {
        self.machines[machine].node.is_some() && self.machines[machine].life == life
    }

    pub(super) fn local(&self, machine: usize) -> Duration {
        Duration::from_millis(self.now - self.machines[machine].started_at)
    }

    pub(super) fn plan(&mut self, delay: u64, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence, happening)));
    }
}

impl Machine {
    fn new(id: NodeId) -> Self {
        Machine {
            id,
            disk: DiskImage::default(),
            mode: DiskMode::Good,
            bootstrap: true,
            node: None,
            life: 0,
            started_at: 0,
            frozen: false,
            held: VecDeque::new(),
            write: None,
            connections: BTreeMap::new(),
            broken_since: BTreeMap::new(),
        }
    }
}

pub fn address(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + machine as u8)
}

/// Each machine stands in a zone of its own.
pub fn zone(machine: usize) -> String {
    format!("zone {machine}")
}
