//! Which servers have cached the shared segments of a prompt.
//!
//! Proxies do not exchange where they sent a prompt. They choose by rendezvous hashing on the shared segments, and so
//! mostly agree. In addition, each remembers where it sent a segment itself.

use super::ServerKey;
use crate::demand::{Demand, PromptSegment};
use std::collections::HashMap;
use std::time::Duration;

/// Shared segments of at least this many tokens have one server in the whole system: prefilling them again in each
/// region costs more than another region. Shorter ones have one server per region.
pub(super) const LONG_PREFIX_TOKENS: u32 = 1_500;
/// How long a segment is expected to stay cached after its latest use by this proxy.
const CACHE_TTL: Duration = Duration::from_secs(30);
/// The most segments that are remembered. Those not used recently are dropped first.
const MAX_SEGMENTS: usize = 8_192;
/// Servers that are remembered for a segment.
const MAX_SERVERS_PER_SEGMENT: usize = 6;
/// The fraction of the shared tokens that is expected to be uncached at each server by its rank, so that proxies that
/// cannot use the first server agree on the next. Ranks are in the whole system, and within the server's region.
const UNCACHED_IN_SYSTEM: [f64; 3] = [0.0, 0.85, 0.95];
const UNCACHED_IN_REGION: [f64; 2] = [0.75, 0.95];
/// The same if each region has a server of its own.
const UNCACHED_AT_HOME: [f64; 3] = [0.0, 0.85, 0.95];

/// The shared segments of a prompt, hashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixKey {
    hash: u64,
    long: bool,
}

impl PrefixKey {
    /// Creates the shared segments of a prompt; none if nothing is shared.
    pub(crate) fn of(demand: &Demand<'_>) -> Option<PrefixKey> {
        let shared = demand.shared();
        if shared.is_empty() {
            return None;
        }
        let hash = shared.iter().fold(0, |hash, segment| mix(hash ^ segment.id));
        Some(PrefixKey { hash, long: demand.shared_tokens() >= LONG_PREFIX_TOKENS })
    }

    pub(crate) fn score(self, server_hash: u64) -> u64 {
        mix(self.hash ^ server_hash)
    }

    /// Returns the fraction of the shared tokens that a server is expected to have to prefill, by its ranks among all
    /// candidates and among those of its region.
    pub(crate) fn uncached_fraction(self, rank: usize, rank_in_region: usize) -> f64 {
        let part = |table: &[f64], rank: usize| table.get(rank).copied().unwrap_or(1.0);
        if self.long {
            return part(&UNCACHED_IN_SYSTEM, rank).min(part(&UNCACHED_IN_REGION, rank_in_region));
        }
        part(&UNCACHED_AT_HOME, rank_in_region)
    }
}

/// Applies the finalizer of SplitMix64, which mixes all bits.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The servers that this proxy sent prompt segments to.
#[derive(Default)]
pub(crate) struct PrefixCacheIndex {
    segments: HashMap<u64, Vec<(ServerKey, Duration)>>,
}

impl PrefixCacheIndex {
    /// Records that a server prefills segments.
    pub(crate) fn record(&mut self, now: Duration, server: ServerKey, segments: &[PromptSegment]) {
        if self.segments.len() >= MAX_SEGMENTS {
            self.forget_old(now);
        }
        for segment in segments {
            let servers = self.segments.entry(segment.id).or_default();
            servers.retain(|(known, at)| *known != server && now.saturating_sub(*at) < CACHE_TTL);
            if servers.len() == MAX_SERVERS_PER_SEGMENT {
                servers.remove(0);
            }
            servers.push((server, now));
        }
    }

    /// Removes segments after a request did not execute at a server.
    pub(crate) fn forget(&mut self, server: ServerKey, ids: impl Iterator<Item = u64>) {
        for id in ids {
            if let Some(servers) = self.segments.get_mut(&id) {
                servers.retain(|(known, _)| *known != server);
            }
        }
    }

    /// Returns the tokens of the prefix of a prompt that a server has prefilled for this proxy.
    pub(crate) fn cached_tokens(&self, now: Duration, server: ServerKey, segments: &[PromptSegment]) -> u32 {
        let cached = segments.iter().take_while(|segment| self.is_cached(now, server, segment.id));
        cached.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    fn is_cached(&self, now: Duration, server: ServerKey, id: u64) -> bool {
        let Some(servers) = self.segments.get(&id) else { return false };
        servers.iter().any(|(known, at)| *known == server && now.saturating_sub(*at) < CACHE_TTL)
    }

    /// Drops expired segments, or all if none is.
    fn forget_old(&mut self, now: Duration) {
        self.segments.retain(|_, servers| servers.iter().any(|(_, at)| now.saturating_sub(*at) < CACHE_TTL));
        if self.segments.len() >= MAX_SEGMENTS {
            self.segments.clear();
        }
    }
}
