//! The queue of writes to disk, and the steps that are deferred until the writes are durable.
//!
//! Invariant: at most one write is in flight, and the next one is handed to the host only once it has succeeded; if it
//! fails, the queue is discarded. Therefore the disk always holds a state that was in memory at some time, even after a
//! failed write.

use quillpulley_protocol::{Body, NodeId, WitnessRecord};
use std::collections::VecDeque;
use std::time::Duration;

use crate::event::Write;

/// The time after which a write that has not completed makes the disk unusable.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// The additional timeout for each megabyte of a write.
const WRITE_TIMEOUT_PER_MB: Duration = Duration::from_millis(250);
/// The time between a failed write and the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const BYTES_PER_MB: u32 = 1024 * 1024;

/// A step that is performed once all writes that were queued before it are durable.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Completion {
    /// The message is sent.
    Send { to: NodeId, body: Body },
    /// The claim of this node to an epoch is durable: the view change continues.
    EpochClaimed { epoch: u64 },
    /// The disk holds the whole state again after a failure.
    Recovered,
}

/// A write that was not handed to the host yet, and what is deferred until it is durable.
#[derive(Clone, Debug)]
struct QueuedWrite {
    write: Write,
    completions: Vec<Completion>,
}

/// The write that the host is making durable.
#[derive(Clone, Debug)]
struct InFlight {
    ticket: u64,
    started_at: Duration,
    timeout: Duration,
    completions: Vec<Completion>,
    /// The promise in the witness record that is written; `None` for other writes.
    promise: Option<RecordedPromise>,
}

/// The highest promise in a witness record: its epoch, and the node to which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordedPromise {
    epoch: u64,
    to: NodeId,
}

impl RecordedPromise {
    fn of(record: &WitnessRecord) -> Self {
        RecordedPromise { epoch: record.promised, to: record.promised_to }
    }
}

/// The health of the disk according to the last writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Healthy,
    /// The last write has failed.
    Failed {
        /// The time of the next attempt.
        retry_at: Duration,
    },
    /// A write of the whole state is queued or in flight after a failure.
    Recovering,
}

/// The writes that are not durable yet.
#[derive(Clone, Debug)]
pub(crate) struct WriteQueue {
    next_ticket: u64,
    queue: VecDeque<QueuedWrite>,
    in_flight: Option<InFlight>,
    health: Health,
    /// The witness record that was queued last; `None` if a write has failed since.
    record: Option<WitnessRecord>,
    /// Whether the disk holds a witness record.
    has_record: bool,
    /// The promise in the newest witness record that is known to be durable.
    durable_promise: Option<RecordedPromise>,
    /// Whether no step waits for writes. Only an injected fault sets this.
    skips_sync: bool,
}

impl WriteQueue {
    /// Creates the queue for a disk that holds `record`; `None` for an empty disk.
    pub fn new(record: Option<WitnessRecord>, skips_sync: bool) -> Self {
        WriteQueue {
            next_ticket: 1,
            queue: VecDeque::new(),
            in_flight: None,
            health: Health::Healthy,
            has_record: record.is_some(),
            durable_promise: record.as_ref().map(RecordedPromise::of),
            record,
            skips_sync,
        }
    }

    /// Returns whether no write has failed, or the whole state has been written since the last failure.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Returns whether the disk is healthy and the write in flight has not timed out.
    pub fn is_usable(&self, now: Duration) -> bool {
        let is_in_time = |write: &InFlight| now < write.started_at + write.timeout;
        self.is_healthy() && self.in_flight.as_ref().is_none_or(is_in_time)
    }

    /// Returns whether the disk holds a witness record of this incarnation.
    pub fn has_record(&self) -> bool {
        self.has_record
    }

    /// Returns whether the newest durable witness record holds the promise of an epoch to a node.
    pub fn is_promise_durable(&self, epoch: u64, to: NodeId) -> bool {
        self.skips_sync || self.durable_promise == Some(RecordedPromise { epoch, to })
    }

    /// Queues a write.
    pub fn push(&mut self, write: Write) {
        self.queue.push_back(QueuedWrite { write, completions: Vec::new() });
    }

    /// Queues the witness record if it differs from the one that was queued last.
    pub fn push_record(&mut self, record: &WitnessRecord) {
        if self.record.as_ref() != Some(record) {
            self.record = Some(record.clone());
            self.push(Write::Record(record.clone()));
        }
    }

    /// Defers a completion until all writes queued so far are durable. Returns it if they are durable already.
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

    /// Returns the next write with its ticket; `None` if a write is in flight or none is queued.
    pub fn next_write(&mut self, now: Duration) -> Option<(u64, Write)> {
        if self.in_flight.is_some() {
            return None;
        }
        let QueuedWrite { write, completions } = self.queue.pop_front()?;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let timeout = WRITE_TIMEOUT + per_mb(WRITE_TIMEOUT_PER_MB, write.bytes());
        let promise = match &write {
            Write::Record(record) => Some(RecordedPromise::of(record)),
            Write::Append(_) | Write::Install { .. } | Write::Compact { .. } => None,
        };
        self.in_flight = Some(InFlight { ticket, started_at: now, timeout, completions, promise });
        Some((ticket, write))
    }

    /// Records that the host has made a write durable, and returns the completions that were waiting for it.
    pub fn complete(&mut self, ticket: u64) -> Vec<Completion> {
        let Some(write) = self.in_flight.take_if(|write| write.ticket == ticket) else { return Vec::new() };
        // The first write of a process is the record, and so is the first write after a failure.
        self.has_record = true;
        self.durable_promise = write.promise.or(self.durable_promise);
        if write.completions.contains(&Completion::Recovered) {
            self.health = Health::Healthy;
        }
        write.completions
    }

    /// Records that the host could not make a write durable. Drops all queued writes and their completions. Returns
    /// whether the disk was healthy before.
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

    /// Returns whether a write has failed and the next attempt is due.
    pub fn is_retry_due(&self, now: Duration) -> bool {
        matches!(self.health, Health::Failed { retry_at } if now >= retry_at)
    }

    /// Queues the witness record and `rewrite`, a write of the whole state, after a failure.
    pub fn retry(&mut self, record: &WitnessRecord, rewrite: Write) {
        self.health = Health::Recovering;
        self.push_record(record);
        self.queue.push_back(QueuedWrite { write: rewrite, completions: vec![Completion::Recovered] });
    }
}

/// Returns `time` multiplied by `bytes` in megabytes.
pub(crate) fn per_mb(time: Duration, bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    time.mul_f64(f64::from(bytes) / f64::from(BYTES_PER_MB))
}
