//! The witness: which requests of candidates and primaries it grants, and what it makes durable before it replies.

use quillpulley_protocol::{
    Accept, Accepted, Body, LeaseGrant, LeaseRequest, NodeId, Prepare, Promise, Resign,
};
use std::time::Duration;

use super::{PrimaryContact, Replica};
use crate::lease::PROBE_ROUND;
use crate::primary::ResignReason;
use crate::view::{is_member, is_witness};
use crate::view_change::ViewChange;
use crate::witness::Vote;
use crate::StateMachine;

/// The time for which a promise to a candidate defers the pre-votes of other candidates.
const PRE_VOTE_DEFERRAL: Duration = Duration::from_millis(600);

impl<S: StateMachine> Replica<S> {
    pub(super) fn handle_prepare(&mut self, from: NodeId, prepare: Prepare) {
        if prepare.candidate != from || !self.writes.has_record() || !self.writes.is_healthy() {
            return;
        }
        let Prepare { epoch, pre_vote, .. } = prepare;
        if pre_vote {
            self.reply_to_pre_vote(from, epoch);
            return;
        }
        let vote = self.witness.vote(self.now, epoch, from, PRE_VOTE_DEFERRAL);
        let promise = self.promise_message(epoch, pre_vote, vote);
        if vote == Vote::Granted {
            self.defer_to(from);
            self.writes.push_record(self.witness.record());
            self.send_when_durable(from, promise);
        } else {
            self.send(from, promise);
            self.yield_to_candidate(from);
        }
    }

    fn reply_to_pre_vote(&mut self, from: NodeId, epoch: u64) {
        if !self.writes.is_usable(self.now) {
            return;
        }
        let is_competing =
            from != self.options.me && self.view_change.as_ref().is_some_and(ViewChange::is_claimed);
        let vote = match is_competing {
            true => Vote::Deferred(PRE_VOTE_DEFERRAL),
            false => self.witness.pre_vote(self.now, epoch, from),
        };
        let promise = self.promise_message(epoch, true, vote);
        self.send(from, promise);
    }

    /// Abandons this node's candidacy in favour of a candidate with a higher node id. Two simultaneous candidates could
    /// keep each other from a majority; the other one retries with a higher epoch.
    fn yield_to_candidate(&mut self, candidate: NodeId) {
        let is_awaiting_promises = self.view_change.as_ref().is_some_and(ViewChange::is_awaiting_promises);
        if self.primary.is_none() && is_awaiting_promises && candidate > self.options.me {
            self.abandon_candidacy();
            self.postpone_election();
        }
    }

    fn promise_message(&self, epoch: u64, pre_vote: bool, vote: Vote) -> Body {
        let lease_remaining = match vote {
            Vote::Deferred(remaining) => remaining,
            Vote::Granted | Vote::Superseded => Duration::ZERO,
        };
        Body::Promise(Box::new(Promise {
            epoch,
            granted: vote == Vote::Granted,
            promised: self.witness.promised(),
            accepted: self.witness.view().cloned().map(Box::new),
            last: self.member.log().last(),
            lease_remaining_ms: u32::try_from(lease_remaining.as_millis()).unwrap_or(u32::MAX),
            pre_vote,
        }))
    }

    pub(super) fn handle_accept(&mut self, from: NodeId, accept: Accept) {
        let view = *accept.view;
        if view.primary != from || !self.writes.is_healthy() {
            return;
        }
        let granted = self.witness.accept(&view);
        let promised = self.witness.promised();
        let accepted = Accepted { epoch: view.epoch, granted, promised, activated: view.activated };
        let accepted = Body::Accepted(Box::new(accepted));
        if !granted {
            self.send(from, accepted);
            return;
        }
        self.defer_to(from);
        self.writes.push_record(self.witness.record());
        self.send_when_durable(from, accepted);
    }

