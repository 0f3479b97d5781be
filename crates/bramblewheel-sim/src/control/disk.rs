//! Disk of a simulated machine: files in memory that lose unsynced data in a crash.

use bramblewheel_storage::file_system::MemoryFile;
use bramblewheel_storage::{AppendFile, FileSystem, MemoryFileSystem};
use std::io;
use std::path::Path;

/// Disk of a simulated machine. Clones share the files.
#[derive(Clone, Debug, Default)]
pub(super) struct SimulatedDisk {
    files: MemoryFileSystem,
    /// Whether syncs report success without an effect (unsafe doubles).
    ignores_sync: bool,
}

impl SimulatedDisk {
    pub(super) fn new(ignores_sync: bool) -> Self {
        Self {
            files: MemoryFileSystem::new(),
            ignores_sync,
        }
    }

    /// Files, to inject faults.
    pub(super) fn files(&self) -> &MemoryFileSystem {
        &self.files
    }
}

/// A file on a [`SimulatedDisk`].
#[derive(Debug)]
pub(super) struct SimulatedFile {
    file: MemoryFile,
    ignores_sync: bool,
}

impl SimulatedDisk {
    fn wrap(&self, file: MemoryFile) -> SimulatedFile {
        SimulatedFile {
            file,
            ignores_sync: self.ignores_sync,
        }
    }
}

impl FileSystem for SimulatedDisk {
    type File = SimulatedFile;

    fn create(&self, path: &Path) -> io::Result<SimulatedFile> {
        self.files.create(path).map(|file| self.wrap(file))
    }

    fn open_append(&self, path: &Path) -> io::Result<SimulatedFile> {
        self.files.open_append(path).map(|file| self.wrap(file))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.files.read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.files.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.files.remove(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        self.files.list(folder)
    }

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        self.files.create_folder(folder)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        if self.ignores_sync {
            return Ok(());
        }
        self.files.sync_folder(folder)
    }
}

impl AppendFile for SimulatedFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.ignores_sync {
            return Ok(());
        }
        self.file.sync()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
}
