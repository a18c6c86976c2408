//! Recovery: reads the data that an earlier process has stored.

use crate::files::{DataFile, Files};
use crate::format::segment::{scan, was_synced, DecodedHeader, Header, Scan};
use crate::format::snapshot;
use crate::names::FileName;
use crate::segments::Segment;
use crate::StorageError;
use quillpulley_protocol::{Entry, Position};

/// The data that was found in the folder when the storage was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The record; `None` if none was ever saved.
    pub record: Option<Vec<u8>>,
    /// The position of the last entry that the snapshot covers, and the snapshot; `None` if there is none.
    pub snapshot: Option<(Position, Vec<u8>)>,
    /// The entries after the snapshot, with consecutive indices.
    pub entries: Vec<Entry>,
}

/// The recovered snapshot and log, with the segments to which later entries are appended.
pub(crate) struct RecoveredState {
    pub generation: u64,
    pub snapshot: Option<(Position, Vec<u8>)>,
    pub segments: Vec<Segment>,
    pub entries: Vec<Entry>,
}

/// Reads the snapshot and the log of the active generation, without changing any file.
pub(crate) fn recover<F: Files>(files: &F, names: &[FileName]) -> Result<RecoveredState, StorageError> {
    let snapshots = names.iter().filter(|name| matches!(name, FileName::Snapshot { .. }));
    let generation = snapshots.filter_map(FileName::generation).max().unwrap_or(0);
    let Snapshots { newest, damaged } = read_snapshots(files, names, generation)?;
    let base = newest.as_ref().map_or(0, |(last, _)| last.index);
    let log = read_log(files, segments_after(names, generation, base)?, base)?;
    let last = log.segments.last().map_or(base, Segment::last);
    if let Some(index) = damaged.filter(|index| *index > last) {
        // The log does not contain all entries that the damaged snapshot covered.
        return Err(StorageError::damaged(FileName::Snapshot { generation, index }, 0));
    }
    let entries = log.entries.into_iter().filter(|entry| entry.index > base).collect();
    Ok(RecoveredState { generation, snapshot: newest, segments: log.segments, entries })
}

type Snapshot = (Position, Vec<u8>);

/// The snapshots of a generation.
#[derive(Default)]
struct Snapshots {
    /// The newest complete snapshot.
    newest: Option<Snapshot>,
    /// The index of the newest damaged snapshot, if that is newer than `newest`.
    damaged: Option<u64>,
}

fn read_snapshots<F: Files>(
    files: &F,
    names: &[FileName],
    generation: u64,
) -> Result<Snapshots, StorageError> {
    let mut snapshots = Snapshots::default();
    for index in numbers(names, generation, snapshot_index).into_iter().rev() {
        let name = FileName::Snapshot { generation, index };
        match snapshot::decode(read(files, name)?) {
            snapshot::Decoded::Intact(last, state) if last.index == index => {
                snapshots.newest = Some((last, state));
                return Ok(snapshots);
            }
            snapshot::Decoded::OtherVersion => {
                return Err(StorageError::OtherVersion { file: name.to_string() })
            }
            _ => snapshots.damaged = snapshots.damaged.or(Some(index)),
        }
    }
    match snapshots.damaged {
        // Every generation after generation 0 begins with a snapshot, so its log is incomplete without one.
        Some(index) if generation > 0 => {
            Err(StorageError::damaged(FileName::Snapshot { generation, index }, 0))
        }
        _ => Ok(snapshots),
    }
}

/// Returns the segments that may contain entries after the index `base`, ordered by index.
fn segments_after(names: &[FileName], generation: u64, base: u64) -> Result<Vec<FileName>, StorageError> {
    let firsts = numbers(names, generation, segment_first);
    let Some(lowest) = firsts.first() else { return Ok(Vec::new()) };
    let Some(start) = firsts.iter().rposition(|first| *first <= base + 1) else {
        return Err(StorageError::Incomplete { first: base + 1, last: lowest - 1 });
    };
    Ok(firsts[start..].iter().map(|first| FileName::Segment { generation, first: *first }).collect())
}

