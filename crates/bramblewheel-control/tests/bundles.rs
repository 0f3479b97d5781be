//! Bundle updates for a daemon that was disconnected: deltas, operator changes, and refusals by the daemon's own checks.

mod support;

use bramblewheel_bundle::{OperatorKey, canonical};
use bramblewheel_control::state::BundleHistory;
use bramblewheel_control::state::bundle_history::{MAX_CHANGES_PER_REPLY, MAX_DELTAS};
use bramblewheel_daemon::control::poll_state::PollState;
use bramblewheel_protocol::control::{
    BundleUpdate, PollReply, PublishReply, ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_types::BundleVersion;
use std::sync::Arc;
use std::time::Duration;
use support::cluster::Cluster;
use support::{bundle, keys, registration, sign, signed};

/// Snapshot interval that is never reached.
const NO_SNAPSHOTS: u64 = 100_000;
/// Snapshot interval so short that deltas and operator changes are restored from snapshots.
const FREQUENT_SNAPSHOTS: u64 = 4;

fn publish(cluster: &mut Cluster, signed: SignedBundle) {
    let reply = cluster.ask_leader(&RequestBody::Publish(signed));
    assert!(
        matches!(reply, ReplyBody::Publish(PublishReply::Accepted { .. })),
        "{reply:?}"
    );
}

/// A daemon with bundle 1 in force.
fn daemon() -> PollState {
    let first = canonical::decode(&signed(1, 1).bytes).expect("a bundle");
    PollState::new(Some(Arc::new(first)))
}

fn request_poll(cluster: &mut Cluster, daemon: &PollState) -> PollReply {
    let request = daemon.request(registration("k-1", "kassa", 1), Vec::new());
    let leader = cluster.settle();
    match cluster.ask(leader, RequestBody::Poll(Box::new(request))) {
        ReplyBody::Poll(reply) => *reply,
        other => panic!("{other:?}"),
    }
}

fn version(daemon: &PollState) -> u64 {
    daemon.bundle().map_or(0, |bundle| bundle.version.0)
}

/// Polls once and applies the reply.
fn poll_and_apply(cluster: &mut Cluster, daemon: &mut PollState) -> PollReply {
    let reply = request_poll(cluster, daemon);
    let new = daemon.check(&reply).expect("acceptable");
    daemon.accept(&reply, new.map(|new| Arc::new(new.bundle)));
    reply
}

/// Publishes `count` bundles from version 2 on, each of which replaces all operators.
fn rotate(cluster: &mut Cluster, count: u8) {
    let mut before = keys(0);
    for rotation in 1..=count {
        let after = keys(rotation * 3);
        let next = bundle(1 + u64::from(rotation), &after, 1);
        publish(cluster, sign(&next, &before[..2]));
        before = after;
    }
}

fn operators(rotations: u8) -> Vec<OperatorKey> {
    keys(rotations * 3)
}

#[test]
fn daemon_three_operator_changes_behind_gets_the_newest_bundle_after_restarts() {
    let mut cluster = Cluster::bootstrapped(31, FREQUENT_SNAPSHOTS);
    rotate(&mut cluster, 3);
    for machine in 0..3 {
        cluster.restart(machine);
    }
    publish(
        &mut cluster,
        sign(&bundle(9, &operators(3), 7), &operators(3)[..2]),
    );
    let mut daemon = daemon();
    let reply = poll_and_apply(&mut cluster, &mut daemon);
    assert_eq!(reply.operator_changes.len(), 3);
    assert!(matches!(reply.bundle, Some(BundleUpdate::Delta(_))));
    assert_eq!(version(&daemon), 9);
}

#[test]
fn operator_changes_beyond_one_reply_are_sent_in_parts() {
    const ROTATIONS: u8 = 70;
    assert!(usize::from(ROTATIONS) > MAX_CHANGES_PER_REPLY);
    let mut cluster = Cluster::bootstrapped(32, NO_SNAPSHOTS);
    rotate(&mut cluster, ROTATIONS);
    let mut daemon = daemon();
    let part = poll_and_apply(&mut cluster, &mut daemon);
    assert_eq!((part.bundle, version(&daemon)), (None, 1));
    let rest = poll_and_apply(&mut cluster, &mut daemon);
    assert_eq!(version(&daemon), 1 + u64::from(ROTATIONS));
    let changes = part.operator_changes.len() + rest.operator_changes.len();
    assert_eq!(
        changes + 1,
        usize::from(ROTATIONS),
        "the last is the bundle"
    );
}

#[test]
fn daemon_refuses_changes_not_signed_by_the_previous_operators() {
    let mut cluster = Cluster::bootstrapped(33, NO_SNAPSHOTS);
    rotate(&mut cluster, 3);
    let daemon = daemon();
    let honest = request_poll(&mut cluster, &daemon);
    let refuses = |alter: &dyn Fn(&mut PollReply)| {
        let mut reply = honest.clone();
        alter(&mut reply);
        let mut daemon = daemon.clone();
        let is_refused = daemon.check(&reply).is_err();
        is_refused && version(&daemon) == 1
    };
    assert!(!refuses(&|_| ()));
    assert!(refuses(&|reply| drop(reply.operator_changes.remove(0))));
    assert!(refuses(&|reply| reply.operator_changes.swap(0, 1)));
    assert!(refuses(&|reply| reply.operator_changes.clear()));
    assert!(refuses(&|reply| reply.operator_changes[1].head[60] ^= 1));
    assert!(refuses(&|reply| {
        reply.operator_changes[0].signatures.pop();
    }));
    let unsigned = |mut bundle: SignedBundle| {
        bundle.signatures.clear();
        Some(BundleUpdate::Whole(bundle))
    };
    assert!(refuses(&|reply| reply.bundle = unsigned(signed(9, 1))));
    assert!(refuses(&|reply| {
        let Some(BundleUpdate::Delta(delta)) = &mut reply.bundle else {
            panic!("{:?}", reply.bundle);
        };
        delta.signatures.clear();
    }));
    // Keys of an attacker, introduced by a change that only they signed.
    assert!(refuses(&|reply| {
        let attacker = keys(200);
        let change = &mut reply.operator_changes[0];
        let bytes = sign(&bundle(2, &attacker, 1), &attacker);
        let (head, rest) = bramblewheel_bundle::sections::split(&bytes.bytes);
        change.head = head.to_vec();
        change.rest_digest = bramblewheel_bundle::digest::rest_digest(rest);
        change.signatures = bytes.signatures;
        reply.operator_changes.truncate(1);
        reply.bundle = Some(BundleUpdate::Whole(sign(
            &bundle(9, &attacker, 1),
            &attacker,
        )));
    }));
}

#[test]
fn latest_deltas_are_kept() {
    let mut history = BundleHistory::default();
    let version = |number: u64| bundle(number, &keys(0), 1 + (number % 90) as u32);
    let newest = MAX_DELTAS as u64 + 2;
    for number in 2..=newest {
        let next = version(number);
        history.record(&version(number - 1), &next, &sign(&next, &[]));
    }
    assert_eq!(history.delta_from(BundleVersion(1)), None);
    assert_eq!(history.delta_from(BundleVersion(newest)), None);
    let target = sign(&version(newest), &[]);
    for kept in [2, 100, newest - 1] {
        let delta = history.delta_from(BundleVersion(kept)).expect("kept");
        let applied = delta.apply(&version(kept), target.digest, target.version);
        assert_eq!(applied.map(|(_, bytes)| bytes), Ok(target.bytes.clone()));
    }
}

#[test]
fn daemon_at_an_unknown_version_gets_the_whole_bundle() {
    let mut cluster = Cluster::bootstrapped(34, NO_SNAPSHOTS);
    publish(&mut cluster, signed(9, 5));
    let unknown = canonical::decode(&signed(5, 3).bytes).expect("a bundle");
    let mut daemon = PollState::new(Some(Arc::new(unknown)));
    let reply = poll_and_apply(&mut cluster, &mut daemon);
    assert_eq!(reply.bundle, Some(BundleUpdate::Whole(signed(9, 5))));
    assert_eq!(version(&daemon), 9);
}

#[test]
fn daemon_gets_the_whole_bundle_after_a_delta_to_another_digest() {
    let mut cluster = Cluster::bootstrapped(35, NO_SNAPSHOTS);
    publish(&mut cluster, signed(2, 5));
    let mut other = bundle(1, &keys(0), 1);
    other.services.pop_last();
    let mut daemon = PollState::new(Some(Arc::new(other)));
    let reply = request_poll(&mut cluster, &daemon);
    assert!(daemon.check(&reply).is_err());
    let reply = poll_and_apply(&mut cluster, &mut daemon);
    assert_eq!(reply.bundle, Some(BundleUpdate::Whole(signed(2, 5))));
    assert_eq!(version(&daemon), 2);
}

#[test]
fn daemons_at_the_same_version_share_one_delta() {
    const DAEMONS: u64 = 600;
    let mut cluster = Cluster::bootstrapped(36, NO_SNAPSHOTS);
    for next in 2..=3 {
        publish(&mut cluster, signed(next, 10 + next as u32));
        cluster.run(Duration::from_secs(1));
        let leader = cluster.settle();
        for number in 0..DAEMONS {
            let name = format!("k-{number}");
            let mut request = support::poll(registration(&name, "kassa", 1), next - 1, &[]);
            request.operators_version = BundleVersion(next - 1);
            cluster.send(leader, RequestBody::Poll(Box::new(request)));
        }
    }
    let leader = cluster.settle();
    let metrics = cluster.node(leader).metrics(Default::default());
    let sent = metrics.bundle_deltas_sent;
    let computed = metrics.bundle_deltas_computed;
    assert_eq!((sent, computed), (2 * DAEMONS, 2));
}
