//! Rules of the replicated state.

mod support;

use bramblewheel_bundle::{OperatorKey, TrustedOperators};
use bramblewheel_control::state::ledger::MAX_MINT_AHEAD_MILLIS;
use bramblewheel_control::state::{Command, ControlState, ExpiredDaemon, LoggedCommand, Outcome};
use bramblewheel_protocol::control::{
    BundleSignature, LogPosition, OperationAction, OperationReply, OperationRequest, PublishReply,
    Registration, SignedBundle,
};
use bramblewheel_types::{BundleDigest, BundleVersion, OperationKey};
use support::{
    RETENTION, answer, bundle, claim, keys, operation, registration, service, sign, signed,
};

const START: u64 = 1_800_000_000_000;

struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn new() -> Self {
        let position = LogPosition { index: 1, term: 1 };
        Self {
            state: ControlState::bootstrap(7, signed(1, 1), position).expect("signed by its own"),
            index: 1,
        }
    }

    fn apply_at(&mut self, proposed_at_unix_millis: u64, command: Command) -> Outcome {
        self.index += 1;
        let logged = LoggedCommand {
            proposed_at_unix_millis,
            command,
        };
        let position = self.position();
        let applied = self.state.apply(position, &logged.encode());
        applied.expect("a command").outcome
    }

    fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: 2,
        }
    }

    fn publish(&mut self, signed: SignedBundle) -> PublishReply {
        match self.apply_at(START, Command::Publish(signed)) {
            Outcome::Publish(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    fn operate_at(&mut self, time: u64, request: OperationRequest) -> OperationReply {
        match self.apply_at(time, Command::Operations(vec![request])) {
            Outcome::Operations(mut replies) => replies.remove(0),
            other => panic!("{other:?}"),
        }
    }

    fn operate(&mut self, request: OperationRequest) -> OperationReply {
        self.operate_at(START, request)
    }

    fn register(&mut self, registered: Vec<Registration>) {
        let expired = Vec::new();
        self.apply_at(
            START,
            Command::Directory {
                registered,
                expired,
            },
        );
    }

    fn expire(&mut self, registration: &Registration) {
        let gone = ExpiredDaemon {
            daemon: registration.daemon.clone(),
            incarnation: registration.incarnation,
        };
        let command = Command::Directory {
            registered: Vec::new(),
            expired: vec![gone],
        };
        self.apply_at(START, command);
    }

    fn live(&self, since: u64) -> (bool, Vec<String>, Vec<String>) {
        let services = [service("kassa"), service("lager")];
        let delta = self.state.directory().delta(&services, since);
        let live = delta.live.iter().map(|e| e.endpoint.to_string());
        let removed = delta.removed.iter().map(ToString::to_string);
        (delta.is_complete, live.collect(), removed.collect())
    }
}

#[test]
fn a_publish_is_accepted_once_and_again_and_nothing_else_under_its_version() {
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
    assert_eq!(log.publish(second), accepted, "also when others came since");
}

#[test]
fn a_publish_that_is_not_right_changes_nothing() {
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

/// A daemon that was away over two changes of keys can verify each step with the keys it holds.
#[test]
fn a_daemon_follows_changes_of_keys_step_by_step() {
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
    let restored = ControlState::decode(&log.state.encode()).expect("its own bytes");
    let newest = restored.bundles().newer_than(BundleVersion(1));
    let newest = newest.expect("it is newer");
    assert_eq!(newest.version, BundleVersion(9));
    let history = restored.bundles().history();
    let (changes, are_all) = history.operator_changes(BundleVersion(1), newest.version);
    assert!(are_all);
    let mut trusted = TrustedOperators::of(&bundle(1, &generations[0], 1));
    let mut seen = Vec::new();
    for change in &changes {
        let followed = trusted.follow(&change.head, change.rest_digest, pairs(&change.signatures));
        followed.expect("signed by the operators before");
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

#[test]
fn a_claim_belongs_to_one_attempt() {
    use OperationReply::{Absent, Completed, Granted, Held, Recorded};
    let complete =
        |attempt, status| operation("a", attempt, OperationAction::Complete(answer(status)));
    let release = |attempt| operation("a", attempt, OperationAction::Release);
    let status = || operation("a", 0, OperationAction::Status);
    let mut other_incarnation = claim("a", 1, START);
    other_incarnation.incarnation = 2;
    let steps = [
        (status(), Absent),
        (complete(1, 200), Absent),
        (claim("a", 1, START), Granted),
        (claim("a", 1, START), Granted),
        (claim("a", 2, START), Held),
        (other_incarnation, Held),
        (status(), Held),
        (complete(2, 500), Held),
        (release(2), Held),
        (release(1), Recorded),
        (release(1), Recorded),
        (status(), Absent),
        // Late duplicates of attempts that gave up.
        (claim("a", 1, START), Absent),
        (claim("a", 2, START), Absent),
        (claim("a", 3, START), Granted),
        (release(1), Held),
        (complete(3, 200), Recorded),
        (complete(3, 500), Recorded),
        (release(3), Completed(answer(200))),
        (complete(4, 500), Completed(answer(200))),
        (claim("a", 5, START), Completed(answer(200))),
        (status(), Completed(answer(200))),
    ];
    let mut log = Log::new();
    for (step, (request, expected)) in steps.into_iter().enumerate() {
        assert_eq!(log.operate(request), expected, "step {step}");
    }
}

#[test]
fn a_release_may_come_before_its_claim() {
    let mut log = Log::new();
    let release = operation("a", 1, OperationAction::Release);
    assert_eq!(log.operate(release), OperationReply::Recorded);
    assert_eq!(log.operate(claim("a", 1, START)), OperationReply::Absent);
    assert_eq!(log.operate(claim("a", 2, START)), OperationReply::Granted);
}

#[test]
fn what_is_forgotten_is_never_granted_again() {
    let mut log = Log::new();
    assert_eq!(log.operate(claim("old", 1, START)), OperationReply::Granted);
    assert_eq!(
        log.operate(claim("new", 1, START + 5)),
        OperationReply::Granted
    );
    let later = START + RETENTION + 3;
    assert_eq!(
        log.operate_at(later, claim("old", 2, START)),
        OperationReply::Expired
    );
    assert_eq!(
        log.operate_at(later, claim("new", 2, START + 5)),
        OperationReply::Held
    );
    assert_eq!(log.state.ledger().len(), 1);
    // A new leader's clock is behind, and a bundle keeps keys for longer: neither opens the past.
    assert_eq!(
        log.operate_at(START, claim("old", 3, START)),
        OperationReply::Expired
    );
    let keys = keys(0);
    let mut longer = bundle(2, &keys, 1);
    longer.limits.operation_retention.0 = RETENTION * 10;
    assert!(matches!(
        log.publish(sign(&longer, &keys[..2])),
        PublishReply::Accepted { .. }
    ));
    assert_eq!(
        log.operate_at(later, claim("old", 4, START)),
        OperationReply::Expired
    );
    let ahead = later + MAX_MINT_AHEAD_MILLIS;
    assert_eq!(
        log.operate_at(later, claim("x", 1, ahead + 1)),
        OperationReply::Expired
    );
    assert_eq!(
        log.operate_at(later, claim("x", 1, ahead)),
        OperationReply::Granted
    );
    assert_eq!(log.state.log_time_unix_millis(), later);
}

/// The caller states a later mint time with a resend: the operation is kept for that one.
#[test]
fn an_operation_is_kept_for_the_latest_mint_time_stated() {
    let mut log = Log::new();
    assert_eq!(log.operate(claim("a", 1, START)), OperationReply::Granted);
    assert_eq!(log.operate(claim("a", 2, START + 50)), OperationReply::Held);
    let later = START + RETENTION + 40;
    assert_eq!(
        log.operate_at(later, claim("a", 3, START + 50)),
        OperationReply::Held
    );
}

#[test]
fn deltas_tell_what_a_complete_list_would() {
    let mut log = Log::new();
    assert_eq!(log.live(0), (true, vec![], vec![]));
    let mut first = registration("k-1", "kassa", 1);
    log.register(vec![first.clone(), registration("l-1", "lager", 1)]);
    log.register(vec![registration("x-1", "other", 1)]);
    let after_start = log.state.directory().revision();
    assert_eq!(log.live(0).1, ["k-1", "l-1"]);
    assert_eq!(log.live(after_start), (false, vec![], vec![]));
    assert!(
        !log.state
            .directory()
            .has_update(&[service("kassa")], after_start)
    );
    first.endpoint.as_mut().expect("has one").draining = true;
    log.register(vec![first.clone()]);
    assert!(
        !log.state
            .directory()
            .has_update(&[service("lager")], after_start)
    );
    assert!(
        log.state
            .directory()
            .has_update(&[service("kassa")], after_start)
    );
    assert_eq!(
        log.live(after_start),
        (false, vec!["k-1".to_owned()], vec![])
    );
    // It moves to another service that the daemon asks for, then one that it does not.
    first.endpoint.as_mut().expect("has one").service = service("lager");
    log.register(vec![first.clone()]);
    assert_eq!(
        log.live(after_start),
        (false, vec!["k-1".to_owned()], vec![])
    );
    first.endpoint.as_mut().expect("has one").service = service("other");
    log.register(vec![first.clone()]);
    assert_eq!(
        log.live(after_start),
        (false, vec![], vec!["k-1".to_owned()])
    );
    let unknown = log.state.directory().revision() + 1;
    assert!(
        log.live(unknown).0,
        "a revision from nowhere gets everything"
    );
}

#[test]
fn only_the_incarnation_that_fell_silent_expires() {
    let mut log = Log::new();
    let first = registration("k-1", "kassa", 1);
    let second = registration("k-1", "kassa", 2);
    log.register(vec![first.clone()]);
    log.register(vec![second.clone()]);
    log.expire(&first);
    assert_eq!(log.live(0).1, ["k-1"]);
    // Another daemon takes the endpoint over; the old one's end does not touch it.
    let mut heir = registration("k-1b", "kassa", 1);
    heir.endpoint = second.endpoint.clone();
    log.register(vec![heir.clone()]);
    log.expire(&second);
    assert_eq!(log.live(0).1, ["k-1"]);
    log.expire(&heir);
    assert_eq!(log.live(0).1, Vec::<String>::new());
}

#[test]
fn a_snapshot_holds_everything_and_is_the_same_bytes_everywhere() {
    let mut log = Log::new();
    log.publish(signed(2, 2));
    log.operate(claim("a", 1, START));
    log.operate(operation("a", 1, OperationAction::Complete(answer(201))));
    log.operate(claim("b", 1, START));
    log.operate(operation("b", 1, OperationAction::Release));
    log.register(vec![
        registration("k-1", "kassa", 1),
        registration("k-2", "kassa", 1),
    ]);
    log.expire(&registration("k-2", "kassa", 1));
    let bytes = log.state.encode();
    let mut copy = Log {
        state: ControlState::decode(&bytes).expect("its own bytes"),
        index: log.index,
    };
    assert_eq!(copy.state.encode(), bytes);
    for twin in [&mut log, &mut copy] {
        assert_eq!(twin.operate(claim("b", 1, START)), OperationReply::Absent);
        assert!(matches!(
            twin.publish(signed(2, 3)),
            PublishReply::Conflict { .. }
        ));
        assert!(matches!(
            twin.publish(signed(3, 3)),
            PublishReply::Accepted { .. }
        ));
        assert_eq!(twin.live(2).2, ["k-2"]);
    }
    assert_eq!(log.state.encode(), copy.state.encode());
    let key = OperationKey::new("a").expect("valid");
    assert_eq!(
        copy.state.ledger().status(&key),
        OperationReply::Completed(answer(201))
    );
    for length in [1, bytes.len() / 2, bytes.len() - 1] {
        assert!(ControlState::decode(&bytes[..length]).is_err());
    }
}
