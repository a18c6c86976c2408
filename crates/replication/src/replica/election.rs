//! The candidate: from the pre-vote until it holds the state of the newest view. An active primary that changes its
//! view claims an epoch and collects promises in the same way.

use log::info;
use quillpulley_protocol::{Body, FetchState, NodeId, Prepare, Promise, Resign, StateTransfer};
use std::time::Duration;

use super::Replica;
use crate::primary::ResignReason;
use crate::view::{is_member, members};
use crate::view_change::{Phase, ViewChange};
use crate::write_queue::Completion;
use crate::StateMachine;

/// The interval at which unanswered requests to witnesses are repeated.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The time after which another member is asked for its state.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

impl<S: StateMachine> Replica<S> {
    /// Restarts the time until the next election.
    pub(super) fn postpone_election(&mut self) {
        let me = self.options.me;
        // Before the first view has members, every node counts as one: no node has a state to fetch.
        let is_member =
            self.witness.view().is_none_or(|view| members(view).is_empty() || is_member(view, me));
        self.election.postpone(self.now, self.options.lease, is_member);
    }

    /// Starts a pre-vote if an election is due and this node can stand for it.
    pub(super) fn maybe_campaign(&mut self) {
        let is_idle = self.primary.is_none() && self.view_change.is_none() && !self.shutdown.has_begun();
        if !is_idle || !self.election.is_due(self.now) || !self.writes.is_usable(self.now) {
            return;
        }
        let view = self.witness.view().filter(|view| self.is_witness_or_member(view));
        let Some(view) = view.cloned() else { return };
        let epoch = self.highest_epoch + 1;
        self.view_change = Some(ViewChange::new(epoch, Phase::PreVote, self.now, view, None));
        self.request_promises();
    }

    /// Sends a request to all witnesses that have not promised the epoch yet.
    pub(super) fn request_promises(&mut self) {
        let Some(change) = &mut self.view_change else { return };
        change.schedule_resend(self.now + RETRY_INTERVAL);
        let pending = change.pending_voters();
        let prepare = prepare_message(change, self.options.me);
        for node in pending {
            self.send(node, prepare.clone());
        }
    }

    /// Sends the request to a witness that has just connected, without waiting for the next repetition.
    pub(super) fn request_promise_of(&mut self, node: NodeId) {
        let Some(change) = &self.view_change else { return };
        let is_collecting = matches!(change.phase(), Phase::PreVote | Phase::Prepare);
        if is_collecting && change.pending_voters().contains(&node) {
            let prepare = prepare_message(change, self.options.me);
            self.send(node, prepare);
        }
    }

    /// Makes this node's claim to the epoch durable before any other node learns of it, so that this node never uses
    /// the same epoch twice.
    pub(super) fn claim_epoch(&mut self) {
        let Some(change) = &mut self.view_change else { return };
        change.enter(Phase::Claim, self.now);
        let epoch = change.epoch();
        let me = self.options.me;
        if self.witness.is_leased_to_other(self.now, me) || !self.witness.admit(epoch, me) {
            self.abandon_candidacy();
            return;
        }
        self.observe_epoch(epoch);
        self.writes.push_record(self.witness.record());
        let claimed = Completion::EpochClaimed { epoch };
        if self.options.faults.prepare_before_claim() {
            self.perform(claimed);
        } else if let Some(completion) = self.writes.when_durable(claimed) {
            self.perform(completion);
        }
    }

    pub(super) fn handle_epoch_claimed(&mut self, epoch: u64) {
        let Some(change) = &mut self.view_change else { return };
        if change.epoch() == epoch && change.phase() == Phase::Claim {
            change.enter(Phase::Prepare, self.now);
            self.request_promises();
        }
    }

    pub(super) fn handle_promise(&mut self, from: NodeId, promise: Promise) {
        self.peers.record_reply(self.now, from);
        self.peers.record_log_end(from, promise.last);
        self.observe_epoch(promise.promised);
        let Some(change) = &mut self.view_change else { return };
        let is_expected = match change.phase() {
            Phase::PreVote => promise.pre_vote,
            Phase::Prepare => !promise.pre_vote,
            _ => false,
        };
        if change.epoch() != promise.epoch || !is_expected {
            return;
        }
        let has_newer_view = promise.accepted.is_some_and(|accepted| change.learn(*accepted));
        if promise.granted {
            change.record_grant(from);
        } else {
            change.revoke_grant(from);
        }
        let is_superseded = !promise.granted && promise.promised >= promise.epoch;
        if self.is_excluded() {
            self.abort_view_change(ResignReason::Excluded);
        } else if is_superseded {
            self.handle_superseded(from);
        } else if self.view_change.as_ref().is_some_and(ViewChange::has_quorum) {
            self.handle_promise_quorum();
        } else if has_newer_view {
            // The newer view may name witnesses that have not received a request.
            self.request_promises();
        }
    }

