//! When the list of servers is asked for again after its subscription broke: exponential backoff with jitter.
//! Discovery serves all limiters in turn. Where the subscriptions of all break at once, calls that come back
//! in step keep it busy with those that it must turn away, and none is ever answered.

use crate::interface::Settings;

/// Seconds before the first further call at most, and before any later one where the list comes by itself:
/// what it tells after an outage counts at once, and drains must be kept 2 s later. Such calls cost nothing,
/// since the limiter's own machine answers them.
const PAUSE: (f64, f64) = (0.2, 0.5);
/// Where each call costs discovery work, the longest pause in seconds at least, and as a share of the time in
/// which a limiter must have asked; after a failed call that time is four times as long.
const ASKED_LEAST: f64 = 2.5;
const ASKED_SHARE: f64 = 2.0;
/// How much longer each pause is than the one before.
const GROWTH: f64 = 4.0;
/// The least part of a pause; chance chooses the rest, so that limiters come one after the other.
const PAUSE_LEAST: f64 = 0.25;

/// The subscription to the list.
pub(super) struct Following {
    /// When it is asked for; never while it holds or a call is out.
    due: Option<f64>,
    /// Calls in a row that failed.
    failed: i32,
    /// The longest pause between two calls, in seconds.
    longest: f64,
}

impl Following {
    /// A list that comes by itself is asked for only once it broke.
    pub(super) fn new(set: &Settings, now: f64) -> Self {
        let on_request = set.discovery_on_request;
        let longest = if on_request { ASKED_LEAST.max(ASKED_SHARE * set.must_ask_in) } else { PAUSE.1 };
        Following { due: on_request.then_some(now), failed: 0, longest }
    }

    /// A call failed or the subscription broke; `draw` is a random number from 0 to 1.
    pub(super) fn broken(&mut self, now: f64, draw: f64) {
        let pause = (PAUSE.0 * GROWTH.powi(self.failed)).min(self.longest);
        self.failed = (self.failed + 1).min(30);
        self.due = Some(now + pause * (PAUSE_LEAST + (1.0 - PAUSE_LEAST) * draw));
    }

    /// News came: the subscription holds.
    pub(super) fn heard(&mut self) {
        (self.due, self.failed) = (None, 0);
    }

    /// Whether to ask now.
    pub(super) fn ask(&mut self, now: f64) -> bool {
        self.due.take_if(|due| *due <= now).is_some()
    }
}
