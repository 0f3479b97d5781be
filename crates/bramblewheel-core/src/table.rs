//! Hash tables whose order is the same in every run, and a bounded memory of recent keys.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, DefaultHasher};

/// Hash table with a fixed hash function, so that a run can be repeated.
///
/// Only for keys drawn by the project's own processes: outsiders could choose colliding keys.
pub(crate) type Table<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Remembers at least the `capacity` most recently used keys and at most twice as many.
///
/// Two generations: when the young one is full it becomes the old one and the old one is
/// forgotten. Ordered maps, because keys may be chosen by outsiders.
#[derive(Debug)]
pub(crate) struct RecentMap<K, V> {
    capacity: usize,
    young: BTreeMap<K, V>,
    old: BTreeMap<K, V>,
    forgotten: BTreeMap<K, V>,
}

impl<K: Ord + Clone, V> RecentMap<K, V> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            young: BTreeMap::new(),
            old: BTreeMap::new(),
            forgotten: BTreeMap::new(),
        }
    }

    /// The value of a key, made by `make` if the key is not remembered; the key becomes young.
    pub(crate) fn get_or_insert_with(&mut self, key: &K, make: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(key) {
            let value = self.old.remove(key).unwrap_or_else(make);
            self.insert(key.clone(), value);
        }
        self.young
            .get_mut(key)
            .expect("the key was found or inserted in the line above")
    }

    /// Remembers a key; returns whether it was new.
    pub(crate) fn insert(&mut self, key: K, value: V) -> bool {
        if self.young.len() >= self.capacity {
            self.forgotten = std::mem::take(&mut self.old);
            self.old = std::mem::take(&mut self.young);
        }
        // Freed a little at each insert: a whole generation at once would take milliseconds.
        self.forgotten.pop_first();
        self.forgotten.pop_first();
        let was_old = self.old.contains_key(&key);
        let was_young = self.young.insert(key, value).is_some();
        !was_old && !was_young
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        let young = self.young.remove(key);
        let old = self.old.remove(key);
        young.or(old)
    }
}
