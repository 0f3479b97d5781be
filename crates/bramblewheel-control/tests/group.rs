//! Bootstrap and publishing in a group of three nodes: replies to clients through restarts and resends.

mod support;

use bramblewheel_protocol::control::{
    OperationAction, OperationAnswer, OperationReply, PublishReply, ReplyBody, RequestBody,
    Unavailable,
};
use std::time::Duration;
use support::cluster::{Cluster, EPOCH};
use support::polls::{NO_SNAPSHOTS, operate, others, poll_body, publish};
use support::{claim, operation, poll, registration, signed};

#[test]
fn replica_before_bootstrap_answers_only_group_status() {
    let mut cluster = Cluster::new(1, 1, NO_SNAPSHOTS);
    match cluster.ask(0, RequestBody::GroupStatus) {
        ReplyBody::GroupStatus(status) => {
            assert_eq!(status.replica, cluster.address(0));
            assert_eq!((status.group, status.has_quorum), (None, false));
        }
        other => panic!("{other:?}"),
    }
    let uninitialized = ReplyBody::Unavailable(Unavailable::Uninitialized);
    let requests = [
        RequestBody::BundleStatus,
        RequestBody::FleetStatus,
        RequestBody::Publish(signed(2, 1)),
        poll_body(poll(registration("k-1", "kassa", 1), 0, &[])),
    ];
    for body in requests {
        assert_eq!(cluster.ask(0, body), uninitialized);
    }
}

#[test]
fn repeated_bootstrap_succeeds_and_different_bootstrap_is_rejected() {
    let mut cluster = Cluster::new(3, 2, NO_SNAPSHOTS);
    let request = cluster.bootstrap_request(3);
    // Two of three elect a leader, which replicates to the third before that is bootstrapped.
    for machine in [0, 1] {
        let body = RequestBody::Bootstrap(request.clone());
        assert_eq!(cluster.ask(machine, body), ReplyBody::Done);
    }
    cluster.settle();
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.node(2).state().group(), Some(request.group));
    cluster.restart(0);
    for machine in 0..3 {
        let body = RequestBody::Bootstrap(request.clone());
        assert_eq!(cluster.ask(machine, body), ReplyBody::Done);
    }
    let mut other = request.clone();
    other.group += 1;
    let reply = cluster.ask(1, RequestBody::Bootstrap(other));
    assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
    let mut without = Cluster::new(2, 3, NO_SNAPSHOTS);
    let mut request = without.bootstrap_request(2);
    request.voters.remove(0);
    let reply = without.ask(0, RequestBody::Bootstrap(request));
    assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
}

/// The reply is lost and the operator resends through other replicas, after restarts and after the
/// entry is only in a snapshot. Every reply must name the first position.
#[test]
fn resent_publish_returns_its_first_position() {
    for snapshot_interval in [NO_SNAPSHOTS, 4] {
        let mut cluster = Cluster::bootstrapped(4, snapshot_interval);
        let leader = cluster.settle();
        cluster.drops_replies = true;
        let body = RequestBody::Publish(signed(2, 5));
        cluster.send(leader, body);
        cluster.run(Duration::from_secs(1));
        cluster.drops_replies = false;
        let first = publish(&mut cluster, 2, 5);
        let PublishReply::Accepted { position } = first else {
            panic!("{first:?}");
        };
        assert!(position.index < cluster.node(leader).state().position().index + 1);
        for version in 3..12 {
            publish(&mut cluster, version, 1);
        }
        for machine in 0..3 {
            cluster.restart(machine);
            assert_eq!(publish(&mut cluster, 2, 5), first);
        }
        let leader = cluster.settle();
        cluster.stop(leader);
        cluster.run(Duration::from_secs(2));
        cluster.crash(leader);
        assert_eq!(publish(&mut cluster, 2, 5), first);
        let winner = signed(2, 5).digest;
        assert_eq!(
            publish(&mut cluster, 2, 6),
            PublishReply::Conflict { winner }
        );
        let has_snapshot = cluster.node(others(leader)[0]).replica().snapshot_index().0 > 1;
        assert_eq!(has_snapshot, snapshot_interval == 4);
    }
}

/// A bundle may be an entry of hundreds of kilobytes. Ten thousand of them between two snapshots
/// would take gigabytes in memory and on disk.
#[test]
fn few_large_entries_trigger_log_compaction() {
    const ENTRY: usize = 4 * 1024 * 1024;
    const ENTRIES: usize = 20;
    let mut cluster = Cluster::bootstrapped(6, NO_SNAPSHOTS);
    for number in 0..ENTRIES {
        let answer = OperationAnswer {
            failed: false,
            status: 200,
            body: Some(vec![0; ENTRY].into()),
        };
        let action = OperationAction::Complete(answer);
        operate(&mut cluster, operation("order-1", number as u64, action));
    }
    cluster.run(Duration::from_secs(1));
    for machine in 0..3 {
        let replica = cluster.node(machine).replica();
        assert!(replica.snapshot_index().0 > 1, "machine {machine}");
        assert!(
            replica.log_bytes() < ENTRIES * ENTRY / 2,
            "machine {machine}"
        );
    }
    cluster.restart(0);
    cluster.settle();
    let reply = operate(&mut cluster, claim("order-1", 1, EPOCH));
    assert_eq!(reply, OperationReply::Granted);
}

#[test]
fn second_bundle_of_the_same_version_gets_a_conflict() {
    let mut cluster = Cluster::bootstrapped(5, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let one = cluster.send(leader, RequestBody::Publish(signed(2, 5)));
    let other = cluster.send(leader, RequestBody::Publish(signed(2, 6)));
    let one = cluster.wait_for(one);
    let other = cluster.wait_for(other);
    let is_accepted =
        |reply: &ReplyBody| matches!(reply, ReplyBody::Publish(PublishReply::Accepted { .. }));
    assert!(is_accepted(&one) != is_accepted(&other));
    let winner = signed(2, if is_accepted(&one) { 5 } else { 6 }).digest;
    let conflict = ReplyBody::Publish(PublishReply::Conflict { winner });
    assert!([one, other].contains(&conflict));
}

#[test]
fn follower_refers_clients_to_the_leader() {
    let mut cluster = Cluster::bootstrapped(6, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let expected = Unavailable::NotLeader(Some(cluster.address(leader).service));
    for follower in others(leader) {
        let requests = [
            RequestBody::Publish(signed(2, 1)),
            RequestBody::Operations(vec![claim("a", 1, EPOCH)]),
            RequestBody::FleetStatus,
        ];
        for body in requests {
            let reply = cluster.ask(follower, body);
            assert_eq!(reply, ReplyBody::Unavailable(expected.clone()));
        }
    }
}
