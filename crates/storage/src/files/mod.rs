//! The file system operations that the storage needs, as traits that tests implement in memory.

mod folder;

pub use folder::{Folder, FolderFile};

use std::io;

/// The files of one folder.
///
/// The contents of a file are durable once [`DataFile::sync`] has returned, and the creation, renaming and
/// removal of files once [`Files::sync_names`] has returned.
pub trait Files {
    /// A file that is open for reading and writing.
    type File: DataFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file. The caller ensures that no other file has the new name.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until all creations, renamings and removals of files are durable (an fsync of the folder).
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn sync_names(&self) -> io::Result<()>;
}

/// An open file.
pub trait DataFile {
    /// Returns the whole contents of the file.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn read(&self) -> io::Result<Vec<u8>>;

    /// Writes all `bytes` at the offset `offset`. After an error, any part of them may have been written.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes, or extends it with zeros.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn set_length(&self, length: u64) -> io::Result<()>;

    /// Waits until the contents and the length of the file are durable (fdatasync).
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn sync(&self) -> io::Result<()>;
}
