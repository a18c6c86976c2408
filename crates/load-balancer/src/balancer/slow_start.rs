//! Slow start: the requests that a cold server gets.
//!
//! The bound on the requests that a cold server gets in any second applies to the sum over all proxies, also during a
//! partition between them. So only two proxies send to it, chosen by rendezvous hashing, and each sends at most a
//! quarter of the bound: if the proxies are partitioned in two and each side chooses its own two, the bound still
//! holds. The rest covers a proxy that takes over from one that has just failed.

use super::options::ProxyPeer;
use quillpulley_membership::rendezvous::Key;
use quillpulley_protocol::Locality;
use std::collections::VecDeque;
use std::time::Duration;

/// The proxies that send to a cold server.
const SENDERS: usize = 2;
/// The sides of a partition that may choose their own.
const SIDES: usize = 2;
/// The margin for requests that are sent within a second and arrive within less.
const WINDOW: Duration = Duration::from_millis(1_200);
/// The least time between sends, as a fraction of an even spacing.
const SPACING: f64 = 0.5;
/// The sends that are remembered. A share is never higher.
const REMEMBERED: usize = 128;

/// The share of a proxy at a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlowStartShare {
    /// Requests in any second.
    pub(crate) per_second: usize,
    /// The number of proxies with this share.
    pub(crate) senders: usize,
}

impl SlowStartShare {
    /// Creates the share if all proxies together may send `bound` requests per second.
    pub(crate) fn of(bound: f64) -> SlowStartShare {
        let bound = if bound.is_finite() { bound.max(0.0) as usize } else { 0 };
        let shared = bound / (SENDERS * SIDES);
        if shared == 0 {
            return SlowStartShare { per_second: bound / SIDES, senders: 1 };
        }
        SlowStartShare { per_second: shared.min(REMEMBERED), senders: SENDERS }
    }

    /// Returns the share of a proxy that does not know the others.
    pub(crate) const SINGLE_REQUEST: SlowStartShare = SlowStartShare { per_second: 1, senders: 1 };
}

/// Returns whether a proxy is among those that send to a cold server. Those in the server's zone come first, then
/// those in its region.
pub(crate) fn is_sender(
    name: &str,
    proxies: &[ProxyPeer],
    server_id: &str,
    server_locality: &Locality,
    senders: usize,
) -> bool {
    let key = Key::new(server_id);
    let rank = |proxy: &ProxyPeer| (distance(&proxy.locality, server_locality), key.score(&proxy.name));
    let Some(own) = proxies.iter().find(|proxy| proxy.name == name) else { return false };
    let (own_distance, own_score) = rank(own);
    let is_before = |other: &&ProxyPeer| {
        let (distance, score) = rank(other);
        (distance, std::cmp::Reverse(score), &other.name)
            < (own_distance, std::cmp::Reverse(own_score), &own.name)
    };
    proxies.iter().filter(is_before).count() < senders
}

fn distance(one: &Locality, other: &Locality) -> u8 {
    match (one.zone == other.zone, one.region == other.region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

/// The latest sends to a server.
#[derive(Default)]
pub(crate) struct Sends {
    times: VecDeque<Duration>,
}

impl Sends {
    pub(crate) fn count(&mut self, now: Duration) {
        self.forget(now);
        if self.times.len() == REMEMBERED {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns whether one more send is within the share.
    pub(crate) fn allow(&self, now: Duration, share: SlowStartShare) -> bool {
        let recent = self.times.iter().rev().take_while(|time| now.saturating_sub(**time) < WINDOW).count();
        let latest = self.times.back().map(|time| now.saturating_sub(*time));
        let spacing = Duration::from_secs(1).mul_f64(SPACING / share.per_second.max(1) as f64);
        recent < share.per_second && latest.is_none_or(|gap| gap >= spacing)
    }

    fn forget(&mut self, now: Duration) {
        while self.times.front().is_some_and(|time| now.saturating_sub(*time) >= WINDOW) {
            self.times.pop_front();
        }
    }
}
