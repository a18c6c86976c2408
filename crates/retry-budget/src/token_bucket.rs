//! The token bucket of a service.

use std::time::Duration;

/// Capacity of a bucket, in seconds of its refill rate.
const CAPACITY_SECONDS: f64 = 5.0;

/// Minimum capacity of a bucket, in tokens. Each retry takes one token.
const MIN_CAPACITY: f64 = 1.0;

/// A token bucket that starts full and keeps its tokens when its rate changes.
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Tokens per second.
    rate: f64,
    /// When tokens were last added.
    filled_at: Duration,
}

impl TokenBucket {
    pub(crate) fn full(rate: f64, now: Duration) -> Self {
        TokenBucket { tokens: capacity(rate), rate, filled_at: now }
    }

    pub(crate) fn set_rate(&mut self, now: Duration, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    /// Takes a token if there is one. Returns whether a token was taken.
    pub(crate) fn try_take(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds the tokens accrued since the last call. If the rate was lowered, tokens above the new capacity
    /// are kept.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = (self.tokens + self.rate * elapsed).min(capacity(self.rate));
        self.tokens = self.tokens.max(filled);
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * CAPACITY_SECONDS).max(MIN_CAPACITY)
}
