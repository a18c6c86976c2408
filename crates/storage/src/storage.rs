//! The storage of a process: its operations, and the order in which they reach the disk.

use crate::files::{DataFile, Files, Folder};
use crate::format::segment::Header;
use crate::format::snapshot;
use crate::names::FileName;
use crate::record::RecordFile;
use crate::recovery::{recover, Recovered};
use crate::segments::{create, Segments};
use crate::StorageError;
use quillpulley_protocol::{Entry, Position};
use std::path::Path;

const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// How storage uses the disk.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A segment that has reached this length is not extended; 4 MiB.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment_bytes: DEFAULT_SEGMENT_BYTES }
    }
}

/// Durable storage for one thread. Every call may wait for the disk.
pub struct Storage<F: Files = Folder> {
    files: F,
    options: Options,
    /// The active generation.
    generation: u64,
    /// A generation that no file has had so far.
    next_generation: u64,
    /// The last entry that the snapshot covers.
    snapshot: Option<Position>,
    segments: Segments<F>,
    record: RecordFile<F>,
    /// Whether the folder may hold the left-overs of a call that failed.
    needs_repair: bool,
}

impl Storage {
    /// Opens the storage in a folder, and returns it with what was stored there.
    ///
    /// # Errors
    /// [`StorageError::Io`], which may be retried; any other error means that the folder has lost synced data.
    pub fn open(folder: &Path, options: Options) -> Result<(Storage, Recovered), StorageError> {
        let files = Folder::open(folder).map_err(StorageError::io("open the folder", folder.display()))?;
        Storage::open_in(files, options)
    }
}

impl<F: Files> Storage<F> {
    /// Opens the storage in some other kind of folder.
    ///
    /// # Errors
    /// [`StorageError`].
    pub fn open_in(files: F, options: Options) -> Result<(Storage<F>, Recovered), StorageError> {
        // Names that a killed process created or removed count only once they are durable.
        files.sync_names().map_err(StorageError::io("sync", "the folder"))?;
        let names = names(&files)?;
        let state = recover(&files, &names)?;
        let (record, saved) = RecordFile::open(&files, names.contains(&FileName::Record))?;
        let highest = names.iter().filter_map(FileName::generation).max().unwrap_or(0);
        let mut storage = Storage {
            files,
            options,
            generation: state.generation,
            next_generation: highest + 1,
            snapshot: state.snapshot.as_ref().map(|(last, _)| *last),
            segments: Segments::new(state.segments),
            record,
            needs_repair: true,
        };
        storage.segments.sync_last(&storage.files)?;
        if let Err(error) = storage.repair() {
            log::warn!(error:%; "left-over files of an earlier process were not removed");
        }
        Ok((storage, Recovered { record: saved, snapshot: state.snapshot, entries: state.entries }))
    }

    /// Returns the index of the last entry that is stored or that the snapshot covers; 0 before the first.
    pub fn last_index(&self) -> u64 {
        self.segments.last_index().unwrap_or(self.snapshot_index())
    }

    /// Returns the last entry that the snapshot covers, if there is one.
    pub fn snapshot_position(&self) -> Option<Position> {
        self.snapshot
    }

    /// Returns the bytes of the log on disk, by which callers decide when to compact it.
    pub fn log_bytes(&self) -> u64 {
        self.segments.bytes()
    }

    /// Replaces the record.
    ///
    /// # Errors
    /// [`StorageError`].
    pub fn save_record(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        self.record.save(&self.files, bytes)
    }

