//! The operations of the storage, and the order in which they write to the disk.

use crate::files::{DataFile, Files, Folder};
use crate::format::segment::Header;
use crate::format::snapshot;
use crate::names::FileName;
use crate::record::RecordFile;
use crate::recovery::{recover, Recovered};
use crate::segments::{create_segment, Segments};
use crate::StorageError;
use quillpulley_protocol::{Entry, Position};
use std::path::Path;

const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// The options of a [`Storage`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The length in bytes at which a segment is full, so that entries go to a new one. The default is 4 MiB.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment_bytes: DEFAULT_SEGMENT_BYTES }
    }
}

/// A durable log with snapshots, and one record. Every call may block until the disk responds.
pub struct Storage<F: Files = Folder> {
    files: F,
    options: Options,
    /// The active generation.
    generation: u64,
    /// The number for the next generation, which no file has had so far.
    next_generation: u64,
    /// The position of the last entry that the snapshot covers; `None` without a snapshot.
    snapshot: Option<Position>,
    segments: Segments<F>,
    record: RecordFile<F>,
    /// Whether the folder may contain leftovers of a failed call, which must be removed before the next
    /// change.
    needs_repair: bool,
}

impl Storage {
    /// Opens the storage in a folder, and returns it with the data that was found there.
    ///
    /// # Errors
    /// [`StorageError::Io`] if the disk fails; the call may be retried. [`StorageError::OtherVersion`] if
    /// another version wrote the folder. Any other error means that synced data is lost or damaged.
    pub fn open(folder: &Path, options: Options) -> Result<(Storage, Recovered), StorageError> {
        let files = Folder::open(folder).map_err(StorageError::io("open the folder", folder.display()))?;
        Storage::open_in(files, options)
    }
}

impl<F: Files> Storage<F> {
    /// Opens the storage in a folder behind another implementation of [`Files`], and returns it with the data
    /// that was found there.
    ///
    /// # Errors
    /// Fails like [`Storage::open`].
    pub fn open_in(files: F, options: Options) -> Result<(Storage<F>, Recovered), StorageError> {
        // A killed process may have created, renamed or removed files without syncing the folder. These
        // changes must be durable before recovery relies on them.
        files.sync_names().map_err(StorageError::io("sync", "the folder"))?;
        let names = list_files(&files)?;
        let recovered = recover(&files, &names)?;
        let (record, saved_record) = RecordFile::open(&files, names.contains(&FileName::Record))?;
        let highest_generation = names.iter().filter_map(FileName::generation).max().unwrap_or(0);
        let mut storage = Storage {
            files,
            options,
            generation: recovered.generation,
            next_generation: highest_generation + 1,
            snapshot: recovered.snapshot.as_ref().map(|(last, _)| *last),
            segments: Segments::new(recovered.segments),
            record,
            needs_repair: true,
        };
        storage.segments.sync_last(&storage.files)?;
        if let Err(error) = storage.repair() {
            log::warn!(error:%; "could not remove the leftover files of an earlier process");
        }
        Ok((
            storage,
            Recovered { record: saved_record, snapshot: recovered.snapshot, entries: recovered.entries },
        ))
    }

    /// Returns the index of the last entry that is stored or that the snapshot covers; 0 if there is none.
    pub fn last_index(&self) -> u64 {
        self.segments.last_index().unwrap_or(self.snapshot_index())
    }

    /// Returns the position of the last entry that the snapshot covers; `None` if there is no snapshot.
    pub fn snapshot_position(&self) -> Option<Position> {
        self.snapshot
    }

    /// Returns the length of the log on disk in bytes. Callers use it to decide when to compact the log.
    pub fn log_bytes(&self) -> u64 {
        self.segments.total_bytes()
    }

    /// Replaces the record. This needs no new disk space if the file of the record exists.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLong`] if the record exceeds [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES);
    /// [`StorageError::Io`] if the disk fails.
    pub fn save_record(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        self.record.save(&self.files, bytes)
    }

