//! The replication progress of each target: how far its log matches, and which message it is sent next.

use quillpulley_protocol::{Append, Body, Entry, Install, NodeId, Position};
use std::collections::BTreeMap;
use std::time::Duration;

use crate::event::payload_bytes;
use crate::log::Log;
use crate::write_queue::per_mb;

/// The time after which an unacknowledged message is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);
/// The time for which nothing is sent to a node that has rejected a message.
const REJECTED_BACKOFF: Duration = Duration::from_millis(500);
/// The additional time for each megabyte of a message, since several targets may share a link and disks may be slow.
const TIMEOUT_PER_MB: Duration = Duration::from_millis(600);
/// The maximum size of the payloads in a message with more than one entry.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// The maximum size of the payloads in a message to a target that may not hold the entry that precedes them.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// A message that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    sent_at: Duration,
    /// The index of the last entry that the target holds once it has processed the message.
    end: u64,
    bytes: usize,
}

/// The progress of one replication target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The position up to which the log of the target durably matches; `None` if none is known.
    matched: Option<Position>,
    /// The position up to which the log of the target probably matches.
    probable_match: Position,
    /// Whether the target needs a snapshot, because no entry that it holds was found in the log.
    needs_snapshot: bool,
    in_flight: Option<InFlight>,
    /// The time before which nothing is sent to the target, because it has rejected a message.
    paused_until: Duration,
    /// Whether the target needs the commit index again: it may have restarted, and then does not know how far to apply
    /// its log.
    needs_commit_index: bool,
    /// The time since which the target has made no progress although it lacks entries; `None` if it lacks none.
    behind_since: Option<Duration>,
}

/// The next message to a target.
enum NextMessage {
    Nothing,
    /// The entries after a position that the target holds, or probably holds.
    Append {
        previous: Position,
    },
    /// The entries after a position that the target may not hold.
    Probe {
        previous: Position,
    },
    /// A snapshot and all entries after it.
    Snapshot,
}

impl Progress {
    fn new(probable_match: Position) -> Self {
        Progress {
            matched: None,
            probable_match,
            needs_snapshot: false,
            in_flight: None,
            paused_until: Duration::ZERO,
            needs_commit_index: false,
            behind_since: None,
        }
    }

    /// Returns the position up to which the log of the target durably matches; `None` if none is known.
    pub fn matched(&self) -> Option<Position> {
        self.matched
    }

    /// Returns the position up to which the log of the target durably matches or, if none is known, probably matches.
    pub fn probable_match(&self) -> Position {
        self.matched.unwrap_or(self.probable_match)
    }

    /// Returns whether the target lacks entries but has made no progress for longer than `timeout` plus the additional
    /// time for the size of the message in flight.
    pub fn is_stalled(&self, now: Duration, timeout: Duration) -> bool {
        let bytes = self.in_flight.map_or(0, |message| message.bytes);
        self.behind_since.is_some_and(|since| now > since + timeout + per_mb(TIMEOUT_PER_MB, bytes))
    }

    /// Makes a message due at once: the one in flight again, or, if the target lacks no entries, an empty one with the
    /// commit index.
    fn resend(&mut self) {
        self.in_flight = None;
        self.needs_commit_index = true;
    }

    fn record_match(&mut self, now: Duration, last: Position, log: &Log) {
        if self.matched.is_none_or(|matched| matched.index < last.index) {
            self.matched = Some(last);
            self.behind_since = Some(now);
        }
        self.needs_snapshot = false;
        if self.in_flight.is_some_and(|message| message.end <= last.index) {
            self.in_flight = None;
            self.needs_commit_index = false;
        }
        if self.matched.is_some_and(|matched| matched.index >= log.last().index) {
            self.behind_since = None;
        }
    }

    fn record_mismatch(&mut self, last: Position, log: &Log) {
        if self.matched.is_some() || self.in_flight.is_none() {
            return;
        }
        self.in_flight = None;
        if log.contains(last) && self.probable_match != last {
            self.probable_match = last;
        } else {
            self.needs_snapshot = true;
        }
    }

    fn next_message(&self, now: Duration, log: &Log, applied: Position) -> NextMessage {
        if now < self.paused_until {
            return NextMessage::Nothing;
        }
        if let Some(message) = &self.in_flight {
            let timeout = RESEND_TIMEOUT + per_mb(TIMEOUT_PER_MB, message.bytes);
            if now < message.sent_at + timeout {
                return NextMessage::Nothing;
            }
        }
        if self.needs_snapshot {
            return NextMessage::Snapshot;
        }
        match self.matched {
            Some(matched) if matched.index >= log.last().index && !self.needs_commit_index => {
                NextMessage::Nothing
            }
            Some(matched) if log.contains(matched) => NextMessage::Append { previous: matched },
            Some(_) => NextMessage::Snapshot,
            None if log.contains(self.probable_match) => {
                NextMessage::Append { previous: self.probable_match }
            }
            None if log.contains(applied) => NextMessage::Probe { previous: applied },
            None => NextMessage::Snapshot,
        }
    }
}