    /// Returns whether a newer view is known that excludes this node or, if this node is an active primary, that has
    /// another primary.
    fn is_excluded(&self) -> bool {
        let Some(change) = &self.view_change else { return false };
        let newest = change.newest_view();
        match &self.primary {
            Some(primary) => newest.epoch > primary.view().epoch && newest.primary != self.options.me,
            None => !self.is_witness_or_member(newest),
        }
    }

    /// Handles that a witness has promised an epoch that is at least as high to another node.
    fn handle_superseded(&mut self, by: NodeId) {
        let next_epoch = self.highest_epoch + 1;
        let Some(change) = &mut self.view_change else { return };
        if change.phase() == Phase::PreVote {
            change.restart_pre_vote(next_epoch, self.now);
            self.request_promises();
            return;
        }
        change.record_rejection(by);
        if self.primary.is_none() && by < self.options.me {
            // Of two competing candidates, the one with the lower node id yields.
            self.retry_claim();
        } else if change.cannot_reach_quorum() {
            self.retry_or_abort(ResignReason::NoQuorum);
        }
    }

    /// Enters the next phase once enough witnesses have promised. This node fetches the state of the newest view unless
    /// it is a member of that view.
    fn handle_promise_quorum(&mut self) {
        let me = self.options.me;
        let Some(change) = &mut self.view_change else { return };
        if change.phase() == Phase::PreVote {
            self.claim_epoch();
            return;
        }
        let newest = change.newest_view();
        let is_up_to_date = members(newest).is_empty() || is_member(newest, me);
        if is_up_to_date || self.options.faults.elect_from_stale_snapshot() {
            self.begin_sync();
        } else {
            change.enter(Phase::Fetch, self.now);
            self.request_state();
        }
    }

    /// Requests the state of the next connected member of the newest view.
    pub(super) fn request_state(&mut self) {
        let Some(change) = &mut self.view_change else { return };
        let mut sources = members(change.newest_view());
        sources.retain(|node| self.peers.is_connected(*node));
        let Some(source) = change.next_fetch_source(&sources) else {
            change.schedule_resend(self.now + RETRY_INTERVAL);
            return;
        };
        change.schedule_resend(self.now + FETCH_TIMEOUT);
        let fetch = FetchState { epoch: change.epoch() };
        self.send(source, Body::FetchState(Box::new(fetch)));
    }

    pub(super) fn handle_state_transfer(&mut self, transfer: StateTransfer) {
        let Some(change) = &self.view_change else { return };
        let is_expected = change.phase() == Phase::Fetch && change.epoch() == transfer.epoch;
        if !is_expected || !self.writes.is_healthy() {
            return;
        }
        if self.install(transfer.snapshot_last, transfer.snapshot, transfer.entries) {
            self.begin_sync();
        }
    }

    /// Ends an election or reconfiguration that cannot succeed.
    pub(super) fn abort_view_change(&mut self, reason: ResignReason) {
        if self.primary.is_some() {
            self.step_down(reason);
        } else {
            self.abandon_candidacy();
        }
    }

    /// Ends the candidacy of this node, if any. Witnesses that have promised its epoch are free to promise others.
    pub(super) fn abandon_candidacy(&mut self) {
        let Some(change) = self.view_change.take() else { return };
        self.tracker = None;
        self.election.back_off(self.now, RETRY_INTERVAL);
        // Before the claim is durable, no other node knows the epoch, and this node may claim it again.
        if change.is_announced() {
            info!(node:% = self.options.me, epoch = change.epoch(), phase:? = change.phase(); "election failed");
            self.resign(change.epoch());
        }
    }

    /// Announces that this node resigns from an epoch.
    pub(super) fn resign(&mut self, epoch: u64) {
        self.broadcast(&Body::Resign(Box::new(Resign { epoch })));
    }
}

fn prepare_message(change: &ViewChange, candidate: NodeId) -> Body {
    let pre_vote = change.phase() == Phase::PreVote;
    Body::Prepare(Box::new(Prepare { epoch: change.epoch(), candidate, pre_vote }))
}
