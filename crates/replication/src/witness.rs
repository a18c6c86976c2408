//! The durable state of a witness, and the leases that it has granted.
//!
//! Invariants: the promised epoch never goes back; a promise of a higher epoch is not granted while a lease that was
//! granted to another node runs. Callers make the record durable before anyone learns of a vote.

use quillpulley_protocol::{NodeId, View, WitnessRecord};
use std::time::Duration;

use crate::view::is_newer;
use crate::Faults;

/// A grant that expires by itself.
#[derive(Clone, Copy, Debug)]
struct Grant {
    grantee: NodeId,
    epoch: u64,
    until: Duration,
}

impl Grant {
    /// Returns for how long the grant still keeps another node out.
    fn remaining_against(&self, now: Duration, other: NodeId) -> Option<Duration> {
        if self.grantee == other {
            return None;
        }
        self.until.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }
}

/// The vote on a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    Granted,
    /// The witness has promised an epoch at least as high to another node.
    Superseded,
    /// The lease or the candidacy of another node runs for that time.
    Deferred(Duration),
}

/// The state of a witness.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    record: WitnessRecord,
    lease: Option<Grant>,
    /// A candidate that got a promise recently. It only delays the pre-votes of others.
    candidate: Option<Grant>,
    /// The last node that gave up an epoch: late messages of that epoch or before are not admitted.
    resigned: Option<(NodeId, u64)>,
    /// Promises while a lease runs: a fault of tests.
    ignores_lease: bool,
}

impl Witness {
    /// Creates a witness from its durable record. Before the restart it may have granted a lease that runs until
    /// `lease_end` at the latest. Leases are granted only once the promise of their epoch is durable, and a later
    /// promise is made or learned of only when no other node's lease counts any more. So it is the lease of the node
    /// that the record names, if any.
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

    /// Returns the highest epoch that it has promised, 0 before the first.
    pub fn promised(&self) -> u64 {
        self.record.promised
    }

    /// Returns the node to which it has promised its highest epoch.
    pub fn promised_to(&self) -> Option<NodeId> {
        (self.record.promised > 0).then_some(self.record.promised_to)
    }

    /// Returns the newest view that it has accepted, or has learned of from its primary.
    pub fn view(&self) -> Option<&View> {
        self.record.accepted.as_deref()
    }

    /// Returns whether it may have granted a lease to another node that still runs.
    pub fn is_leased_to_other(&self, now: Duration, node: NodeId) -> bool {
        !self.ignores_lease && self.lease.and_then(|lease| lease.remaining_against(now, node)).is_some()
    }

    fn admits(&self, epoch: u64, from: NodeId) -> bool {
        let has_resigned = self.resigned.is_some_and(|(node, last)| node == from && epoch <= last);
        if has_resigned {
            return false;
        }
        epoch > self.record.promised || epoch == self.record.promised && self.record.promised_to == from
    }

    /// Admits a message of an epoch, and from then on none of older epochs. Returns false if it is outdated.
    pub fn admit(&mut self, epoch: u64, from: NodeId) -> bool {
        if !self.admits(epoch, from) {
            return false;
        }
        self.record.promised = epoch;
        self.record.promised_to = from;
        true
    }

    /// Returns the vote that a candidate would get, without any change.
    pub fn pre_vote(&self, now: Duration, epoch: u64, candidate: NodeId) -> Vote {
        if let Some(remaining) = self.candidate.and_then(|grant| grant.remaining_against(now, candidate)) {
            return Vote::Deferred(remaining);
        }
        self.consider(now, epoch, candidate)
    }

    /// Promises an epoch to a candidate, unless it is outdated or a lease of another node runs. For `hold` it delays
    /// the pre-votes of other candidates.
    pub fn vote(&mut self, now: Duration, epoch: u64, candidate: NodeId, hold: Duration) -> Vote {
        let vote = self.consider(now, epoch, candidate);
        if vote == Vote::Granted {
            self.admit(epoch, candidate);
            self.candidate = Some(Grant { grantee: candidate, epoch, until: now + hold });
        }
        vote
    }

    fn consider(&self, now: Duration, epoch: u64, candidate: NodeId) -> Vote {
        if !self.admits(epoch, candidate) {
            return Vote::Superseded;
        }
        match self.lease.and_then(|lease| lease.remaining_against(now, candidate)) {
            Some(remaining) if !self.ignores_lease => Vote::Deferred(remaining),
            _ => Vote::Granted,
        }
    }

    /// Accepts a view, unless its epoch is outdated. Returns whether it did.
    pub fn accept(&mut self, view: &View) -> bool {
        let is_admitted = self.admit(view.epoch, view.primary);
        if is_admitted {
            self.learn(view);
        }
        is_admitted
    }

    /// Records a view that is active or accepted. Returns whether it is newer than the known one.
    pub fn learn(&mut self, view: &View) -> bool {
        let is_new = is_newer(view, self.view());
        if is_new {
            self.record.accepted = Some(Box::new(view.clone()));
        }
        is_new
    }

    /// Grants or renews a lease.
    pub fn grant_lease(&mut self, grantee: NodeId, epoch: u64, until: Duration) {
        self.lease = Some(Grant { grantee, epoch, until });
    }

    /// Releases what was granted to a node that gives up an epoch. Grants for later epochs stay.
    pub fn release(&mut self, grantee: NodeId, epoch: u64) {
        self.resigned = Some((grantee, epoch));
        for grant in [&mut self.lease, &mut self.candidate] {
            if grant.is_some_and(|grant| grant.grantee == grantee && grant.epoch <= epoch) {
                *grant = None;
            }
        }
    }
}
