//! File system of the operating system.

use super::{AppendFile, FileSystem};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Mode of the files: readable and writable by their owner only.
const OWNER_ONLY: u32 = 0o600;

/// File system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskFileSystem;

/// A file of the operating system.
#[derive(Debug)]
pub struct DiskFile(File);

impl FileSystem for DiskFileSystem {
    type File = DiskFile;

    fn create(&self, path: &Path) -> io::Result<DiskFile> {
        // Route tables contain the keys of tenants, so only the process's own user may read them.
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        options.mode(OWNER_ONLY).open(path).map(DiskFile)
    }

    fn open_append(&self, path: &Path) -> io::Result<DiskFile> {
        OpenOptions::new().append(true).open(path).map(DiskFile)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        if folder.as_os_str().is_empty() || folder.is_dir() {
            return Ok(());
        }
        let parent = folder.parent().unwrap_or(Path::new(""));
        self.create_folder(parent)?;
        fs::create_dir(folder)?;
        self.sync_folder(parent)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        let current = Path::new(".");
        let folder = if folder.as_os_str().is_empty() {
            current
        } else {
            folder
        };
        File::open(folder)?.sync_all()
    }
}

impl AppendFile for DiskFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)?;
        // A file from `create` is not in append mode: it would continue behind a hole.
        self.0.seek(SeekFrom::Start(length))?;
        self.0.sync_all()
    }
}
