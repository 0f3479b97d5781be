//! Files in a replica's data folder.

use crate::forms::{Comparison, bytes_of};
use crate::replication::{entries, snapshot};
use bramblewheel_replication::{HardState, LogIndex, ReplicaId, RestoredState, Term, Write};
use bramblewheel_storage::{DiskFileSystem, Identity, Storage, StorageConfig};
use std::collections::BTreeMap;
use std::path::Path;
use tempfile::TempDir;

fn identity() -> Identity {
    Identity {
        replica: ReplicaId(1),
        group: Some(77),
        name: "control-1".to_owned(),
    }
}

fn open(folder: &Path) -> (Storage<DiskFileSystem>, Option<Identity>, RestoredState) {
    Storage::open(DiskFileSystem, StorageConfig::new(folder)).expect("opens")
}

fn hard_state() -> HardState {
    HardState {
        term: Term(3),
        voted_for: Some(ReplicaId(2)),
    }
}

/// Contents of the files in a folder, by name.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    let file = |entry: std::fs::DirEntry| {
        let name = entry.file_name().into_string().expect("names are text");
        (name, std::fs::read(entry.path()).expect("can be read"))
    };
    entries
        .map(|entry| file(entry.expect("can be listed")))
        .collect()
}

#[test]
fn files_keep_their_form() {
    let folder = TempDir::new().expect("a folder");
    let (mut storage, _, _) = open(folder.path());
    storage.create_identity(identity()).expect("written");
    let write = Write {
        snapshot: Some(snapshot()),
        truncate_from: None,
        entries: entries(),
        hard_state: Some(hard_state()),
    };
    storage.write(&write).expect("written");
    let write = Write {
        truncate_from: Some(LogIndex(14)),
        ..Write::default()
    };
    storage.write(&write).expect("written");
    drop(storage);
    let mut comparison = Comparison::default();
    for (name, bytes) in files(folder.path()) {
        comparison.bytes(&format!("file.{name}"), &bytes);
    }
    comparison.finish();
}

#[test]
fn recorded_files_are_read() {
    let folder = TempDir::new().expect("a folder");
    for name in FILES {
        let bytes = bytes_of(&format!("file.{name}"));
        std::fs::write(folder.path().join(name), bytes).expect("written");
    }
    let (_, read, restored) = open(folder.path());
    assert_eq!(read, Some(identity()));
    assert_eq!(restored.hard_state, hard_state());
    assert_eq!(restored.snapshot, Some(snapshot()));
    assert_eq!(restored.entries, entries()[..2]);
}

/// Files of a folder with a snapshot and one segment.
const FILES: [&str; 3] = [
    "identity",
    "log-00000000000000000000",
    "snapshot-00000000000000000000-00000000000000000011",
];
