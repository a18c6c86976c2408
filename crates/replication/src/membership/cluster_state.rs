//! What a node knows of the other control nodes at a moment.

use quillpulley_protocol::{NodeId, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::fault_tolerance::{uncovered_by_members, uncovered_by_witnesses};
use crate::peers::Peers;
use crate::view::members;
use crate::{DurabilityStatus, Locality, Options, UncoveredFailures};

/// A read-only view of peers and their failure domains.
#[derive(Clone, Copy)]
pub(crate) struct ClusterState<'a> {
    pub options: &'a Options,
    pub peers: &'a Peers,
    pub now: Duration,
}

impl<'a> ClusterState<'a> {
    pub fn is_me(&self, node: NodeId) -> bool {
        node == self.options.me
    }

    /// Returns the failure domains of a node, if they are known.
    pub fn locality_of(&self, node: NodeId) -> Option<&'a Locality> {
        if self.is_me(node) {
            return Some(&self.options.locality);
        }
        self.peers.locality_of(node)
    }

    /// Returns the tolerated failures that a view does not survive.
    pub fn durability_of(&self, view: &View) -> DurabilityStatus {
        DurabilityStatus {
            members: self.uncovered_by_members(&members(view)),
            witnesses: self.uncovered_by_witnesses(&view.witnesses),
        }
    }

    pub fn uncovered_by_members(&self, members: &[NodeId]) -> UncoveredFailures {
        uncovered_by_members(members, self.options.fault_tolerance, |node| self.locality_of(node))
    }

    pub fn uncovered_by_witnesses(&self, witnesses: &[NodeId]) -> UncoveredFailures {
        uncovered_by_witnesses(witnesses, self.options.fault_tolerance, |node| self.locality_of(node))
    }

    /// Returns how many kinds of tolerated failures would leave no copy with these members.
    pub fn count_uncovered(&self, members: &BTreeSet<NodeId>) -> usize {
        let members: Vec<NodeId> = members.iter().copied().collect();
        self.uncovered_by_members(&members).count()
    }

    /// Returns the nodes among `candidates` each of which covers more failures together with `members`.
    pub fn covering(&self, candidates: &BTreeSet<NodeId>, members: &BTreeSet<NodeId>) -> BTreeSet<NodeId> {
        let uncovered = self.count_uncovered(members);
        let covers_more = |node: &&NodeId| {
            let mut with_node = members.clone();
            with_node.insert(**node);
            self.count_uncovered(&with_node) < uncovered
        };
        candidates.iter().filter(covers_more).copied().collect()
    }

    pub fn is_shutting_down(&self, node: NodeId) -> bool {
        self.peers.is_shutting_down(self.now, node)
    }

    /// Returns whether a node replies and is not shutting down.
    pub fn is_available(&self, node: NodeId) -> bool {
        self.peers.is_responsive(self.now, node) && !self.is_shutting_down(node)
    }

    /// Returns the connected nodes that reply and are not shutting down.
    pub fn available_nodes(&self) -> Vec<NodeId> {
        let mut nodes = self.peers.connected();
        nodes.retain(|node| self.is_available(*node));
        nodes
    }

    /// Returns the time since a node's last message, counted from `start` at the earliest.
    pub fn time_since_reply(&self, node: NodeId, start: Duration) -> Duration {
        self.peers.time_since_reply(self.now, node, start)
    }
}
