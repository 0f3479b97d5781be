//! Frames that are truncated, too long or not of the expected message type are refused.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bramblewheel_protocol::codec::{CodecError, MAX_CONTROL_FRAME, decode, encode, read_frame};
use bramblewheel_protocol::control::{
    BundleSignature, ControlReply, ControlRequest, ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_types::{BundleDigest, BundleVersion};
use std::io;

fn signed_bundle() -> SignedBundle {
    SignedBundle {
        version: BundleVersion(7),
        digest: BundleDigest([3; 32]),
        bytes: vec![1; 300],
        signatures: vec![BundleSignature {
            operator: "anna".to_owned(),
            signature: vec![2; 64],
        }],
        expected_parent: Some(BundleDigest([4; 32])),
    }
}

fn request() -> ControlRequest {
    let body = RequestBody::Publish(signed_bundle());
    ControlRequest { id: 5, body }
}

fn frame() -> Vec<u8> {
    encode(&request(), MAX_CONTROL_FRAME).expect("short")
}

fn with_length(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("short");
    [&length.to_be_bytes(), body].concat()
}

async fn read(mut bytes: &[u8]) -> Result<Option<ControlRequest>, CodecError> {
    read_frame(&mut bytes, MAX_CONTROL_FRAME).await
}

#[tokio::test]
async fn consecutive_frames_are_read_until_the_peer_closes() {
    let bytes = [frame(), frame()].concat();
    let mut rest = &bytes[..];
    for _ in 0..2 {
        let read = read_frame(&mut rest, MAX_CONTROL_FRAME).await;
        assert_eq!(read.expect("whole"), Some(request()));
    }
    let end = read_frame::<ControlRequest, _>(&mut rest, MAX_CONTROL_FRAME).await;
    assert!(matches!(end, Ok(None)));
}

#[tokio::test]
async fn a_frame_truncated_at_any_byte_is_an_error() {
    let frame = frame();
    for end in 1..frame.len() {
        let error = read(&frame[..end]).await;
        let Err(CodecError::Io(error)) = error else {
            panic!("cut at {end}: {error:?}");
        };
        assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof);
    }
}

#[tokio::test]
async fn a_frame_over_the_limit_is_refused_by_reader_and_writer() {
    let length = u32::try_from(MAX_CONTROL_FRAME + 1).expect("fits");
    let error = read(&length.to_be_bytes()).await;
    assert!(
        matches!(error, Err(CodecError::TooLong { .. })),
        "{error:?}"
    );
    let error = encode(&request(), 100);
    assert!(matches!(error, Err(CodecError::TooLong { limit: 100, .. })));
}

#[tokio::test]
async fn bytes_that_are_not_the_expected_message_are_refused() {
    let body = &frame()[4..];
    let left_over = [body, &[0]].concat();
    let reply = ControlReply {
        id: 5,
        body: ReplyBody::Done,
    };
    let other_message = encode(&reply, MAX_CONTROL_FRAME).expect("short");
    let cases: [&[u8]; 6] = [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 20],
        &body[..body.len() - 1],
        &left_over,
        &other_message[4..],
    ];
    for body in cases {
        let error = read(&with_length(body)).await;
        assert!(matches!(error, Err(CodecError::Malformed(_))), "{error:?}");
    }
}

#[tokio::test]
async fn deep_nesting_is_refused() {
    const DEPTH: usize = 1_000_000;
    for open in [0x81_u8, 0xc1, 0x9f] {
        // Nested values in an unknown field, which the reader skips, and in place of the message.
        let skipped = [&[0xa1, 0x61, b'x'][..], &vec![open; DEPTH]].concat();
        for body in [skipped, vec![open; DEPTH]] {
            let error = read(&with_length(&body)).await;
            assert!(matches!(error, Err(CodecError::Malformed(_))), "{error:?}");
        }
    }
}

#[test]
fn arbitrary_and_altered_bytes_never_panic() {
    /// Number of cases, and bytes of random input for each: `arbtest` runs the property once per seed, and
    /// the seed's low 32 bits are the size.
    const CASES: u64 = 1_000;
    const SIZE: u64 = 200;
    /// CBOR: head of an array whose length is the next byte.
    const ARRAY_OF_LENGTH: u8 = 0x98;
    /// CBOR: the bit in which the heads of a text string and a byte string differ.
    const TEXT_FROM_BYTES: u8 = 0x20;
    let body = frame()[4..].to_vec();
    let property = |u: &mut Unstructured<'_>| {
        let index = u.choose_index(body.len())?;
        let mut altered = body.clone();
        altered[index] = u.arbitrary()?;
        if let Ok(read) = decode::<ControlRequest>(&altered) {
            // The reader ignores the announced length of fixed arrays, and accepts a field's name as text
            // or bytes; any other change must give another message.
            let is_array_length = index > 0 && body[index - 1] == ARRAY_OF_LENGTH;
            let is_bytes_for_text = altered[index] == body[index] ^ TEXT_FROM_BYTES;
            let is_same = altered == body || is_array_length || is_bytes_for_text;
            assert!(is_same || read != request(), "byte {index}");
        }
        let noise: Vec<u8> = u.arbitrary()?;
        let _ = decode::<ControlRequest>(&noise);
        Ok(())
    };
    for seed in 1..=CASES {
        let start = seed.wrapping_mul(0x9E37_79B1) & 0xFFFF_FFFF;
        arbtest(property).seed(start << 32 | SIZE);
    }
}
