//! The thread that owns the disk. A faulty disk may block for seconds, so no other thread waits for
//! its writes.

use crate::HostError;
use quillpulley_protocol::{decode_value, encode_value, WitnessRecord, WitnessRecordRef};
use quillpulley_replication::{Recovered, Write, WriteFailed};
use quillpulley_storage::{Options, Storage, StorageError};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

/// The outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteCompletion {
    /// The ticket that identifies the write.
    pub ticket: u64,
    /// `Ok` if the write is durable.
    pub result: Result<(), WriteFailed>,
}

struct QueuedWrite {
    ticket: u64,
    write: Write,
}

/// The handle of the storage thread.
pub struct StorageThread {
    writes: Sender<QueuedWrite>,
}

impl StorageThread {
    /// Starts the thread, which opens the storage in `folder`, and waits for the data recovered from there.
    /// `deliver` is called with the outcome of each write.
    ///
    /// # Errors
    /// [`HostError::Storage`] or [`HostError::WitnessRecord`] if the folder cannot be read, [`HostError::Runtime`] if
    /// the thread cannot be started.
    pub fn open<D>(folder: PathBuf, deliver: D) -> Result<(StorageThread, Recovered), HostError>
    where
        D: Fn(WriteCompletion) + Send + 'static,
    {
        let (result_sender, result_receiver) = mpsc::channel();
        let (writes, queue) = mpsc::channel();
        let work = move || match open(&folder) {
            Ok((storage, recovered)) => {
                if result_sender.send(Ok(recovered)).is_ok() {
                    store_all(storage, &queue, deliver);
                }
            }
            Err(error) => drop(result_sender.send(Err(error))),
        };
        thread::Builder::new().spawn(work).map_err(HostError::Runtime)?;
        let thread_exited = |_| HostError::Runtime(std::io::Error::other("the storage thread has exited"));
        let recovered = result_receiver.recv().map_err(thread_exited)??;
        Ok((StorageThread { writes }, recovered))
    }

    /// Queues a write to be made durable. Writes are processed in the order of the calls.
    pub fn store(&self, ticket: u64, write: Write) {
        if self.writes.send(QueuedWrite { ticket, write }).is_err() {
            log::error!("the storage thread has exited: restart the process");
        }
    }
}

fn open(folder: &Path) -> Result<(Storage, Recovered), HostError> {
    let (storage, found) = Storage::open(folder, Options::default()).map_err(HostError::Storage)?;
    let record = found.record.as_deref().map(decode_value::<WitnessRecordRef, WitnessRecord>).transpose();
    let record = record.map_err(HostError::WitnessRecord)?;
    Ok((storage, Recovered { record, snapshot: found.snapshot, entries: found.entries }))
}

fn store_all(mut storage: Storage, queue: &Receiver<QueuedWrite>, deliver: impl Fn(WriteCompletion)) {
    let mut is_failing = false;
    while let Ok(QueuedWrite { ticket, write }) = queue.recv() {
        let outcome = store(&mut storage, write);
        log_outcome(&outcome, &mut is_failing);
        deliver(WriteCompletion { ticket, result: outcome.map_err(|_| WriteFailed) });
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

/// Logs the first of consecutive failures, and the first success after them.
fn log_outcome(outcome: &Result<(), StorageError>, is_failing: &mut bool) {
    match outcome {
        Err(error) if !*is_failing => log::warn!(error:% = error; "failed to write to the disk"),
        Ok(()) if *is_failing => log::info!("the disk accepts writes again"),
        _ => {}
    }
    *is_failing = outcome.is_err();
}
