//! Hash tables with deterministic order, and a bounded map of recent keys.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, DefaultHasher};

/// Hash table with a fixed hash function, so that runs are reproducible.
///
/// Only for keys that the project's own processes generate; external callers could choose colliding
/// keys.
pub(crate) type Table<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Map that keeps at least the `capacity` most recently used keys and at most twice as many.
///
/// It has two generations: when the young one is full, it replaces the old one, which is discarded.
/// The maps are ordered, because external callers may choose the keys.
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

    /// The value of a key, created by `make` if absent; moves the key to the young generation.
    pub(crate) fn get_or_insert_with(&mut self, key: &K, make: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(key) {
            let value = self.old.remove(key).unwrap_or_else(make);
            self.insert(key.clone(), value);
        }
        self.young
            .get_mut(key)
            .expect("the key is present or was inserted above")
    }

    /// Inserts a key; returns whether it was new.
    pub(crate) fn insert(&mut self, key: K, value: V) -> bool {
        if self.young.len() >= self.capacity {
            self.forgotten = std::mem::take(&mut self.old);
            self.old = std::mem::take(&mut self.young);
        }
        // Discarded in small steps at each insert; freeing a whole generation at once takes milliseconds.
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