    /// Appends entries with consecutive indices, so that the log ends with the last of them. The first one may have any
    /// index after the snapshot: entries that are stored already are kept, conflicting ones are truncated. After an
    /// error the log may end before the first entry that was to be truncated.
    ///
    /// # Errors
    /// [`StorageError`].
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let Some(last) = entries.last().map(|entry| entry.index) else { return Ok(()) };
        self.check_sequence(entries)?;
        let known = entries.iter().take_while(|entry| self.contains(entry)).count();
        let new = &entries[known..];
        let kept = new.first().map_or(last, |entry| entry.index - 1);
        if new.is_empty() && kept == self.last_index() && !self.needs_repair {
            return Ok(());
        }
        self.change(|storage| {
            storage.segments.truncate(&storage.files, kept)?;
            if new.is_empty() {
                return Ok(());
            }
            let segment_bytes = storage.options.segment_bytes;
            storage.segments.append(&storage.files, storage.generation, segment_bytes, new)
        })
    }

    /// Replaces everything but the record, atomically, by a snapshot, the position of the last entry that it covers,
    /// and the entries after it, in a new generation.
    ///
    /// # Errors
    /// [`StorageError`].
    pub fn install(
        &mut self,
        last: Position,
        snapshot: &[u8],
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        check_consecutive(last.index + 1, entries)?;
        self.change(|storage| storage.install_generation(last, snapshot, entries))
    }

    /// Stores a snapshot, and drops the entries that it covers. A snapshot that covers no more than the present one is
    /// ignored.
    ///
    /// # Errors
    /// [`StorageError`].
    pub fn compact(&mut self, last: Position, snapshot: &[u8]) -> Result<(), StorageError> {
        if last.index <= self.snapshot_index() {
            return Ok(());
        }
        if last.index > self.last_index() {
            return self.install(last, snapshot, &[]);
        }
        self.change(|storage| {
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

    /// Checks that the entries are consecutive, and begin after the snapshot and at the end of the log at the latest.
    fn check_sequence(&self, entries: &[Entry]) -> Result<(), StorageError> {
        let first = entries.first().map_or(0, |entry| entry.index);
        let expected = self.last_index() + 1;
        if first <= self.snapshot_index() || first > expected {
            return Err(StorageError::OutOfOrder { found: first, expected });
        }
        check_consecutive(first, entries)
    }

    /// Returns whether an entry is stored: index and epoch identify it.
    fn contains(&self, entry: &Entry) -> bool {
        self.segments.epoch_of(entry.index) == Some(entry.epoch)
    }

    /// Performs a change. The left-overs of one that fails are removed before the next.
    fn change(
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

    /// Removes left-overs from the folder, durably.
    fn repair(&mut self) -> Result<(), StorageError> {
        self.revoke_newer_generations()?;
        self.remove_unused_files()?;
        self.sync_names()?;
        self.segments.truncate_to_length(&self.files)?;
        self.needs_repair = false;
        Ok(())
    }

    /// Creates a new generation. It becomes active when its snapshot gets its name.
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
            let header = Header { generation, first: last.index + 1, chain: 0 };
            segments.push(create(&self.files, header, entries)?.0);
        }
        self.write_snapshot(generation, last, snapshot)?;
        self.generation = generation;
        self.snapshot = Some(last);
        self.segments = Segments::new(segments);
        self.try_remove_unused_files();
        Ok(())
    }

    /// Writes a snapshot to a temporary file, and renames that once it is complete.
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

    /// Removes unused files. Those that stay, or come back after a loss of power, do no harm.
    fn try_remove_unused_files(&self) {
        if let Err(error) = self.remove_unused_files() {
            log::warn!(error:%; "unused files were not removed");
        }
    }

    fn remove_unused_files(&self) -> Result<(), StorageError> {
        names(&self.files)?.iter().filter(|name| !self.is_in_use(name)).try_for_each(|name| self.remove(name))
    }

    /// Removes the snapshots of installations that failed at their end, durably and before their segments: a part of an
    /// installation must not become active.
    fn revoke_newer_generations(&self) -> Result<(), StorageError> {
        let is_newer = |name: &&FileName| match name {
            FileName::Snapshot { generation, .. } => *generation > self.generation,
            _ => false,
        };
        let names = names(&self.files)?;
        let mut revoked = names.iter().filter(is_newer).peekable();
        if revoked.peek().is_none() {
            return Ok(());
        }
        revoked.try_for_each(|name| self.remove(name))?;
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

fn names<F: Files>(files: &F) -> Result<Vec<FileName>, StorageError> {
    let names = files.names().map_err(StorageError::io("list", "the folder"))?;
    Ok(names.iter().filter_map(|name| FileName::parse(name)).collect())
}
