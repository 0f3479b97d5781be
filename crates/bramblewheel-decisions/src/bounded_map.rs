//! Bounds the size of maps: keys come from requests, and their number must not exhaust the memory.

use std::collections::HashMap;
use std::hash::Hash;

/// Clears a map that already holds `most` entries, if `key` would be a further one. Dropping all of them is cheap and
/// needs no record of their use; the contents are learned again within seconds.
pub(crate) fn clear_if_full<K: Eq + Hash, V>(map: &mut HashMap<K, V>, key: &K, most: usize) {
    if map.len() >= most && !map.contains_key(key) {
        map.clear();
    }
}
