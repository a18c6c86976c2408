//! The file system as storage uses it, so that tests can replace it.

mod folder;

pub use folder::{Folder, FolderFile};

use std::io;

/// The files of one folder.
///
/// The contents of a file are durable once it is synced, names once [`Files::sync_names`] has returned.
pub trait Files {
    /// A file that is open for reading and writing.
    type File: DataFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    /// Those of the file system.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// Those of the file system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file.
    ///
    /// # Errors
    /// Those of the file system.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file. No other file has the new name.
    ///
    /// # Errors
    /// Those of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Those of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until all names that were created, changed or removed are durable.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_names(&self) -> io::Result<()>;
}

/// The contents of a file.
pub trait DataFile {
    /// Returns the contents.
    ///
    /// # Errors
    /// Those of the file system.
    fn read(&self) -> io::Result<Vec<u8>>;

    /// Writes all bytes at an offset. After an error any part may have been written.
    ///
    /// # Errors
    /// Those of the file system.
    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of the file.
    ///
    /// # Errors
    /// Those of the file system.
    fn set_length(&self, length: u64) -> io::Result<()>;

    /// Waits until contents and length are durable.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync(&self) -> io::Result<()>;
}
