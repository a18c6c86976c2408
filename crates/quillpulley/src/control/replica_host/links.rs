//! The links of a control node to other control nodes and to agents, and the messages received on them.
//!
//! Changes are reported as [`LinkEvent`]s. The host decides what they mean for the replica and the relay
//! tree.

use super::peer_table::{PeerChange, PeerTable};
use crate::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{Body, ControlNode, ControlNodes, Hello, NodeId, PeerKind};
use quillpulley_replication::Locality;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// A change of the links, or a message received on them.
#[derive(Debug)]
pub enum LinkEvent {
    /// A control node has become reachable. Contains its failure domains.
    Connected(NodeId, Locality),
    /// A control node is no longer reachable.
    Disconnected(NodeId),
    /// The link on which messages from a control node were received has closed.
    IncomingLinkLost(NodeId),
    /// A control node has opened a link that replaces one that had not been closed. Messages sent on the
    /// replaced link may be lost.
    IncomingLinkReplaced(NodeId),
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
    /// The addresses of the reachable control nodes, as they were last announced to the other control nodes.
    announced: Vec<u32>,
}

impl Links {
    /// Creates the links of the node that `me` describes. No link is open yet.
    pub fn new(me: ControlNode, peers: Rc<Peers>) -> Self {
        let table = PeerTable::new(Ipv4Addr::from_bits(me.ip));
        Links { me, peers, table, agents: BTreeSet::new(), announced: Vec::new() }
    }

    /// Handles a socket event and returns the resulting link events.
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
                let was_receiving = self.table.can_receive_from(hello.node);
                for superseded in self.table.accepted(now, link, hello.node) {
                    self.peers.close(superseded);
                }
                let is_current = self.table.sender(link) == Some(hello.node);
                (was_receiving && is_current).then_some(LinkEvent::IncomingLinkReplaced(hello.node))
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
        events.extend(self.table.sender(link).map(LinkEvent::IncomingLinkLost));
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

    /// Sends a message to a control node. Drops it if the node is not reachable.
    pub fn send_to_control_node(&self, node: NodeId, body: &Body) {
        if let Some(link) = self.link_to(node) {
            self.peers.send(link, body);
        }
    }

    /// Returns the link on which messages are sent to a control node, or `None` if it is not reachable.
    pub fn link_to(&self, node: NodeId) -> Option<LinkId> {
        self.table.link_to(node)
    }

    /// Sends the same message on several links. It is encoded only once.
    pub fn send_all(&self, links: &[LinkId], body: &Body) {
        self.peers.send_all(links, body);
    }

    /// Closes the link of an agent.
    pub fn drop_agent(&mut self, link: LinkId) {
        self.agents.remove(&link);
        self.peers.close(link);
    }

    /// Returns whether messages can be sent to a control node.
    pub fn can_send_to(&self, node: NodeId) -> bool {
        self.link_to(node).is_some()
    }

    /// Returns whether messages can be sent to a control node and received from it.
    pub fn can_exchange_with(&self, node: NodeId) -> bool {
        self.can_send_to(node) && self.table.can_receive_from(node)
    }

    /// Returns the control nodes that agents should know: this one, and those that were reached and have not
    /// been forgotten since.
    pub fn known_control_nodes(&self) -> Vec<ControlNode> {
        let others = self.table.known().map(|hello| ControlNode {
            ip: hello.node.ip,
            zone: hello.zone.clone(),
            region: hello.region.clone(),
        });
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Adds addresses of control nodes. The first connection attempt to a new address is due at once.
    pub fn learn(&mut self, now: Duration, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        for address in addresses {
            self.table.learn(now, address);
        }
    }

    /// Forgets the control nodes that have been unreachable for a long time, except those that are `in_view`,
    /// whose addresses it adds. Returns whether any reached node was forgotten.
    pub fn forget_unreachable(&mut self, now: Duration, in_view: &[NodeId]) -> bool {
        let in_view: Vec<Ipv4Addr> = in_view.iter().map(NodeId::address).collect();
        let known_before = self.table.known().count();
        self.table.forget(now, |address| in_view.contains(&address));
        let has_forgotten = self.table.known().count() != known_before;
        self.learn(now, in_view);
        has_forgotten
    }

    /// Connects to the control nodes whose next attempt is due, at `port`.
    pub fn connect_due(&mut self, now: Duration, port: u16) {
        for address in self.table.addresses_due(now) {
            let link = self.peers.connect(SocketAddr::from((address, port)));
            self.table.connecting(address, link);
        }
    }

    /// Announces the addresses of the reachable control nodes: to the node at the end of the link `opened`,
    /// and to all nodes if the addresses have changed.
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
