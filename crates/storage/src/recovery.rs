//! Recovery: reads the data that an earlier process has stored.

use crate::files::{DataFile, Files};
use crate::format::segment::{scan_records, was_synced, DecodedHeader, Header, ScannedRecords};
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
    let covered_index = newest.as_ref().map_or(0, |(last, _)| last.index);
    let log = read_log(files, segments_after(names, generation, covered_index)?, covered_index)?;
    let last_index = log.segments.last().map_or(covered_index, Segment::last_index);
    if let Some(index) = damaged.filter(|index| *index > last_index) {
        // The log does not contain all entries that the damaged snapshot covered.
        return Err(StorageError::damaged(FileName::Snapshot { generation, index }, 0));
    }
    let entries = log.entries.into_iter().filter(|entry| entry.index > covered_index).collect();
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
    for index in sorted_indices(names, generation, index_of_snapshot).into_iter().rev() {
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

/// Returns the segments that may contain entries after `covered_index`, ordered by index.
fn segments_after(
    names: &[FileName],
    generation: u64,
    covered_index: u64,
) -> Result<Vec<FileName>, StorageError> {
    let first_indices = sorted_indices(names, generation, first_index_of_segment);
    let Some(lowest) = first_indices.first() else { return Ok(Vec::new()) };
    let Some(start) = first_indices.iter().rposition(|first_index| *first_index <= covered_index + 1) else {
        return Err(StorageError::Incomplete { first: covered_index + 1, last: lowest - 1 });
    };
    Ok(first_indices[start..]
        .iter()
        .map(|first_index| FileName::Segment { generation, first_index: *first_index })
        .collect())
}

#[derive(Default)]
struct Log {
    segments: Vec<Segment>,
    entries: Vec<Entry>,
}

/// Reads consecutive segments. Only the last segment may end with an incomplete record, which an interrupted
/// write has left there before it was synced.
fn read_log<F: Files>(files: &F, names: Vec<FileName>, covered_index: u64) -> Result<Log, StorageError> {
    let mut log = Log::default();
    for (segment_number, name) in names.iter().enumerate() {
        let bytes = read(files, *name)?;
        let next_first_index = names.get(segment_number + 1).and_then(first_index_of_segment);
        let Some((header, scanned)) = read_segment(*name, &bytes, next_first_index, covered_index)? else {
            continue;
        };
        log.push(*name, header, scanned)?;
    }
    // The removal of segments that the snapshot covers is not synced: after a loss of power any of them may
    // exist.
    let is_covered = log.segments.last().is_some_and(|segment| segment.last_index() < covered_index);
    Ok(if is_covered { Log::default() } else { log })
}

impl Log {
    /// Appends a segment. Fails unless the segment continues the log.
    fn push(&mut self, name: FileName, header: Header, scanned: ScannedRecords) -> Result<(), StorageError> {
        if let Some(last_segment) = self.segments.last() {
            let last_checksum = last_segment.records.last().map(|record| record.checksum);
            if header.first_index != last_segment.last_index() + 1
                || Some(header.previous_checksum) != last_checksum
            {
                return Err(StorageError::damaged(name, 0));
            }
        }
        self.entries.extend(scanned.entries);
        self.segments.push(Segment { header, records: scanned.records });
        Ok(())
    }
}

/// Reads the header and the records of a segment. `next_first_index` is the first index of the following
/// segment, and `covered_index` is the index of the last entry that the snapshot covers. Returns `None` if
/// this is the last segment and has no complete record, because its creation was interrupted.
fn read_segment(
    name: FileName,
    bytes: &[u8],
    next_first_index: Option<u64>,
    covered_index: u64,
) -> Result<Option<(Header, ScannedRecords)>, StorageError> {
    let (header, mut scanned) = match Header::decode(bytes) {
        DecodedHeader::Intact(header) if is_header_of(&header, name) => {
            (header, scan_records(bytes, &header))
        }
        DecodedHeader::OtherVersion => return Err(StorageError::OtherVersion { file: name.to_string() }),
        _ if next_first_index.is_none() && !was_synced(bytes, 0) => return Ok(None),
        _ => return Err(StorageError::damaged(name, 0)),
    };
    let end = scanned.records.last().map_or(0, |record| record.end_offset);
    let next_index = header.first_index + scanned.records.len() as u64;
    let is_damaged = match next_first_index {
        Some(next_first_index) => next_index < next_first_index,
        // Entries that the snapshot covers had been synced, so an incomplete record among them is damage.
        None => was_synced(bytes, end) || (next_index <= covered_index && end < bytes.len() as u64),
    };
    if is_damaged {
        return Err(StorageError::damaged(name, end));
    }
    let count = next_first_index
        .map_or(scanned.records.len(), |next_first_index| (next_first_index - header.first_index) as usize);
    scanned.records.truncate(count);
    scanned.entries.truncate(count);
    Ok((count > 0).then_some((header, scanned)))
}

fn is_header_of(header: &Header, name: FileName) -> bool {
    name == FileName::Segment { generation: header.generation, first_index: header.first_index }
}

fn read<F: Files>(files: &F, name: FileName) -> Result<Vec<u8>, StorageError> {
    let file = files.open(&name.to_string()).map_err(StorageError::io("open", name))?;
    file.read().map_err(StorageError::io("read", name))
}

/// Returns the indices of the files of one kind in a generation, in ascending order. `index_of` returns the
/// index of a file of that kind, and `None` for other files.
fn sorted_indices(names: &[FileName], generation: u64, index_of: fn(&FileName) -> Option<u64>) -> Vec<u64> {
    let of_generation = names.iter().filter(|name| name.generation() == Some(generation));
    let mut indices: Vec<u64> = of_generation.filter_map(index_of).collect();
    indices.sort_unstable();
    indices
}

fn index_of_snapshot(name: &FileName) -> Option<u64> {
    match name {
        FileName::Snapshot { index, .. } => Some(*index),
        _ => None,
    }
}

fn first_index_of_segment(name: &FileName) -> Option<u64> {
    match name {
        FileName::Segment { first_index, .. } => Some(*first_index),
        _ => None,
    }
}
