//! The known control nodes and the links to them. Pure: the host owns the sockets.
//!
//! Between two control nodes there are two links: each sends only on the link that it opened itself, and reads on the
//! other's. A node counts as connected while the link to it is open.

use quillpulley_protocol::{Hello, NodeId, PeerKind};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The backoff after the first failure to connect; each further failure doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest backoff.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);
/// An address that is unreachable for this long, and belongs to no view, is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The link that this process opened to a peer.
enum Outgoing<L> {
    /// The next attempt is due at this time.
    RequestQueue(Duration),
    Connecting {
        link: L,
        /// It replaces a connection that may have hung.
        is_replacement: bool,
    },
    Open(L, NodeId),
}

struct Peer<L> {
    outgoing: Outgoing<L>,
    /// Its last `Hello`.
    hello: Option<Hello>,
    /// The next connection replaces one that may hang.
    next_is_replacement: bool,
    failures: u32,
    unreachable_since: Option<Duration>,
}

/// A change of the connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// Messages can be sent to this node.
    Connected(NodeId),
    /// Nothing more can be sent to this node.
    Disconnected(NodeId),
}

/// The control nodes that this one knows, by address. `L` names a link.
pub struct PeerTable<L> {
    me: Ipv4Addr,
    peers: BTreeMap<Ipv4Addr, Peer<L>>,
    incoming: BTreeMap<L, NodeId>,
}

impl<L: Copy + Ord> PeerTable<L> {
    /// Creates the table of the node at `me`, which knows no other.
    pub fn new(me: Ipv4Addr) -> Self {
        PeerTable { me, peers: BTreeMap::new(), incoming: BTreeMap::new() }
    }

