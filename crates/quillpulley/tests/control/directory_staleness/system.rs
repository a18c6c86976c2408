//! A simulation in virtual time of three control nodes with their directories, and six agents.

use quillpulley::control::directory::builder::{DirectoryBuilder, DirectoryInputs};
use quillpulley::control::directory::{Coverage, Directory};
use quillpulley::control::distribution::endpoint_registry::EndpointRegistry;
use quillpulley_protocol::{Body, EndpointState, ProxyEndpoint};
use quillpulley_state_sync::{Action, Event, LocalReport, Options, SyncNode};
use std::collections::VecDeque;
use std::time::Duration;

pub(super) const CONTROL_NODE_COUNT: usize = 3;
pub(super) const AGENT_COUNT: usize = 6;
/// Time between two ticks of each process.
pub(super) const TICK: Duration = Duration::from_millis(50);
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a node without fresh state gives up its parent: an agent tries another control node, and
/// a control node subscribes to the primary again.
pub(super) const PARENT_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub(super) fn agent(number: usize) -> usize {
    CONTROL_NODE_COUNT + number
}

pub(super) fn name(number: usize) -> String {
    format!("front-{number}")
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Running,
    /// Suspended or without power: its links stay open, but carry no messages.
    Unresponsive,
    /// Killed: its links have been closed.
    Ended,
}

pub(super) struct Node {
    pub(super) sync_node: SyncNode<usize>,
    pub(super) state: State,
    pub(super) region: usize,
    pub(super) parent: Option<usize>,
    pub(super) parent_since: Duration,
    /// The directory builder, which is used only by control nodes.
    pub(super) builder: DirectoryBuilder,
    pub(super) directory: Directory,
    pub(super) directory_changed: bool,
    pub(super) reports_changed: bool,
    /// The registry of the published proxies; `None` unless the node is the primary.
    pub(super) registry: Option<EndpointRegistry>,
    pub(super) heartbeat_at: Duration,
}

impl Node {
    pub(super) fn new(number: usize, now: Duration) -> Self {
        let (region, options) = match number.checked_sub(CONTROL_NODE_COUNT) {
            None => (number, Options::control_node(&format!("core-{number}"))),
            Some(agent) => (agent / 2, Options::new(&name(agent))),
        };
        Node {
            sync_node: SyncNode::new(options),
            state: State::Running,
            region,
            parent: None,
            parent_since: now,
            builder: DirectoryBuilder::default(),
            directory: Directory::default(),
            directory_changed: true,
            reports_changed: true,
            registry: None,
            heartbeat_at: now,
        }
    }
}

pub(super) struct System {
    pub(super) now: Duration,
    pub(super) nodes: Vec<Node>,
    pub(super) queue: VecDeque<(usize, Event<usize>)>,
    /// The region whose nodes are partitioned from all others; `None` without a partition.
    pub(super) partitioned_region: Option<usize>,
    pub(super) epoch: u64,
}

impl System {
    /// Returns a system in which all nodes run and every directory lists all proxies. Control node 0 is the
    /// primary.
    pub(super) fn stable() -> Self {
        let now = Duration::ZERO;
        let nodes = (0..CONTROL_NODE_COUNT + AGENT_COUNT).map(|number| Node::new(number, now)).collect();
        let mut system = System { now, nodes, queue: VecDeque::new(), partitioned_region: None, epoch: 0 };
        system.elect(0);
        (0..AGENT_COUNT).for_each(|number| system.report(number, EndpointState::Ready, 1));
        system.advance(ms(10_000));
        let listed: Vec<Vec<String>> =
            (0..CONTROL_NODE_COUNT).map(|control_node| system.listed(control_node)).collect();
        assert!(
            listed.iter().all(|listed| listed.len() == AGENT_COUNT),
            "not all proxies are listed: {listed:?}"
        );
        system
    }

    pub(super) fn reaches(&self, one: usize, other: usize) -> bool {
        let is_partitioned = |node: usize| Some(self.nodes[node].region) == self.partitioned_region;
        let run = [one, other].iter().all(|node| self.nodes[*node].state == State::Running);
        run && is_partitioned(one) == is_partitioned(other)
    }

