//! The witness's side of elections and leases: which requests it grants, and what it makes durable before it replies.

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

/// How long a promise delays the pre-votes of other candidates.
const CANDIDATE_HOLD: Duration = Duration::from_millis(600);

impl<S: StateMachine> Replica<S> {
    pub(super) fn handle_prepare(&mut self, from: NodeId, prepare: Prepare) {
        if prepare.candidate != from || !self.writes.has_record() || !self.writes.is_healthy() {
            return;
        }
        let Prepare { epoch, pre_vote, .. } = prepare;
        if pre_vote {
            self.answer_pre_vote(from, epoch);
            return;
        }
        let vote = self.witness.vote(self.now, epoch, from, CANDIDATE_HOLD);
        let promise = self.promise_message(epoch, pre_vote, vote);
        if vote == Vote::Granted {
            self.defer_to(from);
            self.writes.push_record(self.witness.record());
            self.send_when_durable(from, promise);
        } else {
            self.send(from, promise);
            self.yield_to_rival(from);
        }
    }

    fn answer_pre_vote(&mut self, from: NodeId, epoch: u64) {
        if !self.writes.is_usable(self.now) {
            return;
        }
        let is_rival =
            from != self.options.me && self.view_change.as_ref().is_some_and(ViewChange::is_claimed);
        let vote = match is_rival {
            true => Vote::Deferred(CANDIDATE_HOLD),
            false => self.witness.pre_vote(self.now, epoch, from),
        };
        let promise = self.promise_message(epoch, true, vote);
        self.send(from, promise);
    }

    /// Gives up a candidacy in favour of one of a higher identity. Two candidates that stand at the same time would
    /// keep each other from a majority; the other one tries again with a higher epoch.
    fn yield_to_rival(&mut self, rival: NodeId) {
        let is_contested = self.view_change.as_ref().is_some_and(ViewChange::is_contested);
        if self.primary.is_none() && is_contested && rival > self.options.me {
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
        // An epoch above that of the view is only being prepared: until it is promised, leases come first.
        let is_contested = epoch > view.epoch
            && self.witness.is_leased_to_other(self.now, from)
            && !self.options.faults.grant_under_lease();
        let can_grant = view.primary == from && self.writes.has_record() && !is_contested;
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

    /// Sends a grant once the disk names its holder: after a restart the witness relies on that.
    fn send_lease_grant(&mut self, to: NodeId, grant: LeaseGrant) {
        let must_wait = grant.granted && !self.writes.is_promise_durable(grant.epoch, to);
        let body = Body::LeaseGrant(Box::new(grant));
        if !must_wait {
            self.send(to, body);
        } else if self.writes.is_healthy() {
            self.send_when_durable(to, body);
        }
    }

    /// Follows the primary of an epoch that is not outdated. Without its lease it keeps no one from campaigning.
    fn follow(&mut self, primary: NodeId, epoch: u64, holds_lease: bool) {
        if primary == self.options.me {
            return;
        }
        let is_outdated =
            self.view_change.as_ref().is_some_and(|change| change.is_claimed() && change.epoch() < epoch);
        if holds_lease {
            self.defer_to(primary);
            self.contact = Some(PrimaryContact { node: primary, epoch, received_at: self.now });
        } else if self.primary.is_some() || is_outdated {
            self.defer_to(primary);
        }
    }

    /// Yields to the leadership or candidacy of another node.
    pub(super) fn defer_to(&mut self, node: NodeId) {
        if node == self.options.me {
            return;
        }
        if self.primary.is_some() {
            self.step_down(ResignReason::Superseded);
        }
        let candidacy = self.view_change.take().filter(ViewChange::is_public);
        self.tracker = None;
        self.postpone_election();
        if let Some(candidacy) = candidacy {
            // Others may have deferred to it just now, and would wait for nobody.
            self.resign(candidacy.epoch());
        }
    }

    /// Releases what was granted to a primary or candidate that gives up, and may stand for election soon.
    pub(super) fn handle_resign(&mut self, from: NodeId, resign: Resign) {
        self.witness.release(from, resign.epoch);
        let was_primary = self.contact.is_some_and(|contact| contact.node == from);
        if was_primary && resign.epoch >= self.witness.view().map_or(0, |view| view.epoch) {
            self.contact = None;
            self.election.schedule_after_resignation(self.now);
        } else if self.witness.promised_to() == Some(from) && resign.epoch >= self.witness.promised() {
            self.election.bring_forward(self.now);
        }
    }
}
