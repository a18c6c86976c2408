//! The thread that owns the disk. A disk in trouble hangs for seconds: no other thread waits for it.

use crate::HostError;
use quillpulley_protocol::{decode_value, encode_value, WitnessRecord, WitnessRecordRef};
use quillpulley_replication::{Recovered, Write, WriteFailed};
use quillpulley_storage::{Options, Storage, StorageError};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

/// The fate of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The write's ticket.
    pub ticket: u64,
    /// Whether it is durable.
    pub result: Result<(), WriteFailed>,
}

/// Hands writes to the thread that owns the disk.
pub struct Disk {
    writes: Sender<(u64, Write)>,
}

impl Disk {
    /// Opens the storage in `folder` and waits for what it holds. `deliver` is called with the fate of each
    /// write.
    ///
    /// # Errors
    /// [`HostError::Storage`] if the folder cannot be read, [`HostError::Runtime`] if there can be no thread.
    pub fn open<D>(folder: PathBuf, deliver: D) -> Result<(Disk, Recovered), HostError>
    where
        D: Fn(Stored) + Send + 'static,
    {
        let (opened, outcome) = mpsc::channel();
        let (writes, queue) = mpsc::channel();
        let work = move || match open(&folder) {
            Ok((storage, recovered)) => {
                if opened.send(Ok(recovered)).is_ok() {
                    store_all(storage, &queue, deliver);
                }
            }
            Err(error) => drop(opened.send(Err(error))),
        };
        thread::Builder::new().spawn(work).map_err(HostError::Runtime)?;
        let ended = |_| HostError::Runtime(std::io::Error::other("the storage thread has ended"));
        let recovered = outcome.recv().map_err(ended)??;
        Ok((Disk { writes }, recovered))
    }

    /// Has a write made durable, after those before it.
    pub fn store(&self, ticket: u64, write: Write) {
        if self.writes.send((ticket, write)).is_err() {
            log::error!("the storage thread has ended: restart the process");
        }
    }
}

fn open(folder: &Path) -> Result<(Storage, Recovered), HostError> {
    let unusable = |error: &dyn Display| HostError::Storage(error.to_string());
    let (storage, found) = Storage::open(folder, Options::default()).map_err(|error| unusable(&error))?;
    let record = found.record.as_deref().map(decode_value::<WitnessRecordRef, WitnessRecord>).transpose();
    let record = record.map_err(|error| unusable(&error))?;
    Ok((storage, Recovered { record, snapshot: found.snapshot, entries: found.entries }))
}

fn store_all(mut storage: Storage, queue: &Receiver<(u64, Write)>, deliver: impl Fn(Stored)) {
    let mut failing = false;
    while let Ok((ticket, write)) = queue.recv() {
        let outcome = store(&mut storage, write);
        report(&outcome, &mut failing);
        deliver(Stored { ticket, result: outcome.map_err(|_| WriteFailed) });
    }
}

fn store(storage: &mut Storage, write: Write) -> Result<(), StorageError> {
    match write {
        Write::Record(record) => storage.save_record(&encode_value(record)),
        Write::Append(entries) => storage.append(&entries),
        Write::Install { last, snapshot, entries } => storage.install(last, &snapshot, &entries),
        Write::Compact { last, snapshot } => storage.compact(last, &snapshot),
    }
}

/// Logs the first of several failures, and when they are over.
fn report(outcome: &Result<(), StorageError>, failing: &mut bool) {
    match outcome {
        Err(error) if !*failing => log::warn!("storage: {error}"),
        Ok(()) if *failing => log::info!("storage takes writes again"),
        _ => {}
    }
    *failing = outcome.is_err();
}
