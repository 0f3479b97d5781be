//! Crashes of endpoints: which contents were running at a crash, and at how many crashes.

use bramblewheel_decisions::endpoint_crash::{CrashesByContent, UnansweredRequests};
use bramblewheel_decisions::request_content::{COUNTED_BODY_BYTES, RequestContent};
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Timestamp};

fn endpoint(number: u32) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).expect("valid name")
}

fn content() -> RequestContent<'static> {
    RequestContent {
        tenant: "stall-7",
        method: "POST",
        host: "shop.example",
        target: "/safe/item?size=2",
        body: b"two of them",
    }
}

#[test]
fn contents_that_differ_in_any_part_have_different_digests() {
    let digest = content().digest();
    let long = vec![b'x'; COUNTED_BODY_BYTES + 1];
    let others = [
        RequestContent {
            tenant: "stall-8",
            ..content()
        },
        RequestContent {
            method: "GET",
            ..content()
        },
        RequestContent {
            host: "other.example",
            ..content()
        },
        RequestContent {
            target: "/safe/item?size=3",
            ..content()
        },
        RequestContent {
            body: b"three of them",
            ..content()
        },
        RequestContent {
            body: &long,
            ..content()
        },
        // The same bytes, split differently between host and target.
        RequestContent {
            host: "shop.example/safe",
            target: "/item?size=2",
            ..content()
        },
    ];
    assert_eq!(content().digest(), digest);
    for other in others {
        assert_ne!(other.digest(), digest, "{} {}", other.host, other.target);
    }
}

/// Only the beginning of a long body is known when the request is sent.
#[test]
fn body_bytes_after_the_counted_part_do_not_change_the_digest() {
    let long = vec![b'x'; COUNTED_BODY_BYTES + 9];
    let whole = RequestContent {
        body: &long,
        ..content()
    };
    let beginning = RequestContent {
        body: &long[..COUNTED_BODY_BYTES],
        ..content()
    };
    assert_eq!(whole.digest(), beginning.digest());
}

#[test]
fn crash_lists_each_content_that_broke_off_with_the_last_request_once() {
    let mut unanswered = UnansweredRequests::default();
    let at = Timestamp::from_millis;
    unanswered.record(at(1_000), &endpoint(1), ContentDigest(9));
    unanswered.record(at(5_000), &endpoint(1), ContentDigest(2));
    unanswered.record(at(5_001), &endpoint(2), ContentDigest(3));
    unanswered.record(at(5_002), &endpoint(1), ContentDigest(1));
    unanswered.record(at(5_003), &endpoint(1), ContentDigest(2));
    let crash = unanswered
        .take_crash(&endpoint(1))
        .expect("the endpoint had unanswered requests");
    assert_eq!(crash.endpoint, endpoint(1));
    assert_eq!(crash.contents, [ContentDigest(1), ContentDigest(2)]);
    assert_eq!(
        unanswered.take_crash(&endpoint(1)),
        None,
        "each crash is returned once"
    );
    assert!(unanswered.take_crash(&endpoint(2)).is_some());
}

#[test]
fn content_with_the_most_crashes_is_listed_first() {
    let mut counts = CrashesByContent::default();
    let mut most_crashes = Vec::new();
    for number in 0..3_u32 {
        let mut unanswered = UnansweredRequests::default();
        for content in [u64::from(number) + 10, 7] {
            let now = Timestamp::from_millis(1);
            unanswered.record(now, &endpoint(number), ContentDigest(content));
        }
        let crash = unanswered
            .take_crash(&endpoint(number))
            .expect("the endpoint had unanswered requests");
        most_crashes = counts.record(&crash);
    }
    assert_eq!(
        most_crashes,
        [(ContentDigest(7), 3), (ContentDigest(12), 1)]
    );
}
