//! In-memory file system that loses unsynced data in a crash and can inject faults.

use super::{AppendFile, FileSystem};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that a disk writes atomically.
const SECTOR: usize = 512;

/// In-memory file system that loses unsynced data in a crash and can inject faults.
///
/// Clones share the files, so that a simulator can keep a disk when a process is killed. Folders are
/// durable at once; names in them are durable once the folder is synced.
#[derive(Clone, Debug, Default)]
pub struct MemoryFileSystem {
    state: Arc<Mutex<State>>,
}

/// A file of a [`MemoryFileSystem`]; fails all operations after a [`crash`](MemoryFileSystem::crash).
#[derive(Debug)]
pub struct MemoryFile {
    state: Arc<Mutex<State>>,
    inode: usize,
    generation: u64,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    unsynced_names: Vec<NameChange>,
    folders: BTreeSet<PathBuf>,
    generation: u64,
    operations: u64,
    operations_left: Option<u64>,
    syncs_until_failure: Option<u64>,
    capacity: Option<usize>,
}

/// Content of a file, independent of its name.
#[derive(Clone, Debug, Default)]
struct Inode {
    content: Vec<u8>,
    /// Number of durable bytes from the start.
    synced: usize,
    /// Range of bytes that a failed sync dropped: still readable, but never written by a later sync.
    dropped: Option<(usize, usize)>,
}

/// A change of names that is not durable yet.
#[derive(Clone, Debug)]
enum NameChange {
    Link(PathBuf, usize),
    Unlink(PathBuf),
    Rename(PathBuf, PathBuf, usize),
}

impl MemoryFileSystem {
    /// Creates an empty file system without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates a power loss: unsynced data is lost, torn or kept, depending on the seed.
    ///
    /// Files opened before fail afterwards; all injected faults end.
    pub fn crash(&self, seed: u64) {
        let mut state = self.lock();
        let mut random = SplitMix64(seed);
        let changes = std::mem::take(&mut state.unsynced_names);
        for change in changes {
            if random.below(2) == 0 {
                change.apply(&mut state.durable_names);
            }
        }
        state.names = state.durable_names.clone();
        for inode in &mut state.inodes {
            inode.tear(&mut random);
        }
        state.generation += 1;
        state.clear_faults();
    }

    /// Simulates a killed process on a machine that keeps running: all written data stays readable.
    pub fn kill_process(&self) {
        let mut state = self.lock();
        state.generation += 1;
        state.clear_faults();
    }

    /// Number of changing operations (create, append, sync, rename, remove) so far.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Makes every operation after the next `count` fail, as if power were lost at that point.
    pub fn stop_after(&self, count: u64) {
        self.lock().operations_left = Some(count);
    }

    /// Makes the sync after the next `count` fail and drop the data it should have written.
    pub fn fail_sync_after(&self, count: u64) {
        self.lock().syncs_until_failure = Some(count);
    }

