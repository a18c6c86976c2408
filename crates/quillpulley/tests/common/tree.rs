//! Made-up ends of the relay tree: a core process that publishes, and a proxy.

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

/// What a node shows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    /// The published items.
    pub items: BTreeMap<String, Vec<u8>>,
    /// The names of the fronts that were reported, with their states.
    pub endpoints: BTreeMap<String, EndpointState>,
    /// The fronts that are suspected.
    pub suspects: BTreeSet<String>,
    /// The proxies that were reported.
    pub proxies: u32,
    /// The names of the children.
    pub children: BTreeSet<String>,
    /// Whether the stamp moves.
    pub fresh: bool,
    /// How many links to a parent were lost.
    pub parents_lost: u32,
}

impl Shown {
    /// Whether an item has this value.
    pub fn holds(&self, key: &str, value: &[u8]) -> bool {
        self.items.get(key).is_some_and(|held| held == value)
    }
}

enum Order {
    Publish(Vec<Change>),
    Report(LocalReport),
    StopHeartbeats,
}

/// A node that runs beside the test; dropping it closes its links.
pub struct Node {
    orders: UnboundedSender<Order>,
    shown: watch::Receiver<Shown>,
    task: AbortHandle,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Node {
    /// A core process that publishes in this epoch.
    pub fn control_node(listener: TcpListener, epoch: u64) -> Node {
        let (peers, events) = Peers::new(hello(PeerKind::Control, "core"));
        peers.listen(listener);
        let node = SyncNode::new(Options::control_node("core"));
        Node::start(Running::new(peers, events, node, None), Some(epoch))
    }

    /// A proxy of the agent at this address, with its front.
    pub fn proxy(agent: SocketAddr, endpoint: ProxyEndpoint) -> Node {
        let (peers, events) = Peers::new(hello(PeerKind::Proxy, &endpoint.name));
        let parent = peers.connect(agent);
        let mut node = SyncNode::new(Options::new(&endpoint.name));
        let report = LocalReport { endpoint: Some(endpoint), proxies: 1, ..LocalReport::default() };
        node.handle(Duration::ZERO, Event::LocalReport(report), &mut Vec::new());
        Node::start(Running::new(peers, events, node, Some(parent)), None)
    }

    fn start(mut running: Running, epoch: Option<u64>) -> Node {
        let (orders, receiver) = unbounded_channel();
        let shown = running.shown.subscribe();
        if let Some(epoch) = epoch {
            running.tell(Event::BecomeRoot { epoch });
        }
        let task = spawn_local(running.run(receiver, epoch.is_some())).abort_handle();
        Node { orders, shown, task }
    }

    /// Publishes an item.
    pub fn publish(&self, key: &str, value: Vec<u8>) {
        self.order(Order::Publish(vec![Change { key: key.to_string(), value: Some(value) }]));
    }

    /// Reports from now on.
    pub fn report(&self, report: LocalReport) {
        self.order(Order::Report(report));
    }

    /// Gives no stamps any more, as a primary that has lost its lease.
    pub fn stop_heartbeats(&self) {
        self.order(Order::StopHeartbeats);
    }

    /// Waits until it shows what is awaited.
    pub async fn until(&mut self, what: &str, mut holds: impl FnMut(&Shown) -> bool) -> Shown {
        let shown = expect(what, self.shown.wait_for(|shown| holds(shown))).await;
        shown.expect("the node runs").clone()
    }

    /// What it shows now.
    pub fn shown(&self) -> Shown {
        self.shown.borrow().clone()
    }

    fn order(&self, order: Order) {
        assert!(self.orders.send(order).is_ok(), "the node runs");
    }
}

/// A front of a machine of the tests.
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

struct Running {
    started: Instant,
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    node: SyncNode<LinkId>,
    parent: Option<LinkId>,
    children: BTreeMap<LinkId, String>,
    parents_lost: u32,
    shown: watch::Sender<Shown>,
}

impl Running {
    fn new(
        peers: Rc<Peers>,
        events: UnboundedReceiver<PeerEvent>,
        node: SyncNode<LinkId>,
        parent: Option<LinkId>,
    ) -> Running {
        let shown = watch::Sender::new(Shown::default());
        let children = BTreeMap::new();
        Running { started: Instant::now(), peers, events, node, parent, children, parents_lost: 0, shown }
    }

    async fn run(mut self, mut orders: UnboundedReceiver<Order>, mut revisions: bool) {
        let mut ticks = interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = self.events.recv() => self.peer_event(event),
                Some(order) = orders.recv() => match order {
                    Order::Publish(changes) => self.tell(Event::Publish(changes)),
                    Order::Report(report) => self.tell(Event::LocalReport(report)),
                    Order::StopHeartbeats => revisions = false,
                },
                _ = ticks.tick() => {
                    self.tell(Event::Tick);
                    if revisions {
                        self.tell(Event::Heartbeat);
                    }
                }
            }
            let now_shown = self.look();
            self.shown.send_if_modified(|shown| {
                let changed = *shown != now_shown;
                *shown = now_shown;
                changed
            });
        }
    }

    fn peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { incoming: false, .. } => self.tell(Event::ParentUp),
            PeerEvent::Opened { link, hello, .. } => {
                self.children.insert(link, hello.name);
                self.tell(Event::ChildUp(link));
            }
            PeerEvent::Frame { link, body } if self.parent == Some(link) => {
                self.tell(Event::ParentFrame(body))
            }
            PeerEvent::Frame { link, body } => self.tell(Event::ChildFrame(link, body)),
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } => self.closed(link),
        }
    }

    fn closed(&mut self, link: LinkId) {
        if self.parent == Some(link) {
            self.parent = None;
            self.parents_lost += 1;
            self.tell(Event::ParentDown);
        } else if self.children.remove(&link).is_some() {
            self.tell(Event::ChildDown(link));
        }
    }

    fn tell(&mut self, event: Event<LinkId>) {
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

    fn look(&self) -> Shown {
        let subtree = self.node.subtree();
        let items = self.node.store().iter().map(|(key, value)| (key.to_string(), value.to_vec()));
        let endpoints = subtree.endpoints.iter().map(|(name, endpoint)| (name.clone(), endpoint.state));
        Shown {
            items: items.collect(),
            endpoints: endpoints.collect(),
            suspects: subtree.suspicions.keys().cloned().collect(),
            proxies: subtree.counts.proxies,
            children: self.children.values().cloned().collect(),
            fresh: self.node.is_fresh(self.started.elapsed()),
            parents_lost: self.parents_lost,
        }
    }
}
