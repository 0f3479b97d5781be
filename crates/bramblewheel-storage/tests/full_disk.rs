//! A write that fails for lack of space can be repeated, and nothing synced before or after it is lost.

use bramblewheel_replication::{
    Entry, HardState, LogIndex, Membership, Payload, ReplicaId, RestoredState, Snapshot, Term,
    Write,
};
use bramblewheel_storage::{Identity, MemoryFileSystem, Storage, StorageConfig, StorageError};

type MemoryStorage = Storage<MemoryFileSystem>;

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1),
        index: LogIndex(index),
        payload: Payload::Command(vec![index as u8; 40]),
    }
}

fn write_of(indexes: impl Iterator<Item = u64>) -> Write {
    Write {
        entries: indexes.map(entry).collect(),
        hard_state: Some(HardState {
            term: Term(1),
            voted_for: Some(ReplicaId(7)),
        }),
        ..Write::default()
    }
}

fn open(files: &MemoryFileSystem) -> Result<(MemoryStorage, RestoredState), StorageError> {
    let config = StorageConfig {
        segment_size: 300,
        ..StorageConfig::new("/data")
    };
    let (storage, _, restored) = Storage::open(files.clone(), config)?;
    Ok((storage, restored))
}

/// Storage with entries 1 to 3.
fn filled(files: &MemoryFileSystem) -> MemoryStorage {
    let (mut storage, _) = open(files).expect("opens");
    let identity = Identity {
        replica: ReplicaId(7),
        group: None,
        name: "control".to_owned(),
    };
    storage.create_identity(identity).expect("is created");
    storage.write(&write_of(1..=3)).expect("has space");
    storage
}

fn indexes(restored: &RestoredState) -> Vec<u64> {
    restored.entries.iter().map(|entry| entry.index.0).collect()
}

fn expect_full(result: Result<(), StorageError>, context: usize) {
    let error = result.expect_err("the disk is full");
    assert!(error.is_retriable(), "{context} free bytes: {error}");
}

/// Guards against an append behind a torn record: recovery would drop it, or refuse the folder if a
/// segment follows.
#[test]
fn repeated_write_and_later_ones_survive_whatever_part_of_the_first_attempt_was_written() {
    for free in 0..130 {
        for ends_by_power_loss in [false, true] {
            let files = MemoryFileSystem::new();
            let mut storage = filled(&files);
            files.set_capacity(Some(files.bytes_used() + free));
            expect_full(storage.write(&write_of(4..=6)), free);
            expect_full(storage.write(&write_of(4..=6)), free);
            files.set_capacity(None);
            storage.write(&write_of(4..=6)).expect("has space");
            for index in 7..=12 {
                storage.write(&write_of(index..=index)).expect("has space");
            }
            if ends_by_power_loss {
                files.crash(free as u64);
            } else {
                files.kill_process();
            }
            let (_, restored) = open(&files).expect("opens");
            let expected: Vec<u64> = (1..=12).collect();
            assert_eq!(indexes(&restored), expected, "{free} free bytes");
        }
    }
}

/// A process that ends while its disk is full must find what it had synced, also after starts that failed
/// for lack of space.
#[test]
fn synced_entries_survive_an_end_while_the_disk_is_full() {
    for free in 0..130 {
        for ends_by_power_loss in [false, true] {
            let files = MemoryFileSystem::new();
            let mut storage = filled(&files);
            files.set_capacity(Some(files.bytes_used() + free));
            expect_full(storage.write(&write_of(4..=6)), free);
            for start in 0..3 {
                if ends_by_power_loss {
                    files.crash((free + start) as u64);
                } else {
                    files.kill_process();
                }
                if let Err(error) = open(&files) {
                    assert!(error.is_disk_full(), "{free} free bytes: {error}");
                }
            }
            files.set_capacity(None);
            let (mut storage, restored) = open(&files).expect("opens");
            assert_eq!(indexes(&restored), [1, 2, 3], "{free} free bytes");
            assert_eq!(restored.hard_state.voted_for, Some(ReplicaId(7)));
            storage.write(&write_of(4..=6)).expect("has space");
        }
    }
}

/// The incomplete snapshot must not hold the space that the log needs, and the log must stay whole until
/// the snapshot is.
#[test]
fn snapshot_that_had_no_space_is_repeated() {
    for free in 0..200 {
        let files = MemoryFileSystem::new();
        let mut storage = filled(&files);
        let used = files.bytes_used();
        files.set_capacity(Some(used + free));
        let snapshot = Snapshot {
            index: LogIndex(3),
            term: Term(1),
            membership: Membership::default(),
            data: vec![5; 400],
        };
        expect_full(storage.compact(&snapshot), free);
        assert_eq!(files.bytes_used(), used, "{free} free bytes");
        files.set_capacity(None);
        storage.compact(&snapshot).expect("has space");
        storage.write(&write_of(4..=4)).expect("has space");
        files.crash(free as u64);
        let (_, restored) = open(&files).expect("opens");
        assert_eq!(indexes(&restored), [4], "{free} free bytes");
        assert_eq!(restored.snapshot, Some(snapshot));
    }
}

/// Any other error than a lack of space leaves the content of the disk unknown.
#[test]
fn failed_sync_is_not_repeated() {
    let files = MemoryFileSystem::new();
    let mut storage = filled(&files);
    files.fail_sync_after(0);
    let error = storage.write(&write_of(4..=4)).expect_err("the sync fails");
    assert!(!error.is_retriable(), "{error}");
    let refused = storage.write(&write_of(4..=4));
    assert!(
        matches!(refused, Err(StorageError::Poisoned)),
        "{refused:?}"
    );
}
