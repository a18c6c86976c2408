//! The hard cap on retries, which does not depend on other proxies.
//!
//! The system-wide bound on the retries in any window is derived from the requests in three windows: the
//! window itself, the one that ends half a window earlier and the one that ends a full window earlier. The
//! bound is `ratio` times the maximum of these three request counts, plus the slack. For every window that
//! contains the current retry, a proxy enforces
//!
//! > retries in the window <= ratio × (weighted mean of its own requests in the three windows) +
//! > its share of the slack
//!
//! The weights are fixed, add up to one and are the same at all proxies. Therefore both sides can be summed
//! over all proxies, and the mean of the three sums is at most their maximum. If each proxy used the maximum
//! of its own three windows instead, the sum of the caps could exceed the bound, because the maximum can be
//! in a different window at each proxy.
//!
//! Slots at the edges of a window count fully for retries and not at all for requests. This margin also
//! covers the case that retries arrive within a window that is up to one slot shorter.

use crate::window_counters::{WindowCounters, SLOTS_PER_WINDOW};
use std::time::Duration;

/// Weights of the requests in the window itself, in the one half a window earlier and in the one a full
/// window earlier. The last has the largest weight, because it is complete even if all retries come in one
/// burst, as they do after the loss of a server.
const WEIGHTS: [f64; 3] = [0.25, 0.25, 0.5];

/// The fraction of the slack that all proxies together may use. The rest is a margin for network delays.
const USABLE_SLACK: f64 = 0.8;

/// The slack is divided by the maximum number of live proxies times this factor. The excess over one is
/// reserved for restarts, see [`STARTUP_SHARE`].
const PLANNED_PROXIES_FACTOR: f64 = 1.5;
/// The slack is divided by at least this number of proxies.
const MIN_PLANNED_PROXIES: f64 = 4.0;

/// The fraction of its slack share that a process may use at the end of its first window. The fraction grows
/// linearly from zero. A proxy that restarts any number of times within a window therefore uses at most 1.5
/// shares in it: one share by the first process, and half a share by all later processes together, because
/// their ages add up to at most one window.
const STARTUP_SHARE: f64 = 0.5;

/// Returns a proxy's share of the slack, as a number of retries per window.
///
/// `proxies` is the maximum number of proxies ever known to be live at the same time, or 0 if it is unknown;
/// the share is then 0. `age` is the time since the start of the process.
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
        f64::from(retries) <= ratio * weighted_requests(counts, end) + share_of_slack
    })
}

/// Returns the weighted mean of the requests in the three windows, for the window that ends in slot `end`.
fn weighted_requests(counts: &WindowCounters, end: i64) -> f64 {
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
