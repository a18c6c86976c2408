//! A fake agent that publishes the state that a test sets.

use quillpulley::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{
    encode_value, Body, EndpointState, Hello, NodeId, PeerKind, ProxyEndpoint, Server,
};
use quillpulley_serving_config::published::{restored_key, server_key};
use quillpulley_serving_config::Configuration;
use quillpulley_state_sync::{Action, Change, Event, Options, SyncNode};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

/// An agent that is the root of the relay tree, with the proxy as its only child.
pub struct FakeAgent {
    shared: Rc<Shared>,
    port: u16,
    serving: JoinHandle<()>,
}

struct Shared {
    started: Instant,
    peers: Rc<Peers>,
    node: RefCell<SyncNode<LinkId>>,
    /// The keys of the items of the published configuration.
    configuration_keys: RefCell<Vec<String>>,
    /// Whether complete totals that include a proxy were sent.
    totals_sent: Cell<bool>,
    changed: Notify,
}

impl FakeAgent {
    pub async fn listen() -> FakeAgent {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
        FakeAgent::with_listener(listener)
    }

    fn with_listener(listener: TcpListener) -> FakeAgent {
        let port = listener.local_addr().expect("address").port();
        let hello = Hello {
            kind: PeerKind::Agent,
            node: NodeId::new(Ipv4Addr::LOCALHOST, 0),
            name: "agent".to_string(),
            zone: "a".to_string(),
            region: "r".to_string(),
            control_address: String::new(),
        };
        let (peers, events) = Peers::new(hello);
        peers.listen(listener);
        let shared = Rc::new(Shared {
            started: Instant::now(),
            peers,
            node: RefCell::new(SyncNode::new(Options::control_node("agent"))),
            configuration_keys: RefCell::default(),
            totals_sent: Cell::new(false),
            changed: Notify::new(),
        });
        shared.handle(Event::BecomeRoot { epoch: 1 });
        let serving = spawn_local(serve(shared.clone(), events));
        FakeAgent { shared, port, serving }
    }

    pub fn port(&self) -> u16 {
        self.port
    }

    /// Publishes a configuration, which replaces the previous one.
    pub fn publish_configuration(&self, json: &str) {
        let configuration = Configuration::parse(json.as_bytes()).expect("a configuration");
        let items = configuration.to_items();
        let mut published_keys = self.shared.configuration_keys.borrow_mut();
        let removed = published_keys.drain(..).filter(|key| !items.contains_key(key));
        let mut changes: Vec<Change> = removed.map(|key| Change { key, value: None }).collect();
        published_keys.extend(items.keys().cloned());
        changes.extend(items.into_iter().map(|(key, value)| Change { key, value: Some(value) }));
        self.shared.handle(Event::Publish(changes));
    }

    pub fn publish_server(&self, server: &Server) {
        let value = Some(encode_value::<Server>(server));
        self.shared.handle(Event::Publish(vec![Change { key: server_key(&server.id), value }]));
    }

    /// Publishes that the evacuation of a zone has ended recently.
    pub fn publish_restored(&self, zone: &str) {
        let change = Change { key: restored_key(zone), value: Some(Vec::new()) };
        self.shared.handle(Event::Publish(vec![change]));
    }

    pub fn remove_server(&self, id: &str) {
        self.shared.handle(Event::Publish(vec![Change { key: server_key(id), value: None }]));
    }

    /// Returns the endpoint that the proxy reported last. `None` before its first report.
    pub fn endpoint(&self) -> Option<ProxyEndpoint> {
        self.shared.node.borrow().subtree().endpoints.values().next().cloned()
    }

    /// Waits until the proxy reports an endpoint that satisfies the predicate.
    pub async fn wait_for_endpoint(&self, predicate: impl Fn(&ProxyEndpoint) -> bool) {
        while !self.endpoint().is_some_and(|endpoint| predicate(&endpoint)) {
            self.shared.changed.notified().await;
        }
    }

    /// Waits until the proxy reports an endpoint in this state.
    pub async fn wait_for_state(&self, state: EndpointState) {
        self.wait_for_endpoint(|endpoint| endpoint.state == state).await;
    }

    pub async fn wait_for_ready(&self) {
        self.wait_for_state(EndpointState::Ready).await;
    }

    /// Waits until the proxy has been sent totals that include itself, which its retry budgets need.
    pub async fn wait_for_totals(&self) {
        while !self.shared.totals_sent.get() {
            self.shared.changed.notified().await;
        }
    }

    /// Waits until the proxy reports a request to a service.
    pub async fn wait_for_reported_request(&self, service: &str) {
        let is_counted = || self.shared.node.borrow().subtree().counters.services.contains_key(service);
        while !is_counted() {
            self.shared.changed.notified().await;
        }
    }

    /// Stops the agent and closes its links.
    pub async fn kill(self) {
        self.serving.abort();
        let _ = self.serving.await;
    }
}

/// Handles the events of links, and publishes a heartbeat after 50 ms without an event, as a root does
/// periodically.
async fn serve(shared: Rc<Shared>, mut events: UnboundedReceiver<PeerEvent>) {
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(PeerEvent::Opened { link, .. }) => shared.handle(Event::ChildUp(link)),
                Some(PeerEvent::Frame { link, body }) => shared.handle(Event::ChildFrame(link, body)),
                Some(PeerEvent::Closed { link }) => shared.handle(Event::ChildDown(link)),
                Some(PeerEvent::ConnectFailed { .. }) => {}
                None => return,
            },
            () = sleep(Duration::from_millis(50)) => shared.handle(Event::Heartbeat),
        }
        shared.handle(Event::Tick);
    }
}

impl Shared {
    fn handle(&self, event: Event<LinkId>) {
        let mut actions = Vec::new();
        self.node.borrow_mut().handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                Action::SendChild(child, body) => self.send(&[child], &body),
                Action::SendChildren(children, body) => self.send(&children, &body),
                Action::DropChild(child) => self.peers.close(child),
                _ => {}
            }
        }
        self.changed.notify_waiters();
    }

    fn send(&self, children: &[LinkId], body: &Body) {
        children.iter().for_each(|child| self.peers.send(*child, body));
        if matches!(body, Body::Totals(totals) if totals.complete && totals.proxies > 0) {
            self.totals_sent.set(true);
        }
    }
}
