//! Rendezvous hashing: every candidate has a score for each key, and a key is assigned to the candidate with
//! the highest score. All processes that know the same candidates make the same choice. When a candidate is
//! added or removed, only the keys that are assigned to this candidate move.

use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A key, hashed once to score many candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(u64);

impl Key {
    /// Creates a key by hashing its text.
    pub fn new(key: &str) -> Self {
        Key(xxh3_64(key.as_bytes()))
    }

    /// Returns the score of a candidate for this key.
    pub fn score(self, candidate: &str) -> u64 {
        xxh3_64_with_seed(candidate.as_bytes(), self.0)
    }

    /// Returns the sort key of a candidate: candidates are ordered by descending score, and by name if their
    /// scores are equal.
    pub fn rank(self, candidate: &str) -> (Reverse<u64>, &str) {
        (Reverse(self.score(candidate)), candidate)
    }
}

/// Returns the score of a candidate for a key.
pub fn score(key: &str, candidate: &str) -> u64 {
    Key::new(key).score(candidate)
}

/// Returns the candidates ordered by their scores for a key, the highest first.
pub fn ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let key = Key::new(key);
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| key.rank(candidate));
    ranked
}

/// Returns the `count` candidates with the highest scores for a key, the highest first.
pub fn top<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut ranked = ranked(key, candidates);
    ranked.truncate(count);
    ranked
}
