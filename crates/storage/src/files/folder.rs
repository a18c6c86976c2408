//! The files of a folder in the file system.

use super::{DataFile, Files};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Opens a folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder { path: path.to_path_buf() })
    }
}

impl Files for Folder {
    type File = FolderFile;

    fn names(&self) -> io::Result<Vec<String>> {
        let name = |entry: io::Result<fs::DirEntry>| entry.map(|entry| entry.file_name());
        let names = fs::read_dir(&self.path)?.map(name).collect::<io::Result<Vec<_>>>()?;
        // All files of the storage have names in UTF-8; other files in the folder are ignored.
        Ok(names.into_iter().filter_map(|name| name.into_string().ok()).collect())
    }

    fn create(&self, name: &str) -> io::Result<FolderFile> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        Ok(FolderFile { file: options.open(self.path.join(name))? })
    }

    fn open(&self, name: &str) -> io::Result<FolderFile> {
        let mut options = OpenOptions::new();
        options.read(true).write(true);
        Ok(FolderFile { file: options.open(self.path.join(name))? })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// A file of a [`Folder`].
#[derive(Debug)]
pub struct FolderFile {
    file: File,
}

impl DataFile for FolderFile {
    fn read(&self) -> io::Result<Vec<u8>> {
        let mut file = &self.file;
        let mut bytes = Vec::with_capacity(file.metadata()?.len() as usize);
        file.seek(SeekFrom::Start(0))?;
        file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut file = &self.file;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.file.sync_data()
    }
}
