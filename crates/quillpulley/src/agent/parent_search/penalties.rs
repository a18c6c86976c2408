//! Penalties of candidates that have failed. A candidate with a penalty is avoided until the penalty expires.

use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::collections::BTreeMap;
use std::time::Duration;

/// The length of a candidate's penalty. It doubles with each further failure from the minimum to the maximum.
const MIN_PENALTY: Duration = Duration::from_secs(2);
const MAX_PENALTY: Duration = Duration::from_secs(30);
/// Expired penalties are discarded when this many candidates are recorded.
const CLEANUP_THRESHOLD: usize = 256;

struct Penalty {
    expires_at: Duration,
    duration: Duration,
}

/// The penalties of candidates that have failed. All times are measured from the start of the process.
#[derive(Default)]
pub struct Penalties {
    by_candidate: BTreeMap<ParentCandidate, Penalty>,
}

impl Penalties {
    /// Records a failure of a candidate: starts a penalty, which is twice as long as the previous one.
    pub fn add(&mut self, now: Duration, candidate: ParentCandidate) {
        if self.by_candidate.len() >= CLEANUP_THRESHOLD {
            self.by_candidate.retain(|_, penalty| penalty.expires_at > now);
        }
        let before = self.by_candidate.get(&candidate).map(|penalty| penalty.duration);
        let duration = before.map_or(MIN_PENALTY, |duration| (duration * 2).min(MAX_PENALTY));
        self.by_candidate.insert(candidate, Penalty { expires_at: now + duration, duration });
    }

    /// Ends the penalty of a candidate that works again. The length is kept, so that the next penalty is still longer.
    pub fn expire(&mut self, now: Duration, candidate: ParentCandidate) {
        if let Some(penalty) = self.by_candidate.get_mut(&candidate) {
            penalty.expires_at = penalty.expires_at.min(now);
        }
    }

    /// Clears the history of a candidate that has worked for long enough: its next penalty has the minimum length.
    pub fn clear(&mut self, candidate: ParentCandidate) {
        self.by_candidate.remove(&candidate);
    }

    /// Returns the candidates whose penalties have not expired.
    pub fn active(&self, now: Duration) -> impl Iterator<Item = ParentCandidate> + '_ {
        let active = self.by_candidate.iter().filter(move |(_, penalty)| penalty.expires_at > now);
        active.map(|(candidate, _)| *candidate)
    }

    /// Returns the time until the penalty of a candidate expires; zero if it has none.
    pub fn remaining(&self, now: Duration, candidate: ParentCandidate) -> Duration {
        let expires_at =
            self.by_candidate.get(&candidate).map_or(Duration::ZERO, |penalty| penalty.expires_at);
        expires_at.saturating_sub(now)
    }
}