    /// Appends entries with consecutive indices. The log then ends with the last of them, even if it was
    /// longer before.
    ///
    /// The first entry may have any index after the snapshot, up to the one that follows the end of the log.
    /// Entries that are stored already are kept. From the first conflicting entry on, which has the same
    /// index as a stored entry but another epoch, the stored entries are replaced. After an error, the
    /// entries that were to be replaced may be removed although the new ones were not appended.
    ///
    /// # Errors
    /// [`StorageError::OutOfOrder`] if the indices are not consecutive, or the first one is not in the range
    /// above; [`StorageError::Io`] if the disk fails.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let Some(last_index) = entries.last().map(|entry| entry.index) else { return Ok(()) };
        self.check_sequence(entries)?;
        let stored_count = entries.iter().take_while(|entry| self.contains(entry)).count();
        let new_entries = &entries[stored_count..];
        let last_kept = new_entries.first().map_or(last_index, |entry| entry.index - 1);
        if new_entries.is_empty() && last_kept == self.last_index() && !self.needs_repair {
            return Ok(());
        }
        self.apply_change(|storage| {
            storage.segments.truncate(&storage.files, last_kept)?;
            if new_entries.is_empty() {
                return Ok(());
            }
            let segment_bytes = storage.options.segment_bytes;
            storage.segments.append(&storage.files, storage.generation, segment_bytes, new_entries)
        })
    }

    /// Atomically replaces all snapshots and entries by `snapshot` and the entries that follow it, as a new
    /// generation. `last` is the position of the last entry that `snapshot` covers. The record is kept.
    ///
    /// # Errors
    /// [`StorageError::OutOfOrder`] if the entries do not follow `last` with consecutive indices;
    /// [`StorageError::Io`] if the disk fails.
    pub fn install(
        &mut self,
        last: Position,
        snapshot: &[u8],
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        check_consecutive(last.index + 1, entries)?;
        self.apply_change(|storage| storage.install_generation(last, snapshot, entries))
    }

    /// Stores a snapshot, and drops the entries that it covers. `last` is the position of the last entry that
    /// it covers. A snapshot that covers no more entries than the stored one is ignored. A snapshot beyond
    /// the end of the log replaces the log, as [`Storage::install`] does.
    ///
    /// # Errors
    /// [`StorageError::Io`] if the disk fails.
    pub fn compact(&mut self, last: Position, snapshot: &[u8]) -> Result<(), StorageError> {
        if last.index <= self.snapshot_index() {
            return Ok(());
        }
        if last.index > self.last_index() {
            return self.install(last, snapshot, &[]);
        }
        self.apply_change(|storage| {
            storage.write_snapshot(storage.generation, last, snapshot)?;
            storage.snapshot = Some(last);
            storage.segments.drop_covered(last.index);
            Ok(())
        })?;
        self.try_remove_unused_files();
        Ok(())
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot.map_or(0, |last| last.index)
    }

    /// Checks that the entries are consecutive, begin after the snapshot, and leave no gap after the end of
    /// the log.
    fn check_sequence(&self, entries: &[Entry]) -> Result<(), StorageError> {
        let first = entries.first().map_or(0, |entry| entry.index);
        let expected = self.last_index() + 1;
        if first <= self.snapshot_index() || first > expected {
            return Err(StorageError::OutOfOrder { found: first, expected });
        }
        check_consecutive(first, entries)
    }

    /// Returns whether an entry is stored. An entry is identified by its index and epoch.
    fn contains(&self, entry: &Entry) -> bool {
        self.segments.epoch_of(entry.index) == Some(entry.epoch)
    }

    /// Performs a change, after removing the leftovers of an earlier change that failed.
    fn apply_change(
        &mut self,
        change: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.needs_repair {
            self.repair()?;
        }
        self.needs_repair = true;
        change(self)?;
        self.needs_repair = false;
        Ok(())
    }

    /// Durably removes unused files, and anything that follows the last complete record of the log.
    fn repair(&mut self) -> Result<(), StorageError> {
        self.remove_failed_installations()?;
        self.remove_unused_files()?;
        self.sync_names()?;
        self.segments.truncate_to_length(&self.files)?;
        self.needs_repair = false;
        Ok(())
    }

    /// Creates a new generation. It becomes active when its snapshot is renamed from the temporary file.
    fn install_generation(
        &mut self,
        last: Position,
        snapshot: &[u8],
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let generation = self.next_generation;
        self.next_generation += 1;
        let mut segments = Vec::new();
        if !entries.is_empty() {
            let header = Header { generation, first_index: last.index + 1, previous_checksum: 0 };
            segments.push(create_segment(&self.files, header, entries)?.0);
        }
        self.write_snapshot(generation, last, snapshot)?;
        self.generation = generation;
        self.snapshot = Some(last);
        self.segments = Segments::new(segments);
        self.try_remove_unused_files();
        Ok(())
    }

    /// Writes a snapshot to a temporary file, and renames the file once it is synced.
    fn write_snapshot(&self, generation: u64, last: Position, state: &[u8]) -> Result<(), StorageError> {
        let name = FileName::Snapshot { generation, index: last.index };
        let temporary = FileName::Temporary;
        let file =
            self.files.create(&temporary.to_string()).map_err(StorageError::io("create", temporary))?;
        let header = snapshot::encode_header(last, state);
        file.write(0, &header).map_err(StorageError::io("write", temporary))?;
        file.write(header.len() as u64, state).map_err(StorageError::io("write", temporary))?;
        file.sync().map_err(StorageError::io("sync", temporary))?;
        let renamed = self.files.rename(&temporary.to_string(), &name.to_string());
        renamed.map_err(StorageError::io("rename", name))?;
        self.files.sync_names().map_err(StorageError::io("sync the folder of", name))
    }

    /// Tries to remove unused files. Recovery ignores those that remain, or that reappear after a loss of
    /// power.
    fn try_remove_unused_files(&self) {
        if let Err(error) = self.remove_unused_files() {
            log::warn!(error:%; "could not remove unused files");
        }
    }

    fn remove_unused_files(&self) -> Result<(), StorageError> {
        list_files(&self.files)?
            .iter()
            .filter(|name| !self.is_in_use(name))
            .try_for_each(|name| self.remove(name))
    }

    /// Durably removes snapshots of generations newer than the active one, which installations left that
    /// failed after the renaming. This must happen before their segments are removed: otherwise, after a loss
    /// of power, a generation could become active without its entries.
    fn remove_failed_installations(&self) -> Result<(), StorageError> {
        let is_newer = |name: &&FileName| match name {
            FileName::Snapshot { generation, .. } => *generation > self.generation,
            _ => false,
        };
        let names = list_files(&self.files)?;
        let mut failed = names.iter().filter(is_newer).peekable();
        if failed.peek().is_none() {
            return Ok(());
        }
        failed.try_for_each(|name| self.remove(name))?;
        self.sync_names()
    }

    fn remove(&self, name: &FileName) -> Result<(), StorageError> {
        self.files.remove(&name.to_string()).map_err(StorageError::io("remove", name))
    }

    fn sync_names(&self) -> Result<(), StorageError> {
        self.files.sync_names().map_err(StorageError::io("sync", "the folder"))
    }

    fn is_in_use(&self, name: &FileName) -> bool {
        match name {
            FileName::Record => true,
            FileName::Temporary => false,
            FileName::Segment { .. } => self.segments.contains(name),
            FileName::Snapshot { generation, index } => {
                *generation == self.generation && self.snapshot.is_some_and(|last| last.index == *index)
            }
        }
    }
}

fn check_consecutive(first: u64, entries: &[Entry]) -> Result<(), StorageError> {
    let numbered = (first..).zip(entries);
    let mut misnumbered = numbered.filter(|(expected, entry)| entry.index != *expected);
    match misnumbered.next() {
        Some((expected, entry)) => Err(StorageError::OutOfOrder { found: entry.index, expected }),
        None => Ok(()),
    }
}

fn list_files<F: Files>(files: &F) -> Result<Vec<FileName>, StorageError> {
    let names = files.names().map_err(StorageError::io("list", "the folder"))?;
    Ok(names.iter().filter_map(|name| FileName::parse(name)).collect())
}
