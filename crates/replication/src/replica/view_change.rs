//! The second part of a view change: replicates the state to the new members, then has the witnesses accept the view.

use quillpulley_protocol::{Accept, Accepted, Body, NodeId, View};
use std::collections::BTreeSet;
use std::time::Duration;

use super::election::RETRY_INTERVAL;
use super::Replica;
use crate::event::Write;
use crate::primary::ResignReason;
use crate::progress::ProgressTracker;
use crate::view::{is_member, members, voters};
use crate::view_change::{Phase, ViewChange};
use crate::StateMachine;

/// The time from the start of the sync phase for which a candidate waits for more members than it needs.
const SYNC_GRACE: Duration = Duration::from_millis(300);

impl<S: StateMachine> Replica<S> {
    pub(super) fn tick_view_change(&mut self) {
        let Some(change) = &self.view_change else { return };
        if change.is_claimed() && !self.writes.is_usable(self.now) {
            self.abort_view_change(ResignReason::DiskStalled);
            return;
        }
        if change.is_timed_out(self.now) {
            self.retry_or_abort(ResignReason::NoQuorum);
            return;
        }
        if change.phase() == Phase::Sync {
            self.add_sync_targets();
            self.replicate();
            self.maybe_propose_view();
        } else if change.is_resend_due(self.now) {
            self.resend_requests();
        }
    }

    fn resend_requests(&mut self) {
        let Some(change) = &self.view_change else { return };
        match change.phase() {
            Phase::PreVote | Phase::Prepare => self.request_promises(),
            Phase::Fetch => self.request_state(),
            Phase::Accept | Phase::Activate => self.request_acceptance(),
            Phase::Claim | Phase::Sync => {}
        }
    }

    /// Begins a view change if this node holds its lease as primary and its view has to be replaced by the desired one.
    pub(super) fn maybe_reconfigure(&mut self) {
        if !self.holds_lease(self.now) {
            return;
        }
        let Some(planner) = self.planner() else { return };
        let desired_view = planner.desired_view();
        if !planner.requires_view_change(&desired_view) {
            return;
        }
        let Some(view) = self.primary.as_ref().map(|primary| primary.view().clone()) else { return };
        let epoch = self.highest_epoch + 1;
        self.view_change = Some(ViewChange::new(epoch, Phase::Claim, self.now, view, Some(desired_view)));
        self.claim_epoch();
    }

    /// Restarts the view change in a higher epoch.
    pub(super) fn retry_claim(&mut self) {
        let Some(change) = &self.view_change else { return };
        let newest = change.newest_view().clone();
        let desired_view = self.planner().map(|planner| planner.desired_view());
        let epoch = self.highest_epoch + 1;
        self.view_change = Some(ViewChange::new(epoch, Phase::Claim, self.now, newest, desired_view));
        self.claim_epoch();
    }

    /// Retries in a higher epoch if this node still holds its lease as primary, and aborts otherwise.
    pub(super) fn retry_or_abort(&mut self, reason: ResignReason) {
        if self.holds_lease(self.now) {
            self.retry_claim();
        } else {
            self.abort_view_change(reason);
        }
    }

    /// Begins to replicate the state to the nodes that should become members. An entry without a payload marks the
    /// start of the epoch in every log, and replaces the entries that other logs hold beyond the end of this one.
    pub(super) fn begin_sync(&mut self) {
        let me = self.options.me;
        let Some(change) = &mut self.view_change else { return };
        change.enter(Phase::Sync, self.now);
        let mut targets: BTreeSet<NodeId> = match change.desired_view() {
            Some(desired_view) => desired_view.members.clone(),
            None => members(change.newest_view()).into_iter().chain(voters(change.newest_view())).collect(),
        };
        // Nodes that are shutting down become members only if they are needed in addition to the others.
        targets.retain(|node| !self.peers.is_shutting_down(self.now, *node));
        change.set_targets(me, targets);
        let needed = self.required_shutting_down_nodes();
        let Some(change) = &mut self.view_change else { return };
        change.await_targets(&needed);
        let epoch = change.epoch();
        let log_end = self.member.append(epoch, Vec::new());
        change.set_log_end(log_end);
        let Some(entry) = self.member.log().get(log_end.index).cloned() else { return };
        let mut tracker = ProgressTracker::new(epoch);
        for node in change.targets() {
            let known = self.tracker.as_ref().and_then(|tracker| tracker.get(*node));
            let reported = self.peers.log_end(*node);
            tracker.add(*node, known.map_or(reported, |progress| progress.probable_match()));
        }
        self.tracker = Some(tracker);
        self.writes.push(Write::Append(vec![entry]));
        self.acknowledge_own_log(epoch, log_end);
        self.add_sync_targets();
        self.replicate();
    }

