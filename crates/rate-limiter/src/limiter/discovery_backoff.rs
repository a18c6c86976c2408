//! When the list of servers is asked for again after its watch failed: exponential backoff with jitter.
//!
//! Discovery serves all limiters. If the watches of all fail at once, calls that come back in step keep it busy with
//! those that it must reject, and none ever gets a response.

use crate::interface::Settings;

/// The most seconds before the first retry.
const MIN_BACKOFF: f64 = 0.2;
/// The most seconds before a later retry if the list is pushed: a call costs nothing then, as the agent of the machine
/// responds, and a change applies at once.
const MAX_PUSHED_BACKOFF: f64 = 0.5;
/// The same if each call costs discovery work: at least this, ...
const MAX_POLLED_BACKOFF: f64 = 2.5;
/// ... or this multiple of the time in which a limiter must ask. After a failed call that time is four times as long.
const POLLED_BACKOFF_FACTOR: f64 = 2.0;
/// The ratio of two successive backoffs.
const BACKOFF_FACTOR: f64 = 4.0;
/// The least part of a backoff. The rest is random, so that limiters come one after the other.
const MIN_BACKOFF_PART: f64 = 0.25;
/// Failures in a row that are counted.
const MAX_FAILURES: i32 = 30;

/// The watch of the list of servers.
pub(super) struct DiscoveryBackoff {
    /// When the list is asked for. None while the watch works, or a call is open.
    due: Option<f64>,
    /// Calls in a row that failed.
    failures: i32,
    /// The longest backoff in seconds.
    max_backoff: f64,
}

impl DiscoveryBackoff {
    /// Creates the state at the start. A list that is pushed is asked for only after a failure.
    pub(super) fn new(settings: &Settings, now: f64) -> Self {
        let max_backoff = match settings.discovery_on_request {
            true => MAX_POLLED_BACKOFF.max(POLLED_BACKOFF_FACTOR * settings.discovery_deadline),
            false => MAX_PUSHED_BACKOFF,
        };
        DiscoveryBackoff { due: settings.discovery_on_request.then_some(now), failures: 0, max_backoff }
    }

    /// Handles that a call or the watch failed. `draw` is a random number from 0 to 1.
    pub(super) fn record_failure(&mut self, now: f64, draw: f64) {
        let backoff = (MIN_BACKOFF * BACKOFF_FACTOR.powi(self.failures)).min(self.max_backoff);
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.due = Some(now + backoff * (MIN_BACKOFF_PART + (1.0 - MIN_BACKOFF_PART) * draw));
    }

    /// Handles an update: the watch works.
    pub(super) fn record_success(&mut self) {
        self.due = None;
        self.failures = 0;
    }

    /// Returns whether the list is to be asked for now. Returns true once.
    pub(super) fn is_due(&mut self, now: f64) -> bool {
        self.due.take_if(|due| *due <= now).is_some()
    }
}
