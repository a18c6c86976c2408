//! The hard cap, which does not depend on other proxies.
//!
//! In any window the whole system may send `ratio` times the requests of that window, of the window before, or of the
//! window half a window before, whichever has the most, and the slack. A proxy enforces, for every window that holds
//! the current retry,
//!
//! > retries in the window <= ratio × (its own requests in these three windows, by fixed weights that add up to
//! > one) + its part of the slack
//!
//! As the weights are the same everywhere, both sides add up over all proxies, and a mean of three windows is at most
//! their maximum. A cap by the maximum of three windows at each proxy would not add up: it can be another window at
//! each.
//!
//! Slots at the edges of a window count fully as retries and not at all as requests. This also covers retries that
//! arrive in a window that is shorter by up to a slot.

use crate::window_counters::{WindowCounters, SLOTS_PER_WINDOW};
use std::time::Duration;

/// Weights of the window itself, of the one half a window before, and of the one before. The window before
/// weighs most: it stays complete when retries come in one burst, as they do after the loss of a server.
const WEIGHTS: [f64; 3] = [0.25, 0.25, 0.5];

/// The fraction of the slack that all proxies together use; the rest covers network delays.
const USABLE_SLACK: f64 = 0.8;

/// The number of proxies that share the slack: this multiple of those that were live at once, and at least this many.
/// The part above one is for restarts, see [`STARTUP_SHARE`].
const PLANNED_PROXIES_FACTOR: f64 = 1.5;
const MIN_PLANNED_PROXIES: f64 = 4.0;

/// The fraction of its part that a process may use at the end of its first window; it begins with nothing. A proxy
/// that restarts any number of times within a window then uses up to 1.5 parts in it: one part by the process before,
/// and half a part by all later ones, as their ages add up to at most the window.
const STARTUP_SHARE: f64 = 0.5;

/// Returns a proxy's part of the slack, in retries.
///
/// `proxies` is the greatest number of proxies ever known to be live at once; 0 if unknown, which gives no part.
/// `age` is the time since the start of the process.
pub fn slack_share(slack: f64, proxies: usize, age: Duration, window: Duration) -> f64 {
    if proxies == 0 {
        return 0.0;
    }
    let planned = (proxies as f64 * PLANNED_PROXIES_FACTOR).max(MIN_PLANNED_PROXIES);
    let share_of_slack = slack * USABLE_SLACK / planned;
    if age >= window {
        return share_of_slack;
    }
    share_of_slack * STARTUP_SHARE * age.as_secs_f64() / window.as_secs_f64()
}

/// Returns whether one more retry in the newest slot keeps every window that contains it within the cap.
pub(crate) fn allows_one_more(counts: &WindowCounters, newest: u64, ratio: f64, share_of_slack: f64) -> bool {
    let window = SLOTS_PER_WINDOW as i64;
    let newest = newest as i64;
    (newest..=newest + window).all(|end| {
        let retries = 1 + sum(end - window, end, |slot| counts.slot(slot).retries);
        f64::from(retries) <= ratio * requests(counts, end) + share_of_slack
    })
}

/// Returns the weighted requests of the three windows for the window that ends in slot `end`.
fn requests(counts: &WindowCounters, end: i64) -> f64 {
    let window = SLOTS_PER_WINDOW as i64;
    let requests = |slot| counts.slot(slot).requests;
    let this = sum(end - window + 1, end, requests);
    let half_before = sum(end - window * 3 / 2 + 1, end - window / 2 - 1, requests);
    let before = sum(end - window * 2 + 1, end - window - 1, requests);
    WEIGHTS[0] * f64::from(this) + WEIGHTS[1] * f64::from(half_before) + WEIGHTS[2] * f64::from(before)
}

fn sum(from: i64, to: i64, count: impl Fn(i64) -> u32) -> u32 {
    (from..=to).map(count).fold(0, u32::saturating_add)
}
