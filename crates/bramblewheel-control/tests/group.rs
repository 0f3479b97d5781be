//! Bootstrap and publishing in a group of three nodes: what clients are answered, through restarts and
//! resends.

mod support;

use bramblewheel_protocol::control::{
    OperationAction, OperationAnswer, OperationReply, PublishReply, ReplyBody, RequestBody,
    Unavailable,
};
use std::time::Duration;
use support::cluster::{Cluster, EPOCH};
use support::polls::{MANY, operate, others, poll_body, publish};
use support::{claim, operation, poll, registration, signed};

#[test]
fn before_bootstrap_a_replica_says_only_who_it_is() {
    let mut cluster = Cluster::new(1, 1, MANY);
    match cluster.ask(0, RequestBody::GroupStatus) {
        ReplyBody::GroupStatus(status) => {
            assert_eq!(status.replica, cluster.address(0));
            assert_eq!((status.group, status.has_quorum), (None, false));
        }
        other => panic!("{other:?}"),
    }
    let uninitialized = ReplyBody::Unavailable(Unavailable::Uninitialized);
    let asks = [
        RequestBody::BundleStatus,
        RequestBody::FleetStatus,
        RequestBody::Publish(signed(2, 1)),
        poll_body(poll(registration("k-1", "kassa", 1), 0, &[])),
    ];
    for body in asks {
        assert_eq!(cluster.ask(0, body), uninitialized);
    }
}

#[test]
fn a_bootstrap_can_be_repeated_but_not_changed() {
    let mut cluster = Cluster::new(3, 2, MANY);
    let request = cluster.bootstrap_request(3);
    // Two of three make a leader, which brings the third along before it is asked.
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
    let mut without = Cluster::new(2, 3, MANY);
    let mut request = without.bootstrap_request(2);
    request.voters.remove(0);
    let reply = without.ask(0, RequestBody::Bootstrap(request));
    assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
}

/// The answer is lost, then the operator sends again through others, after restarts and after the
/// entry is only in a snapshot: always the first position.
#[test]
fn a_publish_sent_again_gets_its_first_position() {
    for snapshot_interval in [MANY, 4] {
        let mut cluster = Cluster::bootstrapped(4, snapshot_interval);
        let leader = cluster.settle();
        cluster.loses_replies = true;
        let body = RequestBody::Publish(signed(2, 5));
        cluster.send(leader, body);
        cluster.run(Duration::from_secs(1));
        cluster.loses_replies = false;
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

/// A bundle may be an entry of hundreds of kilobytes: ten thousand of them between two snapshots
/// would be gigabytes, in memory and on disk.
#[test]
fn a_few_large_entries_cut_the_log_too() {
    const ENTRY: usize = 4 * 1024 * 1024;
    const ENTRIES: usize = 20;
    let mut cluster = Cluster::bootstrapped(6, MANY);
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
fn of_two_bundles_of_one_version_one_wins_and_the_other_is_told() {
    let mut cluster = Cluster::bootstrapped(5, MANY);
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
fn a_follower_names_the_leader() {
    let mut cluster = Cluster::bootstrapped(6, MANY);
    let leader = cluster.settle();
    let expected = Unavailable::NotLeader(Some(cluster.address(leader).service));
    for follower in others(leader) {
        let asks = [
            RequestBody::Publish(signed(2, 1)),
            RequestBody::Operations(vec![claim("a", 1, EPOCH)]),
            RequestBody::FleetStatus,
        ];
        for body in asks {
            let reply = cluster.ask(follower, body);
            assert_eq!(reply, ReplyBody::Unavailable(expected.clone()));
        }
    }
}
