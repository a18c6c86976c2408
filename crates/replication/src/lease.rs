//! The lease of a primary: the rounds of requests, and which witnesses have granted them.
//!
//! Invariant: the holder counts a lease from the time just before it sent the request, a witness from the time at
//! which it received the request. Therefore the holder's lease expires first, as long as the rates of their clocks
//! differ by less than the safety margin.
//!
//! A primary that no longer receives replies from majorities of the witnesses only *probes*: a probe, a request of
//! round [`PROBE_ROUND`], gets a reply but no lease. So if requests arrive but the replies are lost, the witnesses do
//! not keep renewing the lease, and can elect another primary soon.

use quillpulley_protocol::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::view::majority;
use crate::Faults;

/// The holder leaves this fraction (1/10) of the lease duration unused, since clocks may run at different rates.
const SAFETY_MARGIN_DIVISOR: u32 = 10;
/// The round number of probes, which request a reply but no lease. Grants of this round never count.
pub(crate) const PROBE_ROUND: u64 = 0;

/// A round of lease requests to all witnesses.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    epoch: u64,
    sent_at: Duration,
}

/// The lease of a primary. It persists across the views that the primary forms itself.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    duration: Duration,
    /// Whether grants count regardless of their epoch. Only an injected fault sets this.
    ignores_epoch: bool,
    next_round: u64,
    rounds: VecDeque<Round>,
    /// For each witness, the time at which the newest round that it has granted was sent.
    granted: BTreeMap<NodeId, Duration>,
    /// For each witness, the time at which its latest reply was received, whether or not that was a grant.
    replied: BTreeMap<NodeId, Duration>,
}

impl Lease {
    pub fn new(duration: Duration, faults: Faults) -> Self {
        Lease {
            duration,
            ignores_epoch: faults.ignore_epoch_of_grant(),
            next_round: PROBE_ROUND + 1,
            rounds: VecDeque::new(),
            granted: BTreeMap::new(),
            replied: BTreeMap::new(),
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

    /// Records that a witness has granted a round. The grant of an expired round is ignored.
    pub fn record_grant(&mut self, witness: NodeId, number: u64, epoch: u64) {
        let is_granted_round =
            |round: &&Round| round.number == number && (round.epoch == epoch || self.ignores_epoch);
        if let Some(round) = self.rounds.iter().find(is_granted_round) {
            let newest = self.granted.entry(witness).or_default();
            *newest = round.sent_at.max(*newest);
        }
    }

    /// Discards all rounds and grants, because the times at which the requests were sent are no longer reliable.
    pub fn discard_grants(&mut self) {
        self.rounds.clear();
        self.granted.clear();
    }

    /// Records that a reply of a witness was received.
    pub fn record_reply(&mut self, now: Duration, witness: NodeId) {
        self.replied.insert(witness, now);
    }

    /// Returns the end of the lease that majorities of all the sets have granted; `None` if they never have.
    pub fn ends_at(&self, sets: &[&[NodeId]]) -> Option<Duration> {
        let sent_at = time_reached_by_majorities(&self.granted, sets)?;
        Some(sent_at + self.duration - self.duration / SAFETY_MARGIN_DIVISOR)
    }

    /// Returns the latest time since which majorities of all the sets have replied; `None` if they never have.
    pub fn replied_at(&self, sets: &[&[NodeId]]) -> Option<Duration> {
        time_reached_by_majorities(&self.replied, sets)
    }
}

/// Returns the latest time such that a majority of each set has a time that is not earlier; `None` if any set lacks a
/// majority with times.
fn time_reached_by_majorities(times: &BTreeMap<NodeId, Duration>, sets: &[&[NodeId]]) -> Option<Duration> {
    sets.iter().map(|set| time_reached_by_majority(times, set)).min().flatten()
}

fn time_reached_by_majority(times: &BTreeMap<NodeId, Duration>, set: &[NodeId]) -> Option<Duration> {
    let mut times: Vec<Duration> = set.iter().filter_map(|node| times.get(node)).copied().collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(majority(set.len()) - 1).copied()
}
