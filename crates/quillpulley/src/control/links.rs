//! The links of a core process: which other core processes and agents are there, and what comes from them.
//!
//! What happens is told as [`LinkNews`]; what it means for the replica and the relay tree is the host's to say.

use super::peer_table::{PeerChange, PeerTable};
use crate::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{Body, ControlNode, ControlNodes, Hello, NodeId, PeerKind};
use quillpulley_replication::Locality as Place;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// What happened on the links.
#[derive(Debug)]
pub enum LinkNews {
    /// Messages can be sent to a core process, which is at this place.
    Connected(NodeId, Place),
    /// Nothing more can be sent to a core process.
    Disconnected(NodeId),
    /// Nothing more comes from a core process.
    Silenced(NodeId),
    /// A core process sends this.
    FromControlNode(NodeId, Body),
    /// An agent has connected.
    AgentUp(LinkId),
    /// An agent has gone.
    AgentDown(LinkId),
    /// An agent sends this.
    FromAgent(LinkId, Body),
}

/// The links of a core process.
pub struct Links {
    me: ControlNode,
    peers: Rc<Peers>,
    table: PeerTable<LinkId>,
    agents: BTreeSet<LinkId>,
    /// The core processes that the others were told of last.
    told: Vec<u32>,
}

impl Links {
    /// The links of the process that describes itself as `me`; none is open yet.
    pub fn new(me: ControlNode, peers: Rc<Peers>) -> Self {
        let table = PeerTable::new(Ipv4Addr::from_bits(me.ip));
        Links { me, peers, table, agents: BTreeSet::new(), told: Vec::new() }
    }

    /// Takes an event and says what it means.
    pub fn take(&mut self, now: Duration, event: PeerEvent) -> Vec<LinkNews> {
        match event {
            PeerEvent::Opened { link, hello, incoming: true, .. } => {
                self.accepted(now, link, hello).into_iter().collect()
            }
            PeerEvent::Opened { link, hello, incoming: false, .. } => {
                self.opened(link, hello).into_iter().collect()
            }
            PeerEvent::Frame { link, body } => self.frame(now, link, body).into_iter().collect(),
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } => self.closed(now, link),
        }
    }

    fn accepted(&mut self, now: Duration, link: LinkId, hello: Hello) -> Option<LinkNews> {
        match hello.kind {
            PeerKind::Control if hello.node.ip != self.me.ip => {
                for given_up in self.table.accepted(now, link, hello.node) {
                    self.peers.close(given_up);
                }
                None
            }
            PeerKind::Agent => {
                self.agents.insert(link);
                Some(LinkNews::AgentUp(link))
            }
            PeerKind::Control | PeerKind::Proxy => {
                self.peers.close(link);
                None
            }
        }
    }

    fn opened(&mut self, link: LinkId, hello: Hello) -> Option<LinkNews> {
        let place = Place { zone: hello.zone.clone(), region: hello.region.clone() };
        let Some(PeerChange::Connected(node)) = self.table.opened(link, hello) else {
            self.peers.close(link);
            return None;
        };
        log::debug!("connected to {node}");
        self.announce_control_nodes(Some(link));
        Some(LinkNews::Connected(node, place))
    }

    fn closed(&mut self, now: Duration, link: LinkId) -> Vec<LinkNews> {
        let mut news = Vec::new();
        if self.agents.remove(&link) {
            news.push(LinkNews::AgentDown(link));
        }
        news.extend(self.table.sender(link).map(LinkNews::Silenced));
        if let Some(PeerChange::Disconnected(node)) = self.table.closed(now, link, fastrand::f64()) {
            log::debug!("disconnected from {node}");
            self.announce_control_nodes(None);
            news.push(LinkNews::Disconnected(node));
        }
        news
    }

    fn frame(&mut self, now: Duration, link: LinkId, body: Body) -> Option<LinkNews> {
        let Some(node) = self.table.sender(link) else {
            return self.agents.contains(&link).then_some(LinkNews::FromAgent(link, body));
        };
        match body {
            Body::ControlNodes(control_nodes) => {
                self.learn(now, control_nodes.addresses.into_iter().map(Ipv4Addr::from_bits));
                None
            }
            Body::Hello(_) | Body::Ping(_) | Body::PingAck(_) => None,
            body => Some(LinkNews::FromControlNode(node, body)),
        }
    }

    /// Sends a message to a core process, if it can be reached.
    pub fn send_to_control_node(&self, node: NodeId, body: &Body) {
        if let Some(link) = self.table.link_to(node) {
            self.peers.send(link, body);
        }
    }

    /// Sends a message to an agent.
    pub fn send_agent(&self, link: LinkId, body: &Body) {
        self.peers.send(link, body);
    }

    /// Closes the link of an agent.
    pub fn drop_agent(&mut self, link: LinkId) {
        self.agents.remove(&link);
        self.peers.close(link);
    }

    /// Whether messages can be sent to a core process.
    pub fn sends_to(&self, node: NodeId) -> bool {
        self.table.link_to(node).is_some()
    }

    /// Whether messages can be sent to a core process and can come from it.
    pub fn exchanges_with(&self, node: NodeId) -> bool {
        self.sends_to(node) && self.table.receives_from(node)
    }

    /// Whether nothing can be sent to any core process.
    pub fn is_alone(&self) -> bool {
        self.table.connected().next().is_none()
    }

    /// The core processes that agents should know: this one and those that were reached and are not forgotten.
    pub fn known_control_nodes(&self) -> Vec<ControlNode> {
        let others = self.table.known().map(|hello| ControlNode {
            ip: hello.node.ip,
            zone: hello.zone.clone(),
            region: hello.region.clone(),
        });
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Takes note of core processes; they will be dialled at once.
    pub fn learn(&mut self, now: Duration, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        for address in addresses {
            self.table.learn(now, address);
        }
    }

    /// Forgets the core processes that have long been unreachable, except those in the view, which it takes note of.
    /// Says whether any was forgotten.
    pub fn keep(&mut self, now: Duration, in_view: &[NodeId]) -> bool {
        let in_view: Vec<Ipv4Addr> = in_view.iter().map(NodeId::address).collect();
        let known_before = self.table.known().count();
        self.table.forget(now, |address| in_view.contains(&address));
        let has_forgotten = self.table.known().count() != known_before;
        self.learn(now, in_view);
        has_forgotten
    }

    /// Dials the core processes that are due, at this port.
    pub fn dial(&mut self, now: Duration, port: u16) {
        for address in self.table.due(now) {
            let link = self.peers.connect(SocketAddr::from((address, port)));
            self.table.dialled(address, link);
        }
    }

    /// Tells others which core processes can be reached: one whose link has just opened, and all if that
    /// changed.
    fn announce_control_nodes(&mut self, opened: Option<LinkId>) {
        let addresses: Vec<u32> = self.table.reachable().into_iter().map(Ipv4Addr::to_bits).collect();
        let changed = addresses != self.told;
        let body = Body::ControlNodes(Box::new(ControlNodes { addresses: addresses.clone() }));
        for (link, _) in self.table.connected().filter(|(link, _)| changed || Some(*link) == opened) {
            self.peers.send(link, &body);
        }
        self.told = addresses;
    }
}
