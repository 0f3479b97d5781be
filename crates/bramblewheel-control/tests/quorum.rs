//! Replicas grant claims and serve state only with a quorum, and nothing stale after a freeze or a restart.

mod support;

use bramblewheel_protocol::control::{
    BundleUpdate, OperationAction, OperationReply, PublishReply, ReplyBody, RequestBody,
    Unavailable,
};
use std::time::Duration;
use support::cluster::{Cluster, EPOCH};
use support::polls::{NO_SNAPSHOTS, operate, others, poll_body, poll_reply, up_to_date_poll};
use support::{answer, apply_update, claim, operation, poll, registration, signed};

/// A granted claim survives the crash of any replica, and a leader without a quorum grants none.
#[test]
fn claim_is_granted_only_with_a_quorum_and_survives_crashes() {
    let mut cluster = Cluster::bootstrapped(7, NO_SNAPSHOTS);
    let minted = EPOCH;
    assert_eq!(
        operate(&mut cluster, claim("a", 1, minted)),
        OperationReply::Granted
    );
    for round in 0..3 {
        let leader = cluster.settle();
        cluster.crash(leader);
        let held = operate(&mut cluster, claim("a", 2, minted));
        assert_eq!(held, OperationReply::Held, "round {round}");
        assert_eq!(
            operate(&mut cluster, claim("a", 1, minted)),
            OperationReply::Granted
        );
        cluster.start(leader);
    }
    let leader = cluster.settle();
    for other in others(leader) {
        cluster.cut_off(other);
    }
    let claim_without_quorum =
        cluster.send(leader, RequestBody::Operations(vec![claim("b", 1, minted)]));
    let reply = cluster.wait_for(claim_without_quorum);
    let undecided = ReplyBody::Operations(vec![OperationReply::Undecided]);
    assert_eq!(reply, undecided);
    cluster.heal();
    let complete = OperationAction::Complete(answer(200));
    assert_eq!(
        operate(&mut cluster, operation("a", 1, complete)),
        OperationReply::Recorded
    );
    let status = operation("a", 9, OperationAction::Status);
    assert_eq!(
        operate(&mut cluster, status),
        OperationReply::Completed(answer(200))
    );
}

#[test]
fn replica_without_quorum_refuses_polls_and_reads() {
    let mut cluster = Cluster::bootstrapped(8, NO_SNAPSHOTS);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let follower = others(leader)[0];
    let no_quorum = ReplyBody::Unavailable(Unavailable::NoQuorum);
    let held = up_to_date_poll(&cluster, follower, "k-1", "kassa");
    let held = cluster.send(follower, poll_body(held));
    cluster.cut_off(follower);
    // The held poll is refused before its wait is over.
    cluster.run(Duration::from_millis(700));
    assert_eq!(cluster.reply(held), Some(no_quorum.clone()));
    for bundle_version in [0, 1] {
        let request = poll(registration("k-1", "kassa", 1), bundle_version, &["kassa"]);
        assert_eq!(cluster.ask(follower, poll_body(request)), no_quorum);
    }
    assert_eq!(cluster.ask(follower, RequestBody::BundleStatus), no_quorum);
    cluster.heal();
    cluster.run(Duration::from_secs(1));
    let request = poll(registration("k-1", "kassa", 1), 0, &["kassa"]);
    let reply = poll_reply(cluster.ask(follower, poll_body(request)));
    let whole = BundleUpdate::Whole(signed(1, 1));
    assert_eq!(reply.bundle, Some(whole));
}

/// After it resumes, a frozen replica must not rely on a proof of contact with a quorum from before the freeze.
#[test]
fn frozen_replica_serves_no_state_from_before_the_freeze() {
    for freezes_leader in [false, true] {
        let mut cluster = Cluster::bootstrapped(9, NO_SNAPSHOTS);
        let leader = cluster.settle();
        cluster.run(Duration::from_secs(1));
        let frozen = if freezes_leader {
            leader
        } else {
            others(leader)[0]
        };
        cluster.freeze(frozen);
        cluster.run(Duration::from_secs(60));
        // Meanwhile the others have elected a leader.
        let new_leader = others(frozen)
            .into_iter()
            .find(|m| cluster.node(*m).replica().role() == bramblewheel_replication::Role::Leader)
            .expect("the others have a leader");
        let body = RequestBody::Publish(signed(2, 9));
        let reply = cluster.ask(new_leader, body);
        assert!(matches!(
            reply,
            ReplyBody::Publish(PublishReply::Accepted { .. })
        ));
        let request = poll(registration("k-1", "kassa", 1), 1, &["kassa"]);
        let id = cluster.send(frozen, poll_body(request));
        assert_eq!(
            cluster.reply(id),
            Some(ReplyBody::Unavailable(Unavailable::NoQuorum))
        );
        cluster.thaw(frozen);
        let request = poll(registration("k-1", "kassa", 1), 1, &["kassa"]);
        let id = cluster.send(frozen, poll_body(request));
        if let Some(ReplyBody::Poll(reply)) = cluster.reply(id) {
            assert_eq!(
                apply_update(reply.bundle, &signed(1, 1)),
                Some(signed(2, 9))
            );
        }
    }
}

#[test]
fn replica_behind_a_daemons_position_refuses_its_poll() {
    let mut cluster = Cluster::bootstrapped(10, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let mut request = poll(registration("k-1", "kassa", 1), 1, &["kassa"]);
    request.position = cluster.node(leader).state().position();
    request.position.index += 10;
    let reply = cluster.ask(leader, poll_body(request));
    assert_eq!(reply, ReplyBody::Unavailable(Unavailable::NoQuorum));
}

#[test]
fn read_reply_from_before_a_restart_does_not_confirm_a_read_after_it() {
    let mut cluster = Cluster::bootstrapped(31, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let follower = (leader + 1) % 3;
    for _ in 0..5 {
        let reply = cluster.ask(follower, RequestBody::BundleStatus);
        assert!(
            matches!(reply, ReplyBody::BundleStatus(Some(_))),
            "{reply:?}"
        );
    }
    cluster.restart(follower);
    cluster.run(Duration::from_millis(500));
    cluster.cut_off(leader);
    let read = cluster.send(follower, RequestBody::BundleStatus);
    cluster.repeat_read_replies(follower);
    let reply = cluster.reply(read);
    assert_eq!(reply, None, "the read must not be answered unconfirmed");
}
