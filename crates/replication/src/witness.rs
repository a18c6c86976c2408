//! The witness: what it has promised and accepted, and the lease that it has granted.

use quillpulley_protocol::{NodeId, View, WitnessRecord};
use std::time::Duration;

use crate::quorum::is_newer;

/// A hold that ends by itself.
#[derive(Clone, Copy, Debug)]
struct Hold {
    holder: NodeId,
    epoch: u64,
    until: Duration,
}

impl Hold {
    /// For how long the hold still keeps another node out.
    fn left(&self, now: Duration, other: NodeId) -> Option<Duration> {
        if self.holder == other {
            return None;
        }
        self.until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// An answer to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    Granted,
    /// The witness has promised an epoch that is as high to another.
    Superseded,
    /// The lease of another, or its candidacy, runs for that time.
    Held(Duration),
}

/// The part of the witness that votes. Whoever calls it makes the record durable before anyone hears of a vote.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    record: WitnessRecord,
    lease: Option<Hold>,
    /// A candidate that got a promise lately. It only delays other candidates' trials.
    candidate: Option<Hold>,
    /// The last node that gave an epoch up: what comes late of that epoch or before is not taken.
    resigned: Option<(NodeId, u64)>,
    /// Promises under a lease too: a fault for tests.
    ignores_lease: bool,
}

impl Witness {
    /// A witness with the record of its disk. It may have granted a lease in an earlier life that runs until
    /// `lease_end` at the latest. Leases are granted only once the promise of their epoch is durable, and a later
    /// promise is made or learned of only when no other node's lease counts any more. So it is the lease of the
    /// node that the record names, if any.
    pub fn new(record: WitnessRecord, lease_end: Duration, ignores_lease: bool) -> Self {
        let has_promised = record.promised > 0;
        let hold = Hold { holder: record.promised_to, epoch: record.promised, until: lease_end };
        let lease = has_promised.then_some(hold);
        Witness { record, lease, candidate: None, resigned: None, ignores_lease }
    }

    pub fn record(&self) -> &WitnessRecord {
        &self.record
    }

    pub fn promised(&self) -> u64 {
        self.record.promised
    }

    /// To whom it has promised its newest epoch, if it has promised any.
    pub fn promised_to(&self) -> Option<NodeId> {
        (self.record.promised > 0).then_some(self.record.promised_to)
    }

    /// Whether it may have granted a lease that still runs to another node.
    pub fn is_held_by_other(&self, now: Duration, node: NodeId) -> bool {
        !self.ignores_lease && self.lease.and_then(|hold| hold.left(now, node)).is_some()
    }

    /// The newest view that it has accepted or heard of from its primary.
    pub fn view(&self) -> Option<&View> {
        self.record.accepted.as_deref()
    }

    /// Whether a message of the epoch is not out of date.
    pub fn admits(&self, epoch: u64, from: NodeId) -> bool {
        let has_resigned = self.resigned.is_some_and(|(node, last)| node == from && epoch <= last);
        if has_resigned {
            return false;
        }
        epoch > self.record.promised || epoch == self.record.promised && self.record.promised_to == from
    }

    /// Takes a message of the epoch, and from then on none of older ones. Says whether the message may be taken.
    pub fn admit(&mut self, epoch: u64, from: NodeId) -> bool {
        if !self.admits(epoch, from) {
            return false;
        }
        self.record.promised = epoch;
        self.record.promised_to = from;
        true
    }

    /// What a candidate would hear, without a change.
    pub fn pre_vote(&self, now: Duration, epoch: u64, candidate: NodeId) -> Vote {
        if let Some(left) = self.candidate.and_then(|hold| hold.left(now, candidate)) {
            return Vote::Held(left);
        }
        self.consider(now, epoch, candidate)
    }

    /// Promises the epoch to a candidate if nothing stands against it.
    pub fn vote(&mut self, now: Duration, epoch: u64, candidate: NodeId, hold: Duration) -> Vote {
        let vote = self.consider(now, epoch, candidate);
        if vote == Vote::Granted {
            self.admit(epoch, candidate);
            self.candidate = Some(Hold { holder: candidate, epoch, until: now + hold });
        }
        vote
    }

    fn consider(&self, now: Duration, epoch: u64, candidate: NodeId) -> Vote {
        if !self.admits(epoch, candidate) {
            return Vote::Superseded;
        }
        match self.lease.and_then(|hold| hold.left(now, candidate)) {
            Some(left) if !self.ignores_lease => Vote::Held(left),
            _ => Vote::Granted,
        }
    }

    /// Accepts a view whose epoch is admitted.
    pub fn accept(&mut self, view: &View) -> bool {
        self.admit(view.epoch, view.primary) && {
            self.learn(view);
            true
        }
    }

    /// Notes a view that is known to be in force, or that is accepted. Says whether it was news.
    pub fn learn(&mut self, view: &View) -> bool {
        let news = is_newer(view, self.view());
        if news {
            self.record.accepted = Some(Box::new(view.clone()));
        }
        news
    }

    /// Grants or renews a lease.
    pub fn grant_lease(&mut self, holder: NodeId, epoch: u64, until: Duration) {
        self.lease = Some(Hold { holder, epoch, until });
    }

    /// Ends what was granted to a node that gives an epoch up. What was granted for a later epoch stays.
    pub fn release(&mut self, holder: NodeId, epoch: u64) {
        self.resigned = Some((holder, epoch));
        for hold in [&mut self.lease, &mut self.candidate] {
            if hold.is_some_and(|hold| hold.holder == holder && hold.epoch <= epoch) {
                *hold = None;
            }
        }
    }
}
