//! A proxy: a leaf of the relay tree, which reports its endpoint and its load to the agent of its machine.

use super::{response_text, subscription_text, Address, Context, Host, Input, LinkId, Output, ProcessKind};
use quillpulley::Settings;
use quillpulley_protocol::{
    Body, EndpointState, Hello, NodeId, PeerKind, ProxyEndpoint, Revision, ServerLoad,
};
use quillpulley_state_sync::{self as state_sync, LocalReport, Options, Store, SyncNode};
use std::time::Duration;

const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The time that the requests of a draining proxy take to end.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// The number of servers whose load a proxy reports.
const REPORTED_SERVERS: u64 = 4;

enum AgentLink {
    Down { retry_at: Duration },
    Connecting(LinkId),
    Up(LinkId),
}

pub struct ProxyHost {
    settings: Settings,
    incarnation: u64,
    node: SyncNode<u8>,
    link: AgentLink,
    endpoint_state: EndpointState,
    next_report_at: Duration,
    draining_since: Option<Duration>,
    reports: u32,
}

impl ProxyHost {
    pub fn new(settings: &Settings, seed: u64) -> Self {
        ProxyHost {
            incarnation: seed,
            node: SyncNode::new(Options::new(&settings.node_name)),
            link: AgentLink::Down { retry_at: Duration::ZERO },
            endpoint_state: EndpointState::Starting,
            next_report_at: Duration::ZERO,
            draining_since: None,
            reports: 0,
            settings: settings.clone(),
        }
    }

    fn handle_sync(&mut self, context: &mut Context, event: state_sync::Event<u8>) {
        let mut actions = Vec::new();
        self.node.handle(context.now, event, &mut actions);
        for action in actions {
            let state_sync::Action::SendParent(body) = action else { continue };
            if let Body::Subscribe(subscribe) = &body {
                context.log(format!("proxy {}", subscription_text(subscribe)));
            }
            if let AgentLink::Up(link) = self.link {
                context.send(vec![link], body);
            }
        }
    }

    fn report(&mut self, context: &mut Context) {
        self.reports += 1;
        let first = u64::from(self.settings.ip.to_bits() % 97);
        let load = |server| ServerLoad {
            server: first + server,
            running: self.reports % 7,
            waiting: 0,
            prompt_tokens: self.reports % 5 * 100,
            failures: 0,
        };
        let endpoint = ProxyEndpoint {
            name: self.settings.node_name.clone(),
            ip: self.settings.ip.to_bits(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            address: format!("{}:8080", self.settings.ip),
            state: self.endpoint_state,
            incarnation: self.incarnation,
            preferred_regions: vec![self.settings.region.clone()],
        };
        let report = LocalReport {
            endpoint: Some(endpoint),
            proxies: 1,
            servers: (0..REPORTED_SERVERS).map(load).collect(),
            ..LocalReport::default()
        };
        self.handle_sync(context, state_sync::Event::LocalReport(report));
    }
}

impl Host for ProxyHost {
    fn handle(&mut self, context: &mut Context, input: Input) {
        match (input, &self.link) {
            (Input::Opened { link, .. }, AgentLink::Connecting(current)) if link == *current => {
                self.link = AgentLink::Up(link);
                self.handle_sync(context, state_sync::Event::ParentUp);
            }
            (Input::Frame { link, body }, AgentLink::Up(current)) if link == *current => {
                if let Body::Update(update) = &body {
                    response_text(update).into_iter().for_each(|line| context.log(format!("proxy {line}")));
                }
                self.handle_sync(context, state_sync::Event::ParentFrame(body));
            }
            (Input::Closed { link }, AgentLink::Up(current) | AgentLink::Connecting(current))
                if link == *current =>
            {
                self.link = AgentLink::Down { retry_at: context.now + RECONNECT_INTERVAL };
                self.handle_sync(context, state_sync::Event::ParentDown);
            }
            (Input::Shutdown, _) => {
                self.draining_since.get_or_insert(context.now);
                self.endpoint_state = EndpointState::Draining;
                self.next_report_at = context.now;
            }
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if matches!(self.link, AgentLink::Down { retry_at } if retry_at <= context.now) {
            let link = context.connect(Address { ip: self.settings.ip, kind: ProcessKind::Agent });
            self.link = AgentLink::Connecting(link);
        }
        if self.endpoint_state == EndpointState::Starting && self.node.is_fresh(context.now) {
            self.endpoint_state = EndpointState::Ready;
            self.next_report_at = context.now;
        }
        if self.next_report_at <= context.now {
            self.next_report_at = context.now + REPORT_INTERVAL;
            self.report(context);
        }
        if self.node.next_tick() <= context.now {
            self.handle_sync(context, state_sync::Event::Tick);
        }
        if self.draining_since.is_some_and(|since| context.now >= since + DRAIN_TIME) {
            context.outputs.push(Output::Exit);
        }
    }

    fn next_wake(&self, now: Duration) -> Duration {
        let wake = self.next_report_at.min(self.node.next_tick().max(now)).min(now + REPORT_INTERVAL);
        match self.link {
            AgentLink::Down { retry_at } => wake.min(retry_at),
            AgentLink::Connecting(_) | AgentLink::Up(_) => wake,
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            kind: PeerKind::Proxy,
            node: NodeId::new(self.settings.ip, 0),
            name: self.settings.node_name.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            control_address: String::new(),
        }
    }

    fn revision(&self) -> Revision {
        self.node.revision()
    }

    fn store(&self) -> &Store {
        self.node.store()
    }

    fn max_incoming(&self) -> usize {
        0
    }
}
