//! Tests of what each operation stores, on a simulated disk without faults and in a real folder.

mod common;

use common::disk::{Disk, Fault};
use common::*;
use quillpulley_storage::{Options, Recovered, Storage, StorageError, MAX_RECORD_BYTES};
use std::path::PathBuf;

fn recovered(disk: &Disk) -> Recovered {
    open(disk).1
}

fn record(bytes: &[u8]) -> Recovered {
    Recovered { record: Some(bytes.to_vec()), ..Recovered::default() }
}

fn segments(disk: &Disk) -> Vec<String> {
    disk.names().into_iter().filter(|name| name.ends_with(".segment")).collect()
}

#[test]
fn an_empty_folder_recovers_nothing() {
    let disk = Disk::new(1);
    let (storage, found) = open(&disk);
    assert_eq!(found, Recovered::default());
    assert_eq!((storage.last_index(), storage.snapshot_position(), storage.log_bytes()), (0, None, 0));
}

#[test]
fn the_record_is_replaced_atomically() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    for number in 0..5 {
        let bytes = vec![number; usize::from(number) * 100];
        storage.save_record(&bytes).expect("saved");
        assert_eq!(recovered(&disk), record(&bytes));
    }
    storage.save_record(&[7; MAX_RECORD_BYTES]).expect("saved");
    let too_long = storage.save_record(&[7; MAX_RECORD_BYTES + 1]).expect_err("too long");
    assert!(matches!(too_long, StorageError::RecordTooLong { .. }), "{too_long}");
    assert_eq!(recovered(&disk), record(&[7; MAX_RECORD_BYTES]));
}

#[test]
fn the_record_needs_no_new_space() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    disk.schedule(Fault::GrowthFails, 0);
    storage.save_record(b"promised").expect("saved");
    storage.save_record(b"promised again").expect("saved");
    assert!(storage.append(&entries(1, 1, 1)).is_err());
    disk.clear_faults();
    assert_eq!(recovered(&disk), record(b"promised again"));
}

#[test]
fn entries_are_appended_over_several_segments() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    for index in 1..=20 {
        storage.append(&entries(1, index, index)).expect("appended");
    }
    assert!(segments(&disk).len() > 3);
    assert_eq!((storage.last_index(), recovered(&disk).entries), (20, entries(1, 1, 20)));
}

// Entries are written as epoch/index.
//
//    stored  | 1/1 1/2 1/3 1/4 1/5 1/6 1/7 1/8
//    append  |             2/4 2/5
//    stored  | 1/1 1/2 1/3 2/4 2/5
//    append  |         1/3 2/4
//    stored  | 1/1 1/2 1/3 2/4
//    append  |         1/3 2/4 3/5
//    stored  | 1/1 1/2 1/3 2/4 3/5
#[test]
fn appending_before_the_end_replaces_later_entries() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 8)).expect("appended");
    storage.append(&entries(2, 4, 5)).expect("appended");
    let mut expected = [entries(1, 1, 3), entries(2, 4, 5)].concat();
    assert_eq!(recovered(&disk).entries, expected);
    storage.append(&expected[2..4]).expect("appended");
    expected.pop();
    assert_eq!(recovered(&disk).entries, expected);
    expected.push(entry(3, 5));
    storage.append(&expected[2..]).expect("appended");
    assert_eq!(recovered(&disk).entries, expected);
    storage.append(&expected).expect("nothing to do");
    assert_eq!((storage.last_index(), recovered(&disk).entries), (5, expected));
}

#[test]
fn entries_must_follow_each_other_and_the_log() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&[]).expect("nothing to do");
    storage.append(&entries(1, 1, 5)).expect("appended");
    storage.compact(position(1, 3), b"three").expect("compacted");
    let gap = [entry(1, 6), entry(1, 8)];
    for wrong in [&entries(1, 7, 7)[..], &gap, &entries(1, 3, 6), &entries(1, 0, 6)] {
        let error = storage.append(wrong).expect_err("out of order");
        assert!(matches!(error, StorageError::OutOfOrder { .. }), "{error}");
    }
    assert!(storage.install(position(1, 3), b"", &entries(1, 5, 5)).is_err());
    assert_eq!(recovered(&disk).entries, entries(1, 4, 5));
}

