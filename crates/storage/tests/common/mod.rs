//! Helpers of the storage tests.
#![allow(dead_code)]

pub mod disk;

use quillpulley_protocol::{Entry, Position};
use quillpulley_storage::{Options, Recovered, Storage, StorageError};

/// Short segments, so that a few entries fill one.
pub const OPTIONS: Options = Options { segment_bytes: 300 };

pub type Opened = (Storage<disk::Disk>, Recovered);

pub fn open(disk: &disk::Disk) -> Opened {
    try_open(disk).expect("a usable folder")
}

pub fn try_open(disk: &disk::Disk) -> Result<Opened, StorageError> {
    Storage::open_in(disk.clone(), OPTIONS)
}

/// Returns the entries `first` to `last` of one epoch. Entries of different epochs or indices differ in their
/// payload.
pub fn entries(epoch: u64, first: u64, last: u64) -> Vec<Entry> {
    (first..=last).map(|index| entry(epoch, index)).collect()
}

pub fn entry(epoch: u64, index: u64) -> Entry {
    let length = 20 + (epoch * 7 + index * 13) as usize % 60;
    Entry {
        epoch,
        index,
        payload: format!("{epoch}/{index}/").repeat(length).into_bytes()[..length].to_vec(),
    }
}

pub fn position(epoch: u64, index: u64) -> Position {
    Position { epoch, index }
}
