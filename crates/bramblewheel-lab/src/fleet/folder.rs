//! Folder of a run with settings, data, logs and journals.

use crate::error::CommandError;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Folder of a run. A temporary folder is removed when this is dropped unless it is kept.
#[derive(Debug)]
pub struct RunFolder {
    path: PathBuf,
    temporary: Option<TempDir>,
}

impl RunFolder {
    /// Uses the given folder, which must be empty or absent, or creates a temporary one.
    ///
    /// # Errors
    /// [`CommandError::BadInput`] when the folder can't be used.
    pub fn new(given: Option<&Path>) -> Result<Self, CommandError> {
        let folder = match given {
            Some(path) => {
                Self::check_empty(path)?;
                Self {
                    path: path.to_owned(),
                    temporary: None,
                }
            }
            None => {
                let temporary = TempDir::with_prefix("bramblewheel-lab-")?;
                Self {
                    path: temporary.path().to_owned(),
                    temporary: Some(temporary),
                }
            }
        };
        for name in ["journal", "logs", "settings", "data"] {
            let path = folder.path.join(name);
            fs::create_dir_all(&path).map_err(|error| CommandError::file(&path, error))?;
        }
        Ok(folder)
    }

    fn check_empty(path: &Path) -> Result<(), CommandError> {
        let is_empty = fs::read_dir(path).map_or(true, |mut entries| entries.next().is_none());
        if is_empty {
            return Ok(());
        }
        Err(CommandError::file(path, "the folder is not empty"))
    }

    /// Keeps the folder after the run.
    pub fn keep(&mut self) {
        if let Some(temporary) = self.temporary.take() {
            let _path = temporary.keep();
        }
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Folder of the journals.
    pub fn journal(&self) -> PathBuf {
        self.path.join("journal")
    }

    /// Log file of a process.
    pub fn log(&self, process: &str) -> PathBuf {
        self.path.join("logs").join(format!("{process}.log"))
    }

    /// Settings file of a process.
    pub fn settings(&self, process: &str) -> PathBuf {
        self.path.join("settings").join(format!("{process}.toml"))
    }

    /// Data folder of a process.
    pub fn data(&self, process: &str) -> PathBuf {
        self.path.join("data").join(process)
    }

    /// File with the session keys of the gateways.
    pub fn session_keys(&self) -> PathBuf {
        self.path.join("settings").join("session-keys")
    }
}
