//! Memory use follows the bytes received, not the announced lengths. The test has a program of its own,
//! because it reads the memory use of the whole process.

use bramblewheel_protocol::codec::{CodecError, MAX_PEER_FRAME, decode, read_frame};
use bramblewheel_protocol::control::{ControlRequest, RequestBody, SignedBundle};
use std::fs;

/// Far below the lengths announced here, and far above the memory that a test program needs.
const ALLOWED_GROWTH_KIB: u64 = 128 * 1024;

/// Peak virtual memory size of this process so far, in KiB.
fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmPeak:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.expect("has VmPeak").parse().expect("a number")
}

/// A CBOR value whose `bytes` field has a header that announces far more than the four bytes that follow.
fn announcing(header: &[u8]) -> Vec<u8> {
    [&[0xa1, 0x65][..], b"bytes", header, &[0; 4]].concat()
}

#[tokio::test(flavor = "current_thread")]
async fn announced_lengths_are_not_allocated() {
    let before = peak_kib();
    let announced = u32::try_from(MAX_PEER_FRAME).expect("fits");
    let bytes = [&announced.to_be_bytes()[..], &[0; 10]].concat();
    let mut reader = &bytes[..];
    let result = read_frame::<ControlRequest, _>(&mut reader, MAX_PEER_FRAME).await;
    assert!(matches!(result, Err(CodecError::Io(_))), "{result:?}");
    // Byte string and array of 2^40 entries.
    for major in [0x5b_u8, 0x9b] {
        let header = [major, 0, 0, 1, 0, 0, 0, 0, 0];
        assert!(decode::<SignedBundle>(&announcing(&header)).is_err());
        assert!(decode::<Vec<RequestBody>>(&header).is_err());
    }
    let growth = peak_kib() - before;
    assert!(growth < ALLOWED_GROWTH_KIB, "{growth} KiB");
}
