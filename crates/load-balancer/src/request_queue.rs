//! The queue of requests that wait until a server has capacity.
//!
//! A request waits only for a fraction of its target latency, so that a rejected client can still be served
//! in time elsewhere.

use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum time in the queue is the target latency divided by this.
const QUEUE_TIME_DIVISOR: u32 = 4;

/// The maximum number of requests that [`RequestQueue::next`] checks against free capacity: each check takes
/// time, and most requests need the same resources.
const MAX_EXAMINED: usize = 8;

/// Returns the maximum time in the queue for a request with this target latency.
pub fn queue_time(target_latency: Duration) -> Duration {
    target_latency / QUEUE_TIME_DIVISOR
}

/// The limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The maximum number of queued requests.
    pub requests: usize,
    /// The maximum memory of all queued requests together, in bytes.
    pub bytes: usize,
}

/// The properties of a request that determine its position in the queue and how long it may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTerms {
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// The target latency of the response.
    pub target_latency: Duration,
    /// The time at which the client's timeout expires.
    pub deadline: Duration,
    /// The memory that the request occupies, in bytes.
    pub bytes: usize,
}

/// The key of a queued request. Keys are ordered as requests leave the queue: by priority, then by the time
/// at which they expire, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    priority: u32,
    /// The time until which the request may wait.
    expires_at: Duration,
    /// The number of requests that were queued before.
    sequence: u64,
}

/// The key of a request that was queued, and the requests that it displaced, which the caller must reject.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// The key of the queued request.
    pub key: QueueKey,
    /// The displaced requests, which have a lower priority.
    pub displaced: Vec<T>,
}

/// The queue of a service.
pub struct RequestQueue<T> {
    limits: QueueLimits,
    requests: BTreeMap<QueueKey, QueuedEntry<T>>,
    bytes: usize,
    next_sequence: u64,
}

struct QueuedEntry<T> {
    request: T,
    bytes: usize,
}

impl<T> RequestQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        RequestQueue { limits, requests: BTreeMap::new(), bytes: 0, next_sequence: 0 }
    }

    /// Queues a request. If the limits require it, requests of lower priority are displaced.
    ///
    /// # Errors
    /// Returns the request if it exceeds the limits even after all requests of lower priority are displaced.
    pub fn push(&mut self, now: Duration, terms: QueueTerms, request: T) -> Result<Queued<T>, T> {
        let expires_at = (now + queue_time(terms.target_latency)).min(terms.deadline);
        let key = QueueKey { priority: terms.priority, expires_at, sequence: self.next_sequence };
        if !self.fits_after_displacing(terms) {
            return Err(request);
        }
        self.next_sequence += 1;
        let displaced = self.displace(terms.bytes);
        self.requests.insert(key, QueuedEntry { request, bytes: terms.bytes });
        self.bytes += terms.bytes;
        Ok(Queued { key, displaced })
    }

    /// Returns whether a request would fit the limits if all requests of lower priority were displaced.
    fn fits_after_displacing(&self, terms: QueueTerms) -> bool {
        let is_as_urgent = |key: &QueueKey| key.priority <= terms.priority;
        let urgent = self.requests.iter().take_while(|(key, _)| is_as_urgent(key));
        let (requests, bytes) = urgent
            .fold((1, terms.bytes), |(requests, bytes), (_, entry)| (requests + 1, bytes + entry.bytes));
        requests <= self.limits.requests && bytes <= self.limits.bytes
    }

    /// Removes requests from the end of the queue until a request of `bytes` bytes fits the limits.
    fn displace(&mut self, bytes: usize) -> Vec<T> {
        let mut displaced = Vec::new();
        while self.requests.len() >= self.limits.requests || self.bytes + bytes > self.limits.bytes {
            let Some((_, entry)) = self.requests.pop_last() else { break };
            self.bytes -= entry.bytes;
            displaced.push(entry.request);
        }
        displaced
    }

    /// Removes and returns the first request for which `fits` returns true. Expired requests are skipped; the
    /// caller removes them.
    pub fn next(&mut self, now: Duration, mut fits: impl FnMut(&T) -> bool) -> Option<T> {
        let mut unexpired = self.requests.iter().filter(|(key, _)| now < key.expires_at).take(MAX_EXAMINED);
        let key = *unexpired.find(|(_, entry)| fits(&entry.request))?.0;
        self.remove(key)
    }

    /// Removes a request that has expired, or whose client has closed its connection. Returns `None` if it is
    /// not in the queue any more.
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