    /// Learns an address, which is connected to at once.
    pub fn learn(&mut self, now: Duration, address: Ipv4Addr) {
        if address == self.me || address.is_unspecified() {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            outgoing: Outgoing::RequestQueue(now),
            hello: None,
            next_is_replacement: false,
            failures: 0,
            unreachable_since: Some(now),
        });
    }

    /// Returns the addresses to connect to now. The host has to call [`PeerTable::connecting`] for each.
    pub fn due(&self, now: Duration) -> Vec<Ipv4Addr> {
        let is_due = |peer: &Peer<L>| matches!(peer.outgoing, Outgoing::RequestQueue(at) if at <= now);
        self.peers.iter().filter(|(_, peer)| is_due(peer)).map(|(address, _)| *address).collect()
    }

    /// Records that a connection to `address` was begun as `link`.
    pub fn connecting(&mut self, address: Ipv4Addr, link: L) {
        if let Some(peer) = self.peers.get_mut(&address) {
            let is_replacement = std::mem::take(&mut peer.next_is_replacement);
            peer.outgoing = Outgoing::Connecting { link, is_replacement };
        }
    }

    /// Records that a link of this node has opened. Returns none if the link is not known, or leads elsewhere.
    pub fn opened(&mut self, link: L, hello: Hello) -> Option<PeerChange> {
        let (address, peer) = self.peer_of(link)?;
        if hello.kind != PeerKind::Control || hello.node.address() != address {
            let name = hello.name.as_str();
            log::warn!(peer:% = address, node:% = hello.node, name; "unexpected identity: check the addresses");
            return None;
        }
        let node = hello.node;
        peer.outgoing = Outgoing::Open(link, node);
        peer.hello = Some(hello);
        peer.failures = 0;
        peer.unreachable_since = None;
        Some(PeerChange::Connected(node))
    }

    /// Records that another control node has opened a link. Returns the links to be closed: an older one of the same
    /// machine, and a connection to it that is still being made. That one may have been begun before the process ran,
    /// and then it hangs; another one is due at once. Links are numbered as their connections came, and the `Hello` on
    /// an older one may come last: then that link is the one to be closed, and nothing on it is read.
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

    /// Ends the backoff of a machine whose process is known to run, and abandons a connection that is still being made,
    /// once.
    fn reconnect(&mut self, now: Duration, address: Ipv4Addr) -> Option<L> {
        let peer = self.peers.get_mut(&address)?;
        match peer.outgoing {
            Outgoing::RequestQueue(_) => {
                peer.outgoing = Outgoing::RequestQueue(now);
                None
            }
            Outgoing::Connecting { link, is_replacement: false } => {
                peer.outgoing = Outgoing::RequestQueue(now);
                peer.next_is_replacement = true;
                Some(link)
            }
            Outgoing::Connecting { .. } | Outgoing::Open(..) => None,
        }
    }

    /// Records that a link has closed or did not open. `jitter` between 0 and 1 spreads the next attempt.
    pub fn closed(&mut self, now: Duration, link: L, jitter: f64) -> Option<PeerChange> {
        self.incoming.remove(&link);
        let (_, peer) = self.peer_of(link)?;
        let backoff = LONGEST_BACKOFF.min(FIRST_BACKOFF * 2u32.saturating_pow(peer.failures.min(8)));
        let next = now + backoff.mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0);
        let before = std::mem::replace(&mut peer.outgoing, Outgoing::RequestQueue(next));
        peer.failures += 1;
        peer.unreachable_since.get_or_insert(now);
        match before {
            Outgoing::Open(_, node) => Some(PeerChange::Disconnected(node)),
            Outgoing::Connecting { .. } | Outgoing::RequestQueue(_) => None,
        }
    }

    fn peer_of(&mut self, link: L) -> Option<(Ipv4Addr, &mut Peer<L>)> {
        let has_link = |peer: &Peer<L>| match &peer.outgoing {
            Outgoing::Connecting { link: other, .. } | Outgoing::Open(other, _) => *other == link,
            Outgoing::RequestQueue(_) => false,
        };
        self.peers.iter_mut().find(|(_, peer)| has_link(peer)).map(|(address, peer)| (*address, peer))
    }

    /// Forgets the addresses that have long been unreachable, except those that are `in_view`.
    pub fn forget(&mut self, now: Duration, in_view: impl Fn(Ipv4Addr) -> bool) {
        self.peers.retain(|address, peer| {
            let is_unreachable = peer.unreachable_since.is_some_and(|since| now >= since + FORGET_AFTER);
            !is_unreachable || in_view(*address)
        });
    }

    /// Returns the node at the other end of a link that it opened.
    pub fn sender(&self, link: L) -> Option<NodeId> {
        self.incoming.get(&link).copied()
    }

    /// Returns the link on which messages to `node` are sent, if it is open and still leads to that node.
    pub fn link_to(&self, node: NodeId) -> Option<L> {
        match &self.peers.get(&node.address())?.outgoing {
            Outgoing::Open(link, other) if *other == node => Some(*link),
            _ => None,
        }
    }

    /// Returns whether messages can come from `node`.
    pub fn receives_from(&self, node: NodeId) -> bool {
        self.incoming.values().any(|sender| *sender == node)
    }

    /// Returns the links on which messages can be sent, and to which.
    pub fn connected(&self) -> impl Iterator<Item = (L, NodeId)> + '_ {
        self.peers.values().filter_map(|peer| match peer.outgoing {
            Outgoing::Open(link, node) => Some((link, node)),
            Outgoing::RequestQueue(_) | Outgoing::Connecting { .. } => None,
        })
    }

    /// Returns the last `Hello` of the nodes that were reached once and are not forgotten.
    pub fn known(&self) -> impl Iterator<Item = &Hello> {
        self.peers.values().filter_map(|peer| peer.hello.as_ref())
    }

    /// Returns the addresses to announce: this node and those it is connected to.
    pub fn reachable(&self) -> Vec<Ipv4Addr> {
        std::iter::once(self.me).chain(self.connected().map(|(_, node)| node.address())).collect()
    }
}
