//! The names of the files in the folder of the storage.

use std::fmt;

const SEGMENT: (&str, &str) = ("log-", ".segment");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snapshot");
const TEMPORARY: &str = "snapshot.temporary";
const RECORD: &str = "record.slots";

/// The name of a file of the storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileName {
    /// A segment of the log.
    Segment { generation: u64, first_index: u64 },
    /// A snapshot of the state after the entry with this index.
    Snapshot { generation: u64, index: u64 },
    /// A snapshot that is still being written. The file is renamed once it is complete.
    Temporary,
    /// The record, in two slots.
    Record,
}

impl FileName {
    /// Parses the name of a file; `None` if the file does not belong to the storage.
    pub fn parse(name: &str) -> Option<FileName> {
        if name == TEMPORARY {
            return Some(FileName::Temporary);
        }
        if name == RECORD {
            return Some(FileName::Record);
        }
        if let Some((generation, first_index)) = parse_numbers(name, SEGMENT) {
            return Some(FileName::Segment { generation, first_index });
        }
        let (generation, index) = parse_numbers(name, SNAPSHOT)?;
        Some(FileName::Snapshot { generation, index })
    }

    /// Returns the generation that the file belongs to; `None` for files that are shared by all generations.
    pub fn generation(&self) -> Option<u64> {
        match self {
            FileName::Segment { generation, .. } | FileName::Snapshot { generation, .. } => Some(*generation),
            FileName::Temporary | FileName::Record => None,
        }
    }
}

impl fmt::Display for FileName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut write_numbered = |(prefix, suffix), generation, index| {
            write!(formatter, "{prefix}{generation:06}-{index:012}{suffix}")
        };
        match self {
            FileName::Segment { generation, first_index } => write_numbered(SEGMENT, generation, first_index),
            FileName::Snapshot { generation, index } => write_numbered(SNAPSHOT, generation, index),
            FileName::Temporary => formatter.write_str(TEMPORARY),
            FileName::Record => formatter.write_str(RECORD),
        }
    }
}

fn parse_numbers(name: &str, (prefix, suffix): (&str, &str)) -> Option<(u64, u64)> {
    let numbers = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    let (generation, index) = numbers.split_once('-')?;
    Some((generation.parse().ok()?, index.parse().ok()?))
}
