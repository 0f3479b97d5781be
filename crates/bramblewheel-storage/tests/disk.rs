//! Tests of the operating system's file system.

use bramblewheel_storage::{AppendFile, DiskFileSystem, FileSystem};
use std::os::unix::fs::PermissionsExt;
use tempfile::TempDir;

/// Files may contain tenants' keys, which other users must not read.
#[test]
fn files_are_accessible_to_their_owner_only() {
    let folder = TempDir::new().expect("create a folder");
    let path = folder.path().join("log");
    let mut file = DiskFileSystem.create(&path).expect("create the file");
    file.append(b"a key").expect("append to the file");
    let mode = std::fs::metadata(&path)
        .expect("the file exists")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
}

/// A file from `create` has its own write position: without a seek, the append after a truncation would
/// leave a hole of zeros, which recovery reports as damage.
#[test]
fn append_after_truncation_continues_at_the_new_end() {
    let folder = TempDir::new().expect("create a folder");
    let path = folder.path().join("log");
    let mut created = DiskFileSystem.create(&path).expect("create the file");
    created.append(b"whole, torn").expect("append");
    created.truncate(6).expect("truncate");
    created.append(b" next").expect("append");
    let mut opened = DiskFileSystem.open_append(&path).expect("open the file");
    opened.truncate(8).expect("truncate");
    opened.append(b"ew").expect("append");
    assert_eq!(DiskFileSystem.read(&path).expect("read"), b"whole, new");
}
