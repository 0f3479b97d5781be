//! Planned stops, lost disks and replacements of group members.

mod support;

use bramblewheel_protocol::control::{
    PublishReply, ReplaceRequest, ReplyBody, RequestBody, Unavailable,
};
use std::time::Duration;
use support::cluster::Cluster;
use support::polls::{NO_SNAPSHOTS, others, poll_body, publish, up_to_date_poll};
use support::signed;

#[test]
fn planned_stop_transfers_leadership_and_refuses_polls() {
    let mut cluster = Cluster::bootstrapped(14, NO_SNAPSHOTS);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let request = up_to_date_poll(&cluster, leader, "k-1", "kassa");
    let held = cluster.send(leader, poll_body(request.clone()));
    cluster.stop(leader);
    let stopping = ReplyBody::Unavailable(Unavailable::Stopping);
    assert_eq!(cluster.reply(held), Some(stopping.clone()));
    assert_eq!(cluster.ask(leader, poll_body(request)), stopping);
    cluster.run(Duration::from_millis(200));
    assert!(cluster.node(leader).has_handed_over());
    assert!(cluster.leader().is_some_and(|other| other != leader));
}

#[test]
fn replica_with_a_lost_disk_rejoins_under_a_new_id_by_replacement() {
    for snapshot_interval in [NO_SNAPSHOTS, 5] {
        let mut cluster = Cluster::bootstrapped(15, snapshot_interval);
        for version in 2..20 {
            publish(&mut cluster, version, 1);
        }
        let leader = cluster.settle();
        let lost_machine = others(leader)[0];
        let lost = cluster.address(lost_machine).replica;
        cluster.restart_wiped(lost_machine);
        assert_ne!(cluster.address(lost_machine).replica, lost);
        cluster.run(Duration::from_secs(2));
        assert_eq!(
            cluster.node(lost_machine).state().group(),
            None,
            "a replica with a lost disk must not be a member under its new id"
        );
        let request = ReplaceRequest {
            lost,
            replacement: cluster.address(lost_machine),
        };
        let mut other = request.clone();
        other.lost = 12345;
        let reply = cluster.ask(leader, RequestBody::Replace(other));
        assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
        let body = RequestBody::Replace(request.clone());
        let first = cluster.send(leader, body.clone());
        let again = cluster.send(leader, body.clone());
        assert_eq!(
            cluster.reply(first),
            None,
            "replied before the replacement was finished"
        );
        assert_eq!(cluster.wait_for(first), ReplyBody::Done);
        assert_eq!(cluster.wait_for(again), ReplyBody::Done);
        let status = cluster.node(leader).replica().membership().clone();
        assert_eq!((status.voters.len(), status.learners.len()), (3, 0));
        // A second loss immediately afterwards must not lose anything that was accepted.
        let survivor_lost = others(leader)[1];
        cluster.crash(survivor_lost);
        let third = cluster.address(lost_machine).replica;
        assert!(status.voters.iter().any(|voter| voter.0 == third));
        assert_eq!(
            cluster.ask_leader(&body),
            ReplyBody::Done,
            "a repeated replacement"
        );
        let winner = signed(7, 1).digest;
        assert_eq!(
            publish(&mut cluster, 7, 2),
            PublishReply::Conflict { winner }
        );
        assert!(matches!(
            publish(&mut cluster, 20, 1),
            PublishReply::Accepted { .. }
        ));
    }
}

/// The new replica is unreachable during its replacement: the group must go on, refuse a conflicting replacement, and
/// finish once the new replica is back.
#[test]
fn group_accepts_publishes_while_the_new_replica_is_unreachable() {
    let mut cluster = Cluster::bootstrapped(16, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let machine = others(leader)[0];
    let lost = cluster.address(machine).replica;
    cluster.restart_wiped(machine);
    let failed = ReplaceRequest {
        lost,
        replacement: cluster.address(machine),
    };
    cluster.cut_off(machine);
    let waiting = cluster.send(leader, RequestBody::Replace(failed.clone()));
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.reply(waiting), None);
    assert!(matches!(
        publish(&mut cluster, 2, 1),
        PublishReply::Accepted { .. }
    ));
    let mut other = failed.clone();
    other.replacement.replica = 999;
    let reply = cluster.ask(leader, RequestBody::Replace(other));
    assert!(
        matches!(reply, ReplyBody::Rejected(_)),
        "a second replacement must be rejected: {reply:?}"
    );
    cluster.heal();
    assert_eq!(cluster.wait_for(waiting), ReplyBody::Done);
}
