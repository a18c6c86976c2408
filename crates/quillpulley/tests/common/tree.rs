//! Simulated nodes at the root and at the leaves of the relay tree: a control node that publishes, and a proxy.

use super::{expect, hello};
use quillpulley::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{Body, EndpointState, PeerKind, ProxyEndpoint};
use quillpulley_state_sync::{Action, Change, Event, LocalReport, Options, SyncNode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{interval, Instant};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a simulated node, as a test observes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeState {
    /// The published items.
    pub items: BTreeMap<String, Vec<u8>>,
    /// The states of the reported proxies by their names.
    pub endpoints: BTreeMap<String, EndpointState>,
    /// The names of the suspected proxies.
    pub suspects: BTreeSet<String>,
    /// The number of reported proxies.
    pub proxies: u32,
    /// The names of the children.
    pub children: BTreeSet<String>,
    /// Whether the revision of the published state has advanced recently.
    pub fresh: bool,
    /// The number of links to a parent that were lost.
    pub parents_lost: u32,
}

impl NodeState {
    /// Returns whether an item has this value.
    pub fn holds(&self, key: &str, value: &[u8]) -> bool {
        self.items.get(key).is_some_and(|held| held == value)
    }
}

enum Command {
    Publish(Vec<Change>),
    Report(LocalReport),
    StopHeartbeats,
}

/// A simulated node that runs in a task of its own. Dropping it closes its links.
pub struct Node {
    commands: UnboundedSender<Command>,
    state: watch::Receiver<NodeState>,
    task: AbortHandle,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Node {
    /// Starts a control node that publishes in this epoch.
    pub fn control_node(listener: TcpListener, epoch: u64) -> Node {
        let (peers, events) = Peers::new(hello(PeerKind::Control, "core"));
        peers.listen(listener);
        let node = SyncNode::new(Options::control_node("core"));
        Node::start(SimulatedNode::new(peers, events, node, None), Some(epoch))
    }

    /// Starts a proxy with this endpoint, which connects to the agent at this address.
    pub fn proxy(agent: SocketAddr, endpoint: ProxyEndpoint) -> Node {
        let (peers, events) = Peers::new(hello(PeerKind::Proxy, &endpoint.name));
        let parent = peers.connect(agent);
        let mut node = SyncNode::new(Options::new(&endpoint.name));
        let report = LocalReport { endpoint: Some(endpoint), proxies: 1, ..LocalReport::default() };
        node.handle(Duration::ZERO, Event::LocalReport(report), &mut Vec::new());
        Node::start(SimulatedNode::new(peers, events, node, Some(parent)), None)
    }

    fn start(mut running: SimulatedNode, epoch: Option<u64>) -> Node {
        let (commands, receiver) = unbounded_channel();
        let state = running.state.subscribe();
        if let Some(epoch) = epoch {
            running.handle(Event::BecomeRoot { epoch });
        }
        let task = spawn_local(running.run(receiver, epoch.is_some())).abort_handle();
        Node { commands, state, task }
    }

    /// Publishes an item.
    pub fn publish(&self, key: &str, value: Vec<u8>) {
        self.send_command(Command::Publish(vec![Change { key: key.to_string(), value: Some(value) }]));
    }

    /// Replaces the report of the node.
    pub fn report(&self, report: LocalReport) {
        self.send_command(Command::Report(report));
    }

    /// Stops advancing the revision, like a primary that has lost its lease.
    pub fn stop_heartbeats(&self) {
        self.send_command(Command::StopHeartbeats);
    }

    /// Waits until the state of the node satisfies `holds`, and returns that state.
    pub async fn until(&mut self, what: &str, mut holds: impl FnMut(&NodeState) -> bool) -> NodeState {
        let state = expect(what, self.state.wait_for(|state| holds(state))).await;
        state.expect("the node runs").clone()
    }

    /// Returns the current state of the node.
    pub fn state(&self) -> NodeState {
        self.state.borrow().clone()
    }

    fn send_command(&self, command: Command) {
        assert!(self.commands.send(command).is_ok(), "the node runs");
    }
}

/// Returns the endpoint of a simulated proxy.
pub fn endpoint(name: &str, ip: Ipv4Addr, zone: &str) -> ProxyEndpoint {
    ProxyEndpoint {
        name: name.to_string(),
        ip: ip.to_bits(),
        zone: zone.to_string(),
        region: "region-a".to_string(),
        address: format!("{ip}:8161"),
        state: EndpointState::Ready,
        incarnation: 1,
        preferred_regions: Vec::new(),
    }
}

struct SimulatedNode {
    started: Instant,
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    node: SyncNode<LinkId>,
    parent: Option<LinkId>,
    children: BTreeMap<LinkId, String>,
    parents_lost: u32,
    state: watch::Sender<NodeState>,
}

impl SimulatedNode {
    fn new(
        peers: Rc<Peers>,
        events: UnboundedReceiver<PeerEvent>,
        node: SyncNode<LinkId>,
        parent: Option<LinkId>,
    ) -> SimulatedNode {
        let state = watch::Sender::new(NodeState::default());
        let children = BTreeMap::new();
        SimulatedNode {
            started: Instant::now(),
            peers,
            events,
            node,
            parent,
            children,
            parents_lost: 0,
            state,
        }
    }

    async fn run(mut self, mut commands: UnboundedReceiver<Command>, mut sends_heartbeats: bool) {
        let mut ticks = interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = self.events.recv() => self.peer_event(event),
                Some(command) = commands.recv() => match command {
                    Command::Publish(changes) => self.handle(Event::Publish(changes)),
                    Command::Report(report) => self.handle(Event::LocalReport(report)),
                    Command::StopHeartbeats => sends_heartbeats = false,
                },
                _ = ticks.tick() => {
                    self.handle(Event::Tick);
                    if sends_heartbeats {
                        self.handle(Event::Heartbeat);
                    }
                }
            }
            let new_state = self.current_state();
            self.state.send_if_modified(|state| {
                let changed = *state != new_state;
                *state = new_state;
                changed
            });
        }
    }

    fn peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { incoming: false, .. } => self.handle(Event::ParentUp),
            PeerEvent::Opened { link, hello, .. } => {
                self.children.insert(link, hello.name);
                self.handle(Event::ChildUp(link));
            }
            PeerEvent::Frame { link, body } if self.parent == Some(link) => {
                self.handle(Event::ParentFrame(body))
            }
            PeerEvent::Frame { link, body } => self.handle(Event::ChildFrame(link, body)),
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } => self.closed(link),
        }
    }

    fn closed(&mut self, link: LinkId) {
        if self.parent == Some(link) {
            self.parent = None;
            self.parents_lost += 1;
            self.handle(Event::ParentDown);
        } else if self.children.remove(&link).is_some() {
            self.handle(Event::ChildDown(link));
        }
    }

    fn handle(&mut self, event: Event<LinkId>) {
        let mut actions = Vec::new();
        self.node.handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                Action::SendParent(body) => self.send(self.parent.as_slice(), &body),
                Action::SendChild(child, body) => self.send(&[child], &body),
                Action::SendChildren(children, body) => self.send(&children, &body),
                Action::DropChild(child) => self.peers.close(child),
                Action::Changed(_) | Action::TotalsChanged | Action::EndpointsChanged => {}
            }
        }
    }

    fn send(&self, links: &[LinkId], body: &Body) {
        self.peers.send_all(links, body);
    }

    fn current_state(&self) -> NodeState {
        let subtree = self.node.subtree();
        let items = self.node.store().iter().map(|(key, value)| (key.to_string(), value.to_vec()));
        let endpoints = subtree.endpoints.iter().map(|(name, endpoint)| (name.clone(), endpoint.state));
        NodeState {
            items: items.collect(),
            endpoints: endpoints.collect(),
            suspects: subtree.suspicions.keys().cloned().collect(),
            proxies: subtree.counters.proxies,
            children: self.children.values().cloned().collect(),
            fresh: self.node.is_fresh(self.started.elapsed()),
            parents_lost: self.parents_lost,
        }
    }
}