    pub(super) fn handle_lease_request(&mut self, from: NodeId, request: LeaseRequest) {
        let LeaseRequest { epoch, round, view, committed, holds_lease } = request;
        // An epoch above that of the view is still being prepared: until it is promised, the leases of other nodes take
        // precedence.
        let is_blocked_by_lease = epoch > view.epoch
            && self.witness.is_leased_to_other(self.now, from)
            && !self.options.faults.grant_under_lease();
        let can_grant = view.primary == from && self.writes.has_record() && !is_blocked_by_lease;
        let granted = can_grant && self.witness.admit(epoch, from);
        if granted && round != PROBE_ROUND {
            self.witness.grant_lease(from, epoch, self.now + self.options.lease);
        }
        if granted {
            self.follow(from, epoch, holds_lease);
            self.witness.learn(&view);
            let tolerated_machines = match self.options.faults.exit_with_too_few_members() {
                true => 0,
                false => self.options.fault_tolerance.machines,
            };
            self.shutdown.record_view(self.options.me, epoch, &view, tolerated_machines);
            if self.writes.is_healthy() {
                self.writes.push_record(self.witness.record());
            }
            self.commit_to(epoch, committed);
        }
        let known = self.witness.view();
        let grant = LeaseGrant {
            epoch,
            round,
            granted,
            promised: self.witness.promised(),
            last: self.member.log().last(),
            member: known.is_some_and(|view| is_member(view, self.options.me)),
            witness: known.is_some_and(|view| is_witness(view, self.options.me)),
        };
        self.send_lease_grant(from, grant);
    }

    /// Sends a grant once the durable record names its holder, because a restarted witness relies on the record to know
    /// who may hold a lease.
    fn send_lease_grant(&mut self, to: NodeId, grant: LeaseGrant) {
        let must_wait = grant.granted && !self.writes.is_promise_durable(grant.epoch, to);
        let body = Body::LeaseGrant(Box::new(grant));
        if !must_wait {
            self.send(to, body);
        } else if self.writes.is_healthy() {
            self.send_when_durable(to, body);
        }
    }

    /// Follows the primary of an epoch that is not outdated. A primary without its lease does not postpone the election
    /// of a follower.
    fn follow(&mut self, primary: NodeId, epoch: u64, holds_lease: bool) {
        if primary == self.options.me {
            return;
        }
        let has_outdated_candidacy =
            self.view_change.as_ref().is_some_and(|change| change.is_claimed() && change.epoch() < epoch);
        if holds_lease {
            self.defer_to(primary);
            self.primary_contact = Some(PrimaryContact { node: primary, epoch, received_at: self.now });
        } else if self.primary.is_some() || has_outdated_candidacy {
            self.defer_to(primary);
        }
    }

    /// Steps down or abandons the candidacy of this node in favour of another primary or candidate.
    pub(super) fn defer_to(&mut self, node: NodeId) {
        if node == self.options.me {
            return;
        }
        if self.primary.is_some() {
            self.step_down(ResignReason::Superseded);
        }
        let candidacy = self.view_change.take().filter(ViewChange::is_announced);
        self.tracker = None;
        self.postpone_election();
        if let Some(candidacy) = candidacy {
            // Other nodes may have deferred to the abandoned candidacy, and would wait for it in vain.
            self.resign(candidacy.epoch());
        }
    }

    /// Releases the grants to a primary or candidate that resigns, and may schedule an election soon.
    pub(super) fn handle_resign(&mut self, from: NodeId, resign: Resign) {
        self.witness.release(from, resign.epoch);
        let was_primary = self.primary_contact.is_some_and(|contact| contact.node == from);
        if was_primary && resign.epoch >= self.witness.view().map_or(0, |view| view.epoch) {
            self.primary_contact = None;
            self.election.schedule_after_resignation(self.now);
        } else if self.witness.promised_to() == Some(from) && resign.epoch >= self.witness.promised() {
            self.election.bring_forward(self.now);
        }
    }
}
