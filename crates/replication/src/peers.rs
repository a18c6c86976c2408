//! The connections to other control nodes, and what each of them has reported.

use crate::Locality;
use quillpulley_protocol::{NodeId, Position};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time after its last reply from which a peer no longer counts as responsive.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay between a drop of a node and its earliest readmission, indexed by the number of its earlier recent drops.
/// The last delay applies to all further drops.
const READMISSION_DELAYS: [Duration; 5] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
    Duration::from_millis(2500),
    Duration::from_millis(4000),
];
/// The time after which an announcement of a shutdown expires.
const SHUTDOWN_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// If a node was not dropped for longer than this time, its earlier drops no longer count.
const FORGET_DROPS_AFTER: Duration = Duration::from_secs(30);

/// Another control node.
#[derive(Clone, Debug, Default)]
struct Peer {
    is_connected: bool,
    /// The failure domains of the peer; `None` if no `Hello` of the peer was received since the start of this process.
    locality: Option<Locality>,
    /// The time of the last reply of the peer; `None` before the first reply.
    last_reply_at: Option<Duration>,
    /// The time since which the peer has been responsive without interruption, or the time of its last drop if that is
    /// later; `None` before the first reply.
    responsive_since: Option<Duration>,
    /// The end of the peer's log, according to the last report of the peer.
    log_end: Position,
    /// Whether the peer has promised an epoch to another node and therefore rejects the epoch of this node, according
    /// to the last report of the peer.
    is_rejecting: bool,
    /// The time until which the peer counts as shutting down: its last announcement of a shutdown expires then.
    shutting_down_until: Duration,
    /// The number of recent drops of the peer.
    recent_drops: usize,
    /// The time of the last drop of the peer.
    dropped_at: Duration,
}

impl Peer {
    fn is_responsive(&self, now: Duration) -> bool {
        self.is_connected
            && self.last_reply_at.is_some_and(|last_reply_at| now < last_reply_at + REPLY_TIMEOUT)
    }
}

/// The other control nodes that have connected to this one since the start of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
}

impl Peers {
    /// Records a connection. Removes nodes with the same address and another incarnation, which no longer exist.
    pub fn connect(&mut self, node: NodeId) {
        self.peers.retain(|other, _| other.ip != node.ip || other.incarnation == node.incarnation);
        let peer = self.get_mut(node);
        peer.is_connected = true;
        peer.shutting_down_until = Duration::ZERO;
    }

    pub fn disconnect(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.is_connected = false;
        }
    }

    pub fn set_locality(&mut self, node: NodeId, locality: Locality) {
        self.get_mut(node).locality = Some(locality);
    }

    /// Records a reply, which proves that messages arrive in both directions.
    pub fn record_reply(&mut self, now: Duration, node: NodeId) {
        let peer = self.get_mut(node);
        let was_responsive =
            peer.last_reply_at.is_some_and(|last_reply_at| now < last_reply_at + REPLY_TIMEOUT);
        if !was_responsive {
            peer.responsive_since = Some(now);
        }
        peer.last_reply_at = Some(now);
    }

    /// Records the end of a node's log.
    pub fn record_log_end(&mut self, node: NodeId, log_end: Position) {
        self.get_mut(node).log_end = log_end;
    }

    /// Records whether a node rejects this node's epoch.
    pub fn set_rejecting(&mut self, node: NodeId, is_rejecting: bool) {
        self.get_mut(node).is_rejecting = is_rejecting;
    }

    /// Clears all rejections: they apply only to the epoch in which they were received.
    pub fn clear_rejections(&mut self) {
        self.peers.values_mut().for_each(|peer| peer.is_rejecting = false);
    }

    /// Records that the process of a node is shutting down. The announcement may arrive when the next process of the
    /// node is running already, and therefore expires after a short time.
    pub fn record_shutdown(&mut self, now: Duration, node: NodeId) {
        self.get_mut(node).shutting_down_until = now + SHUTDOWN_ANNOUNCEMENT_TIMEOUT;
    }

    /// Records that a node was dropped from a view or did not become a member as planned.
    pub fn record_drop(&mut self, now: Duration, node: NodeId) {
        let peer = self.get_mut(node);
        if now > peer.dropped_at + FORGET_DROPS_AFTER {
            peer.recent_drops = 0;
        }
        peer.recent_drops += 1;
        peer.dropped_at = now;
        peer.responsive_since = peer.last_reply_at.map(|_| now);
    }

    /// Returns the nodes to which messages can be sent.
    pub fn connected(&self) -> Vec<NodeId> {
        self.peers.iter().filter(|(_, peer)| peer.is_connected).map(|(node, _)| *node).collect()
    }

    pub fn is_connected(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_connected)
    }

    /// Returns whether a node is connected and has replied recently.
    pub fn is_responsive(&self, now: Duration, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_responsive(now))
    }

    /// Returns whether a node has been responsive for at least `time`, and the delay since its last drop has passed.
    pub fn is_steady(&self, now: Duration, node: NodeId, time: Duration) -> bool {
        let Some(peer) = self.get(node) else { return false };
        let is_steady = peer.responsive_since.is_some_and(|since| now >= since + time);
        let readmission = peer
            .recent_drops
            .checked_sub(1)
            .map(|recent_drops| READMISSION_DELAYS[recent_drops.min(READMISSION_DELAYS.len() - 1)]);
        let is_readmitted = readmission.is_none_or(|delay| now >= peer.dropped_at + delay);
        peer.is_responsive(now) && is_steady && is_readmitted
    }

    pub fn is_shutting_down(&self, now: Duration, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| now < peer.shutting_down_until)
    }

    pub fn is_rejecting(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_rejecting)
    }

    /// Returns the end of a node's log according to its last report.
    pub fn log_end(&self, node: NodeId) -> Position {
        self.get(node).map(|peer| peer.log_end).unwrap_or_default()
    }

    /// Returns the time since the last reply of a node, or since `start` if that is later.
    pub fn time_since_reply(&self, now: Duration, node: NodeId, start: Duration) -> Duration {
        let last_reply_at = self.get(node).and_then(|peer| peer.last_reply_at).unwrap_or_default();
        now.saturating_sub(last_reply_at.max(start))
    }

    /// Returns the failure domains of a node's machine, even if only another incarnation of the node reported them;
    /// `None` if they are not known.
    pub fn locality_of(&self, node: NodeId) -> Option<&Locality> {
        let own = self.get(node).and_then(|peer| peer.locality.as_ref());
        let is_same_machine = |(other, _): &(&NodeId, &Peer)| other.ip == node.ip;
        own.or_else(|| self.peers.iter().filter(is_same_machine).find_map(|(_, peer)| peer.locality.as_ref()))
    }

    fn get(&self, node: NodeId) -> Option<&Peer> {
        self.peers.get(&node)
    }

    fn get_mut(&mut self, node: NodeId) -> &mut Peer {
        self.peers.entry(node).or_default()
    }
}
