//! File operations used by storage.

mod disk;
mod memory;

pub use disk::{DiskFile, DiskFileSystem};
pub use memory::{MemoryFile, MemoryFileSystem};

use std::io;
use std::path::Path;

/// File operations used by storage.
///
/// A file's content is durable once the file is synced; its name, a rename or a removal is durable once
/// the folder is synced.
pub trait FileSystem {
    /// A file open for appending.
    type File: AppendFile;

    /// Creates an empty file; replaces an existing one of that name.
    ///
    /// # Errors
    /// The error of the file system.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    /// The error of the file system.
    fn open_append(&self, path: &Path) -> io::Result<Self::File>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// The error of the file system.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Renames a file; replaces an existing one of the new name.
    ///
    /// # Errors
    /// The error of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The error of the file system.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Names of the files in a folder, sorted.
    ///
    /// # Errors
    /// The error of the file system.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Creates a durable folder and its parents, unless it exists.
    ///
    /// # Errors
    /// The error of the file system.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Makes the names in a folder durable.
    ///
    /// # Errors
    /// The error of the file system.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file open for appending.
pub trait AppendFile {
    /// Appends bytes; they may be lost until synced.
    ///
    /// # Errors
    /// The error of the file system; part of the bytes may have been appended.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes appended so far durable.
    ///
    /// # Errors
    /// The error of the file system; it is then unknown which bytes are durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Durably removes all bytes from `length` on; the next append continues there.
    ///
    /// # Errors
    /// The error of the file system; the bytes may or may not be removed.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}
