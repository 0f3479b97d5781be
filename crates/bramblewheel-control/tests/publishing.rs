//! Bundles in the replicated state: acceptance and operator changes.

mod support;

use bramblewheel_bundle::{OperatorKey, TrustedOperators};
use bramblewheel_control::state::ControlState;
use bramblewheel_protocol::control::{BundleSignature, PublishReply, SignedBundle};
use bramblewheel_types::{BundleDigest, BundleVersion};
use support::log::Log;
use support::{bundle, keys, sign, signed};

#[test]
fn resent_publish_is_accepted_and_another_bundle_of_its_version_conflicts() {
    let mut log = Log::new();
    let second = signed(4, 2);
    let accepted = log.publish(second.clone());
    let position = log.position();
    assert_eq!(accepted, PublishReply::Accepted { position });
    assert_eq!(log.publish(second.clone()), accepted);
    let winner = second.digest;
    assert_eq!(log.publish(signed(4, 3)), PublishReply::Conflict { winner });
    let current = BundleVersion(4);
    assert_eq!(
        log.publish(signed(3, 2)),
        PublishReply::Outdated { current }
    );
    assert!(matches!(
        log.publish(signed(5, 2)),
        PublishReply::Accepted { .. }
    ));
    assert_eq!(
        log.publish(second),
        accepted,
        "a resend after later bundles must be accepted"
    );
}

#[test]
fn invalid_publish_is_refused_and_changes_nothing() {
    let mut log = Log::new();
    let keys = keys(0);
    let next = bundle(2, &keys, 2);
    let mut other_parent = sign(&next, &keys[..2]);
    other_parent.expected_parent = Some(BundleDigest([1; 32]));
    let mut altered = signed(2, 2);
    altered.bytes[40] ^= 1;
    let mut forged = signed(2, 2);
    forged.signatures[1].signature[3] ^= 1;
    let strangers = support::keys(5);
    type IsRefusal = fn(&PublishReply) -> bool;
    let cases: [(SignedBundle, IsRefusal); 6] = [
        (other_parent, |r| {
            matches!(
                r,
                PublishReply::ParentMismatch {
                    digest: Some(_),
                    ..
                }
            )
        }),
        (altered, |r| matches!(r, PublishReply::Invalid(_))),
        (forged, |r| matches!(r, PublishReply::BadSignatures(_))),
        (sign(&next, &keys[..1]), |r| {
            matches!(r, PublishReply::BadSignatures(_))
        }),
        (sign(&next, &[]), |r| {
            matches!(r, PublishReply::BadSignatures(_))
        }),
        (sign(&next, &strangers), |r| {
            matches!(r, PublishReply::BadSignatures(_))
        }),
    ];
    for (offered, is_refused) in cases {
        let reply = log.publish(offered);
        assert!(is_refused(&reply), "{reply:?}");
        assert_eq!(log.state.bundles().version(), BundleVersion(1));
    }
    let mut with_parent = sign(&next, &keys[..2]);
    with_parent.expected_parent = Some(signed(1, 1).digest);
    assert!(matches!(
        log.publish(with_parent),
        PublishReply::Accepted { .. }
    ));
}

/// A daemon that missed two operator changes can verify each step with the keys that it holds.
#[test]
fn daemon_verifies_operator_changes_step_by_step() {
    let mut log = Log::new();
    let generations: Vec<Vec<OperatorKey>> = (0..3).map(|g| keys(g * 4)).collect();
    let mut version = 1;
    for pair in generations.windows(2) {
        for operators in [&pair[0], &pair[1]] {
            version += 1;
            let next = sign(&bundle(version, operators, 1), &pair[0][..2]);
            assert!(matches!(log.publish(next), PublishReply::Accepted { .. }));
        }
        let early = sign(&bundle(version + 1, &pair[1], 1), &pair[0][..2]);
        assert!(matches!(log.publish(early), PublishReply::BadSignatures(_)));
    }
    let last = sign(&bundle(9, &generations[2], 1), &generations[2][..2]);
    assert!(matches!(log.publish(last), PublishReply::Accepted { .. }));
    let restored = ControlState::decode(&log.state.encode()).expect("encoded bytes must decode");
    let newest = restored.bundles().newer_than(BundleVersion(1));
    let newest = newest.expect("the bundle in force must be newer than version 1");
    assert_eq!(newest.version, BundleVersion(9));
    let history = restored.bundles().history();
    let (changes, is_complete) = history.operator_changes(BundleVersion(1), newest.version);
    assert!(is_complete);
    let mut trusted = TrustedOperators::of(&bundle(1, &generations[0], 1));
    let mut seen = Vec::new();
    for change in &changes {
        let verified =
            trusted.apply_change(&change.head, change.rest_digest, pairs(&change.signatures));
        verified.expect("the change is signed by the previous operators");
        seen.push(trusted.version().0);
    }
    assert_eq!(seen, [3, 5]);
    let authorized = trusted.authorize(newest.version, newest.digest, pairs(&newest.signatures));
    authorized.expect("signed by the last operators");
}

fn pairs(signatures: &[BundleSignature]) -> impl Iterator<Item = (&str, &[u8])> {
    signatures
        .iter()
        .map(|s| (s.operator.as_str(), s.signature.as_slice()))
}
