//! The history of applied configurations, by which one that is sent again is recognized.

use quillpulley_protocol::AppliedConfig;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// The most configurations in the history; the oldest ones are forgotten. At 17,000 changes a day these are the
/// changes of the last 46 hours.
pub const HISTORY_LENGTH: usize = 32_768;

/// The result of looking up a configuration on a base.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DedupLookup {
    /// It was applied.
    Applied,
    /// It was not applied.
    NotApplied,
    /// Its base is older than the history, which begins at this base.
    Expired { oldest: u64 },
}

/// The applied configurations, the oldest first. Each builds on the version of the one before it, so that bases
/// increase, and there is at most one per base.
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

    /// Looks up a configuration by its base and the hash of its content.
    pub fn look_up(&self, base: u64, content_hash: u64) -> DedupLookup {
        match self.applied.front() {
            Some(first) if base < first.base => DedupLookup::Expired { oldest: first.base },
            _ if self.applied_on(base) == Some(content_hash) => DedupLookup::Applied,
            _ => DedupLookup::NotApplied,
        }
    }

    /// Returns the content hash of the configuration that was applied on a base.
    fn applied_on(&self, base: u64) -> Option<u64> {
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

/// Returns the hash of the content of a configuration. Two different ones on the same base collide with a probability
/// of 2^-64.
pub(super) fn content_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}
