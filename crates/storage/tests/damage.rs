//! Tests of the errors that are reported when the disk has lost or changed synced data.

mod common;

use common::disk::Disk;
use common::*;
use quickcheck::quickcheck;
use quillpulley_storage::StorageError;

/// Returns a disk with the entries 1 to 12, which were appended one by one and fill at least three segments.
fn filled() -> Disk {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    for index in 1..=12 {
        storage.append(&entries(1, index, index)).expect("appended");
    }
    drop(storage);
    disk
}

fn segments(disk: &Disk) -> Vec<String> {
    disk.names().into_iter().filter(|name| name.ends_with(".segment")).collect()
}

fn open_error(disk: &Disk) -> StorageError {
    try_open(disk).map(|_| ()).expect_err("an unusable folder")
}

fn flip_bit(offset: usize) -> impl FnOnce(&mut Vec<u8>) {
    move |bytes| bytes[offset] ^= 0x10
}

#[test]
fn a_changed_byte_before_the_last_batch_is_an_error() {
    let lengths: Vec<(String, usize)> = {
        let disk = filled();
        segments(&disk).into_iter().map(|name| (name.clone(), disk.length(&name))).collect()
    };
    assert!(lengths.len() > 2);
    for (segment_number, (name, length)) in lengths.iter().enumerate() {
        let is_last = segment_number + 1 == lengths.len();
        for offset in 0..*length {
            let disk = filled();
            disk.damage(name, flip_bit(offset));
            match try_open(&disk) {
                Ok((_, found)) => {
                    assert!(is_last, "{name} at {offset}");
                    assert_eq!(found.entries, entries(1, 1, 11), "only the last batch may be truncated");
                }
                Err(error) => {
                    let text = error.to_string();
                    assert!(text.contains(name) && text.contains("the data folder"), "{text}");
                }
            }
        }
    }
}

#[test]
fn a_torn_tail_is_truncated_and_overwritten() {
    let disk = filled();
    let last = segments(&disk).pop().expect("segments");
    disk.damage(&last, |bytes| bytes.extend_from_slice(&[9; 500]));
    let (mut storage, found) = open(&disk);
    assert_eq!(found.entries, entries(1, 1, 12));
    storage.append(&entries(2, 13, 13)).expect("appended");
    assert_eq!(open(&disk).1.entries, [entries(1, 1, 12), entries(2, 13, 13)].concat());
}

#[test]
fn a_missing_segment_is_an_error() {
    let names = segments(&filled());
    for name in &names[..names.len() - 1] {
        let disk = filled();
        disk.remove_durably(name);
        assert!(open_error(&disk).to_string().contains("empty the data folder"));
    }
}

#[test]
fn a_damaged_snapshot_is_an_error_unless_the_log_contains_its_entries() {
    let disk = filled();
    let (mut storage, _) = open(&disk);
    storage.compact(position(1, 3), b"three").expect("compacted");
    let name = "snapshot-000000-000000000003.snapshot";
    disk.damage(name, flip_bit(36));
    assert!(matches!(open_error(&disk), StorageError::Incomplete { first: 1, .. }));

    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 3)).expect("appended");
    storage.compact(position(1, 2), b"two").expect("compacted");
    disk.damage("snapshot-000000-000000000002.snapshot", flip_bit(36));
    assert_eq!(open(&disk).1.entries, entries(1, 1, 3), "the segment still contains all entries");

    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.install(position(2, 9), b"nine", &entries(2, 10, 12)).expect("installed");
    disk.damage("snapshot-000001-000000000009.snapshot", flip_bit(36));
    let error = open_error(&disk);
    assert!(matches!(&error, StorageError::Damaged { file, .. } if file.contains("000009")), "{error}");
}

#[test]
fn a_log_that_ends_before_its_snapshot_is_an_error() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 1)).expect("appended");
    storage.append(&entries(1, 2, 2)).expect("appended");
    storage.compact(position(1, 2), b"two").expect("compacted");
    let name = segments(&disk).pop().expect("a segment");
    let length = disk.length(&name);
    disk.damage(&name, |bytes| bytes.truncate(length - 1));
    assert!(matches!(open_error(&disk), StorageError::Damaged { .. }));
}

#[test]
fn a_record_that_was_lost_is_an_error() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.save_record(b"one").expect("saved");
    storage.save_record(b"two").expect("saved");
    disk.damage("record.slots", flip_bit(20));
    disk.damage("record.slots", flip_bit(4096 + 20));
    assert!(matches!(open_error(&disk), StorageError::Damaged { .. }));
}

