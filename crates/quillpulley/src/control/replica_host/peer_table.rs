//! The known control nodes and the links to them. This module performs no I/O: the host owns the sockets.
//!
//! Two control nodes are connected by two links. Each node sends only on the link that it opened itself, and
//! receives on the other one. A node counts as connected while the link to it is open.

use quillpulley_protocol::{Hello, NodeId, PeerKind};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Backoff after the first failure to connect. Each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time after which an unreachable address that belongs to no view is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The state of the link that this process opens to a peer.
enum Outgoing<L> {
    /// The next connection attempt is due at this time.
    WaitingUntil(Duration),
    Connecting {
        link: L,
        /// Whether this attempt replaces an earlier one that may hang.
        is_replacement: bool,
    },
    Open(L, NodeId),
}

struct Peer<L> {
    outgoing: Outgoing<L>,
    /// The last `Hello` of the peer; `None` if it has never been reached.
    hello: Option<Hello>,
    /// Whether the next attempt replaces one that may hang.
    next_is_replacement: bool,
    failures: u32,
    unreachable_since: Option<Duration>,
}

/// A change of the connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// The node has become reachable.
    Connected(NodeId),
    /// The node is no longer reachable.
    Disconnected(NodeId),
}

/// The control nodes that this node knows, by address. `L` identifies a link.
pub struct PeerTable<L> {
    me: Ipv4Addr,
    peers: BTreeMap<Ipv4Addr, Peer<L>>,
    incoming: BTreeMap<L, NodeId>,
}

impl<L: Copy + Ord> PeerTable<L> {
    /// Creates the table of the node at `me`, which knows no other node yet.
    pub fn new(me: Ipv4Addr) -> Self {
        PeerTable { me, peers: BTreeMap::new(), incoming: BTreeMap::new() }
    }

