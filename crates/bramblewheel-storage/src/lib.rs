//! Synced, checksummed log segments, snapshots and the identity file of one replica.
//!
//! All file access goes through [`FileSystem`], so that tests and the simulator run the same code on
//! [`MemoryFileSystem`], which loses unsynced data in a crash.

mod atomic;
pub mod error;
pub mod file_system;
mod frame;
mod identity;
mod records;
mod recovery;
mod segment;
mod snapshot_file;
mod storage;

pub use atomic::write as write_whole_file;
pub use error::StorageError;
pub use file_system::{AppendFile, DiskFileSystem, FileSystem, MemoryFileSystem};
pub use identity::Identity;
pub use storage::{Storage, StorageConfig};
