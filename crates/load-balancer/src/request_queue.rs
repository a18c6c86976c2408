//! Requests that wait for a place at a server.
//!
//! A request waits for a part of its objective only: a client that is told early to come again still earns
//! something, and what is held longer for nothing carries a price.

use std::collections::BTreeMap;
use std::time::Duration;

/// The part of its objective for which a request waits.
const QUEUE_TIME_DIVISOR: u32 = 4;

/// So many requests are looked at for a free place: whether one fits costs time, and most want the same.
const MAX_EXAMINED: usize = 8;

/// What may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests.
    pub requests: usize,
    /// Bytes that they hold together.
    pub bytes: usize,
}

/// How a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTerms {
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The time within which its response earns its full value.
    pub objective: Duration,
    /// When its client gives it up.
    pub due: Duration,
    /// Bytes that it holds.
    pub bytes: usize,
}

/// Names a request that waits. They are ordered as they will be served: the most urgent first, among these the one
/// that can wait least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    priority: u32,
    until: Duration,
    number: u64,
}

/// A request that waits now, and those that had to make room for it, which are to be rejected.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// Names it.
    pub key: QueueKey,
    /// Less urgent ones that do not wait any more.
    pub displaced: Vec<T>,
}

/// Requests that wait for a place at a server of one service.
pub struct RequestQueue<T> {
    limits: QueueLimits,
    requests: BTreeMap<QueueKey, Entry<T>>,
    bytes: usize,
    next_number: u64,
}

struct Entry<T> {
    request: T,
    bytes: usize,
}

impl<T> RequestQueue<T> {
    /// Nothing waits.
    pub fn new(limits: QueueLimits) -> Self {
        RequestQueue { limits, requests: BTreeMap::new(), bytes: 0, next_number: 0 }
    }

    /// Lets a request wait from now on; it comes back where there is no room for it even without those that are
    /// less urgent.
    pub fn push(&mut self, now: Duration, terms: QueueTerms, request: T) -> Result<Queued<T>, T> {
        let until = (now + terms.objective / QUEUE_TIME_DIVISOR).min(terms.due);
        let key = QueueKey { priority: terms.priority, until, number: self.next_number };
        if !self.fits_among_urgent(terms) {
            return Err(request);
        }
        self.next_number += 1;
        let displaced = self.displace(terms.bytes);
        self.requests.insert(key, Entry { request, bytes: terms.bytes });
        self.bytes += terms.bytes;
        Ok(Queued { key, displaced })
    }

    fn fits_among_urgent(&self, terms: QueueTerms) -> bool {
        let is_cached = |key: &QueueKey| key.priority <= terms.priority;
        let cached = self.requests.iter().take_while(|(key, _)| is_cached(key));
        let (requests, bytes) = cached
            .fold((1, terms.bytes), |(requests, bytes), (_, entry)| (requests + 1, bytes + entry.bytes));
        requests <= self.limits.requests && bytes <= self.limits.bytes
    }

    fn displace(&mut self, bytes: usize) -> Vec<T> {
        let mut displaced = Vec::new();
        while self.requests.len() >= self.limits.requests || self.bytes + bytes > self.limits.bytes {
            let Some((_, entry)) = self.requests.pop_last() else { break };
            self.bytes -= entry.bytes;
            displaced.push(entry.request);
        }
        displaced
    }

    /// Returns the first request that fits a free place, among the first ones that have not waited too long.
    pub fn next(&mut self, now: Duration, mut fits: impl FnMut(&T) -> bool) -> Option<T> {
        let mut patient = self.requests.iter().filter(|(key, _)| now < key.until).take(MAX_EXAMINED);
        let key = *patient.find(|(_, entry)| fits(&entry.request))?.0;
        self.remove(key)
    }

    /// Takes out a request, as when its client has left.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        let entry = self.requests.remove(&key)?;
        self.bytes -= entry.bytes;
        Some(entry.request)
    }

    /// Takes out the requests that have waited too long. They are to be rejected.
    pub fn take_expired(&mut self, now: Duration) -> Vec<T> {
        let expired: Vec<QueueKey> = self.requests.keys().filter(|key| now >= key.until).copied().collect();
        expired.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Returns when the next request will have waited too long.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.requests.keys().map(|key| key.until).min()
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
