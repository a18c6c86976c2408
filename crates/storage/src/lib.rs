//! Durable storage of a control node: a segmented log with snapshots, and one small record beside it.
//!
//! Once a call has succeeded, its effect is durable: it survives the end of the process, a loss of power and a full
//! disk. A failed call may be retried. Until one succeeds, recovery finds the state before it, or a prefix of the
//! entries that were to be appended, but never a mixture.
//!
//! | file | holds |
//! | --- | --- |
//! | `log-<generation>-<first index>.segment` | entries, each with a checksum and that of the entry before it |
//! | `snapshot-<generation>-<index>.snapshot` | the state up to an entry |
//! | `record.slots` | the record, in two slots that are written by turns |
//!
//! A [generation](Storage::install) is a history of its own. The newest one that has a snapshot is active; files of
//! others are left over and removed.
#![forbid(unsafe_code)]

mod error;
pub mod files;
mod format;
mod names;
mod record;
mod recovery;
mod segments;
mod storage;

pub use error::StorageError;
pub use record::MAX_RECORD_BYTES;
pub use recovery::Recovered;
pub use storage::{Options, Storage};
