//! What a node knows about the control nodes at one moment.

use quillpulley_protocol::{NodeId, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::fault_tolerance::{uncovered_by_members, uncovered_by_witnesses};
use crate::peers::Peers;
use crate::view::members;
use crate::{DurabilityStatus, Locality, Options, UncoveredFailures};

/// Read-only access to the peers and their failure domains at the time `now`.
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

    /// Returns the failure domains of a node; `None` if they are not known.
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

    /// Returns the number of kinds of tolerated failures (machines, zones, regions) after which none of these members
    /// remains.
    pub fn count_uncovered(&self, members: &BTreeSet<NodeId>) -> usize {
        let members: Vec<NodeId> = members.iter().copied().collect();
        self.uncovered_by_members(&members).count()
    }

    /// Returns the candidates that reduce the uncovered failures of `members` if they are added alone.
    pub fn covering_nodes(
        &self,
        candidates: &BTreeSet<NodeId>,
        members: &BTreeSet<NodeId>,
    ) -> BTreeSet<NodeId> {
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

    /// Returns whether a node is connected, has replied recently and is not shutting down.
    pub fn is_available(&self, node: NodeId) -> bool {
        self.peers.is_responsive(self.now, node) && !self.is_shutting_down(node)
    }

    /// Returns the connected nodes that have replied recently and are not shutting down.
    pub fn available_nodes(&self) -> Vec<NodeId> {
        let mut nodes = self.peers.connected();
        nodes.retain(|node| self.is_available(*node));
        nodes
    }

    /// Returns the time since the last reply of a node, or since `start` if that is later.
    pub fn time_since_reply(&self, node: NodeId, start: Duration) -> Duration {
        self.peers.time_since_reply(self.now, node, start)
    }
}
