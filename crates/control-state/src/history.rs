//! The configurations that were taken, so that one that is sent again is known.

use quillpulley_protocol::AppliedConfig;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// As many configurations are remembered; the oldest ones are forgotten. At 17,000 changes a day these are the
/// changes of the last 46 hours.
pub const HISTORY_LENGTH: usize = 32_768;

/// What is remembered about a configuration on some base.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DedupLookup {
    /// It was taken.
    Applied,
    /// It was not taken.
    NotApplied,
    /// What was taken on its base is forgotten; the changes on this base and later ones are remembered.
    Expired { oldest: u64 },
}

/// The configurations that were taken, oldest first. Each builds on the version of the one before it, so their
/// bases rise, and there is one at most for each base.
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

    /// Returns what became of a configuration with this content on this base. Only what is older than all that is
    /// remembered can be forgotten.
    pub fn look_up(&self, base: u64, content_hash: u64) -> DedupLookup {
        match self.applied.front() {
            Some(first) if base < first.base => DedupLookup::Expired { oldest: first.base },
            _ if self.applied_on(base) == Some(content_hash) => DedupLookup::Applied,
            _ => DedupLookup::NotApplied,
        }
    }

    /// Returns the content of the configuration that was taken on a base.
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

/// Returns what stands for the content of a configuration. That two different ones on one base have the same hash by
/// chance has a probability of 2^-64.
pub(super) fn content_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}
