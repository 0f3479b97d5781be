//! Bodies of requests and answers, so that every byte of an answer can be checked.
//!
//! An endpoint's answer follows from the request id, the path and the request's body alone: a
//! caller can tell the whole answer to its own request from a part of it and from any other.

use bramblewheel_types::RequestId;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Longest filling of an answer, in bytes; kept below what the ledger stores for resends.
const MAX_FILLING: u64 = 3000;

/// Body of an endpoint's answer.
pub fn body(request: RequestId, path: &str, asked: &[u8]) -> Vec<u8> {
    let mut hasher = DefaultHasher::new();
    (request.0, path, asked).hash(&mut hasher);
    let digest = hasher.finish();
    let asked = String::from_utf8_lossy(asked);
    let mut text = format!("request={request} path={path} asked={asked} digest={digest:016x}\n");
    let filling = usize::try_from(digest % MAX_FILLING).unwrap_or_default();
    let mut state = digest;
    text.extend((0..filling).map(|_| next_letter(&mut state)));
    text.push_str("\nend\n");
    text.into_bytes()
}

fn next_letter(state: &mut u64) -> char {
    // Knuth's MMIX constants.
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    let letter = u8::try_from((*state >> 33) % 26).unwrap_or_default();
    char::from(b'a' + letter)
}