/// The progress of all nodes that receive the log of one epoch, including this node.
#[derive(Clone, Debug)]
pub(crate) struct ProgressTracker {
    epoch: u64,
    nodes: BTreeMap<NodeId, Progress>,
}

impl ProgressTracker {
    pub fn new(epoch: u64) -> Self {
        ProgressTracker { epoch, nodes: BTreeMap::new() }
    }

    /// Returns the epoch whose log is replicated.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn get(&self, node: NodeId) -> Option<&Progress> {
        self.nodes.get(&node)
    }

    /// Returns the index up to which the log of a node durably matches; `None` if none is known.
    pub fn match_index(&self, node: NodeId) -> Option<u64> {
        self.get(node)?.matched.map(|position| position.index)
    }

    /// Adds a node whose log probably matches up to a position, unless the node is tracked already.
    pub fn add(&mut self, node: NodeId, probable_match: Position) {
        self.nodes.entry(node).or_insert_with(|| Progress::new(probable_match));
    }

    pub fn remove(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// Makes a message to a node due at once: the one in flight again, or, if the node lacks no entries, an empty one
    /// with the commit index.
    pub fn resend(&mut self, node: NodeId) {
        if let Some(progress) = self.nodes.get_mut(&node) {
            progress.resend();
        }
    }

    /// Records that a node has rejected a message of an epoch.
    pub fn record_rejection(&mut self, now: Duration, node: NodeId, epoch: u64) {
        if let Some(progress) = self.nodes.get_mut(&node).filter(|_| epoch == self.epoch) {
            progress.paused_until = now + REJECTED_BACKOFF;
        }
    }

    /// Records that the log of a node durably matches up to a position.
    pub fn record_match(&mut self, now: Duration, node: NodeId, last: Position, log: &Log) {
        if let Some(progress) = self.nodes.get_mut(&node) {
            progress.record_match(now, last, log);
        }
    }

    /// Records that a node does not hold the entry that precedes those sent to it. `last` is the position that it
    /// reports to hold.
    pub fn record_mismatch(&mut self, node: NodeId, last: Position, log: &Log) {
        if let Some(progress) = self.nodes.get_mut(&node) {
            progress.record_mismatch(last, log);
        }
    }

    /// Returns the next message for a node, if one is due. `snapshot` returns a snapshot of the state at `applied`.
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
        let message = match progress.next_message(now, log, applied) {
            NextMessage::Nothing => return None,
            NextMessage::Append { previous } => {
                let entries = log.batch_after(previous.index, MAX_BATCH_BYTES);
                SizedMessage::append(epoch, previous, entries, applied)
            }
            NextMessage::Probe { previous } => {
                let mut entries = log.batch_after(previous.index, MAX_BATCH_BYTES);
                if payload_bytes(&entries) > MAX_PROBE_BYTES {
                    // The reply to an empty message reports a position that the node holds.
                    entries.clear();
                }
                SizedMessage::append(epoch, previous, entries, applied)
            }
            NextMessage::Snapshot => SizedMessage::install(epoch, log, applied, snapshot()),
        };
        progress.in_flight = Some(InFlight { sent_at: now, end: message.end, bytes: message.bytes });
        progress.behind_since.get_or_insert(now);
        Some(message.body)
    }
}

/// A message, the index at which the target's log ends once the message is processed, and its payload size in bytes.
struct SizedMessage {
    body: Body,
    end: u64,
    bytes: usize,
}

impl SizedMessage {
    fn append(epoch: u64, previous: Position, entries: Vec<Entry>, applied: Position) -> Self {
        let end = entries.last().map_or(previous.index, |entry| entry.index);
        let bytes = payload_bytes(&entries);
        let append = Append { epoch, previous, entries, committed: applied.index };
        SizedMessage { body: Body::Append(Box::new(append)), end, bytes }
    }

    fn install(epoch: u64, log: &Log, applied: Position, snapshot: Vec<u8>) -> Self {
        let entries = log.entries_after(applied.index);
        let bytes = snapshot.len() + payload_bytes(&entries);
        let install = Install { epoch, snapshot_last: applied, snapshot, entries };
        SizedMessage { body: Body::Install(Box::new(install)), end: log.last().index, bytes }
    }
}
