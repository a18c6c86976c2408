//! Tests of the storage thread: the data that it stores, and that it reports a failed write and continues.

use crate::cluster::TIMEOUT;
use quillpulley::control::replica_host::storage_thread::{StorageThread, WriteCompletion};
use quillpulley::HostError;
use quillpulley_protocol::{Entry, NodeId, Position, WitnessRecord};
use quillpulley_replication::{Recovered, Write, WriteFailed};
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver};

/// A folder that is removed when it is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("quillpulley-disk-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("cannot create the folder");
        TestFolder(folder)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn open(folder: &TestFolder) -> (StorageThread, Recovered, Receiver<WriteCompletion>) {
    let (send_completion, completions) = mpsc::channel();
    let deliver = move |completion| drop(send_completion.send(completion));
    let (storage, recovered) =
        StorageThread::open(folder.0.clone(), deliver).expect("cannot open the folder");
    (storage, recovered, completions)
}

fn record(promised: u64) -> WitnessRecord {
    WitnessRecord { incarnation: 7, promised, promised_to: NodeId::default(), accepted: None }
}

fn entry(index: u64) -> Entry {
    Entry { epoch: 1, index, payload: vec![index as u8; 10] }
}

fn position(index: u64) -> Position {
    Position { epoch: 1, index }
}

#[test]
fn writes_are_stored_in_order_and_recovered() {
    let folder = TestFolder::new("order");
    let (storage, recovered, completions) = open(&folder);
    assert!(recovered.record.is_none() && recovered.entries.is_empty());
    let writes = [
        Write::Record(record(1)),
        Write::Append(vec![entry(1), entry(2)]),
        Write::Compact { last: position(1), snapshot: b"one".to_vec() },
        Write::Record(record(2)),
    ];
    for (ticket, write) in (1..).zip(writes) {
        storage.store(ticket, write);
    }
    for ticket in 1..=4 {
        assert_eq!(completions.recv_timeout(TIMEOUT), Ok(WriteCompletion { ticket, result: Ok(()) }));
    }
    drop(storage);

    let (storage, recovered, completions) = open(&folder);
    assert_eq!(recovered.record, Some(record(2)));
    assert_eq!(recovered.snapshot, Some((position(1), b"one".to_vec())));
    assert_eq!(recovered.entries, [entry(2)]);
    let install = Write::Install { last: position(9), snapshot: b"nine".to_vec(), entries: vec![entry(10)] };
    storage.store(1, install);
    assert_eq!(completions.recv_timeout(TIMEOUT), Ok(WriteCompletion { ticket: 1, result: Ok(()) }));
    let (_, recovered, _) = open(&folder);
    assert_eq!(recovered.snapshot, Some((position(9), b"nine".to_vec())));
    assert_eq!(recovered.entries, [entry(10)]);
}

#[test]
fn a_failed_write_is_reported_and_later_writes_may_succeed() {
    let folder = TestFolder::new("failure");
    let (storage, _, completions) = open(&folder);
    std::fs::remove_dir_all(&folder.0).expect("cannot remove the folder");
    let install = |index| Write::Install { last: position(index), snapshot: Vec::new(), entries: Vec::new() };
    storage.store(1, install(1));
    assert_eq!(
        completions.recv_timeout(TIMEOUT),
        Ok(WriteCompletion { ticket: 1, result: Err(WriteFailed) })
    );
    std::fs::create_dir_all(&folder.0).expect("cannot create the folder");
    storage.store(2, install(2));
    assert_eq!(completions.recv_timeout(TIMEOUT), Ok(WriteCompletion { ticket: 2, result: Ok(()) }));
}

#[test]
fn a_file_cannot_be_opened_as_the_data_folder() {
    let folder = TestFolder::new("file");
    let file = folder.0.join("file");
    std::fs::write(&file, "x").expect("cannot write the file");
    let opened = StorageThread::open(file, |_| ());
    assert!(matches!(opened, Err(HostError::Storage(_))));
}
