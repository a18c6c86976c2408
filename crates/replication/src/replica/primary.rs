//! The active primary: its lease, its proposals, and the commit of entries.

use log::{info, warn};
use quillpulley_protocol::{Body, LeaseGrant, LeaseRequest, NodeId, View};
use std::time::Duration;

use super::Replica;
use crate::event::{Action, RejectReason, Write};
use crate::lease::{Lease, PROBE_ROUND};
use crate::membership::DesiredView;
use crate::primary::{PrimaryState, ResignReason};
use crate::proposals::QueuedProposal;
use crate::view::{majority, members, NodeList};
use crate::view_change::{Phase, ViewChange, ViewChangeOutcome};
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Makes this node the primary of the proposed view, which is active now.
    pub(super) fn become_primary(&mut self) {
        let Some(outcome) = self.view_change.take().and_then(ViewChange::into_outcome) else { return };
        let ViewChangeOutcome { view, desired_view, log_end } = outcome;
        info!(
            node:% = self.options.me, epoch = view.epoch, backups:% = NodeList(&view.backups),
            witnesses:% = NodeList(&view.witnesses);
            "became primary"
        );
        if self.witness.learn(&view) {
            self.writes.push_record(self.witness.record());
        }
        self.record_drops(&view, desired_view);
        let primary = match self.primary.take() {
            Some(primary) => primary.continue_in(view, self.now),
            None => {
                let lease = Lease::new(self.options.lease, self.options.faults);
                PrimaryState::new(view, log_end.index, self.now, lease)
            }
        };
        self.primary = Some(primary);
        self.peers.clear_rejections();
        self.send_heartbeat();
        self.update_durability();
        self.advance_commit();
        self.append_queued_proposals();
    }

    /// Records the drop of the members that the new view no longer has, and of the learners that did not catch up in
    /// time to be added.
    fn record_drops(&mut self, view: &View, desired_view: Option<DesiredView>) {
        let Some(primary) = &self.primary else { return };
        let new_members = members(view);
        let mut expected = members(primary.view());
        expected.extend(desired_view.into_iter().flat_map(|desired_view| desired_view.members));
        expected.retain(|node| !new_members.contains(node));
        expected.sort_unstable();
        expected.dedup();
        for node in expected {
            info!(node:% = self.options.me, epoch = view.epoch, peer:% = node; "node is left out of the view");
            self.peers.record_drop(self.now, node);
            if let Some(tracker) = &mut self.tracker {
                tracker.remove(node);
            }
        }
    }

    /// Steps down as primary. Proposals that are in the log may or may not take effect.
    pub(super) fn step_down(&mut self, reason: ResignReason) {
        let Some(mut primary) = self.primary.take() else { return };
        let announced_change = self.view_change.take().filter(ViewChange::is_announced);
        let change_epoch = announced_change.map_or(0, |change| change.epoch());
        self.tracker = None;
        let epoch = primary.view().epoch;
        info!(node:% = self.options.me, epoch, reason:% = reason; "stepped down as primary");
        for proposal in primary.proposals.take_logged() {
            self.reject_proposal(proposal, RejectReason::OutcomeUnknown);
        }
        for QueuedProposal { proposal, .. } in primary.proposals.take_queued() {
            self.reject_proposal(proposal, RejectReason::NotPrimary { hint: None });
        }
        self.resign(change_epoch.max(epoch));
        self.postpone_election();
    }

    fn reject_proposal(&mut self, proposal: u64, reason: RejectReason) {
        self.outbox.push(Action::Rejected { proposal, reason });
    }

    pub(super) fn tick_primary(&mut self) {
        if self.primary.is_none() {
            return;
        }
        if !self.writes.is_usable(self.now) {
            self.step_down(ResignReason::DiskStalled);
            return;
        }
        self.check_lease();
        if self.primary.as_ref().is_some_and(|primary| primary.is_heartbeat_due(self.now)) {
            self.send_heartbeat();
        }
        if self.view_change.is_none() {
            self.maybe_reconfigure();
        }
        self.update_durability();
        if self.view_change.is_none() {
            self.replicate();
            self.advance_commit();
            self.append_queued_proposals();
        }
    }

    /// Returns when the lease of this primary ends; `None` if this node is not the primary or was never granted a
    /// lease.
    pub(super) fn lease_end(&self) -> Option<Duration> {
        let activating = self.view_change.as_ref().filter(|change| change.phase() == Phase::Activate);
        self.primary.as_ref()?.lease_end(activating.and_then(ViewChange::proposed_view))
    }

    /// Requests the lease from all nodes and sends them the view and the commit index. If the witnesses have not
    /// replied recently, the primary only probes them and does not keep other nodes from standing for election.
    fn send_heartbeat(&mut self) {
        let holds_lease = self.holds_lease(self.now);
        let Some(primary) = &mut self.primary else { return };
        let announced_change = self.view_change.as_ref().filter(|change| change.is_announced());
        let epoch = announced_change.map_or(primary.view().epoch, ViewChange::epoch);
        let round = primary.begin_lease_round(self.now, epoch, self.options.heartbeat);
        let holds_lease = holds_lease && round != PROBE_ROUND;
        let view = Box::new(primary.view().clone());
        let committed = self.member.applied().index;
        let request = LeaseRequest { epoch, round, view, committed, holds_lease };
        self.broadcast(&Body::LeaseRequest(Box::new(request)));
    }

    pub(super) fn handle_lease_grant(&mut self, from: NodeId, grant: LeaseGrant) {
        self.observe_epoch(grant.promised);
        let held_lease = self.holds_lease(self.now);
        self.peers.record_reply(self.now, from);
        self.peers.record_log_end(from, grant.last);
        let heartbeat = self.options.heartbeat;
        let Some(primary) = &mut self.primary else { return };
        let had_recent_replies = primary.has_recent_replies(self.now, heartbeat);
        primary.record_lease_reply(self.now, from);
        if grant.epoch >= primary.view().epoch {
            let is_rejecting = !grant.granted && grant.promised >= grant.epoch;
            self.peers.set_rejecting(from, is_rejecting);
        }
        if grant.granted {
            primary.record_lease_grant(from, grant.round, grant.epoch);
        }
        let replies_have_resumed = !had_recent_replies && primary.has_recent_replies(self.now, heartbeat);
        let has_gained_lease = !held_lease && self.holds_lease(self.now);
        if replies_have_resumed || has_gained_lease {
            // Probes request no lease, and the other nodes follow only a primary that claims to hold it.
            self.send_heartbeat();
        }
    }

    /// Handles that the clock did not advance for some time: the age of the lease is unknown. The primary holds the
    /// lease again once a round that begins now is granted.
    pub(super) fn handle_clock_jump(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        warn!(
            node:% = self.options.me;
            "the monotonic clock did not advance for some time; the lease has to be granted again"
        );
        primary.discard_lease(self.now);
        self.send_heartbeat();
    }

    /// Without the lease, reports the outcome of the proposals in the log as unknown, since nothing is acknowledged,
    /// and steps down once the lease has been expired for half its duration.
    fn check_lease(&mut self) {
        if self.holds_lease(self.now) {
            return;
        }
        let Some(primary) = &self.primary else { return };
        let requested_since = primary.lease_requested_since();
        if self.now >= requested_since + self.options.heartbeat {
            self.abandon_logged_proposals();
        }
        let lease = self.options.lease;
        let end = self.lease_end().unwrap_or_default().max(requested_since + lease);
        if self.now > end + lease / 2 {
            self.step_down(ResignReason::LeaseLost);
        }
    }

    /// Reports the outcome of the proposals in the log as unknown.
    fn abandon_logged_proposals(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        for proposal in primary.proposals.take_logged() {
            self.reject_proposal(proposal, RejectReason::OutcomeUnknown);
        }
    }

    pub(super) fn propose(&mut self, proposal: u64, payload: Vec<u8>) {
        if self.primary.is_some() && !self.writes.is_usable(self.now) {
            self.step_down(ResignReason::DiskStalled);
        }
        if !self.holds_lease(self.now) {
            let hint = self.primary_hint(self.now);
            self.reject_proposal(proposal, RejectReason::NotPrimary { hint });
            return;
        }
        if let Some(primary) = &mut self.primary {
            primary.proposals.push(proposal, payload);
        }
        self.append_queued_proposals();
    }

    /// Appends the queued proposals, unless a view change is in progress or a learner is catching up.
    pub(super) fn append_queued_proposals(&mut self) {
        let waits_for_learner = || self.planner().is_some_and(|planner| planner.waits_for_learner());
        if self.view_change.is_some() || waits_for_learner() {
            return;
        }
        let Some(primary) = &mut self.primary else { return };
        let queued = primary.proposals.take_queued();
        if queued.is_empty() {
            return;
        }
        let epoch = primary.view().epoch;
        let mut entries = Vec::with_capacity(queued.len());
        for QueuedProposal { proposal, payload } in queued {
            let index = self.member.append(epoch, payload).index;
            primary.proposals.record_logged(proposal, index);
            entries.extend(self.member.log().get(index).cloned());
        }
        self.writes.push(Write::Append(entries));
        self.acknowledge_own_log(epoch, self.member.log().last());
        self.replicate();
    }

    /// Commits the entries that every member of the view has stored.
    pub(super) fn advance_commit(&mut self) {
        if self.view_change.is_some() {
            return;
        }
        let Some(stored) = self.index_stored_by_all() else { return };
        let inherited = self.primary.as_ref().map_or(0, PrimaryState::inherited_index);
        let index = if self.can_acknowledge() { stored } else { stored.min(inherited) };
        if index > self.member.applied().index {
            self.apply_up_to(index);
            self.resolve_proposals();
        }
    }

    /// Returns the index up to which every member of the view has stored the log; `None` if this node is not the
    /// primary.
    fn index_stored_by_all(&self) -> Option<u64> {
        let primary = self.primary.as_ref()?;
        let tracker = self.tracker.as_ref()?;
        let match_index = |node: &NodeId| tracker.match_index(*node).unwrap_or(0);
        let mut indices: Vec<u64> = members(primary.view()).iter().map(match_index).collect();
        indices.sort_unstable_by(|a, b| b.cmp(a));
        if self.options.faults.acknowledge_by_majority() {
            return indices.get(majority(indices.len()) - 1).copied();
        }
        indices.last().copied()
    }

    /// Returns whether new commits of the current view may be acknowledged.
    fn can_acknowledge(&self) -> bool {
        let (Some(primary), Some(planner)) = (&self.primary, self.planner()) else { return false };
        let inputs = planner.durability_inputs();
        primary.durability.can_acknowledge(self.now, &inputs, || planner.could_survive_more())
    }

    fn update_durability(&mut self) {
        let Some(planner) = self.planner() else { return };
        let Some(primary) = &self.primary else { return };
        let inputs = planner.durability_inputs();
        let mut durability = primary.durability;
        durability.update(self.now, self.options.me, &inputs, || planner.could_survive_more());
        if let Some(primary) = &mut self.primary {
            primary.durability = durability;
        }
    }

    /// Reports the outcome of the proposals that are committed: unknown if this node does not hold its lease.
    fn resolve_proposals(&mut self) {
        let holds_lease = self.holds_lease(self.now);
        let applied = self.member.applied().index;
        let Some(primary) = &mut self.primary else { return };
        for proposal in primary.proposals.resolve_up_to(applied) {
            self.outbox.push(match holds_lease {
                true => Action::Committed { proposal },
                false => Action::Rejected { proposal, reason: RejectReason::OutcomeUnknown },
            });
        }
    }
}
