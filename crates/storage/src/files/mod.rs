//! Files as storage sees them, so that tests can put others in the place of the real ones.

mod folder;

pub use folder::{Folder, FolderFile};

use std::io;

/// The files of one folder.
///
/// The contents of a file last once it is synced, names once [`Files::sync_names`] has returned.
pub trait Files {
    /// A file that is open for reading and writing.
    type File: DataFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    /// Those of the file system.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Makes an empty file; one that is there is emptied.
    ///
    /// # Errors
    /// Those of the file system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file that is there.
    ///
    /// # Errors
    /// Those of the file system.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Gives a file another name, which no other has.
    ///
    /// # Errors
    /// Those of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Those of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until all names that were made, changed or removed will last.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_names(&self) -> io::Result<()>;
}

/// The contents of a file.
pub trait DataFile {
    /// Returns all of it.
    ///
    /// # Errors
    /// Those of the file system.
    fn read(&self) -> io::Result<Vec<u8>>;

    /// Writes all bytes at an offset. After an error any part may have been written.
    ///
    /// # Errors
    /// Those of the file system.
    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file off.
    ///
    /// # Errors
    /// Those of the file system.
    fn set_length(&self, length: u64) -> io::Result<()>;

    /// Waits until contents and length will last.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync(&self) -> io::Result<()>;
}
