//! Penalties of candidates that have failed: they are avoided for some time.

use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::collections::BTreeMap;
use std::time::Duration;

/// The penalty of a first failure, which doubles with each further one up to the second figure.
const MIN_PENALTY: Duration = Duration::from_secs(2);
const MAX_PENALTY: Duration = Duration::from_secs(30);
/// The most candidates that are remembered.
const MAX_REMEMBERED: usize = 256;

struct Penalty {
    until: Duration,
    length: Duration,
}

/// The penalties of all candidates that have failed recently.
#[derive(Default)]
pub struct Penalties {
    by_candidate: BTreeMap<ParentCandidate, Penalty>,
}

impl Penalties {
    /// Adds a penalty after a failure.
    pub fn add(&mut self, now: Duration, candidate: ParentCandidate) {
        if self.by_candidate.len() >= MAX_REMEMBERED {
            self.by_candidate.retain(|_, penalty| penalty.until > now);
        }
        let before = self.by_candidate.get(&candidate).map(|penalty| penalty.length);
        let length = before.map_or(MIN_PENALTY, |length| (length * 2).min(MAX_PENALTY));
        self.by_candidate.insert(candidate, Penalty { until: now + length, length });
    }

    /// Ends the penalty of a candidate that works again. Its next penalty is longer all the same.
    pub fn expire(&mut self, now: Duration, candidate: ParentCandidate) {
        if let Some(penalty) = self.by_candidate.get_mut(&candidate) {
            penalty.until = penalty.until.min(now);
        }
    }

    /// Forgets the penalties of a candidate that has worked for long enough.
    pub fn clear(&mut self, candidate: ParentCandidate) {
        self.by_candidate.remove(&candidate);
    }

    /// Returns the candidates whose penalty has not expired.
    pub fn active(&self, now: Duration) -> impl Iterator<Item = ParentCandidate> + '_ {
        let active = self.by_candidate.iter().filter(move |(_, penalty)| penalty.until > now);
        active.map(|(candidate, _)| *candidate)
    }

    /// Returns the time until a candidate's penalty expires.
    pub fn remaining(&self, now: Duration, candidate: ParentCandidate) -> Duration {
        let until = self.by_candidate.get(&candidate).map_or(Duration::ZERO, |penalty| penalty.until);
        until.saturating_sub(now)
    }
}
