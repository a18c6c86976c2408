//! A control node as far as it takes part in the relay tree. One control node is the root for the whole run; the others
//! are its children.

use super::{response_text, subscription_text, Address, Context, Host, Input, LinkId, ProcessKind};
use quillpulley::control::distribution::control_topology::{ChildMessage, ControlTopology, ParentChange};
use quillpulley::control::distribution::endpoint_registry::EndpointRegistry;
use quillpulley::Settings;
use quillpulley_protocol::{Body, Hello, NodeId, PeerKind, Revision};
use quillpulley_state_sync::{self as state_sync, Change, Options, Store, SyncNode};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// The delay between a failed connection to the root and the next attempt.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
const MAX_INCOMING: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Child {
    ControlNode(NodeId),
    Agent(LinkId),
}

enum RootLink {
    Down { retry_at: Duration },
    Connecting(LinkId),
    Up(LinkId, NodeId),
}

pub struct ControlHost {
    settings: Settings,
    me: NodeId,
    node: SyncNode<Child>,
    topology: ControlTopology,
    root_ip: Ipv4Addr,
    root: RootLink,
    /// Root only: the links that the other control nodes have opened.
    control_nodes: BTreeMap<LinkId, NodeId>,
    /// The links of agents, with the names of the agents.
    agents: BTreeMap<LinkId, String>,
    registry: EndpointRegistry,
    reports_changed: bool,
    published_at: Duration,
    next_tick_at: Duration,
}

impl ControlHost {
    /// Creates a control node. It is the root if `root_ip` is its own address.
    pub fn new(settings: &Settings, root_ip: Ipv4Addr, seed: u64) -> Self {
        let options = Options::control_node(&settings.node_name).with_link_mbps(settings.limits.link_mbps);
        let mut node = SyncNode::new(options);
        if settings.ip == root_ip {
            node.handle(Duration::ZERO, state_sync::Event::BecomeRoot { epoch: 1 }, &mut Vec::new());
        }
        ControlHost {
            me: NodeId::new(settings.ip, seed),
            node,
            topology: ControlTopology::default(),
            root_ip,
            root: RootLink::Down { retry_at: Duration::ZERO },
            control_nodes: BTreeMap::new(),
            agents: BTreeMap::new(),
            registry: EndpointRegistry::default(),
            reports_changed: false,
            published_at: Duration::ZERO,
            next_tick_at: Duration::ZERO,
            settings: settings.clone(),
        }
    }

    fn is_root(&self) -> bool {
        self.settings.ip == self.root_ip
    }

    fn handle_sync(&mut self, context: &mut Context, event: state_sync::Event<Child>) {
        let mut actions = Vec::new();
        self.node.handle(context.now, event, &mut actions);
        for action in actions {
            self.perform(context, action);
        }
    }

    fn perform(&mut self, context: &mut Context, action: state_sync::Action<Child>) {
        match action {
            state_sync::Action::SendParent(body) => self.send_parent(context, body),
            state_sync::Action::SendChild(child, body) => {
                if let Body::Update(update) = &body {
                    let line =
                        response_text(update).map(|text| format!("answers {}: {text}", self.name(child)));
                    line.into_iter().for_each(|line| context.log(line));
                }
                let links = self.links(&[child]);
                context.send(links, body);
            }
            state_sync::Action::SendChildren(children, body) => {
                let links = self.links(&children);
                context.send(links, body);
            }
            state_sync::Action::DropChild(Child::ControlNode(node)) => drop(self.topology.remove(node)),
            state_sync::Action::DropChild(Child::Agent(link)) => {
                self.agents.remove(&link);
                context.close(link);
            }
            state_sync::Action::EndpointsChanged => self.reports_changed = true,
            state_sync::Action::Changed(_) | state_sync::Action::TotalsChanged => {}
        }
    }

    fn send_parent(&mut self, context: &mut Context, body: Body) {
        let RootLink::Up(link, root) = self.root else { return };
        if self.topology.parent() == Some(root) {
            if let Body::Subscribe(subscribe) = &body {
                context.log(subscription_text(subscribe));
            }
            context.send(vec![link], body);
        }
    }

    fn name(&self, child: Child) -> String {
        match child {
            Child::ControlNode(node) => node.address().to_string(),
            Child::Agent(link) => self.agents.get(&link).cloned().unwrap_or_default(),
        }
    }

    fn links(&self, children: &[Child]) -> Vec<LinkId> {
        let link = |child: &Child| match child {
            Child::Agent(link) => Some(*link),
            Child::ControlNode(node) => {
                let mut links = self.control_nodes.iter();
                links.find(|(_, known)| *known == node).map(|(link, _)| *link)
            }
        };
        children.iter().filter_map(link).collect()
    }

