//! The durable state of a witness, and the leases that it has granted.
//!
//! Invariants: the promised epoch never decreases; a higher epoch is not promised to a candidate before the lease of
//! any other node has expired. Callers make the record durable before they send a vote.

use quillpulley_protocol::{NodeId, View, WitnessRecord};
use std::time::Duration;

use crate::view::is_newer;
use crate::Faults;

/// A lease, or the candidacy of a node: it excludes nodes other than the grantee until it expires.
#[derive(Clone, Copy, Debug)]
struct Grant {
    grantee: NodeId,
    epoch: u64,
    until: Duration,
}

impl Grant {
    /// Returns how much longer the grant excludes `other`; `None` if it has expired or `other` is its grantee.
    fn remaining_exclusion(&self, now: Duration, other: NodeId) -> Option<Duration> {
        if self.grantee == other {
            return None;
        }
        self.until.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }
}

/// The vote of a witness on a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// The witness promises the epoch, or would do so in a pre-vote.
    Granted,
    /// The witness has promised an epoch at least as high to another node.
    Superseded,
    /// The lease or the candidacy of another node lasts for this time.
    Deferred(Duration),
}

/// The state of a witness.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    record: WitnessRecord,
    lease: Option<Grant>,
    /// The candidate that received the latest promise. It only delays the pre-votes of others.
    candidate: Option<Grant>,
    /// The node that resigned last, and the epoch from which it resigned. Delayed messages of this node with this epoch
    /// or an older one are not admitted.
    resigned: Option<(NodeId, u64)>,
    /// Whether promises are given although a lease has not expired. Only an injected fault sets this.
    ignores_lease: bool,
}

impl Witness {
    /// Creates a witness from its durable record. Before a restart the witness may have granted a lease, which expires
    /// at `lease_end` at the latest. Only the node that the record names can hold it: the grant of a lease is sent
    /// only once the promise of its epoch is durable, and a higher epoch is promised or adopted only when the lease of
    /// any other node no longer counts.
    pub fn new(record: WitnessRecord, lease_end: Duration, faults: Faults) -> Self {
        let has_promised = record.promised > 0 && !faults.forget_lease_at_restart();
        let grant = Grant { grantee: record.promised_to, epoch: record.promised, until: lease_end };
        let lease = has_promised.then_some(grant);
        let ignores_lease = faults.promise_under_lease();
        Witness { record, lease, candidate: None, resigned: None, ignores_lease }
    }

    pub fn record(&self) -> &WitnessRecord {
        &self.record
    }

    /// Returns the highest epoch that the witness has promised; 0 before the first promise.
    pub fn promised(&self) -> u64 {
        self.record.promised
    }

    /// Returns the node to which the highest epoch is promised; `None` before the first promise.
    pub fn promised_to(&self) -> Option<NodeId> {
        (self.record.promised > 0).then_some(self.record.promised_to)
    }

    /// Returns the newest view that the witness has accepted or learned from the primary of that view.
    pub fn view(&self) -> Option<&View> {
        self.record.accepted.as_deref()
    }

    /// Returns whether a lease that the witness may have granted to a node other than `node` has not expired.
    pub fn is_leased_to_other(&self, now: Duration, node: NodeId) -> bool {
        !self.ignores_lease && self.lease.and_then(|lease| lease.remaining_exclusion(now, node)).is_some()
    }

    /// Returns whether a message of an epoch is not outdated, that is, whether [`Witness::admit`] would admit it.
    fn admits(&self, epoch: u64, from: NodeId) -> bool {
        let has_resigned = self.resigned.is_some_and(|(node, last)| node == from && epoch <= last);
        if has_resigned {
            return false;
        }
        epoch > self.record.promised || epoch == self.record.promised && self.record.promised_to == from
    }

    /// Admits a message of an epoch, and from then on no message of an older epoch. Returns false if the message is
    /// outdated.
    pub fn admit(&mut self, epoch: u64, from: NodeId) -> bool {
        if !self.admits(epoch, from) {
            return false;
        }
        self.record.promised = epoch;
        self.record.promised_to = from;
        true
    }

    /// Returns the vote that a candidate would get, without changing any state.
    pub fn pre_vote(&self, now: Duration, epoch: u64, candidate: NodeId) -> Vote {
        if let Some(remaining) = self.candidate.and_then(|grant| grant.remaining_exclusion(now, candidate)) {
            return Vote::Deferred(remaining);
        }
        self.decide_vote(now, epoch, candidate)
    }

    /// Promises an epoch to a candidate, unless the epoch is outdated or the lease of another node has not expired. A
    /// promise defers the pre-votes of other candidates for `deferral`.
    pub fn vote(&mut self, now: Duration, epoch: u64, candidate: NodeId, deferral: Duration) -> Vote {
        let vote = self.decide_vote(now, epoch, candidate);
        if vote == Vote::Granted {
            self.admit(epoch, candidate);
            self.candidate = Some(Grant { grantee: candidate, epoch, until: now + deferral });
        }
        vote
    }

    /// Returns the vote on a candidate given the promises and the lease of the witness.
    fn decide_vote(&self, now: Duration, epoch: u64, candidate: NodeId) -> Vote {
        if !self.admits(epoch, candidate) {
            return Vote::Superseded;
        }
        match self.lease.and_then(|lease| lease.remaining_exclusion(now, candidate)) {
            Some(remaining) if !self.ignores_lease => Vote::Deferred(remaining),
            _ => Vote::Granted,
        }
    }

    /// Accepts a view unless its epoch is outdated. Returns whether the view was accepted.
    pub fn accept(&mut self, view: &View) -> bool {
        let is_admitted = self.admit(view.epoch, view.primary);
        if is_admitted {
            self.learn(view);
        }
        is_admitted
    }

    /// Records a view that is active or accepted, if it is newer than the known one. Returns whether it is newer.
    pub fn learn(&mut self, view: &View) -> bool {
        let is_new = is_newer(view, self.view());
        if is_new {
            self.record.accepted = Some(Box::new(view.clone()));
        }
        is_new
    }

    /// Grants a lease, or renews it, until the time `until`.
    pub fn grant_lease(&mut self, grantee: NodeId, epoch: u64, until: Duration) {
        self.lease = Some(Grant { grantee, epoch, until });
    }

    /// Releases the lease and the candidacy of a node that resigns from an epoch. Grants for later epochs remain.
    pub fn release(&mut self, grantee: NodeId, epoch: u64) {
        self.resigned = Some((grantee, epoch));
        for grant in [&mut self.lease, &mut self.candidate] {
            if grant.is_some_and(|grant| grant.grantee == grantee && grant.epoch <= epoch) {
                *grant = None;
            }
        }
    }
}
