//! The errors of the storage.

use displaydoc::Display;
use std::io;

/// An error of the storage. Its message names the remedy.
#[derive(Debug, Display)]
pub enum StorageError {
    /// cannot {action} {file} ({error}): check the free space and the health of the disk, and try again
    Io {
        /// The operation that failed.
        action: &'static str,
        /// The file or folder that the operation was performed on.
        file: String,
        /// The error that the operating system reported.
        error: io::Error,
    },
    /// {file} is damaged at byte {offset}: empty the data folder, so that this machine joins as a new one
    Damaged {
        /// The damaged file.
        file: String,
        /// The offset in bytes at which the damage begins.
        offset: u64,
    },
    /// the entries {first} to {last} are missing from the log: empty the data folder, so that this machine joins as a new one
    Incomplete {
        /// The index of the first missing entry.
        first: u64,
        /// The index of the last missing entry.
        last: u64,
    },
    /// {file} was written by another version of this program: start that version, or empty the data folder
    OtherVersion {
        /// The file that has the other version.
        file: String,
    },
    /// a record of {length} bytes exceeds the maximum of {max_length} bytes: reduce the number of witnesses
    RecordTooLong {
        /// The length of the record in bytes.
        length: usize,
        /// The maximum length of a record in bytes.
        max_length: usize,
    },
    /// entry {found} is out of order: send the entries from {expected} on
    OutOfOrder {
        /// The index of the entry.
        found: u64,
        /// The index that the entry should have, or, for the first entry of a call, the highest index that it may
        /// have.
        expected: u64,
    },
}

impl std::error::Error for StorageError {}

impl StorageError {
    /// Returns a function that wraps an error of the operating system.
    ///
    /// `action` is a verb that the message puts before the name of the file, as in "cannot open
    /// record.slots".
    pub(crate) fn io(action: &'static str, file: impl ToString) -> impl FnOnce(io::Error) -> StorageError {
        let file = file.to_string();
        move |error| StorageError::Io { action, file, error }
    }

    pub(crate) fn damaged(file: impl ToString, offset: u64) -> StorageError {
        StorageError::Damaged { file: file.to_string(), offset }
    }
}
