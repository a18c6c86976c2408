//! Rendezvous hashing: for each key every candidate has a score, and the key belongs to the highest. All who know
//! the same candidates choose the same, and a candidate that comes or goes moves only what is its own.

use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A key, hashed once to score many candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(u64);

impl Key {
    /// Hashes the key.
    pub fn new(key: &str) -> Self {
        Key(xxh3_64(key.as_bytes()))
    }

    /// Returns the score of a candidate for this key.
    pub fn score(self, candidate: &str) -> u64 {
        xxh3_64_with_seed(candidate.as_bytes(), self.0)
    }

    /// Returns what candidates are ordered by, the first with the highest score; equal scores by their names.
    pub fn rank(self, candidate: &str) -> (Reverse<u64>, &str) {
        (Reverse(self.score(candidate)), candidate)
    }
}

/// Returns the score of a candidate for a key.
pub fn score(key: &str, candidate: &str) -> u64 {
    Key::new(key).score(candidate)
}

/// Returns the candidates ordered by their score for a key, highest first.
pub fn ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let key = Key::new(key);
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| key.rank(candidate));
    ranked
}

/// Returns the `count` candidates with the highest scores for a key, highest first.
pub fn top<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut ranked = ranked(key, candidates);
    ranked.truncate(count);
    ranked
}
