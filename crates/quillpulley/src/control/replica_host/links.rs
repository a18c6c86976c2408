//! The links of a control node: which other control nodes and agents are connected, and what they send.
//!
//! What happens is reported as [`LinkEvent`]s. What that means for the replica and the relay tree is the host's to
//! decide.

use super::peer_table::{PeerChange, PeerTable};
use crate::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{Body, ControlNode, ControlNodes, Hello, NodeId, PeerKind};
use quillpulley_replication::Locality;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// What has happened on the links.
#[derive(Debug)]
pub enum LinkEvent {
    /// Messages can be sent to a control node in these failure domains.
    Connected(NodeId, Locality),
    /// Nothing more can be sent to a control node.
    Disconnected(NodeId),
    /// Nothing more comes from a control node.
    ReceiverLost(NodeId),
    /// A control node has opened another link in the place of one that had not been closed: what was sent on that one may
    /// be lost.
    ReceiverReplaced(NodeId),
    /// A control node has sent a message.
    ControlNodeMessage(NodeId, Body),
    /// An agent has connected.
    AgentConnected(LinkId),
    /// An agent has disconnected.
    AgentDisconnected(LinkId),
    /// An agent has sent a message.
    AgentMessage(LinkId, Body),
}

/// The links of a control node.
pub struct Links {
    me: ControlNode,
    peers: Rc<Peers>,
    table: PeerTable<LinkId>,
    agents: BTreeSet<LinkId>,
    /// The control nodes that were announced to the others last.
    announced: Vec<u32>,
}

impl Links {
    /// Creates the links of the node that describes itself as `me`; none is open yet.
    pub fn new(me: ControlNode, peers: Rc<Peers>) -> Self {
        let table = PeerTable::new(Ipv4Addr::from_bits(me.ip));
        Links { me, peers, table, agents: BTreeSet::new(), announced: Vec::new() }
    }

    /// Handles an event of the sockets and returns what it means.
    pub fn handle(&mut self, now: Duration, event: PeerEvent) -> Vec<LinkEvent> {
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

    fn accepted(&mut self, now: Duration, link: LinkId, hello: Hello) -> Option<LinkEvent> {
        match hello.kind {
            PeerKind::Control if hello.node.ip != self.me.ip => {
                let was_receiving = self.table.receives_from(hello.node);
                for superseded in self.table.accepted(now, link, hello.node) {
                    self.peers.close(superseded);
                }
                let is_current = self.table.sender(link) == Some(hello.node);
                (was_receiving && is_current).then_some(LinkEvent::ReceiverReplaced(hello.node))
            }
            PeerKind::Agent => {
                self.agents.insert(link);
                Some(LinkEvent::AgentConnected(link))
            }
            PeerKind::Control | PeerKind::Proxy => {
                self.peers.close(link);
                None
            }
        }
    }

    fn opened(&mut self, link: LinkId, hello: Hello) -> Option<LinkEvent> {
        let locality = Locality { zone: hello.zone.clone(), region: hello.region.clone() };
        let Some(PeerChange::Connected(node)) = self.table.opened(link, hello) else {
            self.peers.close(link);
            return None;
        };
        log::debug!(peer:% = node; "connected");
        self.announce_control_nodes(Some(link));
        Some(LinkEvent::Connected(node, locality))
    }

    fn closed(&mut self, now: Duration, link: LinkId) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        if self.agents.remove(&link) {
            events.push(LinkEvent::AgentDisconnected(link));
        }
        events.extend(self.table.sender(link).map(LinkEvent::ReceiverLost));
        if let Some(PeerChange::Disconnected(node)) = self.table.closed(now, link, fastrand::f64()) {
            log::debug!(peer:% = node; "disconnected");
            self.announce_control_nodes(None);
            events.push(LinkEvent::Disconnected(node));
        }
        events
    }

    fn frame(&mut self, now: Duration, link: LinkId, body: Body) -> Option<LinkEvent> {
        let Some(node) = self.table.sender(link) else {
            return self.agents.contains(&link).then_some(LinkEvent::AgentMessage(link, body));
        };
        match body {
            Body::ControlNodes(nodes) => {
                self.learn(now, nodes.addresses.into_iter().map(Ipv4Addr::from_bits));
                None
            }
            Body::Hello(_) | Body::Ping(_) | Body::PingAck(_) => None,
            body => Some(LinkEvent::ControlNodeMessage(node, body)),
        }
    }

    /// Sends a message to a control node, if it can be reached.
    pub fn send_to_control_node(&self, node: NodeId, body: &Body) {
        if let Some(link) = self.table.link_to(node) {
            self.peers.send(link, body);
        }
    }

    /// Sends a message to an agent.
    pub fn send_to_agent(&self, link: LinkId, body: &Body) {
        self.peers.send(link, body);
    }

    /// Closes the link of an agent.
    pub fn drop_agent(&mut self, link: LinkId) {
        self.agents.remove(&link);
        self.peers.close(link);
    }

    /// Returns whether messages can be sent to a control node.
    pub fn sends_to(&self, node: NodeId) -> bool {
        self.table.link_to(node).is_some()
    }

    /// Returns whether messages can be sent to a control node and can come from it.
    pub fn exchanges_with(&self, node: NodeId) -> bool {
        self.sends_to(node) && self.table.receives_from(node)
    }

    /// Returns whether nothing can be sent to any control node.
    pub fn has_no_connection(&self) -> bool {
        self.table.connected().next().is_none()
    }

    /// Returns the control nodes that agents should know: this one, and those that were reached and are not forgotten.
    pub fn known_control_nodes(&self) -> Vec<ControlNode> {
        let others = self.table.known().map(|hello| ControlNode {
            ip: hello.node.ip,
            zone: hello.zone.clone(),
            region: hello.region.clone(),
        });
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Learns addresses of control nodes, which are connected to at once.
    pub fn learn(&mut self, now: Duration, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        for address in addresses {
            self.table.learn(now, address);
        }
    }

    /// Forgets the control nodes that have long been unreachable, except those in the view, which it learns. Returns
    /// whether any was forgotten.
    pub fn forget_unreachable(&mut self, now: Duration, in_view: &[NodeId]) -> bool {
        let in_view: Vec<Ipv4Addr> = in_view.iter().map(NodeId::address).collect();
        let known_before = self.table.known().count();
        self.table.forget(now, |address| in_view.contains(&address));
        let has_forgotten = self.table.known().count() != known_before;
        self.learn(now, in_view);
        has_forgotten
    }

    /// Connects to the control nodes that are due, at this port.
    pub fn connect_due(&mut self, now: Duration, port: u16) {
        for address in self.table.due(now) {
            let link = self.peers.connect(SocketAddr::from((address, port)));
            self.table.connecting(address, link);
        }
    }

    /// Announces which control nodes can be reached: to the one whose link has just opened, and to all if that has
    /// changed.
    fn announce_control_nodes(&mut self, opened: Option<LinkId>) {
        let addresses: Vec<u32> = self.table.reachable().into_iter().map(Ipv4Addr::to_bits).collect();
        let has_changed = addresses != self.announced;
        let body = Body::ControlNodes(Box::new(ControlNodes { addresses: addresses.clone() }));
        for (link, _) in self.table.connected().filter(|(link, _)| has_changed || Some(*link) == opened) {
            self.peers.send(link, &body);
        }
        self.announced = addresses;
    }
}
