//! Estimates which servers have cached the shared segments of a prompt.
//!
//! Proxies do not tell each other where they have sent a prompt. They rank servers by rendezvous hashing on
//! the shared segments, and so mostly choose the same server. In addition, each proxy records where it has
//! sent a segment itself.

use super::ServerKey;
use crate::demand::{Demand, PromptSegment};
use std::collections::HashMap;
use std::time::Duration;

/// Shared segments with at least this many tokens in total have one preferred server in the whole system,
/// because prefilling them in each region costs more than sending requests to another region. Shorter ones
/// have one preferred server per region.
pub(super) const LONG_PREFIX_TOKENS: u32 = 1_500;
/// How long a segment is assumed to stay cached after its latest use by this proxy.
const CACHE_TTL: Duration = Duration::from_secs(30);
/// The maximum number of recorded segments. When it is reached, expired segments are removed first.
const MAX_SEGMENTS: usize = 8_192;
/// The maximum number of servers that are recorded for a segment.
const MAX_SERVERS_PER_SEGMENT: usize = 6;
/// The fraction of long shared segments that a server is expected to have to prefill, by its rank in the
/// whole system and by its rank within its region. The values rise with the rank, so that proxies that cannot
/// use the first server agree on the next one.
const LONG_UNCACHED_BY_SYSTEM_RANK: [f64; 3] = [0.0, 0.85, 0.95];
const LONG_UNCACHED_BY_REGION_RANK: [f64; 2] = [0.75, 0.95];
/// The same for short shared segments, by the rank within the region.
const SHORT_UNCACHED_BY_REGION_RANK: [f64; 3] = [0.0, 0.85, 0.95];

/// The hash of the shared segments of a prompt, and whether they are long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixKey {
    hash: u64,
    is_long: bool,
}

impl PrefixKey {
    /// Creates the key of a prompt; `None` if it has no shared segments.
    pub(crate) fn for_demand(demand: &Demand<'_>) -> Option<PrefixKey> {
        let shared_segments = demand.shared_segments();
        if shared_segments.is_empty() {
            return None;
        }
        let hash = shared_segments.iter().fold(0, |hash, segment| mix(hash ^ segment.id));
        Some(PrefixKey { hash, is_long: demand.shared_tokens() >= LONG_PREFIX_TOKENS })
    }

    /// Returns the rendezvous hashing score of a server. The server with the highest score has rank 0.
    pub(crate) fn score(self, server_hash: u64) -> u64 {
        mix(self.hash ^ server_hash)
    }

    /// Returns the fraction of the shared tokens that a server is expected to have to prefill, by its rank
    /// among all candidates and its rank among those of its region.
    pub(crate) fn uncached_fraction(self, rank: usize, rank_in_region: usize) -> f64 {
        let fraction = |table: &[f64], rank: usize| table.get(rank).copied().unwrap_or(1.0);
        if self.is_long {
            return fraction(&LONG_UNCACHED_BY_SYSTEM_RANK, rank)
                .min(fraction(&LONG_UNCACHED_BY_REGION_RANK, rank_in_region));
        }
        fraction(&SHORT_UNCACHED_BY_REGION_RANK, rank_in_region)
    }
}

/// Applies the finalizer of SplitMix64, which mixes all bits.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The servers to which this proxy has sent each prompt segment, and when.
#[derive(Default)]
pub(crate) struct PrefixCacheIndex {
    segments: HashMap<u64, Vec<(ServerKey, Duration)>>,
}

impl PrefixCacheIndex {
    /// Records that a prompt with these segments is sent to a server.
    pub(crate) fn record(&mut self, now: Duration, server: ServerKey, segments: &[PromptSegment]) {
        if self.segments.len() >= MAX_SEGMENTS {
            self.evict_expired(now);
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

    /// Removes a server from segments, after a request with them has ended there before its response began.
    pub(crate) fn forget_server(&mut self, server: ServerKey, ids: impl Iterator<Item = u64>) {
        for id in ids {
            if let Some(servers) = self.segments.get_mut(&id) {
                servers.retain(|(known, _)| *known != server);
            }
        }
    }

    /// Returns the number of tokens at the start of a prompt that a server is expected to have cached from
    /// earlier requests of this proxy.
    pub(crate) fn cached_tokens(&self, now: Duration, server: ServerKey, segments: &[PromptSegment]) -> u32 {
        let cached = segments.iter().take_while(|segment| self.is_cached(now, server, segment.id));
        cached.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    fn is_cached(&self, now: Duration, server: ServerKey, id: u64) -> bool {
        let Some(servers) = self.segments.get(&id) else { return false };
        servers.iter().any(|(known, at)| *known == server && now.saturating_sub(*at) < CACHE_TTL)
    }

    /// Removes expired segments, or all segments if too many remain.
    fn evict_expired(&mut self, now: Duration) {
        self.segments.retain(|_, servers| servers.iter().any(|(_, at)| now.saturating_sub(*at) < CACHE_TTL));
        if self.segments.len() >= MAX_SEGMENTS {
            self.segments.clear();
        }
    }
}