#[test]
fn a_snapshot_replaces_the_entries_it_covers() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    for index in 1..=20 {
        storage.append(&entries(1, index, index)).expect("appended");
    }
    let before = storage.log_bytes();
    storage.compact(position(1, 15), b"state").expect("compacted");
    assert!(storage.log_bytes() < before / 2);
    storage.compact(position(1, 15), b"of no use").expect("the snapshot is ignored");
    storage.compact(position(1, 7), b"of no use").expect("the snapshot is ignored");
    let found = recovered(&disk);
    assert_eq!(found.snapshot, Some((position(1, 15), b"state".to_vec())));
    assert_eq!(found.entries, entries(1, 16, 20));
    storage.compact(position(1, 20), b"newer").expect("compacted");
    storage.append(&entries(2, 21, 22)).expect("appended");
    let found = recovered(&disk);
    assert_eq!((storage.last_index(), found.snapshot), (22, Some((position(1, 20), b"newer".to_vec()))));
    assert_eq!(found.entries, entries(2, 21, 22));
}

#[test]
fn an_installation_replaces_everything() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.save_record(b"kept").expect("saved");
    storage.append(&entries(1, 1, 20)).expect("appended");
    storage.install(position(3, 7), b"seven", &entries(3, 8, 9)).expect("installed");
    let expected = |entries| Recovered {
        record: Some(b"kept".to_vec()),
        snapshot: Some((position(3, 7), b"seven".to_vec())),
        entries,
    };
    assert_eq!(recovered(&disk), expected(entries(3, 8, 9)));
    storage.append(&entries(3, 10, 12)).expect("appended");
    assert_eq!(recovered(&disk), expected(entries(3, 8, 12)));
    storage.install(position(3, 7), b"seven", &[]).expect("installed");
    assert_eq!((storage.last_index(), recovered(&disk)), (7, expected(Vec::new())));
    storage.append(&entries(4, 8, 8)).expect("appended");
    assert_eq!(recovered(&disk), expected(entries(4, 8, 8)));
}

#[test]
fn a_snapshot_beyond_the_log_replaces_it() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 5)).expect("appended");
    storage.compact(position(2, 9), b"nine").expect("installed");
    assert_eq!((storage.last_index(), recovered(&disk).entries), (9, Vec::new()));
    storage.append(&entries(2, 10, 10)).expect("appended");
    assert_eq!(recovered(&disk).entries, entries(2, 10, 10));
}

#[test]
fn unused_files_are_removed() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    for round in 1..=30 {
        storage.append(&entries(round, round * 10 - 9, round * 10)).expect("appended");
        storage.compact(position(round, round * 10 - 2), b"state").expect("compacted");
        if round % 7 == 0 {
            storage.install(position(round, round * 10), b"state", &[]).expect("installed");
        }
        assert!(disk.names().len() <= 4, "{:?}", disk.names());
    }
}

/// A temporary folder that is removed at the end of the test.
struct RealFolder(PathBuf);

impl RealFolder {
    fn new(name: &str) -> RealFolder {
        let path = std::env::temp_dir().join(format!("quillpulley-storage-{}-{name}", std::process::id()));
        RealFolder(path)
    }
}

impl Drop for RealFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_real_folder_keeps_what_was_stored() {
    let folder = RealFolder::new("kept");
    let options = Options { segment_bytes: 300 };
    let (mut storage, found) = Storage::open(&folder.0, options).expect("opened");
    assert_eq!(found, Recovered::default());
    std::fs::write(folder.0.join("not-of-storage"), b"").expect("written");
    storage.save_record(b"record").expect("saved");
    storage.append(&entries(1, 1, 9)).expect("appended");
    storage.append(&entries(2, 6, 20)).expect("appended");
    storage.compact(position(1, 4), &vec![7; 100_000]).expect("compacted");
    drop(storage);
    let (mut storage, found) = Storage::open(&folder.0, options).expect("opened");
    assert_eq!(found.record, Some(b"record".to_vec()));
    assert_eq!(found.snapshot, Some((position(1, 4), vec![7; 100_000])));
    assert_eq!(found.entries, [entries(1, 5, 5), entries(2, 6, 20)].concat());
    storage.install(position(5, 50), b"fifty", &entries(5, 51, 52)).expect("installed");
    let (_, found) = Storage::open(&folder.0, options).expect("opened");
    assert_eq!(
        (found.snapshot, found.entries),
        (Some((position(5, 50), b"fifty".to_vec())), entries(5, 51, 52))
    );
    assert!(folder.0.join("not-of-storage").exists());
}
