//! Decides which members should be dropped from the view, and which learners should be added.

use quillpulley_protocol::{NodeId, Position};
use std::collections::BTreeSet;
use std::time::Duration;

use super::ClusterState;
use crate::durability::DurabilityInputs;
use crate::log::Log;
use crate::primary::PrimaryState;
use crate::progress::{Progress, ProgressTracker};
use crate::view::members;

/// The time for which a node has to be responsive before it is added.
const STEADY_TIME: Duration = Duration::from_millis(300);

/// The members and witnesses that the next view of an active primary should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct DesiredView {
    pub members: BTreeSet<NodeId>,
    pub witnesses: Vec<NodeId>,
    /// The node that is added to the witnesses; `None` if no node is added.
    pub new_witness: Option<NodeId>,
}

impl DesiredView {
    /// Returns whether the new witness, if there is one, is among the nodes that hold the state.
    pub fn is_possible_with(&self, synced: &BTreeSet<NodeId>) -> bool {
        self.new_witness.is_none_or(|node| synced.contains(&node))
    }
}

/// Decides on the membership for a primary.
pub(crate) struct Planner<'a> {
    pub(super) cluster: ClusterState<'a>,
    pub(super) primary: &'a PrimaryState,
    pub(super) tracker: Option<&'a ProgressTracker>,
    pub(super) log: &'a Log,
    pub(super) applied: Position,
}

impl<'a> Planner<'a> {
    pub fn new(
        cluster: ClusterState<'a>,
        primary: &'a PrimaryState,
        tracker: Option<&'a ProgressTracker>,
        log: &'a Log,
        applied: Position,
    ) -> Self {
        Planner { cluster, primary, tracker, log, applied }
    }

    /// Returns the view that the primary should have now. If too few members would remain, none is dropped.
    pub fn desired_view(&self) -> DesiredView {
        let current: BTreeSet<NodeId> = members(self.primary.view()).into_iter().collect();
        let mut wanted: BTreeSet<NodeId> =
            current.iter().copied().filter(|node| !self.should_drop(*node)).collect();
        wanted.extend(self.learners().into_iter().filter(|node| self.can_become_member(*node)));
        wanted.extend(self.retained_shutting_down_members(&current, &wanted));
        if wanted.len() <= self.cluster.options.fault_tolerance.machines {
            wanted.extend(current);
        }
        let change = self.next_witnesses(&wanted);
        DesiredView { members: wanted, witnesses: change.witnesses, new_witness: change.added }
    }

    /// Returns whether the current view has to be replaced by the desired one.
    pub fn requires_view_change(&self, desired_view: &DesiredView) -> bool {
        let view = self.primary.view();
        let is_different = desired_view.members != members(view).into_iter().collect::<BTreeSet<NodeId>>()
            || desired_view.witnesses != view.witnesses;
        is_different || self.is_superseded(desired_view)
    }

    /// Returns whether a member should be dropped: it does not reply, is shutting down, or makes no progress.
    fn should_drop(&self, node: NodeId) -> bool {
        if self.cluster.is_me(node) {
            return false;
        }
        let drop_after = self.cluster.options.drop_after;
        let has_timed_out = self.cluster.time_since_reply(node, self.primary.elected_at()) > drop_after;
        has_timed_out
            || self.cluster.is_shutting_down(node)
            || self.progress(node).is_some_and(|progress| progress.is_stalled(self.cluster.now, drop_after))
    }

    /// Returns whether a responsive node of the desired view has promised an epoch to another node, and therefore
    /// rejects the messages of this primary.
    fn is_superseded(&self, desired_view: &DesiredView) -> bool {
        let rejects = |node: &NodeId| {
            self.cluster.peers.is_responsive(self.cluster.now, *node)
                && self.cluster.peers.is_rejecting(*node)
        };
        desired_view.members.iter().chain(&desired_view.witnesses).any(rejects)
    }

    /// Returns the members that are shutting down but are kept in addition to `remaining`: as many as the tolerated
    /// loss of machines requires, and those whose failure domain is needed until an available node replaces them.
    fn retained_shutting_down_members(
        &self,
        current: &BTreeSet<NodeId>,
        remaining: &BTreeSet<NodeId>,
    ) -> BTreeSet<NodeId> {
        let is_candidate = |node: &&NodeId| {
            self.cluster.peers.is_responsive(self.cluster.now, **node)
                && self.cluster.is_shutting_down(**node)
        };
        let candidates: BTreeSet<NodeId> = current.iter().filter(is_candidate).copied().collect();
        let missing = (self.cluster.options.fault_tolerance.machines + 1).saturating_sub(remaining.len());
        if missing > candidates.len() {
            return BTreeSet::new();
        }
        let mut retained: BTreeSet<NodeId> = candidates.iter().take(missing).copied().collect();
        let with_retained: BTreeSet<NodeId> = remaining.union(&retained).copied().collect();
        let mut with_available = with_retained.clone();
        with_available.extend(self.cluster.available_nodes());
        if self.cluster.count_uncovered(&with_available) < self.cluster.count_uncovered(&with_retained) {
            retained.extend(self.cluster.covering_nodes(&candidates, &with_retained));
        }
        retained
    }

    /// Returns the facts that determine whether commits of the current view are acknowledged.
    pub fn durability_inputs(&self) -> DurabilityInputs {
        let view = self.primary.view();
        DurabilityInputs {
            status: self.cluster.durability_of(view),
            has_enough_witnesses: view.witnesses.len() > 2 * self.cluster.options.fault_tolerance.machines,
            could_add_witness: self.could_add_witness(),
            elected_at: self.primary.elected_at(),
        }
    }

    /// Returns whether the view would survive more failures of zones or regions with nodes that are available.
    pub fn could_survive_more(&self) -> bool {
        let status = self.cluster.durability_of(self.primary.view());
        if !status.has_uncovered_domains() {
            return false;
        }
        let current = members(self.primary.view());
        let mut with_available = current.clone();
        let available = self.cluster.available_nodes();
        with_available.extend(available.into_iter().filter(|node| !current.contains(node)));
        let members_help =
            self.cluster.uncovered_by_members(&with_available).count() < status.members.count();
        let witnesses_help = status.witnesses.includes_domains()
            && self.cluster.uncovered_by_witnesses(&self.desired_view().witnesses).count()
                < status.witnesses.count();
        members_help || witnesses_help
    }

    pub(super) fn progress(&self, node: NodeId) -> Option<&'a Progress> {
        self.tracker.and_then(|tracker| tracker.get(node))
    }

    pub(super) fn is_steady(&self, node: NodeId) -> bool {
        let is_steady = self.cluster.peers.is_steady(self.cluster.now, node, STEADY_TIME);
        is_steady && !self.cluster.is_shutting_down(node)
    }
}
