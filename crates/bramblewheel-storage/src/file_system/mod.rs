//! The few file operations that storage needs.

mod disk;
mod memory;

pub use disk::{DiskFile, DiskFileSystem};
pub use memory::{MemoryFile, MemoryFileSystem};

use std::io;
use std::path::Path;

/// The few file operations that storage needs.
///
/// A file's content lasts once the file is synced; its name, a rename or a removal lasts once
/// the folder is synced.
pub trait FileSystem {
    /// A file open for appending.
    type File: AppendFile;

    /// Creates an empty file, in place of one of that name.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Opens a file that exists, to append to its end.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn open_append(&self, path: &Path) -> io::Result<Self::File>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Renames a file, in place of one of the new name.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Names of the files in a folder, sorted.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Creates a folder that lasts, with those above it, unless it exists.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Makes the names in a folder last.
    ///
    /// # Errors
    /// Whatever the file system answers.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file open for appending.
pub trait AppendFile {
    /// Appends bytes; they may be lost until synced.
    ///
    /// # Errors
    /// Whatever the file system answers; part of the bytes may have been appended.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes appended so far last.
    ///
    /// # Errors
    /// Whatever the file system answers; which bytes last is not known then.
    fn sync(&mut self) -> io::Result<()>;
}
