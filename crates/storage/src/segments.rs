//! The segments of the log on disk.

use crate::files::{DataFile, Files};
use crate::format::segment::{encode_record, Header, RecordLocation, HEADER_BYTES};
use crate::names::FileName;
use crate::StorageError;
use quillpulley_protocol::Entry;

/// A segment with at least one record.
#[derive(Debug)]
pub(crate) struct Segment {
    pub header: Header,
    pub records: Vec<RecordLocation>,
}

impl Segment {
    pub fn name(&self) -> FileName {
        FileName::Segment { generation: self.header.generation, first_index: self.header.first_index }
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.header.first_index + self.records.len() as u64 - 1
    }

    /// Returns the length of the header and of all records, in bytes. All of it is synced.
    pub fn length(&self) -> u64 {
        self.records.last().map_or(HEADER_BYTES as u64, |record| record.end_offset)
    }

    fn last_checksum(&self) -> u32 {
        self.records.last().map_or(self.header.previous_checksum, |record| record.checksum)
    }

    fn epoch_of(&self, index: u64) -> Option<u64> {
        let offset = index.checked_sub(self.header.first_index)?;
        self.records.get(offset as usize).map(|record| record.epoch)
    }
}

/// The consecutive segments of a generation, without segments that the snapshot covers completely. The
/// last segment is kept even if it is covered.
///
/// After an error, the last segment may be longer on disk than in memory, and the folder may contain unused
/// files. `truncate_to_length` and the removal of unused files correct that.
pub(crate) struct Segments<F: Files> {
    segments: Vec<Segment>,
    /// The open file of the last segment; `None` until it is needed.
    last_file: Option<F::File>,
}

impl<F: Files> Segments<F> {
    pub fn new(segments: Vec<Segment>) -> Self {
        Segments { segments, last_file: None }
    }

    /// Returns the index of the last entry; `None` if there is no segment.
    pub fn last_index(&self) -> Option<u64> {
        self.segments.last().map(Segment::last_index)
    }

    /// Returns the epoch of the entry with this index; `None` if it is not stored.
    pub fn epoch_of(&self, index: u64) -> Option<u64> {
        let segment = self.segments.iter().rev().find(|segment| segment.header.first_index <= index)?;
        segment.epoch_of(index)
    }

