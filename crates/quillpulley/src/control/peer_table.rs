//! Which core processes are known, and the links to them. Pure: the host owns the sockets.
//!
//! Between two core processes there are two links: each sends only on the link that it opened itself, and
//! reads on the other's. A process counts as connected while the link to it is open.

use quillpulley_protocol::{Hello, NodeId, PeerKind};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The pause after the first failure to connect; each further failure doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);
/// An address that cannot be reached for so long, and belongs to no view, is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The link that this process opened to a peer.
enum Outgoing<L> {
    /// The next try is due at this time.
    Waiting(Duration),
    Connecting {
        link: L,
        /// It has taken the place of one that hung.
        again: bool,
    },
    Open(L, NodeId),
}

struct Peer<L> {
    outgoing: Outgoing<L>,
    /// How it introduced itself last.
    hello: Option<Hello>,
    /// The next connection takes the place of one that may hang.
    dials_again: bool,
    failures: u32,
    unreachable_since: Option<Duration>,
}

/// A change that others have to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// Messages can be sent to this process.
    Connected(NodeId),
    /// Nothing more can be sent to this process.
    Disconnected(NodeId),
}

/// The core processes that this one knows, by address. `L` names a link.
pub struct PeerTable<L> {
    me: Ipv4Addr,
    peers: BTreeMap<Ipv4Addr, Peer<L>>,
    incoming: BTreeMap<L, NodeId>,
}

impl<L: Copy + Ord> PeerTable<L> {
    /// The peers of the process at `me`, which knows no other.
    pub fn new(me: Ipv4Addr) -> Self {
        PeerTable { me, peers: BTreeMap::new(), incoming: BTreeMap::new() }
    }

