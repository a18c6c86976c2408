//! The random delays of a search. They keep agents that lose their parent together from acting at the same time.

use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::time::Duration;

/// How long the revision may stall before another parent is searched for, by the kind of the parent. The timeout is
/// longer if the parent is an agent, so that the children of an agent that is changing its own parent wait for it.
pub const CONTROL_NODE_TIMEOUT: Duration = Duration::from_millis(1_000);
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The maximum random time that is added to these timeouts.
const TIMEOUT_JITTER: Duration = Duration::from_millis(200);
/// The backoff after a failed attempt. It doubles with each consecutive failure from the minimum to the maximum, and is
/// randomized by up to half of itself in either direction.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// How often the search tries a candidate that is better than the parent. The interval is randomized by up to a quarter
/// of itself in either direction.
const REVIEW_INTERVAL: Duration = Duration::from_secs(3);

/// The random delays of one search.
pub struct Delays {
    random: fastrand::Rng,
}

impl Delays {
    /// Creates delays from the seed of the random numbers.
    pub fn new(seed: u64) -> Self {
        Delays { random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns how long the revision may stall with this parent.
    pub fn stall_timeout(&mut self, parent: ParentCandidate) -> Duration {
        let minimum = match parent {
            ParentCandidate::ControlNode(_) => CONTROL_NODE_TIMEOUT,
            ParentCandidate::Agent(_) => AGENT_TIMEOUT,
        };
        minimum + self.up_to(TIMEOUT_JITTER)
    }

    /// Returns the delay between the loss of a parent and the first attempt to connect to another one.
    pub fn first_attempt(&mut self) -> Duration {
        self.up_to(MIN_BACKOFF)
    }

    /// Returns the delay after the latest of `failures` consecutive failures.
    pub fn backoff(&mut self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(8);
        self.around((MIN_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF), 0.5)
    }

    /// Returns the delay until a better candidate than the parent is tried.
    pub fn review(&mut self) -> Duration {
        self.around(REVIEW_INTERVAL, 0.25)
    }

    fn up_to(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.f64())
    }

    /// Returns a random duration that differs from `time` by at most `fraction` of it, in either direction.
    fn around(&mut self, time: Duration, fraction: f64) -> Duration {
        time.mul_f64(1.0 - fraction + 2.0 * fraction * self.random.f64())
    }
}
