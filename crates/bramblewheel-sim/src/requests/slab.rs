//! Slab storage with generational keys, which are never reused.

use std::marker::PhantomData;

/// Key of an entry; the key of a removed entry matches nothing.
#[derive(Debug)]
pub struct Key<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Eq for Key<T> {}

#[derive(Debug)]
struct Entry<T> {
    generation: u32,
    value: Option<T>,
}

/// Entries by key.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Adds an entry.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Entry {
                generation: 0,
                value: None,
            });
            (self.entries.len() - 1) as u32
        });
        let entry = &mut self.entries[index as usize];
        entry.value = Some(value);
        Key {
            index,
            generation: entry.generation,
            kind: PhantomData,
        }
    }

    /// An entry, if it has not been removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation {
            return None;
        }
        entry.value.as_ref()
    }

    /// A mutable entry, if it has not been removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let entry = self.entries.get_mut(key.index as usize)?;
        if entry.generation != key.generation {
            return None;
        }
        entry.value.as_mut()
    }

    /// Removes an entry and returns it.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let entry = self.entries.get_mut(key.index as usize)?;
        if entry.generation != key.generation {
            return None;
        }
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(key.index);
        entry.value.take()
    }
}
