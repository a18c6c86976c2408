//! The configurations that were taken, so that one that is sent again is known.

use quillpulley_protocol::TakenConfig;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// As many configurations are remembered; the oldest ones are forgotten. At 17,000 changes a day these are the
/// changes of the last 46 hours.
pub const HISTORY_LENGTH: usize = 32_768;

/// What is remembered about a configuration on some base.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recollection {
    /// It was taken.
    Taken,
    /// It was not taken.
    NotTaken,
    /// What was taken on its base is forgotten; the changes on this base and later ones are remembered.
    Forgotten { oldest: u64 },
}

/// The configurations that were taken, oldest first. Each builds on the version of the one before it, so their
/// bases rise, and there is one at most for each base.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct History {
    taken: VecDeque<TakenConfig>,
}

impl History {
    pub fn push(&mut self, taken: TakenConfig) {
        if self.taken.len() == HISTORY_LENGTH {
            self.taken.pop_front();
        }
        self.taken.push_back(taken);
    }

    /// What became of a configuration with this content on this base. Only what is older than all that is
    /// remembered can be forgotten.
    pub fn recall(&self, base: u64, content_hash: u64) -> Recollection {
        match self.taken.front() {
            Some(first) if base < first.base => Recollection::Forgotten { oldest: first.base },
            _ if self.taken_on(base) == Some(content_hash) => Recollection::Taken,
            _ => Recollection::NotTaken,
        }
    }

    /// The content of the configuration that was taken on a base.
    fn taken_on(&self, base: u64) -> Option<u64> {
        let index = self.taken.binary_search_by_key(&base, |taken| taken.base).ok()?;
        self.taken.get(index).map(|taken| taken.content_hash)
    }

    pub fn to_vec(&self) -> Vec<TakenConfig> {
        self.taken.iter().cloned().collect()
    }
}

impl From<Vec<TakenConfig>> for History {
    fn from(taken: Vec<TakenConfig>) -> Self {
        History { taken: taken.into() }
    }
}

/// What stands for the content of a configuration. That two different ones on one base have the same hash by chance
/// has a probability of 2^-64.
pub(super) fn content_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}
