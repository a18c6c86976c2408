//! Checks that folders from earlier releases can be read, and that the same calls still write the same bytes.
//!
//! `fixtures/folder` was written by the storage at commit 0b0971f with the calls of [`write_history`].

mod common;

use common::{entries, position};
use quillpulley_storage::{Options, Recovered, Storage};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Options with short segments, so that a few dozen entries fill one.
const OPTIONS: Options = Options { segment_bytes: 2_000 };

/// A temporary folder that is removed at the end of the test.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("quillpulley-format-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TestFolder(folder)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/folder")
}

fn contents(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file"));
    files
        .map(|file| {
            let name = file.file_name().into_string().expect("a name");
            (name, std::fs::read(file.path()).expect("a file"))
        })
        .collect()
}

/// Performs every kind of call: saves records, appends batches, replaces the tail of the log by entries of
/// another epoch, compacts the log, installs a snapshot, and appends entries after it.
fn write_history(folder: &Path) {
    let (mut storage, _) = Storage::open(folder, OPTIONS).expect("an empty folder");
    storage.save_record(b"the first record").expect("a record");
    for first in (1..=100).step_by(5) {
        storage.append(&entries(1, first, first + 4)).expect("a batch");
    }
    storage.append(&entries(2, 91, 110)).expect("a tail that is replaced");
    storage.compact(position(1, 50), b"the state up to entry 50").expect("a compaction");
    storage
        .install(position(3, 200), b"the state up to entry 200", &entries(3, 201, 210))
        .expect("an installation");
    for first in (211..=290).step_by(4) {
        storage.append(&entries(3, first, first + 3)).expect("a batch");
    }
    storage.compact(position(3, 220), b"the state up to entry 220").expect("a compaction");
    storage.save_record(b"the second record").expect("a record");
    storage.save_record(b"the third record").expect("a record");
}

#[test]
fn the_same_calls_write_the_same_bytes() {
    let folder = TestFolder::new("write");
    write_history(&folder.0);
    let (written, expected) = (contents(&folder.0), contents(&fixture()));
    assert_eq!(written.keys().collect::<Vec<_>>(), expected.keys().collect::<Vec<_>>());
    for (name, bytes) in expected {
        assert!(written[&name] == bytes, "{name} differs");
    }
}

#[test]
fn a_folder_of_an_earlier_release_is_read() {
    let folder = TestFolder::new("read");
    for (name, bytes) in contents(&fixture()) {
        std::fs::write(folder.0.join(name), bytes).expect("a copy");
    }
    let (storage, recovered) = Storage::open(&folder.0, OPTIONS).expect("a readable folder");
    let expected = Recovered {
        record: Some(b"the third record".to_vec()),
        snapshot: Some((position(3, 220), b"the state up to entry 220".to_vec())),
        entries: entries(3, 221, 290),
    };
    assert!(recovered == expected);
    assert_eq!(storage.last_index(), 290);
    assert!(contents(&folder.0) == contents(&fixture()), "opening a sound folder changes nothing");
}

#[test]
fn a_folder_of_several_segments_was_stored() {
    let segments = contents(&fixture()).into_keys().filter(|name| name.ends_with(".segment")).count();
    assert!(segments >= 3, "{segments}");
}
