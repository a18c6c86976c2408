//! The errors of storage.

use displaydoc::Display;
use std::io;

/// An error of storage, with the remedy.
#[derive(Debug, Display)]
pub enum StorageError {
    /// cannot {action} {file} ({error}): check the disk's space and state and try again
    Io {
        /// What was tried.
        action: &'static str,
        /// The file it was tried on.
        file: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// {file} is damaged at byte {offset}: empty the data folder, so that this machine joins anew
    Damaged {
        /// The damaged file.
        file: String,
        /// Where the damage begins.
        offset: u64,
    },
    /// the log lacks the entries from {first} to {last}: empty the data folder, so that this machine joins anew
    Incomplete {
        /// The first entry that is missing.
        first: u64,
        /// The last entry that is missing.
        last: u64,
    },
    /// {file} was written by another version: start that version, or empty the data folder
    OtherVersion {
        /// The file.
        file: String,
    },
    /// a record of {length} bytes does not fit into {most}: keep fewer witnesses
    RecordTooLong {
        /// The length of the record.
        length: usize,
        /// The longest record that fits.
        most: usize,
    },
    /// entry {found} cannot stand where the log goes on with {expected}: send the entries from there
    OutOfOrder {
        /// The index of the entry.
        found: u64,
        /// The highest index that it may have.
        expected: u64,
    },
}

impl std::error::Error for StorageError {}

impl StorageError {
    /// Wraps a failure of the system.
    pub(crate) fn io(action: &'static str, file: impl ToString) -> impl FnOnce(io::Error) -> StorageError {
        let file = file.to_string();
        move |error| StorageError::Io { action, file, error }
    }

    pub(crate) fn damaged(file: impl ToString, offset: u64) -> StorageError {
        StorageError::Damaged { file: file.to_string(), offset }
    }
}
