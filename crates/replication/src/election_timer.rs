//! When a node campaigns, with jitter.

use std::time::Duration;

/// The longest time that a node waits for a primary beyond the lease.
const ELECTION_JITTER_MS: u64 = 200;
/// How long a node waits for the others at the first start of the system.
const FIRST_ELECTION: Duration = Duration::from_millis(250);
/// How long a node waits for connections after a restart if only its own lease can be running.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// The additional delay of a node that is no member: it would have to fetch the state.
const NON_MEMBER_DELAY: Duration = Duration::from_millis(200);
/// The longest backoff of a candidate that has failed.
const BACKOFF_MS: u64 = 300;
/// The longest time after which followers campaign once a primary has resigned.
const HANDOVER_JITTER_MS: u64 = 150;

/// The time of the next election, and the source of its jitter.
#[derive(Clone, Debug)]
pub(crate) struct ElectionTimer {
    due_at: Duration,
    random: fastrand::Rng,
}

impl ElectionTimer {
    pub fn new(now: Duration, seed: u64) -> Self {
        ElectionTimer { due_at: now, random: fastrand::Rng::with_seed(seed) }
    }

    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due_at
    }

    /// Schedules the election of a first start: no lease can be running, and all nodes begin at about the same time.
    pub fn schedule_first(&mut self, now: Duration) {
        self.due_at = now + FIRST_ELECTION + self.jitter(ELECTION_JITTER_MS);
    }

    /// Schedules the election after a restart of the node that got the last promise. It need not wait: no lease of
    /// another node can be running.
    pub fn schedule_after_restart(&mut self, now: Duration) {
        self.due_at = now + RESTART_DELAY;
    }

    /// Postpones the election by a lease from now on.
    pub fn postpone(&mut self, now: Duration, lease: Duration, is_member: bool) {
        let delay = if is_member { Duration::ZERO } else { NON_MEMBER_DELAY };
        self.due_at = now + lease + delay + self.jitter(ELECTION_JITTER_MS);
    }

    /// Schedules the next attempt of a candidate that has failed.
    pub fn back_off(&mut self, now: Duration, retry_interval: Duration) {
        self.due_at = now + retry_interval + self.jitter(BACKOFF_MS);
    }

    /// Schedules the election after the primary has resigned.
    pub fn schedule_after_resignation(&mut self, now: Duration) {
        self.due_at = now + self.jitter(HANDOVER_JITTER_MS);
    }

    /// Brings the election forward after a candidate has resigned: two candidates may have yielded to each other.
    pub fn bring_forward(&mut self, now: Duration) {
        self.due_at = self.due_at.min(now + self.jitter(HANDOVER_JITTER_MS));
    }

    fn jitter(&mut self, below_ms: u64) -> Duration {
        Duration::from_millis(self.random.u64(0..below_ms))
    }
}