    /// Adds every connected node to the targets of an election, since it may be needed to survive the tolerated
    /// failures. An active primary does so only if the desired members have not synced in time.
    fn add_sync_targets(&mut self) {
        let needed = self.required_shutting_down_nodes();
        let (Some(change), Some(tracker)) = (&mut self.view_change, &mut self.tracker) else { return };
        if change.desired_view().is_some() && change.is_within(self.now, self.options.drop_after) {
            return;
        }
        for node in self.peers.connected() {
            let stays = needed.contains(&node) || !self.peers.is_shutting_down(self.now, node);
            if stays && change.add_target(node) {
                tracker.add(node, self.peers.log_end(node));
            }
        }
    }

    /// Returns whether a node holds the log up to the start of the epoch, so that it can become a member.
    fn has_synced(&self, node: NodeId) -> bool {
        let Some(change) = self.view_change.as_ref().filter(|change| change.phase() == Phase::Sync) else {
            return false;
        };
        let match_index = self.tracker.as_ref().and_then(|tracker| tracker.match_index(node));
        match_index.is_some_and(|index| index >= change.log_end().index)
    }

    /// Returns the nodes that are shutting down but have to be members of the new view in addition to the other
    /// targets.
    pub(super) fn required_shutting_down_nodes(&self) -> BTreeSet<NodeId> {
        let Some(change) = &self.view_change else { return BTreeSet::new() };
        let cluster = self.cluster();
        if let Some(planner) = self.planner() {
            let members = planner.desired_view().members.into_iter();
            return members.filter(|node| cluster.is_shutting_down(*node)).collect();
        }
        let is_present = |node: NodeId| self.peers.is_connected(node) || node == self.options.me;
        // A node that was not a member may not receive the state in time: it replaces no other node until it holds the
        // state.
        let has_state = |node: NodeId| is_member(change.newest_view(), node) || self.has_synced(node);
        let stays =
            |node: &&NodeId| is_present(**node) && !cluster.is_shutting_down(**node) && has_state(**node);
        let remaining: BTreeSet<NodeId> = change.targets().iter().filter(stays).copied().collect();
        let connected = self.peers.connected().into_iter();
        let candidates: BTreeSet<NodeId> = connected.filter(|node| cluster.is_shutting_down(*node)).collect();
        if remaining.len() <= self.options.fault_tolerance.machines {
            return candidates;
        }
        cluster.covering_nodes(&candidates, &remaining)
    }

    /// Handles that a node is shutting down. It becomes a member only if it is needed in addition to the others.
    pub(super) fn continue_without_shutting_down(&mut self, node: NodeId) {
        let is_needed = self.required_shutting_down_nodes().contains(&node);
        let Some(change) = self.view_change.as_mut().filter(|change| change.phase() == Phase::Sync) else {
            return;
        };
        if !is_needed {
            change.remove_target(node);
        }
        self.maybe_propose_view();
    }

    /// Handles that a node has promised a higher epoch, and therefore cannot become a member in this one.
    pub(super) fn continue_without(&mut self, node: NodeId) {
        let Some(change) = &mut self.view_change else { return };
        change.record_rejection(node);
        change.remove_target(node);
        let reachable = change.targets().iter().filter(|node| self.peers.is_connected(**node)).count();
        if reachable < self.options.fault_tolerance.machines {
            // Not enough nodes remain, but in a higher epoch the node can become a member.
            self.retry_claim();
        } else {
            self.maybe_propose_view();
        }
    }

