//! The connections to other control nodes, and what is known of each of them.

use crate::Locality;
use quillpulley_protocol::{NodeId, Position};
use std::collections::BTreeMap;
use std::time::Duration;

/// A peer whose replies are never further apart than this counts as responsive without a break.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The delays before a node that was dropped may come back, by how often that happened recently.
const READMISSION_DELAYS: [Duration; 5] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
    Duration::from_millis(2500),
    Duration::from_millis(4000),
];
/// How long an announced shutdown is believed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long after the last drop the earlier ones are forgotten.
const FORGET_DROPS_AFTER: Duration = Duration::from_secs(30);

/// Another control node.
#[derive(Clone, Debug, Default)]
struct Peer {
    is_connected: bool,
    /// Its failure domains, if its `Hello` was received since the start of this process.
    locality: Option<Locality>,
    received_at: Option<Duration>,
    responsive_since: Option<Duration>,
    /// The end of its log, as it reported last.
    last: Position,
    /// It has promised an epoch to another node and rejects this node's, as it reported last.
    is_rejecting: bool,
    /// Until then it counts as shutting down, since it has announced it.
    shutting_down_until: Duration,
    drops: usize,
    dropped_at: Duration,
}

impl Peer {
    fn is_responsive(&self, now: Duration) -> bool {
        self.is_connected && self.received_at.is_some_and(|received_at| now < received_at + REPLY_TIMEOUT)
    }
}

/// All nodes that were connected since the start of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
}

impl Peers {
    /// Records a connection. A node with the same address and another incarnation is gone for good.
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

    /// Records a reply, which proves that messages pass in both directions.
    pub fn record_reply(&mut self, now: Duration, node: NodeId) {
        let peer = self.get_mut(node);
        let was_responsive = peer.received_at.is_some_and(|received_at| now < received_at + REPLY_TIMEOUT);
        if !was_responsive {
            peer.responsive_since = Some(now);
        }
        peer.received_at = Some(now);
    }

    /// Records the end of a node's log.
    pub fn record_position(&mut self, node: NodeId, last: Position) {
        self.get_mut(node).last = last;
    }

    /// Records whether a node rejects this node's epoch.
    pub fn set_rejecting(&mut self, node: NodeId, is_rejecting: bool) {
        self.get_mut(node).is_rejecting = is_rejecting;
    }

    /// Clears all rejections: they count for the epoch in which they came.
    pub fn clear_rejections(&mut self) {
        self.peers.values_mut().for_each(|peer| peer.is_rejecting = false);
    }

    /// Records that a process is shutting down. The announcement may come late, when the next process runs already, and
    /// so it is not believed for long.
    pub fn record_shutdown(&mut self, now: Duration, node: NodeId) {
        self.get_mut(node).shutting_down_until = now + SHUTDOWN_TIMEOUT;
    }

    /// Records that a node was dropped from a view, or failed to become a member.
    pub fn record_drop(&mut self, now: Duration, node: NodeId) {
        let peer = self.get_mut(node);
        if now > peer.dropped_at + FORGET_DROPS_AFTER {
            peer.drops = 0;
        }
        peer.drops += 1;
        peer.dropped_at = now;
        peer.responsive_since = peer.received_at.map(|_| now);
    }

    /// Returns the nodes to which messages can be sent.
    pub fn connected(&self) -> Vec<NodeId> {
        self.peers.iter().filter(|(_, peer)| peer.is_connected).map(|(node, _)| *node).collect()
    }

    pub fn is_connected(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_connected)
    }

    /// Returns whether a node is connected and replies.
    pub fn is_responsive(&self, now: Duration, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_responsive(now))
    }

    /// Returns whether a node has been responsive for `time`, and long enough since its last drop.
    pub fn is_steady(&self, now: Duration, node: NodeId, time: Duration) -> bool {
        let Some(peer) = self.get(node) else { return false };
        let is_steady = peer.responsive_since.is_some_and(|since| now >= since + time);
        let readmission = peer
            .drops
            .checked_sub(1)
            .map(|drops| READMISSION_DELAYS[drops.min(READMISSION_DELAYS.len() - 1)]);
        let is_readmitted = readmission.is_none_or(|delay| now >= peer.dropped_at + delay);
        peer.is_responsive(now) && is_steady && is_readmitted
    }

    pub fn is_shutting_down(&self, now: Duration, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| now < peer.shutting_down_until)
    }

    pub fn is_rejecting(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_rejecting)
    }

    /// Returns the end of a node's log as it reported last.
    pub fn last_position(&self, node: NodeId) -> Position {
        self.get(node).map(|peer| peer.last).unwrap_or_default()
    }

    /// Returns the time since a node's last message, counted from `start` at the earliest.
    pub fn time_since_reply(&self, now: Duration, node: NodeId, start: Duration) -> Duration {
        let received_at = self.get(node).and_then(|peer| peer.received_at).unwrap_or_default();
        now.saturating_sub(received_at.max(start))
    }

    /// Returns the failure domains of a node's machine, whichever incarnation reported them.
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
