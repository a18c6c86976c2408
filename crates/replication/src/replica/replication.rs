//! Sending the log to members and learners, and handling their acknowledgements.

use quillpulley_protocol::{AppendAck, Body, Installed, NodeId, Position, Reject};

use super::Replica;
use crate::view::members;
use crate::view_change::{Phase, ViewChange};
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Acknowledges this node's own log once it is durable, as any other member does.
    pub(super) fn acknowledge_own_log(&mut self, epoch: u64, last: Position) {
        let ack = AppendAck { epoch, last, matched: true };
        self.send_when_durable(self.options.me, Body::AppendAck(Box::new(ack)));
    }

    /// Sends every replication target its next message, if one is due.
    pub(super) fn replicate(&mut self) {
        for node in self.replication_targets() {
            self.replicate_to(node);
        }
    }

    fn replicate_to(&mut self, node: NodeId) {
        if node == self.options.me || !self.peers.is_connected(node) {
            return;
        }
        let Some(tracker) = &mut self.tracker else { return };
        let (log, applied) = (self.member.log(), self.member.applied());
        let snapshot = || self.member.state().snapshot();
        if let Some(body) = tracker.next_message(self.now, node, log, applied, snapshot) {
            self.send(node, body);
        }
    }

    /// Returns the nodes that receive the log: the targets of the view change in progress, or else members and
    /// learners, which are added to the tracker.
    fn replication_targets(&mut self) -> Vec<NodeId> {
        if let Some(change) = &self.view_change {
            return if change.is_replicating() {
                change.targets().iter().copied().collect()
            } else {
                Vec::new()
            };
        }
        let Some(planner) = self.planner() else { return Vec::new() };
        let learners = planner.learners();
        let mut nodes = self.primary.as_ref().map(|primary| members(primary.view())).unwrap_or_default();
        nodes.extend(learners);
        if let Some(tracker) = &mut self.tracker {
            nodes.iter().for_each(|node| tracker.add(*node, self.peers.log_end(*node)));
        }
        nodes
    }

    pub(super) fn handle_append_ack(&mut self, from: NodeId, ack: AppendAck) {
        self.peers.record_reply(self.now, from);
        let Some(tracker) = self.tracker.as_mut().filter(|tracker| tracker.epoch() == ack.epoch) else {
            return;
        };
        if ack.matched {
            tracker.record_match(self.now, from, ack.last, self.member.log());
        } else {
            tracker.record_mismatch(from, ack.last, self.member.log());
        }
        self.handle_progress(from);
    }

    pub(super) fn handle_installed(&mut self, from: NodeId, installed: Installed) {
        self.peers.record_reply(self.now, from);
        let Some(tracker) = self.tracker.as_mut().filter(|tracker| tracker.epoch() == installed.epoch) else {
            return;
        };
        if installed.ok {
            tracker.record_match(self.now, from, installed.last, self.member.log());
        }
        self.handle_progress(from);
    }

    fn handle_progress(&mut self, from: NodeId) {
        if self.is_replicating() {
            self.replicate_to(from);
        }
        self.maybe_propose_view();
        self.advance_commit();
        self.maybe_add_learner(from);
        self.append_queued_proposals();
    }

    /// Returns whether the log is replicated in the tracked epoch, which is not so while a new epoch is being promised.
    fn is_replicating(&self) -> bool {
        self.view_change.as_ref().map_or(self.primary.is_some(), ViewChange::is_replicating)
    }

    /// Begins the view change that adds a learner as soon as the learner holds the log, if proposals are queued.
    /// Without queued proposals, the next tick does so.
    fn maybe_add_learner(&mut self, node: NodeId) {
        let can_add = self.planner().is_some_and(|planner| planner.can_add_at_once(node));
        if can_add && self.view_change.is_none() {
            self.maybe_reconfigure();
        }
    }

    /// Handles that a node has promised a higher epoch, cannot store entries, or is shutting down: the view change in
    /// progress no longer waits for it.
    pub(super) fn handle_reject(&mut self, from: NodeId, reject: Reject) {
        self.observe_epoch(reject.promised);
        if reject.shutting_down {
            self.peers.record_shutdown(self.now, from);
        }
        if let Some(tracker) = &mut self.tracker {
            tracker.record_rejection(self.now, from, reject.epoch);
        }
        let Some(change) = &mut self.view_change else { return };
        let is_current = change.epoch() == reject.epoch;
        let is_superseded = is_current && reject.promised >= reject.epoch;
        match change.phase() {
            // A node that is shutting down still accepts the log until it exits.
            _ if reject.shutting_down && !is_superseded => self.continue_without_shutting_down(from),
            // A member that has promised a higher epoch transfers its state only in an epoch that is higher still.
            Phase::Fetch if is_superseded => self.retry_claim(),
            Phase::Fetch if is_current => change.schedule_resend(self.now + super::election::RETRY_INTERVAL),
            Phase::Sync if is_superseded => self.continue_without(from),
            Phase::Sync if is_current => {
                change.stop_awaiting(from);
                self.maybe_propose_view();
            }
            _ => {}
        }
    }
}
