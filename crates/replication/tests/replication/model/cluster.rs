//! The state of the model: a few nodes and the messages in flight between them.

use quillpulley_protocol::{Body, NodeId, Position};
use quillpulley_replication::{Action, Event, FaultTolerance, Faults, Options, Replica, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::harness::command_history::{Command, CommandHistory};
use crate::harness::disk::DiskImage;

/// The number of bootstrap witnesses.
const BOOTSTRAP_WITNESSES: usize = 3;
/// The number of machines that may lose their disks at once.
pub(super) const TOLERATED_MACHINES: usize = 1;
const TICK_MS: u64 = 50;
/// Longer than a lease (900 ms), so that every granted lease expires.
const TIME_JUMP_MS: u64 = 1200;
/// The maximum number of messages in flight on a link; further messages are lost.
const LINK_CAPACITY: usize = 4;

#[derive(Clone)]
pub struct Node {
    pub(super) id: NodeId,
    pub(super) replica: Replica<CommandHistory>,
    pub(super) disk: DiskImage,
    /// How the process crashes at its next write; `None` if it does not.
    crash: Option<Crash>,
    /// Whether the node was removed permanently.
    pub(super) is_removed: bool,
    /// A hash of the whole state of the replica.
    fingerprint: u64,
}

/// Whether a process crashes before or after its write becomes durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Crash {
    Before,
    After,
}

/// The sender and the receiver.
pub type Link = (usize, usize);

/// A few nodes and the messages in flight between them.
#[derive(Clone)]
pub struct Cluster {
    /// The virtual time in milliseconds.
    pub now: u64,
    pub nodes: Vec<Node>,
    /// The messages in flight on each link, each with the node that it is sent to.
    pub links: BTreeMap<Link, VecDeque<(NodeId, Body)>>,
    /// The number of faults that have occurred in the current path.
    pub faults: u8,
    /// All commands so far; command number `n` is at index `n - 1`.
    pub commands: Vec<Command>,
    /// The command number of each proposal; proposal number `n` is at index `n - 1`.
    pub(super) proposals: Vec<u64>,
    /// Nodes whose disks are lost.
    pub(super) lost: Vec<NodeId>,
    /// The positions and numbers of the acknowledged commands, sorted by index.
    pub acknowledged: Vec<(Position, u64)>,
    /// The rejected commands.
    pub(super) rejected: BTreeSet<u64>,
    /// The command that was acknowledged on each base.
    pub accepted_on: BTreeMap<u64, u64>,
    /// The epochs of the views that were activated.
    pub activated_epochs: BTreeSet<u64>,
    pub injected_faults: Faults,
    compact_entries: usize,
    /// A description of the invariant that a step violated; `None` if there is none.
    pub violated_invariant: Option<String>,
}

impl Cluster {
    fn key(&self) -> impl Hash + PartialEq + '_ {
        let nodes: Vec<_> = self.nodes.iter().map(|node| (node.fingerprint, node.crash)).collect();
        let outcomes = (&self.acknowledged, &self.rejected);
        (self.now, nodes, &self.links, self.faults, &self.proposals, outcomes, &self.violated_invariant)
    }
}

impl Hash for Cluster {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

impl PartialEq for Cluster {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl fmt::Debug for Cluster {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.now)?;
        for node in &self.nodes {
            write!(formatter, " | {:?} {:?}", node.replica.role(self.time()), node.disk)?;
        }
        write!(formatter, " | {:?}", self.violated_invariant)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Deliver(Link),
    Lose(Link),
    Tick(usize),
    /// Time advances by `TIME_JUMP_MS` without any other event.
    AdvanceTime,
    Restart(usize),
    Wipe(usize),
    Propose(usize),
    /// Sends the latest command again.
    Resend(usize),
    /// Makes the process crash at its next write and restart.
    CrashInWrite(usize, Crash),
}

impl Cluster {
    /// Creates `count` nodes that start for the first time. A log is compacted once it has more than
    /// `compact_entries`.
    pub fn new(count: usize, injected_faults: Faults, compact_entries: usize) -> Self {
        let ids: Vec<NodeId> = (0..count).map(|node| NodeId::new(address(node), 0)).collect();
        let mut cluster = Cluster {
            now: 0,
            nodes: Vec::new(),
            links: BTreeMap::new(),
            faults: 0,
            commands: Vec::new(),
            proposals: Vec::new(),
            lost: Vec::new(),
            acknowledged: Vec::new(),
            rejected: BTreeSet::new(),
            accepted_on: BTreeMap::new(),
            activated_epochs: BTreeSet::new(),
            injected_faults,
            compact_entries,
            violated_invariant: None,
        };
        for id in &ids {
            let bootstrap_witnesses = ids[..BOOTSTRAP_WITNESSES].to_vec();
            cluster.nodes.push(cluster.start_node(*id, DiskImage::default(), Some(bootstrap_witnesses)));
        }
        for node in 0..count {
            cluster.connect(node);
        }
        cluster
    }