    /// Takes note of an address; it will be dialled at once.
    pub fn learn(&mut self, now: Duration, address: Ipv4Addr) {
        if address == self.me || address.is_unspecified() {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            outgoing: Outgoing::Waiting(now),
            hello: None,
            dials_again: false,
            failures: 0,
            unreachable_since: Some(now),
        });
    }

    /// The addresses to be dialled now. The host has to call [`PeerTable::dialled`] for each.
    pub fn due(&self, now: Duration) -> Vec<Ipv4Addr> {
        let due = |peer: &Peer<L>| matches!(peer.outgoing, Outgoing::Waiting(at) if at <= now);
        self.peers.iter().filter(|(_, peer)| due(peer)).map(|(address, _)| *address).collect()
    }

    /// A connection to `address` was begun as `link`.
    pub fn dialled(&mut self, address: Ipv4Addr, link: L) {
        if let Some(peer) = self.peers.get_mut(&address) {
            let again = std::mem::take(&mut peer.dials_again);
            peer.outgoing = Outgoing::Connecting { link, again };
        }
    }

    /// A link that this process began has opened. `None` if it is no link of the peer table, or leads elsewhere.
    pub fn opened(&mut self, link: L, hello: Hello) -> Option<PeerChange> {
        let (address, peer) = self.peer_of(link)?;
        if hello.kind != PeerKind::Control || hello.node.address() != address {
            log::warn!("{address} introduces itself as {} ({}): check the addresses", hello.node, hello.name);
            return None;
        }
        let node = hello.node;
        peer.outgoing = Outgoing::Open(link, node);
        peer.hello = Some(hello);
        peer.failures = 0;
        peer.unreachable_since = None;
        Some(PeerChange::Connected(node))
    }

    /// Another core process has opened a link. Returns the links to be closed: an older one of the same process,
    /// and a connection to it that is still being made. That one may have been begun before the process ran, and
    /// then it hangs; another is due at once. Links are numbered as their connections came, and the introduction on
    /// an older one may come last: then that link is the one to be closed, and what it brings is not read.
    pub fn accepted(&mut self, now: Duration, link: L, node: NodeId) -> Vec<L> {
        let same_machine = |other: &NodeId| other.ip == node.ip;
        let known = self.incoming.iter().find(|(_, other)| same_machine(other)).map(|(link, _)| *link);
        if known.is_some_and(|known| known > link) {
            return vec![link];
        }
        self.learn(now, node.address());
        let given_up = self.dial_again(now, node.address());
        if let Some(older) = known {
            self.incoming.remove(&older);
        }
        self.incoming.insert(link, node);
        known.into_iter().chain(given_up).collect()
    }

    /// A process is known to run: a pause ends, and a connection that is still being made is given up, once.
    fn dial_again(&mut self, now: Duration, address: Ipv4Addr) -> Option<L> {
        let peer = self.peers.get_mut(&address)?;
        match peer.outgoing {
            Outgoing::Waiting(_) => {
                peer.outgoing = Outgoing::Waiting(now);
                None
            }
            Outgoing::Connecting { link, again: false } => {
                peer.outgoing = Outgoing::Waiting(now);
                peer.dials_again = true;
                Some(link)
            }
            Outgoing::Connecting { .. } | Outgoing::Open(..) => None,
        }
    }

    /// A link has closed or did not come up. `jitter` between 0 and 1 spreads the next try.
    pub fn closed(&mut self, now: Duration, link: L, jitter: f64) -> Option<PeerChange> {
        self.incoming.remove(&link);
        let (_, peer) = self.peer_of(link)?;
        let backoff = LONGEST_BACKOFF.min(FIRST_BACKOFF * 2u32.saturating_pow(peer.failures.min(8)));
        let next = now + backoff.mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0);
        let before = std::mem::replace(&mut peer.outgoing, Outgoing::Waiting(next));
        peer.failures += 1;
        peer.unreachable_since.get_or_insert(now);
        match before {
            Outgoing::Open(_, node) => Some(PeerChange::Disconnected(node)),
            Outgoing::Connecting { .. } | Outgoing::Waiting(_) => None,
        }
    }

    fn peer_of(&mut self, link: L) -> Option<(Ipv4Addr, &mut Peer<L>)> {
        let uses = |peer: &Peer<L>| match &peer.outgoing {
            Outgoing::Connecting { link: other, .. } | Outgoing::Open(other, _) => *other == link,
            Outgoing::Waiting(_) => false,
        };
        self.peers.iter_mut().find(|(_, peer)| uses(peer)).map(|(address, peer)| (*address, peer))
    }

    /// Forgets the addresses that have long been unreachable, except those that are to be kept.
    pub fn forget(&mut self, now: Duration, keep: impl Fn(Ipv4Addr) -> bool) {
        self.peers.retain(|address, peer| {
            let unreachable = peer.unreachable_since.is_some_and(|since| now >= since + FORGET_AFTER);
            !unreachable || keep(*address)
        });
    }

    /// The process at the other end of a link that it opened.
    pub fn sender(&self, link: L) -> Option<NodeId> {
        self.incoming.get(&link).copied()
    }

    /// The link on which messages to `node` are sent, if it is open and still leads to that node.
    pub fn link_to(&self, node: NodeId) -> Option<L> {
        match &self.peers.get(&node.address())?.outgoing {
            Outgoing::Open(link, other) if *other == node => Some(*link),
            _ => None,
        }
    }

    /// Whether messages of `node` can come.
    pub fn receives_from(&self, node: NodeId) -> bool {
        self.incoming.values().any(|sender| *sender == node)
    }

    /// The links on which messages can be sent, and to whom.
    pub fn connected(&self) -> impl Iterator<Item = (L, NodeId)> + '_ {
        self.peers.values().filter_map(|peer| match peer.outgoing {
            Outgoing::Open(link, node) => Some((link, node)),
            Outgoing::Waiting(_) | Outgoing::Connecting { .. } => None,
        })
    }

    /// The processes that were reached once and are not forgotten, as they introduced themselves last.
    pub fn known(&self) -> impl Iterator<Item = &Hello> {
        self.peers.values().filter_map(|peer| peer.hello.as_ref())
    }

    /// The addresses to tell others: this process and those it is connected to.
    pub fn reachable(&self) -> Vec<Ipv4Addr> {
        std::iter::once(self.me).chain(self.connected().map(|(_, node)| node.address())).collect()
    }
}
