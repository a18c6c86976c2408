//! The names of the files.

use std::fmt;

const SEGMENT: (&str, &str) = ("log-", ".segment");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snapshot");
const TEMPORARY: &str = "snapshot.temporary";
const RECORD: &str = "record.slots";

/// A file of storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileName {
    /// A segment of the log.
    Segment { generation: u64, first: u64 },
    /// The state up to an index.
    Snapshot { generation: u64, index: u64 },
    /// A snapshot that is being written.
    Temporary,
    /// The two slots of the record.
    Record,
}

impl FileName {
    /// Returns the file that has this name; none if it is none of storage's.
    pub fn parse(name: &str) -> Option<FileName> {
        if name == TEMPORARY {
            return Some(FileName::Temporary);
        }
        if name == RECORD {
            return Some(FileName::Record);
        }
        if let Some((generation, first)) = numbers(name, SEGMENT) {
            return Some(FileName::Segment { generation, first });
        }
        let (generation, index) = numbers(name, SNAPSHOT)?;
        Some(FileName::Snapshot { generation, index })
    }

    /// Returns the generation that the file belongs to, if it belongs to one.
    pub fn generation(&self) -> Option<u64> {
        match self {
            FileName::Segment { generation, .. } | FileName::Snapshot { generation, .. } => Some(*generation),
            FileName::Temporary | FileName::Record => None,
        }
    }
}

impl fmt::Display for FileName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut numbered = |(prefix, suffix), generation, index| {
            write!(formatter, "{prefix}{generation:06}-{index:012}{suffix}")
        };
        match self {
            FileName::Segment { generation, first } => numbered(SEGMENT, generation, first),
            FileName::Snapshot { generation, index } => numbered(SNAPSHOT, generation, index),
            FileName::Temporary => formatter.write_str(TEMPORARY),
            FileName::Record => formatter.write_str(RECORD),
        }
    }
}

fn numbers(name: &str, (prefix, suffix): (&str, &str)) -> Option<(u64, u64)> {
    let middle = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    let (generation, index) = middle.split_once('-')?;
    Some((generation.parse().ok()?, index.parse().ok()?))
}
