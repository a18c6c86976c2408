//! Tests of opening a folder that an earlier process has written. Cases are intact files, entries that were
//! not synced, files of a wrong length, and files that have the name of another file or belong to another
//! log.

mod common;

use common::disk::{Disk, Fault};
use common::*;
use quillpulley_storage::{Options, Storage, StorageError};
use std::fs;

const RECORD: &str = "record.slots";
const RECORD_BYTES: usize = 8192;
/// The length of the header of a segment. The last four bytes are the checksum of the others.
const HEADER_BYTES: usize = 32;

/// Returns a disk with the entries 1 to `last`, which were appended one by one and fill several segments.
fn filled(epoch: u64, last: u64) -> Disk {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    for index in 1..=last {
        storage.append(&entries(epoch, index, index)).expect("appended");
    }
    disk
}

fn segments(disk: &Disk) -> Vec<String> {
    disk.names().into_iter().filter(|name| name.ends_with(".segment")).collect()
}

fn open_error(disk: &Disk) -> StorageError {
    try_open(disk).map(|_| ()).expect_err("an unusable folder")
}

/// Returns a disk with a durable entry 1, and an entry 2 that a killed process has written but not synced.
fn unsynced_entry(seed: u64) -> Disk {
    let disk = Disk::new(seed);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 1)).expect("appended");
    // The write succeeds, and the sync after it fails.
    disk.schedule(Fault::OneCallFails, 1);
    storage.append(&entries(1, 2, 2)).expect_err("not synced");
    drop(storage);
    disk.clear_faults();
    disk
}

#[test]
fn recovered_entries_are_durable_whichever_step_of_opening_fails() {
    let mut found_unsynced = 0;
    for seed in 0..40 {
        for step in 0..10 {
            let disk = unsynced_entry(seed);
            disk.schedule(Fault::OneCallFails, step);
            let Ok((storage, found)) = try_open(&disk) else { continue };
            drop(storage);
            found_unsynced += usize::from(found.entries == entries(1, 1, 2));
            disk.lose_power();
            assert_eq!(open(&disk).1.entries, found.entries, "seed {seed}, step {step}");
        }
    }
    assert!(found_unsynced > 100, "{found_unsynced}");
}

#[test]
fn an_empty_record_file_is_kept_and_can_be_written_on_a_full_disk() {
    let disk = Disk::new(1);
    drop(open(&disk));
    let (mut storage, found) = open(&disk);
    assert_eq!(found.record, None);
    disk.schedule(Fault::GrowthFails, 0);
    storage.save_record(b"one").expect("no new space is needed");
    disk.clear_faults();
    assert_eq!(open(&disk).1.record, Some(b"one".to_vec()));
}

#[test]
fn a_truncated_record_file_without_a_record_is_created_again() {
    let disk = Disk::new(1);
    drop(open(&disk));
    disk.damage(RECORD, |bytes| bytes.truncate(100));
    let (mut storage, found) = open(&disk);
    assert_eq!(found.record, None);
    storage.save_record(b"one").expect("saved");
    assert_eq!(disk.length(RECORD), RECORD_BYTES);
    assert_eq!(open(&disk).1.record, Some(b"one".to_vec()));
}

#[test]
fn a_truncated_record_file_with_a_record_is_not_created_again() {
    for seed in 0..20 {
        for step in 0..4 {
            let disk = Disk::new(seed);
            let (mut storage, _) = open(&disk);
            storage.save_record(b"one").expect("saved");
            drop(storage);
            disk.damage(RECORD, |bytes| bytes.truncate(4096 + 100));
            let (mut storage, found) = open(&disk);
            assert_eq!(found.record, Some(b"one".to_vec()));
            disk.schedule(Fault::PowerLoss, step);
            let saved = storage.save_record(b"two");
            drop(storage);
            disk.lose_power();
            let record = open(&disk).1.record;
            let expected: &[&[u8]] = if saved.is_ok() { &[b"two"] } else { &[b"one", b"two"] };
            assert!(
                record.as_ref().is_some_and(|record| expected.contains(&record.as_slice())),
                "{record:?}"
            );
        }
    }
}

#[test]
fn a_damaged_snapshot_is_ignored_if_the_log_contains_its_entries() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 3)).expect("appended");
    storage.compact(position(1, 3), b"three").expect("compacted");
    drop(storage);
    disk.damage("snapshot-000000-000000000003.snapshot", |bytes| bytes[36] ^= 0x10);
    assert_eq!(open(&disk).1.entries, entries(1, 1, 3));
}

#[test]
fn a_damaged_snapshot_that_covers_more_than_the_log_holds_is_an_error() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 1)).expect("appended");
    let shorter = disk.read(&segments(&disk)[0]);
    storage.append(&entries(1, 2, 3)).expect("appended");
    storage.compact(position(1, 3), b"three").expect("compacted");
    drop(storage);
    disk.create_durably(&segments(&disk)[0], &shorter);
    disk.damage("snapshot-000000-000000000003.snapshot", |bytes| bytes[36] ^= 0x10);
    assert!(matches!(open_error(&disk), StorageError::Damaged { .. }));
}