    fn start_node(&self, id: NodeId, disk: DiskImage, bootstrap: Option<Vec<NodeId>>) -> Node {
        let options = Options {
            me: id,
            bootstrap,
            seed: u64::from(id.ip),
            faults: self.injected_faults,
            fault_tolerance: FaultTolerance { machines: TOLERATED_MACHINES, zones: 0, regions: 0 },
            compact_entries: self.compact_entries,
            ..Options::default()
        };
        let replica = Replica::new(options, disk.recovered(), CommandHistory::default(), self.time())
            .expect("the disk is corrupt");
        let mut node = Node { id, replica, disk, crash: None, is_removed: false, fingerprint: 0 };
        node.update_fingerprint();
        node
    }

    /// Returns the nodes that were not removed.
    pub fn present(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_removed).collect()
    }

    pub(super) fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Connects a node that has started to all others. Messages in flight on its links are lost.
    fn connect(&mut self, node: usize) {
        for other in self.present().into_iter().filter(|other| *other != node) {
            self.links.remove(&(node, other));
            self.links.remove(&(other, node));
            for (one, two) in [(node, other), (other, node)] {
                let id = self.nodes[two].id;
                self.handle(one, Event::Connected(id));
            }
        }
    }

    pub(super) fn handle(&mut self, node: usize, event: Event) {
        let now = self.time();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.nodes[node].replica.handle(now, event, &mut actions);
            for action in actions {
                if matches!(action, Action::Store { .. }) && self.nodes[node].crash.is_some() {
                    self.crash(node, action);
                    return;
                }
                events.extend(self.perform_action(node, action));
            }
        }
        self.nodes[node].update_fingerprint();
    }

    /// Carries out an action of a replica. A write is durable at once. Returns the event that results, if
    /// any.
    fn perform_action(&mut self, node: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send { to, body } => {
                if let Some(target) = self.nodes.iter().position(|other| other.id == to) {
                    let link = self.links.entry((node, target)).or_default();
                    if link.len() < LINK_CAPACITY {
                        link.push_back((to, body));
                    }
                }
                None
            }
            Action::Store { ticket, write } => {
                self.nodes[node].disk.apply(write);
                Some(Event::WriteCompleted { ticket, result: Ok(()) })
            }
            Action::Committed { proposal } => {
                self.acknowledge(node, proposal);
                None
            }
            Action::RoleChanged(Role::Primary { epoch, .. }) => {
                self.activated_epochs.insert(epoch);
                None
            }
            _ => None,
        }
    }

    /// Crashes the process in a write and restarts it.
    fn crash(&mut self, node: usize, store: Action) {
        if let (Action::Store { write, .. }, Some(Crash::After)) = (store, self.nodes[node].crash) {
            self.nodes[node].disk.apply(write);
        }
        self.restart(node);
    }

    pub fn perform(&mut self, step: Step) {
        match step {
            Step::Deliver(link) => self.deliver(link),
            Step::Lose(link) => {
                self.faults += 1;
                self.links.entry(link).or_default().pop_front();
            }
            Step::Tick(node) => self.handle(node, Event::Tick),
            Step::AdvanceTime => {
                self.faults += 1;
                self.now += TIME_JUMP_MS;
            }
            Step::Restart(node) => {
                self.faults += 1;
                self.restart(node);
            }
            Step::Wipe(node) => {
                self.faults += 1;
                self.lost.push(self.nodes[node].id);
                self.nodes[node].id.incarnation += 1;
                self.nodes[node].disk = DiskImage::default();
                self.restart(node);
            }
            Step::Propose(node) => self.propose(node),
            Step::Resend(node) => {
                if let Some(command) = self.commands.last().copied() {
                    self.send_command(node, command);
                }
            }
            Step::CrashInWrite(node, crash) => {
                self.faults += 1;
                self.nodes[node].crash = Some(crash);
            }
        }
        self.links.retain(|_, link| !link.is_empty());
    }

    fn deliver(&mut self, link: Link) {
        let Some((to, body)) = self.links.get_mut(&link).and_then(VecDeque::pop_front) else { return };
        let (from, target) = link;
        if self.nodes[target].id == to {
            let from = self.nodes[from].id;
            self.handle(target, Event::Message { from, body });
        }
    }

    fn restart(&mut self, node: usize) {
        let Node { id, disk, .. } = self.nodes[node].clone();
        self.nodes[node] = self.start_node(id, disk, None);
        self.connect(node);
    }

    /// Removes a node permanently and adds another one at a new address. Returns the number of the new node.
    pub fn replace(&mut self, node: usize) -> usize {
        self.remove(node);
        let number = self.nodes.len();
        let id = NodeId::new(address(number), 1);
        self.nodes.push(self.start_node(id, DiskImage::default(), None));
        self.connect(number);
        number
    }

    /// Removes a node permanently, with its disk.
    pub fn remove(&mut self, node: usize) {
        let id = self.nodes[node].id;
        self.lost.push(id);
        self.nodes[node].is_removed = true;
        self.nodes[node].disk = DiskImage::default();
        self.links.retain(|link, _| link.0 != node && link.1 != node);
        for other in self.present() {
            self.handle(other, Event::Disconnected(id));
        }
    }

    fn propose(&mut self, node: usize) {
        let base = self.nodes[node].replica.state().version();
        let command = Command { number: self.commands.len() as u64 + 1, base };
        self.commands.push(command);
        self.send_command(node, command);
    }

    fn send_command(&mut self, node: usize, command: Command) {
        self.proposals.push(command.number);
        let proposal = self.proposals.len() as u64;
        self.handle(node, Event::Propose { proposal, payload: command.payload(proposal) });
    }

    /// Returns the number of proposals so far.
    pub fn proposal_count(&self) -> usize {
        self.proposals.len()
    }

    /// Returns the first link with a message in flight.
    pub fn first_pending_link(&self) -> Option<Link> {
        self.links.iter().find(|(_, link)| !link.is_empty()).map(|(link, _)| *link)
    }

    /// Runs without faults until a condition holds. The nodes in `frozen` receive no events. Returns the
    /// state after each step.
    pub fn run(&mut self, frozen: &[usize], condition: impl Fn(&Cluster) -> bool) -> Vec<Cluster> {
        let mut states = Vec::new();
        let limit = self.now + 10_000;
        while !condition(self) {
            assert!(self.now < limit, "the condition does not hold within 10 s: {self:?}");
            let is_active = |link: &Link| !frozen.contains(&link.0) && !frozen.contains(&link.1);
            let next = self.links.iter().find(|(link, queue)| is_active(link) && !queue.is_empty());
            if let Some(link) = next.map(|(link, _)| *link) {
                self.perform(Step::Deliver(link));
                states.push(self.clone());
                continue;
            }
            self.now += TICK_MS;
            for node in self.present().into_iter().filter(|node| !frozen.contains(node)) {
                self.perform(Step::Tick(node));
            }
            states.push(self.clone());
        }
        states
    }
}

impl Node {
    fn update_fingerprint(&mut self) {
        let mut fingerprint = Fingerprint(DefaultHasher::new());
        // Writing to a hasher never fails.
        let _ = write!(fingerprint, "{:?}", self.replica);
        self.fingerprint = fingerprint.0.finish();
    }
}

/// Hashes the text that is written to it.
struct Fingerprint(DefaultHasher);

impl fmt::Write for Fingerprint {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn address(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + node as u8)
}