    /// Limits the total size of all files, in bytes; `None` for no limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.lock().capacity = bytes;
    }

    /// Total size of all files, in bytes.
    pub fn bytes_used(&self) -> usize {
        self.lock().bytes_used()
    }

    /// Flips one bit of a file, also on disk; `false` if there is no such byte.
    pub fn flip_bit(&self, path: &Path, offset: usize, bit: u8) -> bool {
        let mut state = self.lock();
        let Some(&inode) = state.names.get(path) else {
            return false;
        };
        let Some(byte) = state.inodes[inode].content.get_mut(offset) else {
            return false;
        };
        *byte ^= 1 << (bit % 8);
        true
    }

    /// Removes all files at once, as when the disk is replaced.
    pub fn wipe(&self) {
        let mut state = self.lock();
        let generation = state.generation + 1;
        *state = State {
            generation,
            ..State::default()
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn file(&self, inode: usize, generation: u64) -> MemoryFile {
        MemoryFile {
            state: Arc::clone(&self.state),
            inode,
            generation,
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Counts a changing operation; fails it after a simulated power loss.
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => return Err(io::Error::other("power is off")),
            Some(left) => *left -= 1,
            None => {}
        }
        self.operations += 1;
        Ok(())
    }

    fn clear_faults(&mut self) {
        self.operations_left = None;
        self.syncs_until_failure = None;
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let found = self.names.get(path).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn bytes_used(&self) -> usize {
        let inodes: BTreeSet<usize> = self.names.values().copied().collect();
        inodes
            .iter()
            .map(|&inode| self.inodes[inode].content.len())
            .sum()
    }

    fn append(&mut self, inode: usize, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        let used = self.bytes_used();
        let free = self
            .capacity
            .map_or(usize::MAX, |limit| limit.saturating_sub(used));
        let fitting = bytes.len().min(free);
        self.inodes[inode]
            .content
            .extend_from_slice(&bytes[..fitting]);
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Counts a sync; `true` if it must fail.
    fn sync_must_fail(&mut self) -> bool {
        match &mut self.syncs_until_failure {
            Some(0) => {
                self.syncs_until_failure = None;
                true
            }
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }
}

impl Inode {
    fn sync(&mut self) {
        if let Some((from, to)) = self.dropped.take() {
            self.content[from..to].fill(0);
        }
        self.synced = self.content.len();
    }

    fn drop_unsynced(&mut self) {
        let from = self.dropped.map_or(self.synced, |(from, _)| from);
        self.dropped = Some((from, self.content.len()));
        self.synced = self.content.len();
    }

    /// Keeps the synced bytes and a random part of the others, in which a sector may be zeroed.
    fn tear(&mut self, random: &mut SplitMix64) {
        if let Some((from, _)) = self.dropped.take() {
            self.synced = from;
        }
        let unsynced = self.content.len() - self.synced;
        let kept = random.below(unsynced as u64 + 1) as usize;
        self.content.truncate(self.synced + kept);
        if kept > 0 && random.below(2) == 0 {
            let hole = self.synced + random.below(kept as u64) as usize;
            let from = (hole / SECTOR * SECTOR).max(self.synced);
            let to = (hole / SECTOR * SECTOR + SECTOR).min(self.content.len());
            self.content[from..to].fill(0);
        }
        self.synced = self.content.len();
    }
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<PathBuf, usize>) {
        match self {
            Self::Link(path, inode) => {
                names.insert(path.clone(), *inode);
            }
            Self::Unlink(path) => {
                names.remove(path);
            }
            Self::Rename(from, to, inode) => {
                names.remove(from);
                names.insert(to.clone(), *inode);
            }
        }
    }

    fn is_in(&self, folder: &Path) -> bool {
        let (Self::Link(path, _) | Self::Unlink(path) | Self::Rename(_, path, _)) = self;
        path.parent() == Some(folder)
    }
}

impl FileSystem for MemoryFileSystem {
    type File = MemoryFile;

    fn create(&self, path: &Path) -> io::Result<MemoryFile> {
        let mut state = self.lock();
        state.count_operation()?;
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.change_name(NameChange::Link(path.to_owned(), inode));
        Ok(self.file(inode, state.generation))
    }

    fn open_append(&self, path: &Path) -> io::Result<MemoryFile> {
        let state = self.lock();
        let inode = state.find(path)?;
        Ok(self.file(inode, state.generation))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let inode = state.find(path)?;
        Ok(state.inodes[inode].content.clone())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let inode = state.find(from)?;
        state.change_name(NameChange::Rename(from.to_owned(), to.to_owned(), inode));
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        state.find(path)?;
        state.change_name(NameChange::Unlink(path.to_owned()));
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let state = self.lock();
        let paths = state
            .names
            .keys()
            .filter(|path| path.parent() == Some(folder));
        let names = paths.filter_map(|path| path.file_name());
        Ok(names
            .map(|name| name.to_string_lossy().into_owned())
            .collect())
    }

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        self.lock().folders.insert(folder.to_owned());
        Ok(())
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        if state.sync_must_fail() {
            return Err(io::Error::other("folder sync failed"));
        }
        let changes = std::mem::take(&mut state.unsynced_names);
        for change in changes {
            if change.is_in(folder) {
                change.apply(&mut state.durable_names);
            } else {
                state.unsynced_names.push(change);
            }
        }
        Ok(())
    }
}

impl AppendFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = lock(&self.state);
        if state.generation != self.generation {
            return Err(io::Error::other("opened before a crash"));
        }
        state.append(self.inode, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = lock(&self.state);
        if state.generation != self.generation {
            return Err(io::Error::other("opened before a crash"));
        }
        state.count_operation()?;
        if state.sync_must_fail() {
            state.inodes[self.inode].drop_unsynced();
            return Err(io::Error::other("sync failed"));
        }
        state.inodes[self.inode].sync();
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = lock(&self.state);
        if state.generation != self.generation {
            return Err(io::Error::other("opened before a crash"));
        }
        state.count_operation()?;
        if state.sync_must_fail() {
            return Err(io::Error::other("sync failed"));
        }
        let length = usize::try_from(length).map_err(io::Error::other)?;
        let inode = &mut state.inodes[self.inode];
        inode.content.truncate(length);
        // Bytes that a failed sync dropped stay dropped.
        let dropped = inode.dropped.take();
        inode.dropped =
            dropped.and_then(|(from, to)| (from < length).then(|| (from, to.min(length))));
        inode.synced = inode.content.len();
        Ok(())
    }
}

/// Small seeded generator, so that a crash with the same seed has the same result.
struct SplitMix64(u64);

impl SplitMix64 {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % bound
    }
}
