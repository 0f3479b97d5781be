//! Answer bodies of the lab's endpoints, of which every byte can be checked.
//!
//! The answer is a pure function of the request id, the path and the request body, so a caller detects
//! a truncated answer and an answer to another request.

use bramblewheel_types::RequestId;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Largest padding of an answer, in bytes; stays below the size that the ledger stores for resends.
const MAX_PADDING: u64 = 3000;

/// Body of an endpoint's answer.
pub fn body(request: RequestId, path: &str, request_body: &[u8]) -> Vec<u8> {
    let mut hasher = DefaultHasher::new();
    (request.0, path, request_body).hash(&mut hasher);
    let digest = hasher.finish();
    let request_body = String::from_utf8_lossy(request_body);
    let mut text =
        format!("request={request} path={path} asked={request_body} digest={digest:016x}\n");
    let padding = usize::try_from(digest % MAX_PADDING).unwrap_or_default();
    let mut state = digest;
    text.extend((0..padding).map(|_| next_letter(&mut state)));
    text.push_str("\nend\n");
    text.into_bytes()
}

fn next_letter(state: &mut u64) -> char {
    // Linear congruential generator with Knuth's MMIX constants.
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    let letter = u8::try_from((*state >> 33) % 26).unwrap_or_default();
    char::from(b'a' + letter)
}
