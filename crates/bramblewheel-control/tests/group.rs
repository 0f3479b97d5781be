//! Three nodes in one group: what clients are told, through restarts, lost disks, cuts and
//! freezes.

mod support;

use bramblewheel_protocol::control::{
    BundleUpdate, DaemonStatus, OperationAction, OperationAnswer, OperationReply, OperationRequest,
    PollReply, PollRequest, PublishReply, ReplaceRequest, ReplyBody, RequestBody, Unavailable,
};
use bramblewheel_types::{BundleVersion, DaemonId};
use std::time::Duration;
use support::cluster::{Cluster, EPOCH, LEASE};
use support::{answer, claim, operation, poll, reached, registration, signed};

const MANY: u64 = 1_000_000;

fn publish(cluster: &mut Cluster, version: u64, retry_tokens: u32) -> PublishReply {
    let body = RequestBody::Publish(signed(version, retry_tokens));
    match cluster.ask_leader(&body) {
        ReplyBody::Publish(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn operate(cluster: &mut Cluster, request: OperationRequest) -> OperationReply {
    match cluster.ask_leader(&RequestBody::Operations(vec![request])) {
        ReplyBody::Operations(mut replies) => replies.remove(0),
        other => panic!("{other:?}"),
    }
}

fn poll_body(request: PollRequest) -> RequestBody {
    RequestBody::Poll(Box::new(request))
}

fn polled(reply: ReplyBody) -> PollReply {
    match reply {
        ReplyBody::Poll(reply) => *reply,
        other => panic!("{other:?}"),
    }
}

fn endpoints(reply: &PollReply) -> Vec<&str> {
    reply.live.iter().map(|e| e.endpoint.name()).collect()
}

/// A daemon that holds bundle 1 and everything of the directory, at a replica.
fn caught_up(cluster: &Cluster, machine: usize, name: &str, of_service: &str) -> PollRequest {
    let mut request = poll(registration(name, of_service, 1), 1, &["kassa"]);
    request.directory_revision = cluster.node(machine).state().directory().revision();
    request
}

fn others(machine: usize) -> [usize; 2] {
    [(machine + 1) % 3, (machine + 2) % 3]
}

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

/// A granted claim outlives the crash of any replica, and a leader without a quorum grants none.
#[test]
fn a_claim_is_granted_only_at_a_quorum() {
    let mut cluster = Cluster::bootstrapped(7, MANY);
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
    let lonely = cluster.send(leader, RequestBody::Operations(vec![claim("b", 1, minted)]));
    let reply = cluster.wait_for(lonely);
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
fn no_state_is_shown_without_a_quorum() {
    let mut cluster = Cluster::bootstrapped(8, MANY);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let follower = others(leader)[0];
    let no_quorum = ReplyBody::Unavailable(Unavailable::NoQuorum);
    let held = caught_up(&cluster, follower, "k-1", "kassa");
    let held = cluster.send(follower, poll_body(held));
    cluster.cut_off(follower);
    // Told at once, not at the end of the poll.
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
    let reply = polled(cluster.ask(follower, poll_body(request)));
    let whole = BundleUpdate::Whole(signed(1, 1));
    assert_eq!(reply.bundle, Some(whole));
}

/// A frozen replica does not use, after it wakes, a proof from before.
#[test]
fn a_frozen_replica_answers_nothing_from_before() {
    for freezes_leader in [false, true] {
        let mut cluster = Cluster::bootstrapped(9, MANY);
        let leader = cluster.settle();
        cluster.run(Duration::from_secs(1));
        let frozen = if freezes_leader {
            leader
        } else {
            others(leader)[0]
        };
        cluster.freeze(frozen);
        cluster.run(Duration::from_secs(60));
        // A minute later the others have moved on.
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
            assert_eq!(reached(reply.bundle, &signed(1, 1)), Some(signed(2, 9)));
        }
    }
}

#[test]
fn a_daemon_is_never_shown_older_than_it_has_seen() {
    let mut cluster = Cluster::bootstrapped(10, MANY);
    let leader = cluster.settle();
    let mut request = poll(registration("k-1", "kassa", 1), 1, &["kassa"]);
    request.position = cluster.node(leader).state().position();
    request.position.index += 10;
    let reply = cluster.ask(leader, poll_body(request));
    assert_eq!(reply, ReplyBody::Unavailable(Unavailable::NoQuorum));
}

/// Daemons at any replica learn of each other and of bundles; what does not concern them does not
/// wake them, and renewals cost no entry.
#[test]
fn news_reaches_the_polls_it_concerns() {
    let mut cluster = Cluster::bootstrapped(11, MANY);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let [one, two] = others(leader);
    let watcher = caught_up(&cluster, one, "front", "front");
    let watching = cluster.send(one, poll_body(watcher.clone()));
    let other = poll(registration("l-1", "lager", 1), 1, &["kassa"]);
    polled(cluster.ask(two, poll_body(other.clone())));
    cluster.run(Duration::from_millis(500));
    assert_eq!(cluster.reply(watching), None, "lager is not asked for");
    let kassa = poll(registration("k-1", "kassa", 1), 1, &["kassa"]);
    polled(cluster.ask(two, poll_body(kassa.clone())));
    let news = polled(cluster.wait_for(watching));
    assert_eq!(
        (endpoints(&news), news.directory_is_complete),
        (vec!["k-1"], false)
    );
    let mut next = watcher.clone();
    next.directory_revision = news.directory_revision;
    next.position = news.position;
    let watching = cluster.send(one, poll_body(next.clone()));
    assert!(matches!(
        publish(&mut cluster, 2, 1),
        PublishReply::Accepted { .. }
    ));
    assert_eq!(
        reached(polled(cluster.wait_for(watching)).bundle, &signed(1, 1)),
        Some(signed(2, 1))
    );
    let before = cluster.node(leader).state().position();
    for _ in 0..5 {
        next.bundle_version = BundleVersion(2);
        let quiet = polled(cluster.ask(one, poll_body(next.clone())));
        assert_eq!((quiet.bundle, quiet.live.len()), (None, 0));
        for mut quiet in [kassa.clone(), other.clone()] {
            quiet.bundle_version = BundleVersion(2);
            polled(cluster.ask(two, poll_body(quiet)));
        }
    }
    assert_eq!(cluster.node(leader).state().position(), before);
}

#[test]
fn a_silent_daemon_expires_and_a_polling_one_does_not() {
    let mut cluster = Cluster::bootstrapped(12, MANY);
    let leader = cluster.settle();
    let [one, _] = others(leader);
    let mut last_incarnation_seen = 0;
    for (machine, name) in [(leader, "k-1"), (one, "k-2"), (one, "k-3")] {
        let request = poll(registration(name, "kassa", 1), 1, &[]);
        polled(cluster.ask(machine, poll_body(request)));
    }
    // k-1 falls silent; the two at a follower go on, with a change of leader in between.
    for round in 0..20 {
        for name in ["k-2", "k-3"] {
            let machine = if cluster.leader() == Some(one) {
                leader
            } else {
                one
            };
            let request = caught_up(&cluster, machine, name, "kassa");
            cluster.send(machine, poll_body(request));
        }
        cluster.run(LEASE / 4);
        if round == 10 {
            let leader = cluster.settle();
            cluster.stop(leader);
            cluster.run(Duration::from_secs(1));
            cluster.restart(leader);
            cluster.settle();
        }
        let now_leads = cluster.settle();
        let names: Vec<String> = fleet(&mut cluster, now_leads)
            .iter()
            .map(|status| status.registration.daemon.to_string())
            .collect();
        assert!(
            names.contains(&"k-2".to_owned()),
            "round {round}: {names:?}"
        );
        assert!(
            names.contains(&"k-3".to_owned()),
            "round {round}: {names:?}"
        );
        last_incarnation_seen = names.len();
    }
    assert_eq!(last_incarnation_seen, 2, "k-1 has expired");
    let leader = cluster.settle();
    let all_known = fleet(&mut cluster, leader);
    assert!(
        all_known
            .iter()
            .all(|s| s.bundle_version == BundleVersion(1)),
        "{all_known:?}"
    );
}

/// The leader learns of a poll at a follower up to a second after the registration.
#[test]
fn a_restarted_daemon_is_not_expired_before_its_first_renewal_arrives() {
    let mut cluster = Cluster::bootstrapped(13, MANY);
    let leader = cluster.settle();
    let [one, two] = others(leader);
    cluster.run(LEASE * 2);
    for round in 0..20 {
        // The last poll of the old incarnation reaches the leader after the new registration.
        let before = poll(registration("k-1", "kassa", 2 * round), 1, &[]);
        cluster.send(one, poll_body(before));
        let after = poll(registration("k-1", "kassa", 2 * round + 1), 1, &[]);
        cluster.run(Duration::from_millis(20));
        cluster.send(two, poll_body(after));
        stays_registered(&mut cluster, leader, 2 * round + 1);
    }
}

#[test]
fn a_daemon_that_was_silent_is_not_expired_again_before_its_renewal_arrives() {
    let mut cluster = Cluster::bootstrapped(14, MANY);
    let leader = cluster.settle();
    let [one, _] = others(leader);
    for _ in 0..5 {
        let request = poll(registration("k-1", "kassa", 1), 1, &[]);
        cluster.send(one, poll_body(request));
        stays_registered(&mut cluster, leader, 1);
        cluster.run(LEASE * 2);
        assert_eq!(incarnation_held(&cluster, leader), None, "it has expired");
    }
}

/// Looks again and again for more than the time in which renewals are passed on.
fn stays_registered(cluster: &mut Cluster, leader: usize, incarnation: u64) {
    cluster.run(Duration::from_millis(80));
    for step in 0..15 {
        cluster.run(Duration::from_millis(90));
        let held = incarnation_held(cluster, leader);
        assert_eq!(held, Some(incarnation), "step {step}");
    }
    assert_eq!(cluster.leader(), Some(leader), "the leader has not changed");
}

fn incarnation_held(cluster: &Cluster, leader: usize) -> Option<u64> {
    let directory = cluster.node(leader).state().directory();
    let held = directory.daemon(&DaemonId::new("k-1").expect("valid name"));
    held.map(|registration| registration.incarnation)
}

fn fleet(cluster: &mut Cluster, leader: usize) -> Vec<DaemonStatus> {
    match cluster.ask(leader, RequestBody::FleetStatus) {
        ReplyBody::FleetStatus(daemons) => daemons,
        other => panic!("{other:?}"),
    }
}

/// A leader that was frozen for longer than the lease, and a new one, expire nobody by what they
/// missed.
#[test]
fn a_new_leader_gives_everyone_a_whole_lease() {
    let mut cluster = Cluster::bootstrapped(13, MANY);
    let leader = cluster.settle();
    let request = poll(registration("k-1", "kassa", 1), 1, &[]);
    polled(cluster.ask(leader, poll_body(request)));
    cluster.run(LEASE - Duration::from_millis(500));
    cluster.freeze(leader);
    cluster.run(Duration::from_secs(2));
    cluster.thaw(leader);
    cluster.run(LEASE / 2);
    let now_leads = cluster.settle();
    assert_ne!(now_leads, leader);
    assert_eq!(fleet(&mut cluster, now_leads).len(), 1);
    cluster.run(LEASE);
    assert_eq!(fleet(&mut cluster, now_leads).len(), 0);
}

#[test]
fn a_planned_stop_hands_over_and_sends_polls_elsewhere() {
    let mut cluster = Cluster::bootstrapped(14, MANY);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let request = caught_up(&cluster, leader, "k-1", "kassa");
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
fn a_lost_disk_comes_back_as_a_new_replica_and_is_admitted_by_a_replacement() {
    for snapshot_interval in [MANY, 5] {
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
            "it is not its old self"
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
        assert_eq!(cluster.reply(first), None, "not before it is finished");
        assert_eq!(cluster.wait_for(first), ReplyBody::Done);
        assert_eq!(cluster.wait_for(again), ReplyBody::Done);
        let status = cluster.node(leader).replica().membership().clone();
        assert_eq!((status.voters.len(), status.learners.len()), (3, 0));
        // A second loss right after: nothing that was accepted is missing.
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

/// The new replica fails half-way: the group goes on, and another one can take its place.
#[test]
fn a_replacement_that_fails_does_not_stop_the_group() {
    let mut cluster = Cluster::bootstrapped(16, MANY);
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
        "one at a time: {reply:?}"
    );
    cluster.heal();
    assert_eq!(cluster.wait_for(waiting), ReplyBody::Done);
}

/// All daemons of a follower start at one moment: what the leader is told fits into few messages,
/// so that none is lost for want of room between the replicas.
#[test]
fn daemons_that_start_together_cost_few_messages() {
    let mut cluster = Cluster::bootstrapped(17, MANY);
    let leader = cluster.settle();
    let follower = others(leader)[0];
    let body = |number: usize| {
        let name = format!("k-{number}");
        poll_body(poll(registration(&name, "kassa", 1), 0, &["kassa"]))
    };
    let (ids, messages) = cluster.send_together(follower, (0..1200).map(body).collect());
    assert!(messages <= 4, "{messages} messages");
    for id in ids {
        let bundle = polled(cluster.wait_for(id)).bundle;
        assert_eq!(bundle, Some(BundleUpdate::Whole(signed(1, 1))));
    }
    cluster.run(Duration::from_secs(1));
    assert_eq!(
        cluster.node(leader).state().directory().daemons().count(),
        1200
    );
}

#[test]
fn an_answer_to_a_read_before_a_restart_confirms_none_after_it() {
    let mut cluster = Cluster::bootstrapped(31, MANY);
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
    assert_eq!(reply, None, "nobody has confirmed this read");
}
