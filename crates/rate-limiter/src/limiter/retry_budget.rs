//! The retry budget: every request earns a part of a retry, and a retry that succeeds earns most of it back.

/// Retries that each request earns.
const EARNED_PER_REQUEST: f64 = 0.1;
/// The most retries that are saved up.
const MAX_SAVED: f64 = 10.0;
/// The part of a retry that is earned back when it succeeds in time: where retries help, more are sent.
const EARNED_PER_SUCCESS: f64 = 0.8;

/// The retries that may be sent.
pub(super) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Records a request of a client.
    pub(super) fn record_request(&mut self) {
        self.earn(EARNED_PER_REQUEST);
    }

    /// Records a retry that succeeded in time.
    pub(super) fn record_success(&mut self) {
        self.earn(EARNED_PER_SUCCESS);
    }

    /// Returns whether a retry may be sent.
    pub(super) fn allows_retry(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes a retry that is sent.
    pub(super) fn take(&mut self) {
        self.saved -= 1.0;
    }

    fn earn(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MAX_SAVED);
    }
}
