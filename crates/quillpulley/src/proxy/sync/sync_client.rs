//! The link to the agent on the same machine: receives published state, and reports load and usage.
//!
//! While there is no link to the agent, the proxy serves clients with the last state that it received.

use crate::peer::{LinkId, PeerEvent, Peers};
use crate::proxy::config::updates;
use crate::proxy::state::ProxyState;
use crate::proxy::sync::staleness::Staleness;
use crate::proxy::sync::usage;
use crate::Settings;
use quillpulley_protocol::{Body, EndpointState, Hello, NodeId, PeerKind, ProxyEndpoint};
use quillpulley_state_sync::{Action, Event, LocalReport, Options, SyncNode};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Delay between a lost or failed connection to the agent and the next attempt.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports. A report that equals the previous one is not sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The state of the link to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AgentLink {
    /// There is no link. The next connection attempt is due at `retry_at`.
    Down { retry_at: Instant },
    /// The link is being established.
    Connecting(LinkId),
    /// The link is established.
    Up(LinkId),
}

/// The type of child links. A proxy has none, as it is a leaf of the relay tree.
pub(super) type NoChild = u8;

/// The proxy's node of the relay tree, with its link to the agent.
pub struct SyncClient {
    pub(super) state: Rc<ProxyState>,
    endpoint: ProxyEndpoint,
    agent_address: SocketAddr,
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    pub(super) link: AgentLink,
    pub(super) node: SyncNode<NoChild>,
    /// Follows the age of the published state, for the log.
    pub(super) staleness: Staleness,
    /// The latest report.
    last_report: LocalReport,
    next_report_at: Instant,
    /// Notified to send the next report immediately.
    urgent_report: Rc<Notify>,
}

impl SyncClient {
    /// Creates the sync client of a proxy. `endpoint` is the address at which clients reach the proxy.
    pub fn new(state: Rc<ProxyState>, settings: &Settings, endpoint: Option<SocketAddr>) -> Self {
        let (peers, events) = Peers::new(hello(settings));
        SyncClient {
            state,
            endpoint: own_endpoint(settings, endpoint),
            agent_address: SocketAddr::from((Ipv4Addr::LOCALHOST, settings.proxy_port())),
            peers,
            events,
            link: AgentLink::Down { retry_at: Instant::now() },
            node: SyncNode::new(Options::new(&settings.node_name)),
            staleness: Staleness::default(),
            last_report: LocalReport::default(),
            next_report_at: Instant::now(),
            urgent_report: Rc::default(),
        }
    }

    /// Returns the notification that requests an immediate report.
    pub fn urgent_report(&self) -> Rc<Notify> {
        self.urgent_report.clone()
    }

    /// Maintains the link and sends reports. Runs until it is dropped.
    pub async fn run(mut self) {
        let urgent_report = self.urgent_report.clone();
        loop {
            self.connect_if_due();
            let wake_at = self.next_wake_at();
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle_peer_event(event),
                    None => return,
                },
                () = urgent_report.notified() => self.next_report_at = Instant::now(),
                () = sleep_until(wake_at) => {}
            }
            self.tick();
        }
    }

    fn next_wake_at(&self) -> Instant {
        let now = self.state.now();
        let next_tick_at = Instant::now() + self.node.next_tick().saturating_sub(now).min(REPORT_INTERVAL);
        let wake_at = self.next_report_at.min(next_tick_at);
        match self.link {
            AgentLink::Down { retry_at } => wake_at.min(retry_at),
            AgentLink::Connecting(_) | AgentLink::Up(_) => wake_at,
        }
    }

    fn connect_if_due(&mut self) {
        if matches!(self.link, AgentLink::Down { retry_at } if retry_at <= Instant::now()) {
            let link = self.peers.connect(self.agent_address);
            self.change_link(AgentLink::Connecting(link));
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { link, .. } if self.link == AgentLink::Connecting(link) => {
                self.change_link(AgentLink::Up(link));
            }
            PeerEvent::Frame { link, body } if self.link == AgentLink::Up(link) => {
                self.handle(Event::ParentFrame(body));
            }
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } if self.is_current(link) => {
                self.change_link(AgentLink::Down { retry_at: Instant::now() + RECONNECT_INTERVAL });
            }
            _ => {}
        }
    }

    fn is_current(&self, link: LinkId) -> bool {
        matches!(self.link, AgentLink::Connecting(current) | AgentLink::Up(current) if current == link)
    }

    /// Changes the state of the link. Every change happens here.
    fn change_link(&mut self, next: AgentLink) {
        let was_up = matches!(self.link, AgentLink::Up(_));
        self.link = next;
        match next {
            AgentLink::Up(_) => {
                log::info!(address:% = self.agent_address; "connected to the agent");
                self.handle(Event::ParentUp);
            }
            AgentLink::Down { .. } if was_up => {
                log::warn!(
                    address:% = self.agent_address;
                    "agent disconnected; serving with the last known state"
                );
                self.handle(Event::ParentDown);
            }
            AgentLink::Down { .. } | AgentLink::Connecting(_) => {}
        }
    }

    fn tick(&mut self) {
        if self.node.is_fresh(self.state.now()) {
            self.state.record_fresh();
        }
        self.report_staleness();
        if self.next_report_at <= Instant::now() || self.lifecycle_changed() {
            self.next_report_at = Instant::now() + REPORT_INTERVAL;
            self.report();
        }
        if self.node.next_tick() <= self.state.now() {
            self.handle(Event::Tick);
        }
    }

    fn lifecycle_changed(&self) -> bool {
        let current = self.endpoint_state();
        self.last_report.endpoint.as_ref().is_some_and(|endpoint| endpoint.state != current)
    }

    fn endpoint_state(&self) -> EndpointState {
        self.state.lifecycle.endpoint_state(self.state.now())
    }

    fn report(&mut self) {
        usage::apply_usage(&self.state, self.node.totals());
        let report = LocalReport {
            endpoint: Some(ProxyEndpoint {
                state: self.endpoint_state(),
                preferred_regions: self.state.home_demand.preferred_regions(),
                ..self.endpoint.clone()
            }),
            suspects: Vec::new(),
            proxies: 1,
            services: usage::own_usage(&self.state),
            servers: self.state.upstreams.own_loads(),
        };
        if report != self.last_report {
            self.last_report = report.clone();
            self.handle(Event::LocalReport(report));
        }
    }

    fn handle(&mut self, event: Event<NoChild>) {
        let mut actions = Vec::new();
        self.node.handle(self.state.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action<NoChild>) {
        match action {
            Action::SendParent(body) => self.send(&body),
            Action::Changed(changes) => updates::apply(&self.state, self.node.store(), &changes),
            Action::TotalsChanged => {
                usage::apply_loads(&self.state, self.node.totals());
                usage::apply_usage(&self.state, self.node.totals());
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

/// Returns the incarnation of this process: microseconds since the Unix epoch, so that later processes on a
/// machine have higher ones.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
