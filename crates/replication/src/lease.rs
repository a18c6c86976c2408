//! The lease as its holder sees it: rounds that it asked for, and who granted them.

use quillpulley_protocol::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::quorum::majority;

/// The part of a lease that the holder does not use, against clocks that run at different rates.
const SAFETY_MARGIN: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    epoch: u64,
    sent_at: Duration,
}

/// The lease of a primary, kept across the views that it forms itself.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    duration: Duration,
    next_round: u64,
    rounds: VecDeque<Round>,
    /// For each witness, when the newest round that it has granted was sent.
    granted: BTreeMap<NodeId, Duration>,
}

impl Lease {
    pub fn new(duration: Duration) -> Self {
        Lease { duration, next_round: 1, rounds: VecDeque::new(), granted: BTreeMap::new() }
    }

    /// Begins a round of requests; returns its number.
    pub fn ask(&mut self, now: Duration, epoch: u64) -> u64 {
        let number = self.next_round;
        self.next_round += 1;
        self.rounds.retain(|round| round.sent_at + self.duration > now);
        self.rounds.push_back(Round { number, epoch, sent_at: now });
        number
    }

    /// A witness has granted a round. Rounds that are long over count for nothing.
    pub fn granted(&mut self, witness: NodeId, number: u64, epoch: u64) {
        let round = self.rounds.iter().find(|round| round.number == number && round.epoch == epoch);
        if let Some(round) = round {
            let newest = self.granted.entry(witness).or_default();
            *newest = round.sent_at.max(*newest);
        }
    }

    /// When the lease ends that majorities of all the sets have granted; none if they never have.
    pub fn ends_at(&self, sets: &[&[NodeId]]) -> Option<Duration> {
        let sent_at = sets.iter().map(|set| self.granted_by_majority(set)).min().flatten()?;
        Some(sent_at + self.duration - self.duration / SAFETY_MARGIN)
    }

    /// The latest time such that a majority of the set has granted a round sent then or later.
    fn granted_by_majority(&self, set: &[NodeId]) -> Option<Duration> {
        let mut times: Vec<Duration> =
            set.iter().filter_map(|node| self.granted.get(node)).copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(majority(set.len()) - 1).copied()
    }
}
