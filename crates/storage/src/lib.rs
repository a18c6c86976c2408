//! Durable storage of a control node: a segmented log with snapshots, and one small record that is replaced
//! as a whole.
//!
//! The storage does not interpret the contents of the record. A control node keeps its durable state as a
//! witness of the replication there.
//!
//! Once a call has succeeded, its effect is durable: it survives the end of the process, a loss of power and
//! a full disk. A failed call may be retried. Until a call succeeds, recovery finds the state before the
//! failed call, the state after it, or a log that ends within the entries that the call was to truncate or
//! append. Recovery never finds a mixture of old and new data.
//!
//! | file | contents |
//! | --- | --- |
//! | `log-<generation>-<first index>.segment` | entries, each with its checksum and that of the previous entry |
//! | `snapshot-<generation>-<index>.snapshot` | the state after the entry with this index |
//! | `record.slots` | the record, in two slots that are written alternately |
//!
//! A [generation](Storage::install) is a log with its own snapshots, independent of other generations.
//! Generation 0 is the log of a new folder; each installation of a snapshot creates the next generation. The
//! highest generation that has a snapshot is active. Files of other generations are unused and are removed.
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
