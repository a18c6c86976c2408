//! The connection attempts in progress.

use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::time::Duration;

/// The maximum number of concurrent connection attempts.
pub const MAX_CONCURRENT_ATTEMPTS: usize = 3;

/// A connection attempt in progress.
#[derive(Copy, Clone, Debug)]
pub struct Attempt {
    /// The candidate to which the attempt connects.
    pub candidate: ParentCandidate,
    /// When it began.
    pub since: Duration,
}

/// The connection attempts in progress, the oldest first.
#[derive(Default)]
pub struct Attempts {
    attempts: Vec<Attempt>,
}

impl Attempts {
    /// Adds an attempt that begins now.
    pub fn add(&mut self, now: Duration, candidate: ParentCandidate) {
        self.attempts.push(Attempt { candidate, since: now });
    }

    /// Removes the attempt to connect to a candidate. Returns whether there was one.
    pub fn remove(&mut self, candidate: ParentCandidate) -> bool {
        let before = self.attempts.len();
        self.attempts.retain(|attempt| attempt.candidate != candidate);
        self.attempts.len() < before
    }

    /// Removes and returns the oldest attempt to connect to an agent.
    pub fn take_oldest_to_agent(&mut self) -> Option<Attempt> {
        self.oldest_to_agent().map(|position| self.attempts.remove(position))
    }

    /// Removes and returns the attempts whose candidates do not satisfy a predicate.
    pub fn take_unless(&mut self, mut is_kept: impl FnMut(ParentCandidate) -> bool) -> Vec<Attempt> {
        let attempts = std::mem::take(&mut self.attempts);
        let (kept, taken) = attempts.into_iter().partition(|attempt| is_kept(attempt.candidate));
        self.attempts = kept;
        taken
    }

    /// Returns the candidates, that of the oldest attempt first.
    pub fn candidates(&self) -> impl Iterator<Item = ParentCandidate> + '_ {
        self.attempts.iter().map(|attempt| attempt.candidate)
    }

    /// Returns whether there is no attempt.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns whether another attempt may be added.
    pub fn has_room(&self) -> bool {
        self.attempts.len() < MAX_CONCURRENT_ATTEMPTS
    }

    /// Returns whether another attempt may be added, perhaps in place of one to an agent.
    pub fn may_have_room(&self) -> bool {
        self.has_room() || self.oldest_to_agent().is_some()
    }

    fn oldest_to_agent(&self) -> Option<usize> {
        let is_to_agent = |attempt: &Attempt| matches!(attempt.candidate, ParentCandidate::Agent(_));
        self.attempts.iter().position(is_to_agent)
    }
}
