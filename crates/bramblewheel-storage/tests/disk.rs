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