    /// Adds an address, unless it is known already. The first connection attempt is due at once.
    pub fn learn(&mut self, now: Duration, address: Ipv4Addr) {
        if address == self.me || address.is_unspecified() {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            outgoing: Outgoing::WaitingUntil(now),
            hello: None,
            next_is_replacement: false,
            failures: 0,
            unreachable_since: Some(now),
        });
    }

    /// Returns the addresses whose next connection attempt is due. The host has to call
    /// [`PeerTable::connecting`] for each of them.
    pub fn addresses_due(&self, now: Duration) -> Vec<Ipv4Addr> {
        let is_due = |peer: &Peer<L>| matches!(peer.outgoing, Outgoing::WaitingUntil(at) if at <= now);
        self.peers.iter().filter(|(_, peer)| is_due(peer)).map(|(address, _)| *address).collect()
    }

    /// Records that the host has started to connect to `address` on `link`.
    pub fn connecting(&mut self, address: Ipv4Addr, link: L) {
        if let Some(peer) = self.peers.get_mut(&address) {
            let is_replacement = std::mem::take(&mut peer.next_is_replacement);
            peer.outgoing = Outgoing::Connecting { link, is_replacement };
        }
    }

    /// Records that a link of this node has opened. Returns `None` if the link is unknown or leads to an
    /// unexpected node, and the host then has to close it.
    pub fn opened(&mut self, link: L, hello: Hello) -> Option<PeerChange> {
        let (address, peer) = self.peer_with_link(link)?;
        if hello.kind != PeerKind::Control || hello.node.address() != address {
            let name = hello.name.as_str();
            log::warn!(
                peer:% = address, node:% = hello.node, name;
                "a peer has an unexpected identity: check the configured addresses"
            );
            return None;
        }
        let node = hello.node;
        peer.outgoing = Outgoing::Open(link, node);
        peer.hello = Some(hello);
        peer.failures = 0;
        peer.unreachable_since = None;
        Some(PeerChange::Connected(node))
    }

    /// Records that another control node has opened a link. Returns the links that the host has to close: an
    /// older link from the same machine, and a connection attempt to that machine that is still in progress.
    /// The attempt may have been started before the remote process ran, in which case it hangs; another
    /// attempt is due at once.
    ///
    /// Links are numbered in the order in which their connections were accepted, but the `Hello` on an older
    /// link may arrive last. In that case the older link is the one to close, and nothing is read from it.
    pub fn accepted(&mut self, now: Duration, link: L, node: NodeId) -> Vec<L> {
        let is_same_machine = |other: &NodeId| other.ip == node.ip;
        let known = self.incoming.iter().find(|(_, other)| is_same_machine(other)).map(|(link, _)| *link);
        if known.is_some_and(|known| known > link) {
            return vec![link];
        }
        self.learn(now, node.address());
        let abandoned = self.reconnect(now, node.address());
        if let Some(older) = known {
            self.incoming.remove(&older);
        }
        self.incoming.insert(link, node);
        known.into_iter().chain(abandoned).collect()
    }

    /// Ends the backoff of a machine whose process is known to run. Abandons a connection attempt that is in
    /// progress, unless that attempt itself replaced an abandoned one. Returns the abandoned link.
    fn reconnect(&mut self, now: Duration, address: Ipv4Addr) -> Option<L> {
        let peer = self.peers.get_mut(&address)?;
        match peer.outgoing {
            Outgoing::WaitingUntil(_) => {
                peer.outgoing = Outgoing::WaitingUntil(now);
                None
            }
            Outgoing::Connecting { link, is_replacement: false } => {
                peer.outgoing = Outgoing::WaitingUntil(now);
                peer.next_is_replacement = true;
                Some(link)
            }
            Outgoing::Connecting { .. } | Outgoing::Open(..) => None,
        }
    }

    /// Records that a link has closed or failed to open. `jitter` between 0 and 1 lengthens the backoff by up
    /// to half, in order to spread the attempts of several nodes. Returns the change if the link was open.
    pub fn closed(&mut self, now: Duration, link: L, jitter: f64) -> Option<PeerChange> {
        self.incoming.remove(&link);
        let (_, peer) = self.peer_with_link(link)?;
        let backoff = MAX_BACKOFF.min(INITIAL_BACKOFF * 2u32.saturating_pow(peer.failures.min(8)));
        let next = now + backoff.mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0);
        let previous = std::mem::replace(&mut peer.outgoing, Outgoing::WaitingUntil(next));
        peer.failures += 1;
        peer.unreachable_since.get_or_insert(now);
        match previous {
            Outgoing::Open(_, node) => Some(PeerChange::Disconnected(node)),
            Outgoing::Connecting { .. } | Outgoing::WaitingUntil(_) => None,
        }
    }

    fn peer_with_link(&mut self, link: L) -> Option<(Ipv4Addr, &mut Peer<L>)> {
        let has_link = |peer: &Peer<L>| match &peer.outgoing {
            Outgoing::Connecting { link: other, .. } | Outgoing::Open(other, _) => *other == link,
            Outgoing::WaitingUntil(_) => false,
        };
        self.peers.iter_mut().find(|(_, peer)| has_link(peer)).map(|(address, peer)| (*address, peer))
    }

    /// Forgets the addresses that have been unreachable for `FORGET_AFTER`, except those that are
    /// `in_view`.
    pub fn forget(&mut self, now: Duration, in_view: impl Fn(Ipv4Addr) -> bool) {
        self.peers.retain(|address, peer| {
            let is_unreachable = peer.unreachable_since.is_some_and(|since| now >= since + FORGET_AFTER);
            !is_unreachable || in_view(*address)
        });
    }

    /// Returns the node that opened `link`; `None` if `link` is not an open incoming link from a control
    /// node.
    pub fn sender(&self, link: L) -> Option<NodeId> {
        self.incoming.get(&link).copied()
    }

    /// Returns the link on which messages to `node` are sent, if it is open and its other end is still the
    /// same incarnation of the node.
    pub fn link_to(&self, node: NodeId) -> Option<L> {
        match &self.peers.get(&node.address())?.outgoing {
            Outgoing::Open(link, other) if *other == node => Some(*link),
            _ => None,
        }
    }

    /// Returns whether `node` has an open link on which messages from it are received.
    pub fn can_receive_from(&self, node: NodeId) -> bool {
        self.incoming.values().any(|sender| *sender == node)
    }

    /// Returns the links on which messages can be sent, with the nodes at their other ends.
    pub fn connected(&self) -> impl Iterator<Item = (L, NodeId)> + '_ {
        self.peers.values().filter_map(|peer| match peer.outgoing {
            Outgoing::Open(link, node) => Some((link, node)),
            Outgoing::WaitingUntil(_) | Outgoing::Connecting { .. } => None,
        })
    }

    /// Returns the last `Hello` of each node that was reached and has not been forgotten since.
    pub fn known(&self) -> impl Iterator<Item = &Hello> {
        self.peers.values().filter_map(|peer| peer.hello.as_ref())
    }

    /// Returns the addresses to announce: that of this node and those of the nodes to which it is connected.
    pub fn reachable(&self) -> Vec<Ipv4Addr> {
        std::iter::once(self.me).chain(self.connected().map(|(_, node)| node.address())).collect()
    }
}
