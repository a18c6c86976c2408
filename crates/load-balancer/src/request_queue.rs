//! The queue of requests that wait for capacity at a server.
//!
//! A request waits for a part of its target latency only: a client that is rejected early can still be served in time
//! elsewhere.

use std::collections::BTreeMap;
use std::time::Duration;

/// A request waits for its target latency divided by this.
const QUEUE_TIME_DIVISOR: u32 = 4;

/// The most requests that are tried for free capacity: trying one costs time, and most have the same demand.
const MAX_EXAMINED: usize = 8;

/// Returns for how long a request with this target latency may wait in a queue.
pub fn queue_time(objective: Duration) -> Duration {
    objective / QUEUE_TIME_DIVISOR
}

/// The limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests.
    pub requests: usize,
    /// The most bytes of all requests together.
    pub bytes: usize,
}

/// The terms on which a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTerms {
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The target latency of the response.
    pub objective: Duration,
    /// When the client gives up.
    pub due: Duration,
    /// The bytes that it holds.
    pub bytes: usize,
}

/// The key of a queued request. Keys are ordered as the requests are served: the highest priority first, and among
/// these the one with the earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    priority: u32,
    until: Duration,
    number: u64,
}

/// A request that was queued, and those that were displaced by it, which must be rejected.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// The key of the request.
    pub key: QueueKey,
    /// Displaced requests of lower priority.
    pub displaced: Vec<T>,
}

/// The queue of a service.
pub struct RequestQueue<T> {
    limits: QueueLimits,
    requests: BTreeMap<QueueKey, QueuedEntry<T>>,
    bytes: usize,
    next_number: u64,
}

struct QueuedEntry<T> {
    request: T,
    bytes: usize,
}

impl<T> RequestQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        RequestQueue { limits, requests: BTreeMap::new(), bytes: 0, next_number: 0 }
    }

    /// Queues a request, and displaces those of lower priority if the limits require it.
    ///
    /// # Errors
    /// The request, if it exceeds the limits even without those of lower priority.
    pub fn push(&mut self, now: Duration, terms: QueueTerms, request: T) -> Result<Queued<T>, T> {
        let until = (now + queue_time(terms.objective)).min(terms.due);
        let key = QueueKey { priority: terms.priority, until, number: self.next_number };
        if !self.fits_among_urgent(terms) {
            return Err(request);
        }
        self.next_number += 1;
        let displaced = self.displace(terms.bytes);
        self.requests.insert(key, QueuedEntry { request, bytes: terms.bytes });
        self.bytes += terms.bytes;
        Ok(Queued { key, displaced })
    }

    fn fits_among_urgent(&self, terms: QueueTerms) -> bool {
        let is_as_urgent = |key: &QueueKey| key.priority <= terms.priority;
        let urgent = self.requests.iter().take_while(|(key, _)| is_as_urgent(key));
        let (requests, bytes) = urgent
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

    /// Removes and returns the first request that fits free capacity, among those that have not waited too long.
    pub fn next(&mut self, now: Duration, mut fits: impl FnMut(&T) -> bool) -> Option<T> {
        let mut unexpired = self.requests.iter().filter(|(key, _)| now < key.until).take(MAX_EXAMINED);
        let key = *unexpired.find(|(_, entry)| fits(&entry.request))?.0;
        self.remove(key)
    }

    /// Removes a request that has waited too long, or whose client has closed its connection.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        let entry = self.requests.remove(&key)?;
        self.bytes -= entry.bytes;
        Some(entry.request)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
