//! The link to the agent of the machine: takes in published state and reports what this proxy has under way.
//!
//! Without an agent the proxy serves on with what it knows.

use super::plane::Plane;
use super::published;
use crate::peer::{LinkId, PeerEvent, Peers};
use crate::Settings;
use quillpulley_protocol::{Body, EndpointState, Hello, NodeId, PeerKind, ProxyEndpoint};
use quillpulley_state_sync::{Action, Event, LocalReport, Options, SyncNode};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The time between two attempts to reach the agent.
const CONNECT_AGAIN: Duration = Duration::from_millis(100);
/// The time between two looks at what has changed since the last report.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// The link to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgentLink {
    /// There is none; another is tried then.
    Down { again: Instant },
    /// It is being made.
    Connecting(LinkId),
    /// It is up.
    Up(LinkId),
}

/// This proxy has no children in the tree.
type NoChild = u8;

/// The leaf of the relay tree.
pub struct FeedClient {
    plane: Rc<Plane>,
    endpoint: ProxyEndpoint,
    agent: SocketAddr,
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    link: AgentLink,
    node: SyncNode<NoChild>,
    /// What was reported last.
    reported: LocalReport,
    report_due: Instant,
    /// Something is to be reported at once.
    news: Rc<Notify>,
}

impl FeedClient {
    /// For the front that clients reach at this address.
    pub fn new(plane: Rc<Plane>, settings: &Settings, endpoint: Option<SocketAddr>) -> Self {
        let (peers, events) = Peers::new(hello(settings));
        FeedClient {
            plane,
            endpoint: own_endpoint(settings, endpoint),
            agent: SocketAddr::from((Ipv4Addr::LOCALHOST, settings.proxy_port())),
            peers,
            events,
            link: AgentLink::Down { again: Instant::now() },
            node: SyncNode::new(Options::new(&settings.node_name)),
            reported: LocalReport::default(),
            report_due: Instant::now(),
            news: Rc::default(),
        }
    }

    /// To be notified when something is to be reported at once.
    pub fn news(&self) -> Rc<Notify> {
        self.news.clone()
    }

    /// Runs for as long as it is polled.
    pub async fn run(mut self) {
        let news = self.news.clone();
        loop {
            self.connect_if_due();
            let wake_at = self.next_wake();
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                () = news.notified() => self.report_due = Instant::now(),
                () = sleep_until(wake_at) => {}
            }
            self.tick();
        }
    }

    fn next_wake(&self) -> Instant {
        let now = self.plane.now();
        let node_due = Instant::now() + self.node.next_tick().saturating_sub(now).min(REPORT_EVERY);
        let due = self.report_due.min(node_due);
        match self.link {
            AgentLink::Down { again } => due.min(again),
            AgentLink::Connecting(_) | AgentLink::Up(_) => due,
        }
    }

    fn connect_if_due(&mut self) {
        if matches!(self.link, AgentLink::Down { again } if again <= Instant::now()) {
            let link = self.peers.connect(self.agent);
            self.change_link(AgentLink::Connecting(link));
        }
    }

    fn take(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { link, .. } if self.link == AgentLink::Connecting(link) => {
                self.change_link(AgentLink::Up(link));
            }
            PeerEvent::Frame { link, body } if self.link == AgentLink::Up(link) => {
                self.handle(Event::ParentFrame(body));
            }
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } if self.is_at(link) => {
                self.change_link(AgentLink::Down { again: Instant::now() + CONNECT_AGAIN });
            }
            _ => {}
        }
    }

    fn is_at(&self, link: LinkId) -> bool {
        matches!(self.link, AgentLink::Connecting(at) | AgentLink::Up(at) if at == link)
    }

    /// Every change of the link happens here.
    fn change_link(&mut self, next: AgentLink) {
        let was_up = matches!(self.link, AgentLink::Up(_));
        self.link = next;
        match next {
            AgentLink::Up(_) => {
                log::info!("connected to the agent at {}", self.agent);
                self.handle(Event::ParentUp);
            }
            AgentLink::Down { .. } if was_up => {
                log::warn!("the agent at {} is gone: serving on with what is known", self.agent);
                self.handle(Event::ParentDown);
            }
            AgentLink::Down { .. } | AgentLink::Connecting(_) => {}
        }
    }

    fn tick(&mut self) {
        if self.node.is_fresh(self.plane.now()) {
            self.plane.set_fresh();
        }
        if self.report_due <= Instant::now() || self.state_changed() {
            self.report_due = Instant::now() + REPORT_EVERY;
            self.report();
        }
        if self.node.next_tick() <= self.plane.now() {
            self.handle(Event::Tick);
        }
    }

    fn state_changed(&self) -> bool {
        self.reported.endpoint.as_ref().is_some_and(|endpoint| endpoint.state != self.plane.endpoint_state())
    }

    fn report(&mut self) {
        self.plane.update_budgets(self.node.totals());
        let report = LocalReport {
            endpoint: Some(ProxyEndpoint {
                state: self.plane.endpoint_state(),
                preferred_regions: self.plane.preferred_regions(),
                ..self.endpoint.clone()
            }),
            suspects: Vec::new(),
            proxies: 1,
            services: self.plane.service_counts(),
            servers: self.plane.own_loads(),
        };
        if report != self.reported {
            self.reported = report.clone();
            self.handle(Event::LocalReport(report));
        }
    }

    fn handle(&mut self, event: Event<NoChild>) {
        let mut actions = Vec::new();
        self.node.handle(self.plane.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action<NoChild>) {
        match action {
            Action::SendParent(body) => self.send(&body),
            Action::Changed(changes) => published::apply(&self.plane, self.node.store(), &changes),
            Action::TotalsChanged => {
                self.plane.set_totals(self.node.totals());
                self.plane.update_budgets(self.node.totals());
            }
            Action::SendChild(..)
            | Action::SendChildren(..)
            | Action::DropChild(_)
            | Action::EndpointsChanged => {}
        }
    }

    fn send(&self, body: &Body) {
        if let AgentLink::Up(link) = self.link {
            self.peers.send(link, body);
        }
    }
}

fn hello(settings: &Settings) -> Hello {
    Hello {
        kind: PeerKind::Proxy,
        node: NodeId::new(settings.ip, 0),
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control_address: String::new(),
    }
}

fn own_endpoint(settings: &Settings, address: Option<SocketAddr>) -> ProxyEndpoint {
    ProxyEndpoint {
        name: settings.node_name.clone(),
        ip: settings.ip.to_bits(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: address.map_or_else(String::new, |address| address.to_string()),
        state: EndpointState::Starting,
        incarnation: incarnation(),
        preferred_regions: Vec::new(),
    }
}

/// Later lives of a machine's proxy have higher numbers.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
