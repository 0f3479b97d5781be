//! Maps whose size is bounded: keys come from requests, and their number must not exhaust the memory.

use std::collections::HashMap;
use std::hash::Hash;

/// Clears a map that holds `most` entries already, if `key` would be a further one. Dropping all of them is cheap and
/// needs no record of their use; what they held is learned again within seconds.
pub(crate) fn make_space<K: Eq + Hash, V>(map: &mut HashMap<K, V>, key: &K, most: usize) {
    if map.len() >= most && !map.contains_key(key) {
        map.clear();
    }
}
