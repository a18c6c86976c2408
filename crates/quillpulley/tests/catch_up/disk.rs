//! An in-memory disk that records its usage, and estimates the time that writes would take on a real disk.

use quillpulley_protocol::{decode_value, encode_value, WitnessRecord, WitnessRecordRef};
use quillpulley_replication::{Recovered, Write, WriteFailed};
use quillpulley_storage::files::{DataFile, Files};
use quillpulley_storage::{Options, Storage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

type Contents = Rc<RefCell<Vec<u8>>>;

#[derive(Default)]
struct Shared {
    files: RefCell<BTreeMap<String, Contents>>,
    capacity_bytes: Cell<usize>,
    peak_bytes: Cell<usize>,
    written_bytes: Cell<usize>,
    syncs: Cell<u64>,
}

impl Shared {
    fn used(&self) -> usize {
        self.files.borrow().values().map(|file| file.borrow().len()).sum()
    }

    fn record_peak(&self) {
        self.peak_bytes.set(self.peak_bytes.get().max(self.used()));
    }
}

/// An in-memory folder. Its contents persist when a process is killed.
#[derive(Clone, Default)]
pub struct MemoryFolder(Rc<Shared>);

pub struct MemoryFile(Rc<Shared>, Contents);

impl Files for MemoryFolder {
    type File = MemoryFile;

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.files.borrow().keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<MemoryFile> {
        let contents = Contents::default();
        self.0.files.borrow_mut().insert(name.to_string(), contents.clone());
        Ok(MemoryFile(self.0.clone(), contents))
    }

    fn open(&self, name: &str) -> io::Result<MemoryFile> {
        let contents = self.0.files.borrow().get(name).cloned().ok_or(io::ErrorKind::NotFound)?;
        Ok(MemoryFile(self.0.clone(), contents))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.0.files.borrow_mut();
        let contents = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.to_string(), contents);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.files.borrow_mut().remove(name);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        self.0.syncs.set(self.0.syncs.get() + 1);
        Ok(())
    }
}

impl DataFile for MemoryFile {
    fn read(&self) -> io::Result<Vec<u8>> {
        Ok(self.1.borrow().clone())
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let end = offset as usize + bytes.len();
        let grows_by = end.saturating_sub(self.1.borrow().len());
        if self.0.used() + grows_by > self.0.capacity_bytes.get() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut contents = self.1.borrow_mut();
        let length = contents.len().max(end);
        contents.resize(length, 0);
        contents[offset as usize..end].copy_from_slice(bytes);
        drop(contents);
        self.0.written_bytes.set(self.0.written_bytes.get() + bytes.len());
        self.0.record_peak();
        Ok(())
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        self.1.borrow_mut().resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.0.syncs.set(self.0.syncs.get() + 1);
        Ok(())
    }
}

/// The speed of a disk.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    pub sync_us: u64,
    pub bytes_per_us: f64,
}

/// The usual speed: 0.5 ms per sync, and 120 MB/s.
pub const USUAL: Speed = Speed { sync_us: 500, bytes_per_us: 120.0 };
/// A disk that is thirty times slower than the usual one.
pub const SLOW: Speed = Speed { sync_us: 15_000, bytes_per_us: 4.0 };
/// The capacity of each disk.
pub const DISK_BYTES: usize = 128_000_000;

/// The disk of one machine.
pub struct Disk {
    folder: MemoryFolder,
    storage: Option<Storage<MemoryFolder>>,
    pub speed: Speed,
}

impl Disk {
    pub fn new() -> Self {
        let folder = MemoryFolder::default();
        folder.0.capacity_bytes.set(DISK_BYTES);
        Disk { folder, storage: None, speed: USUAL }
    }

    /// Opens the storage as a new process does, and returns the recovered data.
    pub fn open(&mut self) -> Recovered {
        let (storage, found) =
            Storage::open_in(self.folder.clone(), Options::default()).expect("valid files");
        self.storage = Some(storage);
        let record = found.record.as_deref().map(decode_value::<WitnessRecordRef, WitnessRecord>);
        let record = record.transpose().expect("a record");
        Recovered { record, snapshot: found.snapshot, entries: found.entries }
    }

    /// Performs a write. Returns its result, and the time that it would take on a real disk, in microseconds.
    pub fn write(&mut self, write: Write) -> (Result<(), WriteFailed>, u64) {
        let shared = &self.folder.0;
        let before = (shared.syncs.get(), shared.written_bytes.get());
        let storage = self.storage.as_mut().expect("an open disk");
        let outcome = match write {
            Write::Record(record) => storage.save_record(&encode_value(record)),
            Write::Append(entries) => storage.append(&entries),
            Write::Install { last, snapshot, entries } => storage.install(last, &snapshot, &entries),
            Write::Compact { last, snapshot } => storage.compact(last, &snapshot),
        };
        let syncs = shared.syncs.get() - before.0;
        let bytes = shared.written_bytes.get() - before.1;
        let time_us = syncs * self.speed.sync_us + (bytes as f64 / self.speed.bytes_per_us) as u64;
        (outcome.map_err(|_| WriteFailed), time_us)
    }

    /// Sets whether the disk is full, in which case files cannot grow.
    pub fn set_full(&mut self, full: bool) {
        let shared = &self.folder.0;
        shared.capacity_bytes.set(if full { 0 } else { DISK_BYTES });
    }

    /// Returns the maximum number of bytes that the disk has held.
    pub fn peak_bytes(&self) -> usize {
        self.folder.0.peak_bytes.get()
    }
}