#[test]
fn files_of_another_version_are_reported() {
    let disk = filled();
    let (mut storage, _) = open(&disk);
    storage.compact(position(1, 3), b"three").expect("compacted");
    disk.damage("snapshot-000000-000000000003.snapshot", |bytes| bytes[4] = 9);
    assert!(matches!(open_error(&disk), StorageError::OtherVersion { .. }));
}

#[test]
fn covered_segments_that_reappear_are_ignored() {
    let names = segments(&filled());
    for reappearing in 0..names.len() {
        let disk = filled();
        let contents: Vec<Vec<u8>> = names.iter().map(|name| disk.read(name)).collect();
        let (mut storage, _) = open(&disk);
        storage.compact(position(1, 12), b"twelve").expect("compacted");
        drop(storage);
        segments(&disk).iter().for_each(|name| disk.remove_durably(name));
        disk.create_durably(&names[reappearing], &contents[reappearing]);
        let (mut storage, found) = open(&disk);
        assert_eq!((found.entries, storage.last_index()), (Vec::new(), 12));
        storage.append(&entries(2, 13, 13)).expect("appended");
        assert_eq!(open(&disk).1.entries, entries(2, 13, 13));
    }
}

quickcheck! {
    fn any_damage_is_an_error_or_a_shorter_log(file: usize, damage: Vec<(u16, u8)>, length: u16, cut: bool) -> bool {
        let disk = filled();
        let (mut storage, _) = open(&disk);
        storage.save_record(b"record").expect("saved");
        storage.compact(position(1, 5), b"five").expect("compacted");
        let names = disk.names();
        disk.damage(&names[file % names.len()], |bytes| {
            for (offset, byte) in damage {
                let offset = usize::from(offset) % bytes.len();
                bytes[offset] = byte;
            }
            if cut {
                bytes.truncate(usize::from(length) % bytes.len());
            }
        });
        match try_open(&disk) {
            Ok((_, found)) => entries(1, 6, 12).starts_with(&found.entries),
            Err(error) => error.to_string().contains("data folder"),
        }
    }

    fn any_file_is_read_or_rejected(bytes: Vec<u8>, kind: u8) -> bool {
        use quillpulley_storage::files::{DataFile, Files};
        let names = ["log-000000-000000000001.segment", "snapshot-000000-000000000001.snapshot", "record.slots",
            "snapshot.temporary", "log-x-1.segment"];
        let disk = Disk::new(1);
        let file = disk.create(names[usize::from(kind) % names.len()]).expect("created");
        file.write(0, &bytes).expect("written");
        let _ = try_open(&disk);
        true
    }
}

// The log is compacted at 3, 12 and 20. Then the last snapshot is lost and the first one reappears, so that
// the entries between it and the remaining log are missing.
#[test]
fn a_log_that_begins_after_the_snapshots_end_is_an_error() {
    let disk = filled();
    let (mut storage, _) = open(&disk);
    storage.compact(position(1, 3), b"three").expect("compacted");
    let first = disk.read("snapshot-000000-000000000003.snapshot");
    storage.compact(position(1, 12), b"twelve").expect("compacted");
    storage.append(&entries(2, 13, 13)).expect("appended");
    for index in 14..=20 {
        storage.append(&entries(2, index, index)).expect("appended");
    }
    storage.compact(position(2, 20), b"twenty").expect("compacted");
    drop(storage);
    disk.remove_durably("snapshot-000000-000000000020.snapshot");
    disk.create_durably("snapshot-000000-000000000003.snapshot", &first);
    let text = open_error(&disk).to_string();
    assert!(text.contains("empty the data folder"), "{text}");
}

// A snapshot is installed at 9 with the entries 10-12, then another at 30, which removes the files of the
// first. Then the second snapshot is lost, and its segment must not be read without it.
#[test]
fn segments_of_an_installation_without_its_snapshot_are_not_recovered() {
    let disk = Disk::new(1);
    let (mut storage, _) = open(&disk);
    storage.append(&entries(1, 1, 4)).expect("appended");
    storage.install(position(2, 9), b"nine", &entries(2, 10, 12)).expect("installed");
    storage.install(position(3, 30), b"thirty", &entries(3, 31, 33)).expect("installed");
    drop(storage);
    disk.remove_durably("snapshot-000002-000000000030.snapshot");
    match try_open(&disk) {
        Ok((_, found)) => assert!(found.snapshot.is_none() && found.entries.is_empty(), "{found:?}"),
        Err(error) => assert!(error.to_string().contains("data folder"), "{error}"),
    }
}
