//! Learners: nodes that receive the log and are about to become members.
//!
//! New proposals wait until a learner has caught up. Otherwise, under a continuous load of large entries, the learner
//! would always lack the entry in flight. A view change that begins then would send that entry a second time, in the
//! new epoch, and the learner would not catch up in time.

use quillpulley_protocol::NodeId;

use super::Planner;
use crate::view::members;

impl Planner<'_> {
    /// Returns the nodes that are steadily responsive but not members.
    pub fn learners(&self) -> Vec<NodeId> {
        let current = members(self.primary.view());
        let mut nodes = self.cluster.peers.connected();
        nodes.retain(|node| !current.contains(node) && self.is_steady(*node));
        nodes
    }

    /// Returns whether a learner can become a member: it holds the log, or rejects the epoch of this primary and can
    /// receive the log only in a higher one.
    pub(super) fn can_become_member(&self, node: NodeId) -> bool {
        let Some(tracker) = self.tracker else { return false };
        let is_rejecting = self.cluster.peers.is_rejecting(node);
        let is_counted_early = self.cluster.options.faults.count_learner_early();
        let has_log = tracker.match_index(node).is_some_and(|index| index >= self.applied.index);
        is_rejecting || is_counted_early || has_log && !self.is_catching_up(node)
    }

    /// Returns whether proposals are queued and a learner holds the log, so that the view should change at once.
    pub fn can_add_at_once(&self, node: NodeId) -> bool {
        self.primary.proposals.has_queued() && self.learners().contains(&node) && self.can_become_member(node)
    }

    /// Returns whether new proposals have to wait because a learner is receiving the last entries.
    pub fn waits_for_learner(&self) -> bool {
        self.learners().iter().any(|node| self.is_catching_up(*node))
    }

    /// Returns whether a node lacks only entries that are in the log, and makes progress in receiving them.
    fn is_catching_up(&self, node: NodeId) -> bool {
        let Some(progress) = self.progress(node) else { return false };
        let Some(matched) = progress.matched() else { return false };
        let is_behind = matched.index < self.log.last().index;
        let drop_after = self.cluster.options.drop_after;
        is_behind && self.log.contains(matched) && !progress.is_stalled(self.cluster.now, drop_after)
    }
}