    /// Returns the length of all segments, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.segments.iter().map(Segment::length).sum()
    }

    pub fn contains(&self, name: &FileName) -> bool {
        self.segments.iter().any(|segment| segment.name() == *name)
    }

    /// Forgets segments without entries after `covered_index`, except for the last segment, to which the next
    /// entries are appended. Their files become unused, and are not removed here.
    pub fn drop_covered(&mut self, covered_index: u64) {
        let all_but_last = self.segments.len().saturating_sub(1);
        let covered = self.segments[..all_but_last]
            .iter()
            .take_while(|segment| segment.last_index() <= covered_index)
            .count();
        self.segments.drain(..covered);
    }

    /// Removes all entries after `last_index`. The removal is durable before the method returns, so that
    /// entries that are appended later are never mixed with removed ones.
    pub fn truncate(&mut self, files: &F, last_index: u64) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.pop_if(|segment| segment.header.first_index > last_index) {
            self.last_file = None;
            let name = segment.name();
            files.remove(&name.to_string()).map_err(StorageError::io("remove", name))?;
            files.sync_names().map_err(StorageError::io("sync the folder of", name))?;
        }
        let Some(segment) = self.segments.last_mut().filter(|segment| segment.last_index() > last_index)
        else {
            return Ok(());
        };
        segment.records.truncate((last_index + 1 - segment.header.first_index) as usize);
        self.truncate_to_length(files)
    }

    /// Truncates the last segment after its last complete record.
    pub fn truncate_to_length(&mut self, files: &F) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last() else { return Ok(()) };
        let (name, length) = (segment.name(), segment.length());
        let file = self.last_segment_file(files, name)?;
        file.set_length(length).map_err(StorageError::io("truncate", name))?;
        file.sync().map_err(StorageError::io("sync", name))
    }

    /// Syncs the last segment, since recovery may have read records that a killed process wrote but did not
    /// sync.
    pub fn sync_last(&mut self, files: &F) -> Result<(), StorageError> {
        let Some(name) = self.segments.last().map(Segment::name) else { return Ok(()) };
        self.last_segment_file(files, name)?.sync().map_err(StorageError::io("sync", name))
    }

    /// Appends entries to the last segment, or to a new one if the last segment has reached `segment_bytes`.
    pub fn append(
        &mut self,
        files: &F,
        generation: u64,
        segment_bytes: u64,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        match self.segments.last() {
            Some(segment) if segment.length() < segment_bytes => self.extend_last_segment(files, entries),
            _ => self.start_segment(files, generation, entries),
        }
    }

    fn extend_last_segment(&mut self, files: &F, entries: &[Entry]) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last() else { return Ok(()) };
        let (name, start) = (segment.name(), segment.length());
        let mut bytes = Vec::new();
        let records = encode_records(entries, segment.last_checksum(), start, start, &mut bytes);
        let file = self.last_segment_file(files, name)?;
        file.write(start, &bytes).map_err(StorageError::io("write", name))?;
        file.sync().map_err(StorageError::io("sync", name))?;
        if let Some(segment) = self.segments.last_mut() {
            segment.records.extend(records);
        }
        Ok(())
    }

    fn start_segment(&mut self, files: &F, generation: u64, entries: &[Entry]) -> Result<(), StorageError> {
        let Some(first_index) = entries.first().map(|entry| entry.index) else { return Ok(()) };
        let previous_checksum = self.segments.last().map_or(0, Segment::last_checksum);
        let (segment, file) =
            create_segment(files, Header { generation, first_index, previous_checksum }, entries)?;
        self.segments.push(segment);
        self.last_file = Some(file);
        Ok(())
    }

    /// Returns the open file of the last segment, whose name is `name`.
    fn last_segment_file(&mut self, files: &F, name: FileName) -> Result<&F::File, StorageError> {
        let file = match self.last_file.take() {
            Some(file) => file,
            None => files.open(&name.to_string()).map_err(StorageError::io("open", name))?,
        };
        Ok(self.last_file.insert(file))
    }
}

/// Creates a segment that contains `entries`. Its contents and its name are durable before the function
/// returns.
pub(crate) fn create_segment<F: Files>(
    files: &F,
    header: Header,
    entries: &[Entry],
) -> Result<(Segment, F::File), StorageError> {
    let mut bytes = Vec::new();
    header.encode(&mut bytes);
    let records = encode_records(entries, header.previous_checksum, HEADER_BYTES as u64, 0, &mut bytes);
    let segment = Segment { header, records };
    let name = segment.name();
    let file = files.create(&name.to_string()).map_err(StorageError::io("create", name))?;
    file.write(0, &bytes).map_err(StorageError::io("write", name))?;
    file.sync().map_err(StorageError::io("sync", name))?;
    files.sync_names().map_err(StorageError::io("sync the folder of", name))?;
    Ok((segment, file))
}

/// Appends the records of `entries` to a buffer, and returns their locations. The first record will be
/// written at the offset `start` of the segment, of which `synced_length` bytes are synced.
fn encode_records(
    entries: &[Entry],
    mut last_checksum: u32,
    start: u64,
    synced_length: u64,
    bytes: &mut Vec<u8>,
) -> Vec<RecordLocation> {
    let previous_length = bytes.len() as u64;
    let mut append_record = |entry: &Entry| {
        last_checksum = encode_record(entry, last_checksum, synced_length, bytes);
        let end_offset = start + bytes.len() as u64 - previous_length;
        RecordLocation { epoch: entry.epoch, end_offset, checksum: last_checksum }
    };
    entries.iter().map(&mut append_record).collect()
}
