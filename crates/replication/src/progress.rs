//! How far each node has the log of the epoch in which this node writes.

use quillpulley_protocol::{Append, Body, Entry, Install, NodeId, Position};
use std::collections::BTreeMap;
use std::time::Duration;

use crate::disk::per_mb;
use crate::event::payload_bytes;
use crate::log::Log;

/// How long a message may go without an answer before it is sent again.
const RESEND: Duration = Duration::from_millis(300);
/// How long a node that has declined is left alone.
const PAUSE: Duration = Duration::from_millis(500);
/// What a message may take beyond that, for its size: several receivers share a link, and a disk may be slow.
pub(crate) const TIME_PER_MB: Duration = Duration::from_millis(600);
/// The most bytes of entries in one message, if there is more than one.
const BATCH_BYTES: usize = 1024 * 1024;
/// The most bytes of entries that are sent to a node of which it isn't known whether it has what comes before.
const TRIED_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug)]
struct Flight {
    sent_at: Duration,
    end: u64,
    bytes: usize,
}

/// What is known of one node's log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Up to here it has durably what the log has.
    acked: Option<Position>,
    /// Up to here it probably has what the log has.
    guess: Position,
    /// It needs the whole state, since the log does not reach back to anything that it has.
    needs_install: bool,
    flight: Option<Flight>,
    /// Nothing is sent to it before that time, since it has declined.
    paused_until: Duration,
    /// It may have restarted: then it has its log but not yet a state that goes as far, until it hears anew what is
    /// committed.
    needs_word: bool,
    /// Since when it has not moved although there is something to move to.
    waits_since: Option<Duration>,
}

impl Progress {
    pub fn new(guess: Position) -> Self {
        Progress {
            acked: None,
            guess,
            needs_install: false,
            flight: None,
            paused_until: Duration::ZERO,
            needs_word: false,
            waits_since: None,
        }
    }

    /// The position up to which the node has durably what the log has.
    pub fn acked(&self) -> Option<Position> {
        self.acked
    }

    /// The index up to which the node has durably what the log has.
    pub fn acked_index(&self) -> Option<u64> {
        self.acked.map(|position| position.index)
    }

    /// Where the node is believed to be.
    pub fn guess(&self) -> Position {
        self.acked.unwrap_or(self.guess)
    }

    /// Whether it has left something without an answer for longer than `patience`.
    pub fn is_stuck(&self, now: Duration, patience: Duration) -> bool {
        let bytes = self.flight.map_or(0, |flight| flight.bytes);
        self.waits_since.is_some_and(|since| now > since + patience + per_mb(TIME_PER_MB, bytes))
    }

    /// Sends again at once whatever is under way, and at least where the log ends and what of it is committed.
    pub fn resend(&mut self) {
        self.flight = None;
        self.needs_word = true;
    }
}

/// What goes to a node next.
enum Step {
    Nothing,
    Append {
        previous: Position,
    },
    /// It may lack what comes before.
    Try {
        previous: Position,
    },
    Install,
}

/// The progress of all nodes that get the log of one epoch, this node among them.
#[derive(Clone, Debug)]
pub(crate) struct Replicator {
    epoch: u64,
    nodes: BTreeMap<NodeId, Progress>,
}

