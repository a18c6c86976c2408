//! A member's log in memory: the entries after a base that a snapshot covers.

use quillpulley_protocol::{Entry, Position};
use std::collections::VecDeque;

use crate::quorum::position;

/// Why entries do not go into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The log does not hold the entry that they follow.
    Mismatch,
    /// They contradict entries that are committed: a defect, or a disk that lies.
    AgainstCommitted,
}

/// Entries in the order of their index, without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// A log of the entries after `base`; the error is the index at which one is missing.
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

    pub fn base(&self) -> Position {
        self.base
    }

    /// The position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, position)
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The position of the entry with that index, if the log still holds it or has it as its base.
    pub fn position_at(&self, index: u64) -> Option<Position> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(position)
    }

    /// Whether the log up to that position is known to be the same as that of whoever holds the position.
    pub fn contains(&self, wanted: Position) -> bool {
        self.position_at(wanted.index) == Some(wanted)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Copies of the entries after an index.
    pub fn after(&self, index: u64) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skipped).cloned().collect()
    }

    /// Whether an entry after an index is an order, and no mere mark of an epoch.
    pub fn has_payload_after(&self, index: u64) -> bool {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skipped).any(|entry| !entry.payload.is_empty())
    }

    /// Copies of the entries after an index, at least one, and no more once they exceed `bytes`.
    pub fn batch_after(&self, index: u64, bytes: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.base.index) as usize;
        let mut room = bytes;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(skipped) {
            if !batch.is_empty() && entry.payload.len() > room {
                break;
            }
            room = room.saturating_sub(entry.payload.len());
            batch.push(entry.clone());
        }
        batch
    }

    /// Appends a new entry of the epoch; returns its position.
    pub fn append(&mut self, epoch: u64, payload: Vec<u8>) -> Position {
        let index = self.last().index + 1;
        self.push(Entry { epoch, index, payload });
        self.last()
    }

    /// Takes entries that follow `previous` in the log of a primary. Entries that contradict them are cut off, but
    /// never one up to `committed`. Returns the entries that are new, which have to be stored.
    pub fn take(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        committed: u64,
    ) -> Result<Vec<Entry>, AppendError> {
        if !follow_each_other(previous, &entries) {
            return Err(AppendError::Mismatch);
        }
        // What the base covers is committed, and so the same everywhere.
        if previous.index > self.base.index && !self.contains(previous) {
            return Err(AppendError::Mismatch);
        }
        let is_known = |entry: &Entry| entry.index <= self.base.index || self.contains(position(entry));
        let known = entries.iter().take_while(|entry| is_known(entry)).count();
        let fresh: Vec<Entry> = entries.into_iter().skip(known).collect();
        if let Some(first) = fresh.first() {
            if first.index <= committed {
                return Err(AppendError::AgainstCommitted);
            }
            self.truncate_from(first.index);
            fresh.iter().for_each(|entry| self.push(entry.clone()));
        }
        Ok(fresh)
    }

    /// Forgets the entries up to a position that the log holds.
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

fn follow_each_other(previous: Position, entries: &[Entry]) -> bool {
    let expected = (previous.index..u64::MAX).map(|index| index + 1);
    entries.iter().zip(expected).all(|(entry, index)| entry.index == index)
}
