//! What is known of the other core processes: connections, answers, and how often they were dropped.

use crate::Place;
use quillpulley_protocol::{NodeId, Position};
use std::collections::BTreeMap;
use std::time::Duration;

/// A peer that has answered within this time, again and again, counts as answering without a break.
const ANSWER_GAP: Duration = Duration::from_millis(500);
/// The delays before a node that was dropped may come back, by how often that happened lately.
const READMIT_DELAYS: [Duration; 5] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
    Duration::from_millis(2500),
    Duration::from_millis(4000),
];
/// How long a process that is about to end counts as such.
const LEAVING: Duration = Duration::from_millis(1500);
/// How long after the last drop the earlier ones are forgotten.
const FORGET_DROPS: Duration = Duration::from_secs(30);

/// One other core process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub connected: bool,
    /// Where it stands, if its `Hello` was heard in this life of the process.
    pub place: Option<Place>,
    heard_at: Option<Duration>,
    answering_since: Option<Duration>,
    /// The end of its log, as it told last.
    pub last: Position,
    /// It has promised an epoch to another and refuses this node's, as it told last.
    pub refuses: bool,
    /// Until then it counts as about to end, since it has told so.
    pub leaving_until: Duration,
    drops: usize,
    dropped_at: Duration,
}

impl Peer {
    /// Notes an answer, which proves that messages pass in both directions.
    pub fn heard(&mut self, now: Duration) {
        let was_answering = self.heard_at.is_some_and(|heard_at| now < heard_at + ANSWER_GAP);
        if !was_answering {
            self.answering_since = Some(now);
        }
        self.heard_at = Some(now);
    }

    /// For how long nothing has been heard, counted from `start` at the earliest.
    pub fn silent_for(&self, now: Duration, start: Duration) -> Duration {
        now.saturating_sub(self.heard_at.unwrap_or_default().max(start))
    }

    /// Whether it answers now.
    pub fn is_answering(&self, now: Duration) -> bool {
        self.connected && self.heard_at.is_some_and(|heard_at| now < heard_at + ANSWER_GAP)
    }

    /// Whether it has answered for so long, and has stayed away long enough if it was dropped.
    pub fn is_steady(&self, now: Duration, time: Duration) -> bool {
        let steady = self.answering_since.is_some_and(|since| now >= since + time);
        let delay =
            self.drops.checked_sub(1).map(|drops| READMIT_DELAYS[drops.min(READMIT_DELAYS.len() - 1)]);
        let waited = delay.is_none_or(|delay| now >= self.dropped_at + delay);
        self.is_answering(now) && steady && waited
    }

    /// Notes that it was dropped from a view, or failed to come into one.
    pub fn dropped(&mut self, now: Duration) {
        if now > self.dropped_at + FORGET_DROPS {
            self.drops = 0;
        }
        self.drops += 1;
        self.dropped_at = now;
        self.answering_since = self.heard_at.map(|_| now);
    }
}

/// All peers that were ever connected in this life of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
}

impl Peers {
    pub fn get(&self, node: NodeId) -> Option<&Peer> {
        self.peers.get(&node)
    }

    /// Where the machine of a node stands, whatever incarnation told it.
    pub fn place_at(&self, node: NodeId) -> Option<&Place> {
        let own = self.get(node).and_then(|peer| peer.place.as_ref());
        let same_machine = |(other, _): &(&NodeId, &Peer)| other.ip == node.ip;
        own.or_else(|| self.peers.iter().filter(same_machine).find_map(|(_, peer)| peer.place.as_ref()))
    }

    pub fn get_mut(&mut self, node: NodeId) -> &mut Peer {
        self.peers.entry(node).or_default()
    }

    /// Notes a connection. A node of the same address with another incarnation is gone for good.
    pub fn connect(&mut self, node: NodeId) {
        self.peers.retain(|other, _| other.ip != node.ip || other.incarnation == node.incarnation);
        let peer = self.get_mut(node);
        peer.connected = true;
        peer.leaving_until = Duration::ZERO;
    }

    pub fn disconnect(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.connected = false;
        }
    }

    /// Refusals count for the epoch in which they came.
    pub fn forget_refusals(&mut self) {
        self.peers.values_mut().for_each(|peer| peer.refuses = false);
    }

    pub fn is_connected(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.connected)
    }

    /// Notes that a process is about to end. That may come late, when the next one runs already, and so it does
    /// not hold for long.
    pub fn note_leaving(&mut self, now: Duration, node: NodeId) {
        self.get_mut(node).leaving_until = now + LEAVING;
    }

    /// Whether a node answers at present.
    pub fn is_answering(&self, now: Duration, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| peer.is_answering(now))
    }

    pub fn is_leaving(&self, now: Duration, node: NodeId) -> bool {
        self.get(node).is_some_and(|peer| now < peer.leaving_until)
    }

    /// The nodes to which messages can be sent.
    pub fn connected(&self) -> Vec<NodeId> {
        self.peers.iter().filter(|(_, peer)| peer.connected).map(|(node, _)| *node).collect()
    }
}
