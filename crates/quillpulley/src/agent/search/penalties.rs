//! Candidates that have failed are left alone for a while.

use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::collections::BTreeMap;
use std::time::Duration;

/// For how long after the first failure; it doubles with each further one up to the second figure.
const FIRST: Duration = Duration::from_secs(2);
const LONGEST: Duration = Duration::from_secs(30);
/// No more candidates than this are remembered.
const REMEMBERED: usize = 256;

struct Penalty {
    until: Duration,
    length: Duration,
}

/// The penalties of all candidates that have failed lately.
#[derive(Default)]
pub struct Penalties {
    by_candidate: BTreeMap<ParentCandidate, Penalty>,
}

impl Penalties {
    /// A candidate has failed.
    pub fn add(&mut self, now: Duration, candidate: ParentCandidate) {
        if self.by_candidate.len() >= REMEMBERED {
            self.by_candidate.retain(|_, penalty| penalty.until > now);
        }
        let before = self.by_candidate.get(&candidate).map(|penalty| penalty.length);
        let length = before.map_or(FIRST, |length| (length * 2).min(LONGEST));
        self.by_candidate.insert(candidate, Penalty { until: now + length, length });
    }

    /// A candidate works after all. Its next penalty is longer all the same.
    pub fn end(&mut self, now: Duration, candidate: ParentCandidate) {
        if let Some(penalty) = self.by_candidate.get_mut(&candidate) {
            penalty.until = penalty.until.min(now);
        }
    }

    /// A candidate has proven itself.
    pub fn clear(&mut self, candidate: ParentCandidate) {
        self.by_candidate.remove(&candidate);
    }

    /// Returns those whose penalty is not over.
    pub fn running(&self, now: Duration) -> impl Iterator<Item = ParentCandidate> + '_ {
        let running = self.by_candidate.iter().filter(move |(_, penalty)| penalty.until > now);
        running.map(|(candidate, _)| *candidate)
    }

    /// Returns what is left of a candidate's penalty.
    pub fn left(&self, now: Duration, candidate: ParentCandidate) -> Duration {
        let until = self.by_candidate.get(&candidate).map_or(Duration::ZERO, |penalty| penalty.until);
        until.saturating_sub(now)
    }
}
