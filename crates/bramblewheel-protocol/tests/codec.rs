//! Frames that are cut short, too long or not the message expected are refused.

use arbtest::arbtest;
use bramblewheel_protocol::codec::{CodecError, MAX_CONTROL_FRAME, decode, encode, read_frame};
use bramblewheel_protocol::control::{
    BundleSignature, ControlReply, ControlRequest, ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_types::{BundleDigest, BundleVersion};
use std::io;

fn signed() -> SignedBundle {
    SignedBundle {
        version: BundleVersion(7),
        digest: BundleDigest([3; 32]),
        bytes: vec![1; 300],
        signatures: vec![BundleSignature {
            operator: "anna".to_owned(),
            signature: vec![2; 64],
        }],
        expected_parent: None,
    }
}

fn request() -> ControlRequest {
    let body = RequestBody::Publish(signed());
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
async fn frames_follow_one_another_until_the_peer_closes() {
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
async fn a_frame_cut_anywhere_is_an_error() {
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
async fn what_is_not_the_message_is_refused() {
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
        // In a field that the reader does not know and skips, and in place of the message.
        let skipped = [&[0xa1, 0x61, b'x'][..], &vec![open; DEPTH]].concat();
        for body in [skipped, vec![open; DEPTH]] {
            let error = read(&with_length(&body)).await;
            assert!(matches!(error, Err(CodecError::Malformed(_))), "{error:?}");
        }
    }
}

#[test]
fn arbitrary_and_altered_bytes_never_panic() {
    let body = frame()[4..].to_vec();
    arbtest(|u| {
        let noise: Vec<u8> = u.arbitrary()?;
        let _ = decode::<ControlRequest>(&noise);
        let mut altered = body.clone();
        let index = u.choose_index(altered.len())?;
        altered[index] = u.arbitrary()?;
        if let Ok(read) = decode::<ControlRequest>(&altered) {
            assert_eq!(altered == body, read == request());
        }
        Ok(())
    })
    .seed(11)
    .size_min(16)
    .size_max(512);
}
