//! Schedules the next call to discovery after a failed one, with exponential backoff and jitter.
//!
//! Discovery serves all limiters. If all watches fail at once and all limiters retry at the same time, discovery spends
//! its time on rejecting calls, and no limiter ever gets a response.

use crate::interface::Settings;

/// Maximum delay before the first retry, in seconds.
const INITIAL_BACKOFF: f64 = 0.2;
/// Maximum delay before later retries in seconds if the server list is pushed. Calls are cheap in this case, because the
/// agent on the local machine responds, and changes must apply without delay.
const MAX_PUSHED_BACKOFF: f64 = 0.5;
/// Maximum delay before later retries in seconds if the list is polled, where each call costs discovery work. The
/// maximum is [`POLLED_BACKOFF_FACTOR`] times `Settings::discovery_deadline` if that is longer.
const MAX_POLLED_BACKOFF: f64 = 2.5;
/// The multiple of `Settings::discovery_deadline` that replaces [`MAX_POLLED_BACKOFF`] if it is longer. After a failed
/// call, the time in which a limiter must call discovery is four times that deadline.
const POLLED_BACKOFF_FACTOR: f64 = 2.0;
/// The ratio of successive backoff delays.
const BACKOFF_FACTOR: f64 = 4.0;
/// The fixed fraction of a backoff delay. The rest is random, so that the calls of limiters are spread over time.
const FIXED_BACKOFF_FRACTION: f64 = 0.25;
/// Maximum number of consecutive failures that are counted.
const MAX_FAILURES: i32 = 30;

/// The schedule of calls to discovery.
pub(super) struct DiscoveryBackoff {
    /// When to call discovery. `None` while the watch works or a call is open.
    next_call_at: Option<f64>,
    /// Consecutive failed calls.
    failures: i32,
    /// The longest backoff in seconds.
    max_backoff: f64,
}

impl DiscoveryBackoff {
    /// Creates the initial schedule. A polled list is requested immediately, and a pushed list only after a failure.
    pub(super) fn new(settings: &Settings, now: f64) -> Self {
        let max_backoff = match settings.discovery_on_request {
            true => MAX_POLLED_BACKOFF.max(POLLED_BACKOFF_FACTOR * settings.discovery_deadline),
            false => MAX_PUSHED_BACKOFF,
        };
        DiscoveryBackoff {
            next_call_at: settings.discovery_on_request.then_some(now),
            failures: 0,
            max_backoff,
        }
    }

    /// Records that a call or the watch failed, and schedules the next call. `draw` is a random number from 0 to 1.
    pub(super) fn record_failure(&mut self, now: f64, draw: f64) {
        let backoff = (INITIAL_BACKOFF * BACKOFF_FACTOR.powi(self.failures)).min(self.max_backoff);
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.next_call_at =
            Some(now + backoff * (FIXED_BACKOFF_FRACTION + (1.0 - FIXED_BACKOFF_FRACTION) * draw));
    }

    /// Records an update of the list, which shows that the watch works.
    pub(super) fn record_success(&mut self) {
        self.next_call_at = None;
        self.failures = 0;
    }

    /// Returns whether discovery must be called now. Returns true only once per scheduled call.
    pub(super) fn take_due_call(&mut self, now: f64) -> bool {
        self.next_call_at.take_if(|next_call_at| *next_call_at <= now).is_some()
    }
}