    pub(super) fn report(&mut self, number: usize, state: EndpointState, incarnation: u64) {
        let node = agent(number);
        let region = format!("region-{}", self.nodes[node].region);
        let endpoint = ProxyEndpoint {
            name: name(number),
            ip: number as u32,
            zone: region.clone(),
            region,
            address: name(number),
            state,
            incarnation,
            preferred_regions: Vec::new(),
        };
        let report = LocalReport { endpoint: Some(endpoint), proxies: 1, ..LocalReport::default() };
        self.handle_event(node, Event::LocalReport(report));
    }

    pub(super) fn elect(&mut self, control_node: usize) {
        for other in 0..CONTROL_NODE_COUNT {
            if self.nodes[other].registry.take().is_some() && self.nodes[other].state == State::Running {
                self.handle_event(other, Event::LeaveRoot);
            }
        }
        self.epoch += 1;
        let node = &mut self.nodes[control_node];
        node.registry = Some(EndpointRegistry::inherit(self.now, node.sync_node.store().iter()));
        node.reports_changed = true;
        node.parent = None;
        self.handle_event(control_node, Event::BecomeRoot { epoch: self.epoch });
        self.handle_event(control_node, Event::Heartbeat);
    }

    pub(super) fn primary(&self) -> Option<usize> {
        (0..CONTROL_NODE_COUNT).find(|control_node| self.nodes[*control_node].registry.is_some())
    }

    pub(super) fn fail(&mut self, node: usize, state: State) {
        self.nodes[node].state = state;
        if state == State::Ended {
            for other in 0..self.nodes.len() {
                if self.nodes[other].parent == Some(node) {
                    self.nodes[other].parent = None;
                    self.handle_event(other, Event::ParentDown);
                }
                self.handle_event(other, Event::ChildDown(node));
            }
        }
    }

    /// Ends the partition. Messages that it blocked are lost, and the links across it are closed and opened
    /// again.
    pub(super) fn heal(&mut self) {
        let Some(region) = self.partitioned_region else { return };
        for node in 0..self.nodes.len() {
            let across = |parent: &usize| {
                (self.nodes[node].region == region) != (self.nodes[*parent].region == region)
            };
            if let Some(parent) = self.nodes[node].parent.filter(across) {
                self.nodes[node].parent = None;
                self.handle_event(parent, Event::ChildDown(node));
                self.handle_event(node, Event::ParentDown);
            }
        }
        self.partitioned_region = None;
    }

    /// Restarts a process, which loses its state.
    pub(super) fn restart(&mut self, node: usize) {
        self.fail(node, State::Ended);
        self.nodes[node] = Node::new(node, self.now);
        if node >= CONTROL_NODE_COUNT {
            self.report(node - CONTROL_NODE_COUNT, EndpointState::Ready, 2 + self.now.as_millis() as u64);
        }
    }

    pub(super) fn handle_event(&mut self, node: usize, event: Event<usize>) {
        self.queue.push_back((node, event));
        while let Some((node, event)) = self.queue.pop_front() {
            if self.nodes[node].state != State::Running {
                continue;
            }
            let mut actions = Vec::new();
            self.nodes[node].sync_node.handle(self.now, event, &mut actions);
            actions.into_iter().for_each(|action| self.perform(node, action));
        }
    }

    pub(super) fn perform(&mut self, node: usize, action: Action<usize>) {
        match action {
            Action::SendParent(body) => self.send_parent(node, body),
            Action::SendChild(child, body) => self.send_child(node, child, body),
            Action::SendChildren(children, body) => {
                children.into_iter().for_each(|child| self.send_child(node, child, body.clone()));
            }
            Action::DropChild(child) => {
                if self.nodes[child].parent == Some(node) {
                    self.nodes[child].parent = None;
                    self.queue.push_back((child, Event::ParentDown));
                }
            }
            Action::Changed(changed) => {
                let node = &mut self.nodes[node];
                node.directory_changed |= node.builder.items_changed(&changed);
            }
            Action::EndpointsChanged => {
                self.nodes[node].directory_changed = true;
                self.nodes[node].reports_changed = true;
            }
            Action::TotalsChanged => {}
        }
    }

    pub(super) fn send_parent(&mut self, node: usize, body: Body) {
        if let Some(parent) = self.nodes[node].parent.filter(|parent| self.reaches(node, *parent)) {
            self.queue.push_back((parent, Event::ChildFrame(node, body)));
        }
    }

    pub(super) fn send_child(&mut self, node: usize, child: usize, body: Body) {
        if self.nodes[child].parent == Some(node) && self.reaches(node, child) {
            self.queue.push_back((child, Event::ParentFrame(body)));
        }
    }