#[test]
fn a_snapshot_with_the_file_name_of_a_later_one_is_an_error() {
    let disk = filled(1, 8);
    let (mut storage, _) = open(&disk);
    storage.compact(position(1, 3), b"three").expect("compacted");
    drop(storage);
    let earlier = disk.read("snapshot-000000-000000000003.snapshot");
    disk.create_durably("snapshot-000000-000000000009.snapshot", &earlier);
    assert!(matches!(open_error(&disk), StorageError::Damaged { file, .. } if file.contains("000009")));
}

#[test]
fn missing_entries_before_the_log_are_reported() {
    let disk = filled(1, 12);
    let names = segments(&disk);
    let first_of_second: u64 =
        names[1].split(['-', '.']).nth(2).and_then(|first| first.parse().ok()).expect("an index");
    disk.remove_durably(&names[0]);
    match open_error(&disk) {
        StorageError::Incomplete { first, last } => assert_eq!((first, last), (1, first_of_second - 1)),
        other => panic!("{other}"),
    }
}

#[test]
fn a_segment_that_ends_with_the_snapshot_is_extended_by_the_next_entries() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 1)).expect("appended");
    storage.compact(position(1, 1), b"one").expect("compacted");
    drop(storage);
    let names = segments(&disk);
    let (mut storage, found) = open(&disk);
    assert!(found.entries.is_empty());
    storage.append(&entries(1, 2, 2)).expect("appended");
    assert_eq!(segments(&disk), names);
    assert_eq!(open(&disk).1.entries, entries(1, 2, 2));
}

#[test]
fn a_segment_of_another_log_is_an_error() {
    let disk = filled(1, 12);
    let other = filled(2, 12);
    for name in segments(&disk).into_iter().skip(1).filter(|name| segments(&other).contains(name)) {
        let ours = disk.read(&name);
        disk.create_durably(&name, &other.read(&name));
        assert!(matches!(open_error(&disk), StorageError::Damaged { file, .. } if file == name));
        disk.create_durably(&name, &ours);
    }
    assert_eq!(open(&disk).1.entries, entries(1, 1, 12));
}

#[test]
fn a_segment_of_another_version_is_reported() {
    let disk = filled(1, 12);
    for name in segments(&disk) {
        let disk = filled(1, 12);
        disk.damage(&name, |bytes| {
            bytes[4] = 9;
            let checksum = crc32fast::hash(&bytes[..HEADER_BYTES - 4]);
            bytes[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        });
        assert!(matches!(open_error(&disk), StorageError::OtherVersion { file } if file == name));
    }
}

#[test]
fn a_segment_with_the_file_name_of_another_is_an_error() {
    let names = segments(&filled(1, 12));
    let disk = Disk::new(1);
    drop(open(&disk));
    disk.create_durably(&names[0], &filled(1, 12).read(&names[1]));
    assert!(matches!(open_error(&disk), StorageError::Damaged { file, .. } if file == names[0]));
}

#[test]
fn entries_that_a_later_segment_replaces_are_not_recovered() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 12)).expect("appended in one segment");
    let [name] = &segments(&disk)[..] else { panic!("several segments") };
    let before = disk.read(name);
    storage.append(&entries(2, 10, 12)).expect("appended in another");
    assert_eq!(segments(&disk).len(), 2);
    drop(storage);
    disk.create_durably(name, &before);
    assert_eq!(open(&disk).1.entries, [entries(1, 1, 9), entries(2, 10, 12)].concat());
}

#[test]
fn a_last_segment_without_records_is_ignored() {
    let disk = filled(1, 12);
    let other = filled(2, 12);
    let is_common = |name: &String| segments(&other).contains(name);
    let last = segments(&disk).into_iter().rev().find(is_common).expect("a segment of both");
    for later in segments(&disk).into_iter().filter(|name| *name > last) {
        disk.remove_durably(&later);
    }
    disk.create_durably(&last, &other.read(&last)[..HEADER_BYTES]);
    let found = open(&disk).1.entries;
    assert!(entries(1, 1, 12).starts_with(&found) && !found.is_empty());
}

#[test]
fn a_segment_takes_four_mebibytes_by_default() {
    assert_eq!(Options::default().segment_bytes, 4 * 1024 * 1024);
}

#[test]
fn an_incomplete_write_is_truncated_in_a_real_folder() {
    let folder = std::env::temp_dir().join(format!("quillpulley-reopening-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let (mut storage, _) = Storage::open(&folder, OPTIONS).expect("opened");
    storage.append(&entries(1, 1, 2)).expect("appended");
    drop(storage);
    let name = fs::read_dir(&folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path())
        .find(|path| path.extension().is_some_and(|extension| extension == "segment"))
        .expect("a segment");
    let intact = fs::read(&name).expect("read");
    fs::write(&name, [intact.as_slice(), &[9; 77]].concat()).expect("written");
    let (storage, found) = Storage::open(&folder, OPTIONS).expect("opened");
    drop(storage);
    let remaining = fs::read(&name).expect("read");
    fs::remove_dir_all(&folder).expect("removed");
    assert_eq!(found.entries, entries(1, 1, 2));
    assert_eq!(remaining, intact);
}
