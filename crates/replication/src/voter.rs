//! The witness's side of elections and leases: which requests it grants, and what it stores before it says so.

use quillpulley_protocol::{
    Accept, Accepted, Body, LeaseGrant, LeaseRequest, NodeId, Prepare, Promise, Resign,
};
use std::time::Duration;

use crate::quorum::{is_member, is_witness};
use crate::replica::Replica;
use crate::view_change::ViewChange;
use crate::witness::Vote;
use crate::StateMachine;

/// How long a promise keeps other candidates from trying.
const CANDIDATE_HOLD: Duration = Duration::from_millis(600);
/// At most this long after a primary hands over, its followers stand for election.
const HANDOVER_JITTER_MS: u64 = 150;

impl<S: StateMachine> Replica<S> {
    pub(crate) fn on_prepare(&mut self, from: NodeId, prepare: Prepare) {
        if prepare.candidate != from || !self.disk.has_record() || !self.disk.is_healthy() {
            return;
        }
        let Prepare { epoch, pre_vote, .. } = prepare;
        if pre_vote {
            self.answer_pre_vote(from, epoch);
            return;
        }
        let vote = self.witness.vote(self.now, epoch, from, CANDIDATE_HOLD);
        let promise = self.promise(epoch, pre_vote, vote);
        if vote == Vote::Granted {
            self.defer_to(from);
            self.disk.write_record(self.witness.record());
            self.send_once_durable(from, Body::Promise(Box::new(promise)));
        } else {
            self.send(from, Body::Promise(Box::new(promise)));
            self.yield_to_rival(from);
        }
    }

    fn answer_pre_vote(&mut self, from: NodeId, epoch: u64) {
        if !self.disk.is_usable(self.now) {
            return;
        }
        let is_rival = from != self.options.me && self.change.as_ref().is_some_and(ViewChange::is_claimed);
        let vote =
            if is_rival { Vote::Held(CANDIDATE_HOLD) } else { self.witness.pre_vote(self.now, epoch, from) };
        let promise = self.promise(epoch, true, vote);
        self.send(from, Body::Promise(Box::new(promise)));
    }

    /// Two candidates that stand at the same time would keep each other from a majority: the one with the lower
    /// identity gives up, and the other tries again with a higher epoch.
    fn yield_to_rival(&mut self, rival: NodeId) {
        let competes =
            self.leadership.is_none() && self.change.as_ref().is_some_and(ViewChange::is_contested);
        if competes && rival > self.options.me {
            self.abandon_candidacy();
            self.postpone_election();
        }
    }

    fn promise(&self, epoch: u64, pre_vote: bool, vote: Vote) -> Promise {
        let lease_remaining = match vote {
            Vote::Held(left) => left,
            Vote::Granted | Vote::Superseded => Duration::ZERO,
        };
        Promise {
            epoch,
            granted: vote == Vote::Granted,
            promised: self.witness.promised(),
            accepted: self.witness.view().cloned().map(Box::new),
            last: self.log.last(),
            lease_remaining_ms: u32::try_from(lease_remaining.as_millis()).unwrap_or(u32::MAX),
            pre_vote,
        }
    }

    pub(crate) fn on_accept(&mut self, from: NodeId, accept: Accept) {
        let view = *accept.view;
        if view.primary != from || !self.disk.is_healthy() {
            return;
        }
        let granted = self.witness.accept(&view);
        let promised = self.witness.promised();
        let answer = Accepted { epoch: view.epoch, granted, promised, activated: view.activated };
        let answer = Body::Accepted(Box::new(answer));
        if !granted {
            self.send(from, answer);
            return;
        }
        self.defer_to(from);
        self.disk.write_record(self.witness.record());
        self.send_once_durable(from, answer);
    }

    pub(crate) fn on_lease_request(&mut self, from: NodeId, request: LeaseRequest) {
        let LeaseRequest { epoch, round, view, committed, holds_lease } = request;
        // An epoch that is not yet that of a view is only asked for: until it is promised, leases come first.
        let contested = epoch > view.epoch && self.witness.is_held_by_other(self.now, from);
        let may_grant = view.primary == from && self.disk.has_record() && !contested;
        let granted = may_grant && self.witness.admit(epoch, from);
        if granted {
            self.witness.grant_lease(from, epoch, self.now + self.options.lease);
            self.follow_primary(from, epoch, holds_lease);
            self.witness.learn(&view);
            self.note_view_in_force(epoch, &view);
            if self.disk.is_healthy() {
                self.disk.write_record(self.witness.record());
            }
            self.commit_told(epoch, committed);
        }
        let known = self.witness.view();
        let grant = LeaseGrant {
            epoch,
            round,
            granted,
            promised: self.witness.promised(),
            last: self.log.last(),
            member: known.is_some_and(|view| is_member(view, self.options.me)),
            witness: known.is_some_and(|view| is_witness(view, self.options.me)),
        };
        self.send_grant(from, grant);
    }

    /// A lease is granted once the disk names its holder: after a restart the witness goes by that.
    fn send_grant(&mut self, to: NodeId, grant: LeaseGrant) {
        let waits = grant.granted && !self.disk.holds_promise(grant.epoch, to);
        let body = Body::LeaseGrant(Box::new(grant));
        if !waits {
            self.send(to, body);
        } else if self.disk.is_healthy() {
            self.send_once_durable(to, body);
        }
    }

    /// Another node is the primary of an epoch that is not out of date. Without its lease it keeps no one from
    /// trying to be elected.
    fn follow_primary(&mut self, from: NodeId, epoch: u64, holds_lease: bool) {
        if from == self.options.me {
            return;
        }
        let outdated = self.change.as_ref().is_some_and(|change| change.is_claimed() && change.epoch < epoch);
        if holds_lease {
            self.defer_to(from);
            self.primary_heard = Some((from, self.now));
        } else if self.leadership.is_some() || outdated {
            self.defer_to(from);
        }
    }

    /// Gives way to another node's leadership or candidacy.
    pub(crate) fn defer_to(&mut self, from: NodeId) {
        if from == self.options.me {
            return;
        }
        if self.leadership.is_some() {
            self.step_down("another node has a higher epoch");
        }
        let candidacy = self.change.take().filter(ViewChange::is_public);
        self.replicator = None;
        self.postpone_election();
        if let Some(candidacy) = candidacy {
            // Others may have deferred to it just now, and would wait for nobody.
            self.resign(candidacy.epoch);
        }
    }

    /// A primary or candidate gives up, and so the next may try at once.
    pub(crate) fn on_resign(&mut self, from: NodeId, resign: Resign) {
        self.witness.release(from, resign.epoch);
        let was_primary = self.primary_heard.is_some_and(|(primary, _)| primary == from);
        if was_primary && resign.epoch >= self.witness.view().map_or(0, |view| view.epoch) {
            self.primary_heard = None;
            self.election_at = self.now + self.jitter(HANDOVER_JITTER_MS);
        } else if self.witness.promised_to() == Some(from) && resign.epoch >= self.witness.promised() {
            // Two candidates may have given way to each other.
            self.election_at = self.election_at.min(self.now + self.jitter(HANDOVER_JITTER_MS));
        }
    }

    /// A random time below a bound.
    pub(crate) fn jitter(&mut self, below_ms: u64) -> Duration {
        Duration::from_millis(self.random.u64(0..below_ms))
    }
}
