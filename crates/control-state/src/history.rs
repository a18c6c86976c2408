//! The history of applied configurations, which serves to recognize a configuration that is sent again.

use quillpulley_protocol::AppliedConfig;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of configurations in the history; the oldest ones are dropped. At 17,000 changes a day,
/// the history reaches back 46 hours.
pub const HISTORY_LENGTH: usize = 32_768;

/// The result of looking up a configuration and its base version in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LookupResult {
    /// The configuration was applied on this base version.
    Applied,
    /// The configuration was not applied on this base version.
    NotApplied,
    /// The base version is older than the history, whose oldest base version is `oldest`.
    Expired { oldest: u64 },
}

/// The applied configurations, the oldest first. Each has the version of the one before it as its base, so
/// the base versions increase and are unique.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct History {
    applied: VecDeque<AppliedConfig>,
}

impl History {
    pub fn push(&mut self, applied: AppliedConfig) {
        if self.applied.len() == HISTORY_LENGTH {
            self.applied.pop_front();
        }
        self.applied.push_back(applied);
    }

    /// Looks up a configuration by its base version and the hash of its content.
    pub fn look_up(&self, base: u64, content_hash: u64) -> LookupResult {
        match self.applied.front() {
            Some(first) if base < first.base => LookupResult::Expired { oldest: first.base },
            _ if self.content_hash_on(base) == Some(content_hash) => LookupResult::Applied,
            _ => LookupResult::NotApplied,
        }
    }

    /// Returns the content hash of the configuration that was applied on a base version; `None` if the
    /// history has none.
    fn content_hash_on(&self, base: u64) -> Option<u64> {
        let index = self.applied.binary_search_by_key(&base, |applied| applied.base).ok()?;
        self.applied.get(index).map(|applied| applied.content_hash)
    }

    pub fn to_vec(&self) -> Vec<AppliedConfig> {
        self.applied.iter().cloned().collect()
    }
}

impl From<Vec<AppliedConfig>> for History {
    fn from(applied: Vec<AppliedConfig>) -> Self {
        History { applied: applied.into() }
    }
}

/// Returns the hash of the content of a configuration. The hashes of two different configurations collide
/// with a probability of 2^-64. A collision matters only if both have the same base version.
pub(super) fn content_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}
