//! Slow start: limits the rate of requests to a cold server, whose warm-up is not over yet.
//!
//! The limit on the requests that a cold server gets in any second applies to all proxies together, also
//! during a network partition between them. Therefore only two proxies, chosen by rendezvous hashing, send
//! requests to the server, and each sends at most a quarter of the limit. If a partition separates the
//! proxies into two sides that each choose their own two, the limit still holds. Without a partition, the
//! unused half covers a proxy that takes over from one that has just failed.

use super::options::ProxyPeer;
use quillpulley_membership::rendezvous::Key;
use quillpulley_protocol::Locality;
use std::collections::VecDeque;
use std::time::Duration;

/// The number of proxies that send requests to a cold server.
const SENDERS: usize = 2;
/// The number of sides of a partition that may choose their own senders.
const PARTITION_SIDES: usize = 2;
/// The window in which sends are counted. It is longer than a second, because requests may arrive within a
/// shorter time than they were sent in.
const RATE_WINDOW: Duration = Duration::from_millis(1_200);
/// The minimum time between two sends, as a fraction of the time between evenly spaced sends.
const MIN_SPACING: f64 = 0.5;
/// The maximum number of sends that are recorded for a server. A share is never higher than this.
const MAX_RECENT_SENDS: usize = 128;

/// The part of the request limit of a cold server that one proxy may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlowStartShare {
    /// The maximum number of requests in any second.
    pub(crate) per_second: usize,
    /// The number of proxies that have this share.
    pub(crate) senders: usize,
}

impl SlowStartShare {
    /// Creates the share for a limit of `limit` requests per second from all proxies together.
    pub(crate) fn for_limit(limit: f64) -> SlowStartShare {
        let limit = if limit.is_finite() { limit.max(0.0) as usize } else { 0 };
        let per_sender = limit / (SENDERS * PARTITION_SIDES);
        if per_sender == 0 {
            return SlowStartShare { per_second: limit / PARTITION_SIDES, senders: 1 };
        }
        SlowStartShare { per_second: per_sender.min(MAX_RECENT_SENDS), senders: SENDERS }
    }

    /// The share of a proxy that does not know the other proxies: one request per second.
    pub(crate) const SINGLE_REQUEST: SlowStartShare = SlowStartShare { per_second: 1, senders: 1 };
}

/// Returns whether a proxy is among the `senders` proxies that send requests to a cold server. Proxies in the
/// server's zone come first, then those in its region, then all others.
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

/// Returns 0 within a zone, 1 within a region, otherwise 2.
fn distance(one: &Locality, other: &Locality) -> u8 {
    match (one.zone == other.zone, one.region == other.region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

/// The times of the latest requests sent to a server.
#[derive(Default)]
pub(crate) struct RecentSends {
    times: VecDeque<Duration>,
}

impl RecentSends {
    pub(crate) fn record(&mut self, now: Duration) {
        self.remove_expired(now);
        if self.times.len() == MAX_RECENT_SENDS {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns whether the share allows another request now.
    pub(crate) fn allows(&self, now: Duration, share: SlowStartShare) -> bool {
        let recent =
            self.times.iter().rev().take_while(|time| now.saturating_sub(**time) < RATE_WINDOW).count();
        let latest = self.times.back().map(|time| now.saturating_sub(*time));
        let spacing = Duration::from_secs(1).mul_f64(MIN_SPACING / share.per_second.max(1) as f64);
        recent < share.per_second && latest.is_none_or(|gap| gap >= spacing)
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.times.front().is_some_and(|time| now.saturating_sub(*time) >= RATE_WINDOW) {
            self.times.pop_front();
        }
    }
}
