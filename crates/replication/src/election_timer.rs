//! Schedules the elections of a node, with jitter.

use std::time::Duration;

/// The upper bound of the random time, beyond the lease, for which a node waits for a primary.
const MAX_ELECTION_JITTER_MS: u64 = 200;
/// The minimum time before the first election of a system, in which the other nodes can start.
const FIRST_ELECTION_DELAY: Duration = Duration::from_millis(250);
/// The time that a restarted node waits for connections if it can have granted a lease only to itself.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// The additional delay of a node that is not a member, since it would have to fetch the state.
const NON_MEMBER_DELAY: Duration = Duration::from_millis(200);
/// The upper bound of the random delay before a failed candidate retries, beyond the retry interval.
const MAX_BACKOFF_JITTER_MS: u64 = 300;
/// The upper bound of the random delay before a follower stands for election once a primary has resigned.
const MAX_HANDOVER_JITTER_MS: u64 = 150;

/// The time of the next election, and the source of its jitter.
#[derive(Clone, Debug)]
pub(crate) struct ElectionTimer {
    due_at: Duration,
    rng: fastrand::Rng,
}

impl ElectionTimer {
    pub fn new(now: Duration, seed: u64) -> Self {
        ElectionTimer { due_at: now, rng: fastrand::Rng::with_seed(seed) }
    }

    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due_at
    }

    /// Schedules the first election of a system: no node can hold a lease, and all nodes start at about the same time.
    pub fn schedule_first(&mut self, now: Duration) {
        self.due_at = now + FIRST_ELECTION_DELAY + self.jitter(MAX_ELECTION_JITTER_MS);
    }

    /// Schedules the election after a restart of a node that has made its latest promise to itself. The node does not
    /// wait for a lease to expire: as a witness, it can have granted one only to itself.
    pub fn schedule_after_restart(&mut self, now: Duration) {
        self.due_at = now + RESTART_DELAY;
    }

    /// Postpones the election by the duration of a lease, from now on.
    pub fn postpone(&mut self, now: Duration, lease: Duration, is_member: bool) {
        let delay = if is_member { Duration::ZERO } else { NON_MEMBER_DELAY };
        self.due_at = now + lease + delay + self.jitter(MAX_ELECTION_JITTER_MS);
    }

    /// Schedules the next attempt of a failed candidate.
    pub fn back_off(&mut self, now: Duration, retry_interval: Duration) {
        self.due_at = now + retry_interval + self.jitter(MAX_BACKOFF_JITTER_MS);
    }

    /// Schedules the election after the primary has resigned.
    pub fn schedule_after_resignation(&mut self, now: Duration) {
        self.due_at = now + self.jitter(MAX_HANDOVER_JITTER_MS);
    }

    /// Moves the election to an earlier time after a candidate has resigned: two candidates may have yielded to each
    /// other, so that neither stands for election.
    pub fn bring_forward(&mut self, now: Duration) {
        self.due_at = self.due_at.min(now + self.jitter(MAX_HANDOVER_JITTER_MS));
    }

    fn jitter(&mut self, bound_ms: u64) -> Duration {
        Duration::from_millis(self.rng.u64(0..bound_ms))
    }
}
