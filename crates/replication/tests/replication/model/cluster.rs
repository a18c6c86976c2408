//! Three nodes and what is under way between them.

use quillpulley_replication::{Action, Event, Faults, Options, Replica, Role};
use quillpulley_wire::{Body, NodeId, Position};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::harness::disk::DiskImage;
use crate::harness::durability::{violation, Survivor};
use crate::harness::ledger::{Ledger, Order};

pub const NODES: usize = 3;
const TICK_MS: u64 = 50;
/// Long enough for every lease and timer to run out.
const LEAP_MS: u64 = 1200;
/// Messages under way on a link; others are lost.
const LINK_CAPACITY: usize = 4;

#[derive(Clone)]
pub struct Node {
    id: NodeId,
    replica: Replica<Ledger>,
    disk: DiskImage,
    /// A hash of all that the replica is.
    print: u64,
}

pub type Link = (usize, usize);

/// Three nodes and what is under way between them.
#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub links: BTreeMap<Link, VecDeque<(NodeId, Body)>>,
    pub faults: u8,
    pub next_order: u64,
    pub wiped: Option<NodeId>,
    pub acknowledged: Vec<Position>,
    /// For each base, the order that was acknowledged on it.
    pub taken_on: BTreeMap<u64, u64>,
    /// The epochs of the views that came into force.
    pub epochs_in_force: BTreeSet<u64>,
    pub faulty: Faults,
    /// An invariant that was broken in a step.
    pub broken: Option<String>,
}

impl Cluster {
    fn key(&self) -> impl Hash + PartialEq + '_ {
        let prints: Vec<u64> = self.nodes.iter().map(|node| node.print).collect();
        (self.now, prints, &self.links, self.faults, &self.acknowledged, &self.broken)
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
        write!(formatter, " | {:?}", self.broken)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Deliver(Link),
    Lose(Link),
    Tick(usize),
    /// Time passes, and nothing happens.
    Leap,
    Restart(usize),
    Wipe(usize),
    Propose(usize),
}

impl Cluster {
    pub fn new(faulty: Faults) -> Self {
        let ids: Vec<NodeId> = (0..NODES).map(|node| NodeId::new(address(node), 0)).collect();
        let start = |id: &NodeId| Node::new(*id, DiskImage::default(), 0, Some(ids.clone()), faulty);
        let nodes = ids.iter().map(start).collect();
        let mut cluster = Cluster {
            now: 0,
            nodes,
            links: BTreeMap::new(),
            faults: 0,
            next_order: 1,
            wiped: None,
            acknowledged: Vec::new(),
            taken_on: BTreeMap::new(),
            epochs_in_force: BTreeSet::new(),
            faulty,
            broken: None,
        };
        for node in 0..NODES {
            cluster.connect(node);
        }
        cluster
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Connects a node that has started with all others.
    fn connect(&mut self, node: usize) {
        for other in (0..NODES).filter(|other| *other != node) {
            self.links.remove(&(node, other));
            self.links.remove(&(other, node));
            for (one, two) in [(node, other), (other, node)] {
                let id = self.nodes[two].id;
                self.handle(one, Event::Connected(id));
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.time();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.nodes[node].replica.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.act(node, action));
            }
        }
        self.nodes[node].renew_print();
    }

