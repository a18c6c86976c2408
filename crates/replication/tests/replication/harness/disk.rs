//! A simulated disk. After a crash it holds all completed writes and an arbitrary part of the write in
//! flight.

use quillpulley_protocol::{Entry, Position, WitnessRecord};
use quillpulley_replication::{Recovered, Write};

/// The condition of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskMode {
    #[default]
    Healthy,
    /// Writes take many times longer.
    Slow,
    /// Writes do not complete until the disk leaves this mode.
    Hangs,
    /// Writes fail.
    Full,
}

/// The durable contents of a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskImage {
    pub record: Option<WitnessRecord>,
    pub snapshot: Option<(Position, Vec<u8>)>,
    pub entries: Vec<Entry>,
}

impl DiskImage {
    pub fn recovered(&self) -> Recovered {
        Recovered {
            record: self.record.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Record(record) => self.record = Some(record),
            Write::Append(entries) => self.append(entries),
            Write::Install { last, snapshot, entries } => {
                self.snapshot = Some((last, snapshot));
                self.entries = entries;
            }
            Write::Compact { last, snapshot } => {
                self.snapshot = Some((last, snapshot));
                self.entries.retain(|entry| entry.index > last.index);
            }
        }
    }

    /// Applies a write that a crash interrupted. An append keeps its first `kept` entries; any other write is
    /// atomic, and is applied if `kept` is above 0.
    pub fn apply_torn(&mut self, write: Write, kept: usize) {
        match write {
            Write::Append(entries) => self.append(entries.into_iter().take(kept).collect()),
            whole if kept > 0 => self.apply(whole),
            _ => {}
        }
    }

    fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|entry| entry.index < first.index);
        let base = self.snapshot.as_ref().map_or(0, |(last, _)| last.index);
        let end = self.entries.last().map_or(base, |entry| entry.index);
        assert_eq!(first.index, end + 1, "an append leaves a gap on disk");
        self.entries.extend(entries);
    }
}