impl Replicator {
    pub fn new(epoch: u64) -> Self {
        Replicator { epoch, nodes: BTreeMap::new() }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn get(&self, node: NodeId) -> Option<&Progress> {
        self.nodes.get(&node)
    }

    pub fn acked_index(&self, node: NodeId) -> Option<u64> {
        self.get(node)?.acked_index()
    }

    /// Begins with a node where it is believed to be, unless it is known.
    pub fn add(&mut self, node: NodeId, guess: Position) {
        self.nodes.entry(node).or_insert_with(|| Progress::new(guess));
    }

    pub fn remove(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    pub fn resend(&mut self, node: NodeId) {
        if let Some(progress) = self.nodes.get_mut(&node) {
            progress.resend();
        }
    }

    /// A node takes nothing at the moment.
    pub fn rejected(&mut self, now: Duration, node: NodeId, epoch: u64) {
        if let Some(progress) = self.nodes.get_mut(&node).filter(|_| epoch == self.epoch) {
            progress.paused_until = now + PAUSE;
        }
    }

    /// The next message for a node, if one is due. `snapshot` gives the state that the log has at `applied`.
    pub fn next_message(
        &mut self,
        now: Duration,
        node: NodeId,
        log: &Log,
        applied: Position,
        snapshot: impl FnOnce() -> Vec<u8>,
    ) -> Option<Body> {
        let epoch = self.epoch;
        let progress = self.nodes.get_mut(&node)?;
        let (body, end, bytes) = match progress.next_step(now, log, applied) {
            Step::Nothing => return None,
            Step::Append { previous } => {
                let entries = log.batch_after(previous.index, BATCH_BYTES);
                append(epoch, previous, entries, applied)
            }
            Step::Try { previous } => {
                let mut entries = log.batch_after(previous.index, BATCH_BYTES);
                if payload_bytes(&entries) > TRIED_BYTES {
                    // The answer to none tells what it has.
                    entries.clear();
                }
                append(epoch, previous, entries, applied)
            }
            Step::Install => {
                let entries = log.after(applied.index);
                let snapshot = snapshot();
                let bytes = snapshot.len() + payload_bytes(&entries);
                let install = Install { epoch, snapshot_last: applied, snapshot, entries };
                (Body::Install(Box::new(install)), log.last().index, bytes)
            }
        };
        progress.flight = Some(Flight { sent_at: now, end, bytes });
        progress.waits_since.get_or_insert(now);
        Some(body)
    }

    /// A node has durably all up to a position.
    pub fn acked(&mut self, now: Duration, node: NodeId, last: Position, log: &Log) {
        let Some(progress) = self.nodes.get_mut(&node) else { return };
        if progress.acked.is_none_or(|acked| acked.index < last.index) {
            progress.acked = Some(last);
            progress.waits_since = Some(now);
        }
        progress.needs_install = false;
        if progress.flight.is_some_and(|flight| flight.end <= last.index) {
            progress.flight = None;
            progress.needs_word = false;
        }
        if progress.acked.is_some_and(|acked| acked.index >= log.last().index) {
            progress.waits_since = None;
        }
    }

    /// A node does not hold what the entries sent to it follow. `last` is what it surely has.
    pub fn mismatched(&mut self, node: NodeId, last: Position, log: &Log) {
        let Some(progress) = self.nodes.get_mut(&node) else { return };
        if progress.acked.is_some() || progress.flight.is_none() {
            return;
        }
        progress.flight = None;
        if log.contains(last) && progress.guess != last {
            progress.guess = last;
        } else {
            progress.needs_install = true;
        }
    }
}

/// A message with entries, the index at which they end, and their bytes.
fn append(epoch: u64, previous: Position, entries: Vec<Entry>, applied: Position) -> (Body, u64, usize) {
    let end = entries.last().map_or(previous.index, |entry| entry.index);
    let bytes = payload_bytes(&entries);
    let append = Append { epoch, previous, entries, committed: applied.index };
    (Body::Append(Box::new(append)), end, bytes)
}

impl Progress {
    fn next_step(&self, now: Duration, log: &Log, applied: Position) -> Step {
        if now < self.paused_until {
            return Step::Nothing;
        }
        if let Some(flight) = &self.flight {
            let patience = RESEND + per_mb(TIME_PER_MB, flight.bytes);
            if now < flight.sent_at + patience {
                return Step::Nothing;
            }
        }
        if self.needs_install {
            return Step::Install;
        }
        match self.acked {
            Some(acked) if acked.index >= log.last().index && !self.needs_word => Step::Nothing,
            Some(acked) if log.contains(acked) => Step::Append { previous: acked },
            Some(_) => Step::Install,
            None if log.contains(self.guess) => Step::Append { previous: self.guess },
            None if log.contains(applied) => Step::Try { previous: applied },
            None => Step::Install,
        }
    }
}
