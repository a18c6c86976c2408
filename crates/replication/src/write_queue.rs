//! The queue of writes to disk, and what has to wait until they are durable.
//!
//! Invariant: the host has one write at a time, and gets the next one only when that has succeeded. So the disk always
//! holds a state through which the memory has gone, also after a write has failed.

use quillpulley_protocol::{Body, NodeId, WitnessRecord};
use std::collections::VecDeque;
use std::time::Duration;

use crate::event::Write;

/// A disk that does not complete a write for this long counts as broken.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// The additional time for each megabyte of a write.
const WRITE_TIMEOUT_PER_MB: Duration = Duration::from_millis(250);
/// How long after a failure the disk is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const BYTES_PER_MB: u32 = 1024 * 1024;

/// What happens once all writes before it are durable.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Completion {
    /// A message may be sent.
    Send { to: NodeId, body: Body },
    /// The epoch that this node claims as a candidate is durable.
    EpochClaimed { epoch: u64 },
    /// The disk holds what the memory holds, again.
    Recovered,
}

#[derive(Clone, Debug)]
struct QueuedWrite {
    write: Write,
    completions: Vec<Completion>,
}

#[derive(Clone, Debug)]
struct InFlight {
    ticket: u64,
    since: Duration,
    timeout: Duration,
    completions: Vec<Completion>,
    /// The promise in the record that is written, if it is a record.
    promise: Option<Promised>,
}

/// An epoch that a record names as promised, and to which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Promised {
    epoch: u64,
    to: NodeId,
}

impl Promised {
    fn of(record: &WitnessRecord) -> Self {
        Promised { epoch: record.promised, to: record.promised_to }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Healthy,
    Failed {
        retry_at: Duration,
    },
    /// A write of everything is on its way.
    Recovering,
}

/// The writes that are not durable yet.
#[derive(Clone, Debug)]
pub(crate) struct WriteQueue {
    next_ticket: u64,
    queue: VecDeque<QueuedWrite>,
    in_flight: Option<InFlight>,
    health: Health,
    /// The record as it was written last, unless that has failed.
    record: Option<WitnessRecord>,
    /// Whether any record has become durable.
    has_record: bool,
    /// The promise of the newest record that is known to be durable.
    durable_promise: Option<Promised>,
    /// Nothing waits for writes: a fault of tests.
    skips_sync: bool,
}

impl WriteQueue {
    /// Creates the queue of a disk that holds `record`, if it holds one.
    pub fn new(record: Option<WitnessRecord>, skips_sync: bool) -> Self {
        WriteQueue {
            next_ticket: 1,
            queue: VecDeque::new(),
            in_flight: None,
            health: Health::Healthy,
            has_record: record.is_some(),
            durable_promise: record.as_ref().map(Promised::of),
            record,
            skips_sync,
        }
    }

    /// Returns whether the last write did not fail.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Returns whether the disk is healthy and completes writes in time.
    pub fn is_usable(&self, now: Duration) -> bool {
        let is_in_time = |write: &InFlight| now < write.since + write.timeout;
        self.is_healthy() && self.in_flight.as_ref().is_none_or(is_in_time)
    }

    /// Returns whether the disk holds a record of this incarnation.
    pub fn has_record(&self) -> bool {
        self.has_record
    }

    /// Returns whether the disk is known to hold the promise of an epoch to a node.
    pub fn is_promise_durable(&self, epoch: u64, to: NodeId) -> bool {
        self.skips_sync || self.durable_promise == Some(Promised { epoch, to })
    }

    /// Queues a write.
    pub fn push(&mut self, write: Write) {
        self.queue.push_back(QueuedWrite { write, completions: Vec::new() });
    }

    /// Queues the record, if it differs from the one that was queued last.
    pub fn push_record(&mut self, record: &WitnessRecord) {
        if self.record.as_ref() != Some(record) {
            self.record = Some(record.clone());
            self.push(Write::Record(record.clone()));
        }
    }

    /// Defers a completion until everything queued so far is durable. Returns it if that is so already.
    #[must_use]
    pub fn when_durable(&mut self, completion: Completion) -> Option<Completion> {
        if self.skips_sync {
            return Some(completion);
        }
        let queued = self.queue.back_mut().map(|write| &mut write.completions);
        match queued.or(self.in_flight.as_mut().map(|write| &mut write.completions)) {
            Some(completions) => completions.push(completion),
            None => return Some(completion),
        }
        None
    }

    /// Returns the next write with its ticket, unless one is in flight.
    pub fn next_write(&mut self, now: Duration) -> Option<(u64, Write)> {
        if self.in_flight.is_some() {
            return None;
        }
        let QueuedWrite { write, completions } = self.queue.pop_front()?;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let timeout = WRITE_TIMEOUT + per_mb(WRITE_TIMEOUT_PER_MB, write.bytes());
        let promise = match &write {
            Write::Record(record) => Some(Promised::of(record)),
            Write::Append(_) | Write::Install { .. } | Write::Compact { .. } => None,
        };
        self.in_flight = Some(InFlight { ticket, since: now, timeout, completions, promise });
        Some((ticket, write))
    }

    /// Records that the host has made a write durable, and returns what was waiting for it.
    pub fn complete(&mut self, ticket: u64) -> Vec<Completion> {
        let Some(write) = self.in_flight.take_if(|write| write.ticket == ticket) else { return Vec::new() };
        // The first write of a process is the record, and a record comes first again after a failure.
        self.has_record = true;
        self.durable_promise = write.promise.or(self.durable_promise);
        if write.completions.contains(&Completion::Recovered) {
            self.health = Health::Healthy;
        }
        write.completions
    }

    /// Records that the host could not make a write durable. Everything that waits is dropped. Returns whether the disk
    /// was healthy before.
    pub fn fail(&mut self, ticket: u64, now: Duration) -> bool {
        if self.in_flight.take_if(|write| write.ticket == ticket).is_none() {
            return false;
        }
        self.queue.clear();
        self.record = None;
        let was_healthy = self.is_healthy();
        self.health = Health::Failed { retry_at: now + RETRY_INTERVAL };
        was_healthy
    }

    /// Returns whether it is time to retry after a failure.
    pub fn is_retry_due(&self, now: Duration) -> bool {
        matches!(self.health, Health::Failed { retry_at } if now >= retry_at)
    }

    /// Retries after a failure, with everything that the disk has to hold.
    pub fn retry(&mut self, record: &WitnessRecord, rewrite: Write) {
        self.health = Health::Recovering;
        self.push_record(record);
        self.queue.push_back(QueuedWrite { write: rewrite, completions: vec![Completion::Recovered] });
    }
}

/// Returns `time` for each megabyte.
pub(crate) fn per_mb(time: Duration, bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    time.mul_f64(f64::from(bytes) / f64::from(BYTES_PER_MB))
}