    /// Does what a replica asks for; a write is durable at once.
    fn act(&mut self, node: usize, action: Action) -> Option<Event> {
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
                Some(Event::Stored { ticket, result: Ok(()) })
            }
            Action::Committed { order } => {
                self.acknowledge(node, order);
                None
            }
            Action::RoleChanged(Role::Primary { epoch, .. }) => {
                self.epochs_in_force.insert(epoch);
                None
            }
            _ => None,
        }
    }

    fn acknowledge(&mut self, node: usize, order: u64) {
        let Some(applied) = self.nodes[node].replica.state().find(order).copied() else {
            self.broken = Some(format!("order {order} is acknowledged and not applied"));
            return;
        };
        let Some(base) = applied.taken_on else { return };
        if *self.taken_on.entry(base).or_insert(order) != order {
            self.broken = Some(format!("two orders on {base} are acknowledged"));
        }
        self.acknowledged.push(applied.position);
    }

    pub fn take(&mut self, step: Step) {
        match step {
            Step::Deliver(link) => self.deliver(link),
            Step::Lose(link) => {
                self.faults += 1;
                self.links.entry(link).or_default().pop_front();
            }
            Step::Tick(node) => self.handle(node, Event::Tick),
            Step::Leap => {
                self.faults += 1;
                self.now += LEAP_MS;
            }
            Step::Restart(node) => {
                self.faults += 1;
                self.restart(node);
            }
            Step::Wipe(node) => {
                self.faults += 1;
                self.wiped = Some(self.nodes[node].id);
                self.nodes[node].id.incarnation += 1;
                self.nodes[node].disk = DiskImage::default();
                self.restart(node);
            }
            Step::Propose(node) => self.propose(node),
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
        self.nodes[node] = Node::new(id, disk, self.now, None, self.faulty);
        self.connect(node);
    }

    fn propose(&mut self, node: usize) {
        let base = self.nodes[node].replica.state().version();
        let order = self.next_order;
        self.next_order += 1;
        let payload = Order { number: order, base }.payload(order);
        self.handle(node, Event::Propose { order, payload });
    }

    pub fn leaders(&self) -> Vec<usize> {
        let leads = |node: &usize| {
            matches!(self.nodes[*node].replica.role(self.time()), Role::Primary { lease: true, .. })
        };
        (0..NODES).filter(leads).collect()
    }

    pub fn pending(&self) -> Option<Link> {
        self.links.iter().find(|(_, link)| !link.is_empty()).map(|(link, _)| *link)
    }

    /// What may go on without something that was acknowledged.
    pub fn violation(&self) -> Option<String> {
        let survivors: Vec<Survivor> =
            self.nodes.iter().map(|node| Survivor { id: node.id, disk: &node.disk }).collect();
        self.broken.clone().or_else(|| violation(&survivors, &self.acknowledged, 1))
    }

    /// Runs without faults, with the machines in `frozen` left alone, until something holds. Returns every state
    /// on the way.
    pub fn run(&mut self, frozen: &[usize], holds: impl Fn(&Cluster) -> bool) -> Vec<Cluster> {
        let mut passed = Vec::new();
        let limit = self.now + 10_000;
        while !holds(self) {
            assert!(self.now < limit, "it never comes to hold: {self:?}");
            let is_awake = |link: &Link| !frozen.contains(&link.0) && !frozen.contains(&link.1);
            let next = self.links.iter().find(|(link, queue)| is_awake(link) && !queue.is_empty());
            if let Some(link) = next.map(|(link, _)| *link) {
                self.take(Step::Deliver(link));
                passed.push(self.clone());
                continue;
            }
            self.now += TICK_MS;
            for node in (0..NODES).filter(|node| !frozen.contains(node)) {
                self.take(Step::Tick(node));
            }
            passed.push(self.clone());
        }
        passed
    }
}

impl Node {
    pub fn new(
        id: NodeId,
        disk: DiskImage,
        now: u64,
        bootstrap: Option<Vec<NodeId>>,
        faults: Faults,
    ) -> Self {
        let options = Options { me: id, bootstrap, seed: u64::from(id.ip), faults, ..Options::default() };
        let start = Duration::from_millis(now);
        let replica =
            Replica::new(options, disk.recovered(), Ledger::default(), start).expect("a sound disk");
        let mut node = Node { id, replica, disk, print: 0 };
        node.renew_print();
        node
    }

    fn renew_print(&mut self) {
        let mut print = Print(DefaultHasher::new());
        // A print cannot fail to be written.
        let _ = write!(print, "{:?}", self.replica);
        self.print = print.0.finish();
    }
}

/// Hashes what is written to it.
struct Print(DefaultHasher);

impl fmt::Write for Print {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn address(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + node as u8)
}

impl Cluster {
    /// How many nodes that exist are members of the leader's view.
    pub fn members(&self) -> usize {
        let Some(leader) = self.leaders().first().copied() else { return 0 };
        let Some(view) = self.nodes[leader].replica.view() else { return 0 };
        let is_member = |node: &&Node| view.primary == node.id || view.backups.contains(&node.id);
        self.nodes.iter().filter(is_member).count()
    }
}