    pub(super) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for node in 0..self.nodes.len() {
                if self.nodes[node].state == State::Running {
                    self.choose_parent(node);
                    self.handle_event(node, Event::Tick);
                    self.publish(node);
                }
            }
            (0..CONTROL_NODE_COUNT).for_each(|control_node| self.rebuild_directory(control_node));
        }
    }

    /// Chooses the parent of a node: the primary for control nodes, and for agents the control node of their
    /// region or else the others in turn.
    pub(super) fn choose_parent(&mut self, node: usize) {
        let current = self.nodes[node].parent;
        let has_recent_parent = self.now < self.nodes[node].parent_since + PARENT_TIMEOUT;
        let fresh = self.nodes[node].sync_node.is_fresh(self.now);
        let candidate = if node < CONTROL_NODE_COUNT {
            self.primary().filter(|primary| *primary != node && !self.nodes[node].sync_node.is_root())
        } else if current.is_some() && (fresh || has_recent_parent) {
            current
        } else {
            let first = current.map_or(self.nodes[node].region, |current| current + 1);
            (first..first + CONTROL_NODE_COUNT)
                .map(|control_node| control_node % CONTROL_NODE_COUNT)
                .find(|control_node| self.reaches(node, *control_node))
        };
        let must_resubscribe = node < CONTROL_NODE_COUNT && !fresh && !has_recent_parent;
        if candidate == current && !must_resubscribe {
            return;
        }
        if let Some(parent) = current.filter(|parent| Some(*parent) != candidate) {
            self.handle_event(parent, Event::ChildDown(node));
        }
        self.nodes[node].parent = candidate;
        self.nodes[node].parent_since = self.now;
        if let Some(parent) = candidate.filter(|parent| self.reaches(node, *parent)) {
            self.handle_event(parent, Event::ChildUp(node));
            self.handle_event(node, Event::ParentUp);
        }
    }

    pub(super) fn publish(&mut self, control_node: usize) {
        let now = self.now;
        let node = &mut self.nodes[control_node];
        let Some(registry) = &mut node.registry else { return };
        let changes = if std::mem::take(&mut node.reports_changed) {
            registry.update(now, node.sync_node.subtree())
        } else {
            registry.tick(now)
        };
        if !changes.is_empty() {
            self.handle_event(control_node, Event::Publish(changes));
        } else if now >= node.heartbeat_at + HEARTBEAT_INTERVAL {
            node.heartbeat_at = now;
            self.handle_event(control_node, Event::Heartbeat);
        }
    }

    pub(super) fn rebuild_directory(&mut self, control_node: usize) {
        let now = self.now;
        let node = &mut self.nodes[control_node];
        let depends_on_time = node.builder.depends_on_time(node.sync_node.is_fresh(now));
        if node.state == State::Running && (std::mem::take(&mut node.directory_changed) || depends_on_time) {
            node.directory = node.builder.build(now, &DirectoryInputs::at(now, &node.sync_node));
        }
    }

    /// Returns the names of the proxies that the directory of a control node knows, with draining ones in
    /// parentheses; none if it knows too few to answer.
    pub(super) fn listed(&self, control_node: usize) -> Vec<String> {
        let directory = &self.nodes[control_node].directory;
        if self.nodes[control_node].state != State::Running || directory.coverage == Coverage::TooFew {
            return Vec::new();
        }
        let names = directory.endpoints.iter().map(|endpoint| match endpoint.state {
            EndpointState::Draining => format!("({})", endpoint.name),
            EndpointState::Starting | EndpointState::Ready => endpoint.name.clone(),
        });
        names.collect()
    }

    pub(super) fn is_listed_by(&self, number: usize, control_nodes: &[usize]) -> bool {
        control_nodes.iter().any(|control_node| self.listed(*control_node).contains(&name(number)))
    }

    /// Runs the system for 20 s. Returns the time in milliseconds after which none of these directories
    /// listed any of these proxies any more.
    pub(super) fn time_until_delisted(&mut self, numbers: &[usize], control_nodes: &[usize]) -> u128 {
        let (start, mut last) = (self.now, self.now);
        for _ in 0..400 {
            self.advance(TICK);
            if numbers.iter().any(|number| self.is_listed_by(*number, control_nodes)) {
                last = self.now;
            }
        }
        (last - start).as_millis()
    }
}
