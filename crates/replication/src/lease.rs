//! The lease of a primary: the rounds of requests, and which witnesses granted them.
//!
//! Invariant: the holder counts a lease from before it sent the request, a witness from when it received it. So the
//! holder's lease ends first, as long as no clock runs faster than another by more than the safety margin.
//!
//! A holder that hears no majority any more only *probes*: a probe ([`PROBE_ROUND`]) is answered and grants nothing. So
//! witnesses that hear a holder which does not hear them are free to elect another soon.

use quillpulley_protocol::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::view::majority;
use crate::Faults;

/// The holder leaves one part in so many of a lease unused, against clocks that run at different rates.
const SAFETY_MARGIN_DIVISOR: u32 = 10;
/// The round of a request that asks for an answer and not for the lease. No grant of it ever counts.
pub(crate) const PROBE_ROUND: u64 = 0;

#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    epoch: u64,
    sent_at: Duration,
}

/// The lease of a primary. It is kept across the views that the primary forms itself.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    duration: Duration,
    /// Grants count whatever their epoch: a fault of tests.
    ignores_epoch: bool,
    next_round: u64,
    rounds: VecDeque<Round>,
    /// For each witness, when the newest round that it has granted was sent.
    granted: BTreeMap<NodeId, Duration>,
    /// For each witness, when its latest answer was received, whatever it said.
    answered: BTreeMap<NodeId, Duration>,
}

impl Lease {
    pub fn new(duration: Duration, faults: Faults) -> Self {
        Lease {
            duration,
            ignores_epoch: faults.ignore_epoch_of_grant(),
            next_round: PROBE_ROUND + 1,
            rounds: VecDeque::new(),
            granted: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    /// Begins a round of requests and returns its number.
    pub fn begin_round(&mut self, now: Duration, epoch: u64) -> u64 {
        let number = self.next_round;
        self.next_round += 1;
        self.rounds.retain(|round| round.sent_at + self.duration > now);
        self.rounds.push_back(Round { number, epoch, sent_at: now });
        number
    }

    /// Records that a witness has granted a round. Rounds that have expired count for nothing.
    pub fn record_grant(&mut self, witness: NodeId, number: u64, epoch: u64) {
        let is_granted =
            |round: &&Round| round.number == number && (round.epoch == epoch || self.ignores_epoch);
        if let Some(round) = self.rounds.iter().find(is_granted) {
            let newest = self.granted.entry(witness).or_default();
            *newest = round.sent_at.max(*newest);
        }
    }

    /// Forgets all rounds and grants: the times at which they were sent do not count any more.
    pub fn forget_grants(&mut self) {
        self.rounds.clear();
        self.granted.clear();
    }

    /// Records that an answer of a witness was received.
    pub fn record_answer(&mut self, now: Duration, witness: NodeId) {
        self.answered.insert(witness, now);
    }

    /// Returns when the lease ends that majorities of all the sets have granted, if they ever have.
    pub fn ends_at(&self, sets: &[&[NodeId]]) -> Option<Duration> {
        let sent_at = reached_by_majorities(&self.granted, sets)?;
        Some(sent_at + self.duration - self.duration / SAFETY_MARGIN_DIVISOR)
    }

    /// Returns the latest time since which majorities of all the sets have answered, if they ever have.
    pub fn answered_at(&self, sets: &[&[NodeId]]) -> Option<Duration> {
        reached_by_majorities(&self.answered, sets)
    }
}

/// Returns the latest time that the times of a majority of each set have reached.
fn reached_by_majorities(times: &BTreeMap<NodeId, Duration>, sets: &[&[NodeId]]) -> Option<Duration> {
    sets.iter().map(|set| reached_by_majority(times, set)).min().flatten()
}

fn reached_by_majority(times: &BTreeMap<NodeId, Duration>, set: &[NodeId]) -> Option<Duration> {
    let mut times: Vec<Duration> = set.iter().filter_map(|node| times.get(node)).copied().collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(majority(set.len()) - 1).copied()
}