    fn opened(&mut self, context: &mut Context, link: LinkId, hello: Hello, incoming: bool) {
        match (incoming, hello.kind) {
            (false, _) => self.root = RootLink::Up(link, hello.node),
            (true, PeerKind::Control) => drop(self.control_nodes.insert(link, hello.node)),
            (true, PeerKind::Agent) => {
                self.agents.insert(link, hello.name);
                self.handle_sync(context, state_sync::Event::ChildUp(Child::Agent(link)));
            }
            (true, _) => context.close(link),
        }
    }

    fn frame(&mut self, context: &mut Context, link: LinkId, body: Body) {
        if let Some(node) = self.control_nodes.get(&link).copied() {
            if let ChildMessage::FromChild(body) = self.topology.handle_child_message(node, body) {
                self.handle_sync(context, state_sync::Event::ChildFrame(Child::ControlNode(node), body));
            }
        } else if self.agents.contains_key(&link) {
            self.handle_sync(context, state_sync::Event::ChildFrame(Child::Agent(link), body));
        } else if matches!(self.root, RootLink::Up(known, _) if known == link) {
            if let Body::Update(update) = &body {
                response_text(update).into_iter().for_each(|line| context.log(line));
            }
            self.handle_sync(context, state_sync::Event::ParentFrame(body));
        }
    }

    fn closed(&mut self, context: &mut Context, link: LinkId) {
        if let Some(node) = self.control_nodes.remove(&link) {
            if self.topology.remove(node) {
                self.handle_sync(context, state_sync::Event::ChildDown(Child::ControlNode(node)));
            }
        } else if self.agents.remove(&link).is_some() {
            self.handle_sync(context, state_sync::Event::ChildDown(Child::Agent(link)));
        } else if matches!(self.root, RootLink::Up(known, _) | RootLink::Connecting(known) if known == link) {
            self.root = RootLink::Down { retry_at: context.now + RECONNECT_INTERVAL };
        }
    }

    fn publish(&mut self, context: &mut Context, changes: Vec<Change>) {
        if !changes.is_empty() {
            self.published_at = context.now;
            self.handle_sync(context, state_sync::Event::Publish(changes));
        }
    }

    /// Updates what depends on the links and the reports. Is called after each event.
    fn reconcile(&mut self, context: &mut Context) {
        match self.is_root() {
            true => self.reconcile_root(context),
            false => self.update_parent(context),
        }
    }

    fn reconcile_root(&mut self, context: &mut Context) {
        if std::mem::take(&mut self.reports_changed) {
            let changes = self.registry.update(context.now, self.node.subtree());
            self.publish(context, changes);
        }
        let control_nodes = &self.control_nodes;
        let admitted = self.topology.admit_pending(|node| control_nodes.values().any(|known| *known == node));
        for (node, messages) in admitted {
            self.handle_sync(context, state_sync::Event::ChildUp(Child::ControlNode(node)));
            for message in messages {
                self.handle_sync(context, state_sync::Event::ChildFrame(Child::ControlNode(node), message));
            }
        }
    }

    fn update_parent(&mut self, context: &mut Context) {
        let root = match self.root {
            RootLink::Up(_, root) => Some(root),
            RootLink::Down { .. } | RootLink::Connecting(_) => None,
        };
        let advanced_at = self.node.last_advanced();
        let change = self.topology.choose_parent(context.now, root, advanced_at, |node| Some(node) == root);
        match change {
            Some(ParentChange::Up) => self.handle_sync(context, state_sync::Event::ParentUp),
            Some(ParentChange::Down) => self.handle_sync(context, state_sync::Event::ParentDown),
            None => {}
        }
    }
}

impl Host for ControlHost {
    fn handle(&mut self, context: &mut Context, input: Input) {
        match input {
            Input::Opened { link, hello, incoming } => self.opened(context, link, hello, incoming),
            Input::Frame { link, body } => self.frame(context, link, body),
            Input::Closed { link } => self.closed(context, link),
            Input::Publish(changes) => self.publish(context, changes),
            Input::Datagram { .. } | Input::Shutdown => {}
        }
        self.reconcile(context);
    }

    fn tick(&mut self, context: &mut Context) {
        if context.now < self.next_tick_at {
            return;
        }
        self.next_tick_at = context.now + TICK_INTERVAL;
        self.handle_sync(context, state_sync::Event::Tick);
        if self.is_root() {
            let changes = self.registry.tick(context.now);
            self.publish(context, changes);
            if context.now >= self.published_at + HEARTBEAT_INTERVAL {
                self.published_at = context.now;
                self.handle_sync(context, state_sync::Event::Heartbeat);
            }
        } else if matches!(self.root, RootLink::Down { retry_at } if retry_at <= context.now) {
            let link = context.connect(Address { ip: self.root_ip, kind: ProcessKind::Control });
            self.root = RootLink::Connecting(link);
        }
        self.reconcile(context);
    }

    fn next_wake(&self, now: Duration) -> Duration {
        self.next_tick_at.max(now)
    }

    fn hello(&self) -> Hello {
        Hello {
            kind: PeerKind::Control,
            node: self.me,
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
        MAX_INCOMING
    }
}