#[derive(Default)]
struct Log {
    segments: Vec<Segment>,
    entries: Vec<Entry>,
}

/// Reads consecutive segments. Only the last segment may end with an incomplete record, which an interrupted
/// write has left there before it was synced.
fn read_log<F: Files>(files: &F, names: Vec<FileName>, base: u64) -> Result<Log, StorageError> {
    let mut log = Log::default();
    for (offset, name) in names.iter().enumerate() {
        let bytes = read(files, *name)?;
        let next = names.get(offset + 1).and_then(segment_first);
        let Some((header, scan)) = read_segment(*name, &bytes, next, base)? else { continue };
        log.push(*name, header, scan)?;
    }
    // The removal of segments that the snapshot covers is not synced: after a loss of power any of them may
    // exist.
    let is_covered = log.segments.last().is_some_and(|segment| segment.last() < base);
    Ok(if is_covered { Log::default() } else { log })
}

impl Log {
    /// Appends a segment. Fails unless the segment continues the log.
    fn push(&mut self, name: FileName, header: Header, scan: Scan) -> Result<(), StorageError> {
        if let Some(before) = self.segments.last() {
            let chain = before.records.last().map(|record| record.checksum);
            if header.first != before.last() + 1 || Some(header.chain) != chain {
                return Err(StorageError::damaged(name, 0));
            }
        }
        self.entries.extend(scan.entries);
        self.segments.push(Segment { header, records: scan.records });
        Ok(())
    }
}

/// Reads the header and the records of a segment. `next` is the first index of the following segment, and
/// `base` is the index of the last entry that the snapshot covers. Returns `None` for a last segment without
/// a complete record, whose creation was interrupted.
fn read_segment(
    name: FileName,
    bytes: &[u8],
    next: Option<u64>,
    base: u64,
) -> Result<Option<(Header, Scan)>, StorageError> {
    let (header, mut found) = match Header::decode(bytes) {
        DecodedHeader::Intact(header) if is_header_of(&header, name) => (header, scan(bytes, &header)),
        DecodedHeader::OtherVersion => return Err(StorageError::OtherVersion { file: name.to_string() }),
        _ if next.is_none() && !was_synced(bytes, 0) => return Ok(None),
        _ => return Err(StorageError::damaged(name, 0)),
    };
    let end = found.records.last().map_or(0, |record| record.end);
    let following = header.first + found.records.len() as u64;
    let is_damaged = match next {
        Some(next) => following < next,
        // Entries that the snapshot covers had been synced, so an incomplete record among them is damage.
        None => was_synced(bytes, end) || (following <= base && end < bytes.len() as u64),
    };
    if is_damaged {
        return Err(StorageError::damaged(name, end));
    }
    let count = next.map_or(found.records.len(), |next| (next - header.first) as usize);
    found.records.truncate(count);
    found.entries.truncate(count);
    Ok((count > 0).then_some((header, found)))
}

fn is_header_of(header: &Header, name: FileName) -> bool {
    name == FileName::Segment { generation: header.generation, first: header.first }
}

fn read<F: Files>(files: &F, name: FileName) -> Result<Vec<u8>, StorageError> {
    let file = files.open(&name.to_string()).map_err(StorageError::io("open", name))?;
    file.read().map_err(StorageError::io("read", name))
}

/// Returns the indices of the files of one kind in a generation, in ascending order. `number` returns the
/// index of a file of that kind, and `None` for other files.
fn numbers(names: &[FileName], generation: u64, number: fn(&FileName) -> Option<u64>) -> Vec<u64> {
    let own = names.iter().filter(|name| name.generation() == Some(generation));
    let mut numbers: Vec<u64> = own.filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}

fn snapshot_index(name: &FileName) -> Option<u64> {
    match name {
        FileName::Snapshot { index, .. } => Some(*index),
        _ => None,
    }
}

fn segment_first(name: &FileName) -> Option<u64> {
    match name {
        FileName::Segment { first, .. } => Some(*first),
        _ => None,
    }
}
