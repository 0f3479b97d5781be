//! What is known of an endpoint's end: what ran there, and what ran at the ends before.

use bramblewheel_decisions::endpoint_crash::{CrashesByContent, UnansweredRequests};
use bramblewheel_decisions::request_content::{COUNTED_BODY_BYTES, RequestContent};
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Timestamp};

fn endpoint(number: u32) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).expect("a name")
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
fn contents_that_differ_in_any_part_have_other_digests() {
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
        // The same bytes in another division.
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

/// Of a long body only the beginning is known when the request is sent.
#[test]
fn what_follows_the_counted_part_of_a_body_does_not_count() {
    let long = vec![b'x'; COUNTED_BODY_BYTES + 9];
    let whole = RequestContent {
        body: &long,
        ..content()
    };
    let begun = RequestContent {
        body: &long[..COUNTED_BODY_BYTES],
        ..content()
    };
    assert_eq!(whole.digest(), begun.digest());
}

#[test]
fn what_ran_at_an_end_is_what_broke_off_together_each_content_once() {
    let mut unanswered = UnansweredRequests::default();
    let at = Timestamp::from_millis;
    unanswered.record(at(1_000), &endpoint(1), ContentDigest(9));
    unanswered.record(at(5_000), &endpoint(1), ContentDigest(2));
    unanswered.record(at(5_001), &endpoint(2), ContentDigest(3));
    unanswered.record(at(5_002), &endpoint(1), ContentDigest(1));
    unanswered.record(at(5_003), &endpoint(1), ContentDigest(2));
    let end = unanswered
        .take_crash(&endpoint(1))
        .expect("it ran something");
    assert_eq!(end.endpoint, endpoint(1));
    assert_eq!(end.contents, [ContentDigest(1), ContentDigest(2)]);
    assert_eq!(unanswered.take_crash(&endpoint(1)), None, "each end once");
    assert!(unanswered.take_crash(&endpoint(2)).is_some());
}

#[test]
fn the_content_that_was_there_most_often_is_named_first() {
    let mut counts = CrashesByContent::default();
    let mut named = Vec::new();
    for number in 0..3_u32 {
        let mut unanswered = UnansweredRequests::default();
        for content in [u64::from(number) + 10, 7] {
            let now = Timestamp::from_millis(1);
            unanswered.record(now, &endpoint(number), ContentDigest(content));
        }
        let end = unanswered
            .take_crash(&endpoint(number))
            .expect("it ran something");
        named = counts.record(&end);
    }
    assert_eq!(named, [(ContentDigest(7), 3), (ContentDigest(12), 1)]);
}
