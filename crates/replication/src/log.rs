//! The in-memory part of the replicated log: the entries after the base, the last position that the snapshot covers.
//!
//! Invariants: indices have no gaps; committed entries are never truncated.

use quillpulley_protocol::{Entry, Position};
use std::collections::VecDeque;

/// Why entries are not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The log does not hold the entry that precedes the new entries, or the indices of the new entries are not
    /// consecutive.
    Mismatch,
    /// The new entries conflict with committed entries. The cause is a bug, or a disk that lost writes that it had
    /// confirmed.
    ConflictsWithCommitted,
}

/// The entries after the base, ordered by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// Creates a log of the entries after `base`. Entries up to the base are skipped.
    ///
    /// # Errors
    /// Returns the index of the first entry after a gap.
    pub fn new(base: Position, entries: Vec<Entry>) -> Result<Self, u64> {
        let mut log = Log { base, ..Log::default() };
        for entry in entries {
            if entry.index <= base.index {
                continue;
            }
            if entry.index != log.last().index + 1 {
                return Err(entry.index);
            }
            log.push(entry);
        }
        Ok(log)
    }

    /// Returns the position of the last entry that the snapshot covers.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry, or the base if there are no entries.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, position_of)
    }

    /// Returns the total size of all payloads in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the position with that index, if it is the base or the position of an entry in the log.
    pub fn position_at(&self, index: u64) -> Option<Position> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(position_of)
    }

    /// Returns whether the log holds a position. Any two logs that hold the same position match up to it.
    pub fn contains(&self, wanted: Position) -> bool {
        self.position_at(wanted.index) == Some(wanted)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns copies of all entries after an index.
    pub fn entries_after(&self, index: u64) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skipped).cloned().collect()
    }

    /// Returns whether any entry after an index has a payload. Entries without one only mark the start of an epoch.
    pub fn has_payload_after(&self, index: u64) -> bool {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skipped).any(|entry| !entry.payload.is_empty())
    }

    /// Returns copies of the entries after an index: as many as fit into `bytes`, but at least one if there is any.
    pub fn batch_after(&self, index: u64, bytes: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.base.index) as usize;
        let mut remaining = bytes;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(skipped) {
            if !batch.is_empty() && entry.payload.len() > remaining {
                break;
            }
            remaining = remaining.saturating_sub(entry.payload.len());
            batch.push(entry.clone());
        }
        batch
    }

    /// Creates an entry in an epoch, appends it and returns its position.
    pub fn append(&mut self, epoch: u64, payload: Vec<u8>) -> Position {
        let index = self.last().index + 1;
        self.push(Entry { epoch, index, payload });
        self.last()
    }

    /// Appends the entries that follow `previous` in the log of a primary, if this log holds `previous`. Truncates
    /// conflicting entries after the index `committed`. Returns the entries that were not in the log before, which
    /// the caller has to store.
    ///
    /// # Errors
    /// Returns [`AppendError`] if the entries do not fit. The log is then unchanged.
    pub fn maybe_append(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        committed: u64,
    ) -> Result<Vec<Entry>, AppendError> {
        if !are_consecutive(previous, &entries) {
            return Err(AppendError::Mismatch);
        }
        // Entries up to the base are committed and therefore identical on all nodes.
        if previous.index > self.base.index && !self.contains(previous) {
            return Err(AppendError::Mismatch);
        }
        let is_known = |entry: &Entry| entry.index <= self.base.index || self.contains(position_of(entry));
        let known = entries.iter().take_while(|entry| is_known(entry)).count();
        let new: Vec<Entry> = entries.into_iter().skip(known).collect();
        if let Some(first) = new.first() {
            if first.index <= committed {
                return Err(AppendError::ConflictsWithCommitted);
            }
            self.truncate_from(first.index);
            new.iter().for_each(|entry| self.push(entry.clone()));
        }
        Ok(new)
    }

    /// Drops the entries up to a position in the log, which becomes the base.
    pub fn compact(&mut self, base: Position) {
        while self.entries.front().is_some_and(|entry| entry.index <= base.index) {
            self.pop_front();
        }
        self.base = base;
    }

    fn push(&mut self, entry: Entry) {
        self.bytes += entry.payload.len();
        self.entries.push_back(entry);
    }

    fn pop_front(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry.payload.len();
        }
    }

    fn truncate_from(&mut self, index: u64) {
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            if let Some(entry) = self.entries.pop_back() {
                self.bytes -= entry.payload.len();
            }
        }
    }
}

fn are_consecutive(previous: Position, entries: &[Entry]) -> bool {
    let expected = (previous.index..u64::MAX).map(|index| index + 1);
    entries.iter().zip(expected).all(|(entry, index)| entry.index == index)
}

/// Returns the position of an entry.
pub(crate) fn position_of(entry: &Entry) -> Position {
    Position { epoch: entry.epoch, index: entry.index }
}
