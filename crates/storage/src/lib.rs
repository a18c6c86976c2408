//! Durable storage of a control process: a segmented log with snapshots and one small record beside it.
//!
//! What a call has returned from lasts, whatever happens to the process, to the power or to the space on the
//! disk afterwards. A call that failed may be made again; until a call succeeds, a recovery finds what was there
//! before or a part of what was asked for, but never a mixture.
//!
//! | file | holds |
//! | --- | --- |
//! | `log-<generation>-<first index>.segment` | entries, each with a checksum and that of the entry before it |
//! | `snapshot-<generation>-<index>.snapshot` | the state up to an entry |
//! | `record.slots` | the record, in two slots that are written by turns |
//!
//! A [generation](Storage::install) is a history of its own: the newest one that has a snapshot counts, and files
//! of others are remains.
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