    /// Proposes the view once enough members hold the state and the grace period for the others has passed or is not
    /// needed.
    pub(super) fn maybe_propose_view(&mut self) {
        let Some(change) = self.view_change.as_ref().filter(|change| change.phase() == Phase::Sync) else {
            return;
        };
        let tolerated_machines = self.options.fault_tolerance.machines;
        let counts_learners_early = self.options.faults.count_learner_early();
        let holds_state = |node: &NodeId| {
            counts_learners_early && !is_member(change.newest_view(), *node) || self.has_synced(*node)
        };
        let mut synced: BTreeSet<NodeId> = change.targets().iter().copied().filter(holds_state).collect();
        let is_shutting_down = |node: &NodeId| self.peers.is_shutting_down(self.now, *node);
        if synced.iter().filter(|node| !is_shutting_down(node)).count() > tolerated_machines {
            let needed = self.required_shutting_down_nodes();
            synced.retain(|node| !is_shutting_down(node) || needed.contains(node));
        }
        let grace = if change.desired_view().is_some() { self.options.drop_after } else { SYNC_GRACE };
        let may_still_sync = |node: &NodeId| !synced.contains(node) && self.peers.is_connected(*node);
        let is_waiting = change.is_within(self.now, grace) && change.awaited().iter().any(may_still_sync);
        let has_enough_members = synced.contains(&self.options.me) && synced.len() > tolerated_machines;
        if has_enough_members && !is_waiting {
            self.propose_view(synced);
        }
    }

    fn propose_view(&mut self, members: BTreeSet<NodeId>) {
        let Some(change) = &self.view_change else { return };
        let view = self.next_view(change, members);
        if let Some(change) = &mut self.view_change {
            change.propose(view, self.now);
        }
        self.request_acceptance();
    }

    /// Returns the new view with these members. Its witnesses differ from those of the newest view only if that is the
    /// active view of this primary, and then by at most one node.
    fn next_view(&self, change: &ViewChange, members: BTreeSet<NodeId>) -> View {
        let me = self.options.me;
        let newest = change.newest_view();
        let (witnesses, previous_witnesses) = if newest.activated {
            let can_change =
                self.primary.as_ref().is_some_and(|primary| primary.view().epoch == newest.epoch);
            let desired_view = change
                .desired_view()
                .filter(|desired_view| can_change && desired_view.is_possible_with(&members));
            let witnesses = desired_view.map_or(&newest.witnesses, |desired_view| &desired_view.witnesses);
            (witnesses.clone(), newest.witnesses.clone())
        } else {
            // A change of the witnesses is not complete: both sets still decide, and therefore both are kept.
            (newest.witnesses.clone(), newest.previous_witnesses.clone())
        };
        let faults = self.options.faults;
        let witnesses = match faults.replace_all_witnesses() {
            true => members.iter().copied().collect(),
            false => witnesses,
        };
        let is_one_step = faults.change_witnesses_in_one_step() || faults.replace_all_witnesses();
        let previous_witnesses = if is_one_step { witnesses.clone() } else { previous_witnesses };
        View {
            epoch: change.epoch(),
            primary: me,
            backups: members.into_iter().filter(|node| *node != me).collect(),
            activated: witnesses == previous_witnesses,
            witnesses,
            previous_witnesses,
        }
    }

    /// Sends the proposed view to all witnesses that have not accepted it yet.
    fn request_acceptance(&mut self) {
        let Some(change) = &mut self.view_change else { return };
        let Some(view) = change.proposed_view().cloned() else { return };
        change.schedule_resend(self.now + RETRY_INTERVAL);
        let pending = change.pending_voters();
        let accept = Body::Accept(Box::new(Accept { view: Box::new(view) }));
        for node in pending {
            self.send(node, accept.clone());
        }
    }

    pub(super) fn handle_accepted(&mut self, from: NodeId, accepted: Accepted) {
        self.peers.record_reply(self.now, from);
        self.observe_epoch(accepted.promised);
        let Some(change) = &mut self.view_change else { return };
        let Some(is_activated) = change.proposed_view().map(|view| view.activated) else { return };
        if change.epoch() != accepted.epoch || is_activated != accepted.activated {
            return;
        }
        if !accepted.granted {
            change.record_rejection(from);
            if change.cannot_reach_quorum() {
                self.retry_or_abort(ResignReason::NoQuorum);
            }
            return;
        }
        change.record_grant(from);
        if !change.has_quorum() {
            return;
        }
        if is_activated {
            self.become_primary();
        } else {
            // Both sets of witnesses have accepted the view. A majority of the new set must durably record that the old
            // set no longer decides before anything relies on this.
            change.activate(self.now);
            self.request_acceptance();
        }
    }
}
