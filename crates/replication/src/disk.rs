//! Writes on their way to the disk, and what waits for them.
//!
//! One write is with the host at a time, and the next one leaves only when it has succeeded. So the disk always
//! holds a state through which the memory has gone, also after a write has failed.

use quillpulley_protocol::{Body, NodeId, WitnessRecord};
use std::collections::VecDeque;
use std::time::Duration;

use crate::event::Write;

/// A disk that does not answer for so long is as good as broken.
const STALL: Duration = Duration::from_millis(600);
/// How long after a failure the disk is tried again.
const RETRY: Duration = Duration::from_millis(500);
const BYTES_PER_MB: u32 = 1024 * 1024;
const STALL_PER_MB: Duration = Duration::from_millis(250);

/// What happens once all writes before it are durable.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    Send {
        to: NodeId,
        body: Body,
    },
    /// This node's own epoch as a candidate is durable.
    Claimed {
        epoch: u64,
    },
    /// The disk holds what the memory holds, again.
    Healed,
}

#[derive(Clone, Debug)]
struct Job {
    write: Write,
    effects: Vec<Effect>,
}

#[derive(Clone, Debug)]
struct Flight {
    ticket: u64,
    since: Duration,
    patience: Duration,
    effects: Vec<Effect>,
    /// The promise of the record that it writes, if it writes one.
    promise: Option<DurablePromise>,
}

/// An epoch that a record names as promised, and to whom.
type DurablePromise = (u64, NodeId);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    Failed { retry_at: Duration },
    Healing,
}

/// The queue of writes.
#[derive(Clone, Debug)]
pub(crate) struct Disk {
    next_ticket: u64,
    queue: VecDeque<Job>,
    flight: Option<Flight>,
    health: Health,
    /// The record as the newest write of one has it, if it did not fail.
    record: Option<WitnessRecord>,
    /// Whether any record has become durable.
    has_record: bool,
    /// The promise of the newest record that is known to be durable.
    durable_promise: Option<DurablePromise>,
    /// Effects come at once: a fault for tests.
    hurries: bool,
}

impl Disk {
    /// A disk that holds the record, if there is one.
    pub fn new(record: Option<WitnessRecord>, hurries: bool) -> Self {
        Disk {
            next_ticket: 1,
            queue: VecDeque::new(),
            flight: None,
            health: Health::Good,
            has_record: record.is_some(),
            durable_promise: record.as_ref().map(promise_of),
            record,
            hurries,
        }
    }

    /// Whether writes may be asked for: the last one did not fail.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Good
    }

    /// Whether the disk is healthy and answers in time.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_healthy() && self.flight.as_ref().is_none_or(|flight| now < flight.since + flight.patience)
    }

    /// Whether the disk holds a record of this incarnation.
    pub fn has_record(&self) -> bool {
        self.has_record
    }

    /// Whether the disk is known to hold that the epoch is promised to the node.
    pub fn holds_promise(&self, epoch: u64, node: NodeId) -> bool {
        self.hurries || self.durable_promise == Some((epoch, node))
    }

    /// Queues a write.
    pub fn write(&mut self, write: Write) {
        self.queue.push_back(Job { write, effects: Vec::new() });
    }

    /// Queues the record, if it differs from what was written last.
    pub fn write_record(&mut self, record: &WitnessRecord) {
        if self.record.as_ref() != Some(record) {
            self.record = Some(record.clone());
            self.write(Write::Record(record.clone()));
        }
    }

    /// Has something happen once everything queued so far is durable. Returns it if that is so already.
    #[must_use]
    pub fn then(&mut self, effect: Effect) -> Option<Effect> {
        if self.hurries {
            return Some(effect);
        }
        let job = self.queue.back_mut().map(|job| &mut job.effects);
        match job.or(self.flight.as_mut().map(|flight| &mut flight.effects)) {
            Some(effects) => effects.push(effect),
            None => return Some(effect),
        }
        None
    }

    /// The next write to hand to the host, if none is there.
    pub fn next(&mut self, now: Duration) -> Option<(u64, Write)> {
        if self.flight.is_some() {
            return None;
        }
        let Job { write, effects } = self.queue.pop_front()?;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let patience = STALL + per_mb(STALL_PER_MB, write.bytes());
        let promise = match &write {
            Write::Record(record) => Some(promise_of(record)),
            Write::Append(_) | Write::Install { .. } | Write::Compact { .. } => None,
        };
        self.flight = Some(Flight { ticket, since: now, patience, effects, promise });
        Some((ticket, write))
    }

    /// The host has made a write durable; returns what was waiting for it.
    pub fn succeeded(&mut self, ticket: u64) -> Vec<Effect> {
        let Some(flight) = self.flight.take_if(|flight| flight.ticket == ticket) else { return Vec::new() };
        // The first write of a life is the record, and a record comes first again after a failure.
        self.has_record = true;
        self.durable_promise = flight.promise.or(self.durable_promise);
        if flight.effects.contains(&Effect::Healed) {
            self.health = Health::Good;
        }
        flight.effects
    }

    /// The host could not make a write durable. Nothing that waits will happen. Returns whether it was news.
    pub fn failed(&mut self, ticket: u64, now: Duration) -> bool {
        if self.flight.take_if(|flight| flight.ticket == ticket).is_none() {
            return false;
        }
        self.queue.clear();
        self.record = None;
        let was_healthy = self.is_healthy();
        self.health = Health::Failed { retry_at: now + RETRY };
        was_healthy
    }

    /// Whether it is time to try a failed disk again.
    pub fn is_due_for_healing(&self, now: Duration) -> bool {
        matches!(self.health, Health::Failed { retry_at } if now >= retry_at)
    }

    /// Tries a failed disk again, with all that it has to hold.
    pub fn heal(&mut self, record: &WitnessRecord, install: Write) {
        self.health = Health::Healing;
        self.write_record(record);
        self.queue.push_back(Job { write: install, effects: vec![Effect::Healed] });
    }
}

fn promise_of(record: &WitnessRecord) -> DurablePromise {
    (record.promised, record.promised_to)
}

/// A time for each megabyte, for as many bytes.
pub(crate) fn per_mb(time: Duration, bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    time.mul_f64(f64::from(bytes) / f64::from(BYTES_PER_MB))
}
