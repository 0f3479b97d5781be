//! Polls and leases of daemons: updates, expiry and the messages that they cost.

mod support;

use bramblewheel_protocol::control::{
    BundleUpdate, DaemonStatus, PublishReply, ReplyBody, RequestBody,
};
use bramblewheel_types::{BundleVersion, DaemonId};
use std::time::Duration;
use support::cluster::{Cluster, LEASE};
use support::polls::{
    NO_SNAPSHOTS, endpoints, others, poll_body, poll_reply, publish, up_to_date_poll,
};
use support::{apply_update, poll, registration, signed};

/// Daemons at any replica get updates of endpoints and bundles. A poll is not answered by changes of
/// other services, and renewals add no log entry.
#[test]
fn updates_answer_only_the_affected_polls() {
    let mut cluster = Cluster::bootstrapped(11, NO_SNAPSHOTS);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let [one, two] = others(leader);
    let watcher = up_to_date_poll(&cluster, one, "front", "front");
    let watching = cluster.send(one, poll_body(watcher.clone()));
    let other = poll(registration("l-1", "lager", 1), 1, &["kassa"]);
    poll_reply(cluster.ask(two, poll_body(other.clone())));
    cluster.run(Duration::from_millis(500));
    assert_eq!(
        cluster.reply(watching),
        None,
        "the poll does not ask for the service lager"
    );
    let kassa = poll(registration("k-1", "kassa", 1), 1, &["kassa"]);
    poll_reply(cluster.ask(two, poll_body(kassa.clone())));
    let update = poll_reply(cluster.wait_for(watching));
    assert_eq!(
        (endpoints(&update), update.directory_is_complete),
        (vec!["k-1"], false)
    );
    let mut next = watcher.clone();
    next.directory_revision = update.directory_revision;
    next.position = update.position;
    let watching = cluster.send(one, poll_body(next.clone()));
    assert!(matches!(
        publish(&mut cluster, 2, 1),
        PublishReply::Accepted { .. }
    ));
    assert_eq!(
        apply_update(poll_reply(cluster.wait_for(watching)).bundle, &signed(1, 1)),
        Some(signed(2, 1))
    );
    let before = cluster.node(leader).state().position();
    for _ in 0..5 {
        next.bundle_version = BundleVersion(2);
        let quiet = poll_reply(cluster.ask(one, poll_body(next.clone())));
        assert_eq!((quiet.bundle, quiet.live.len()), (None, 0));
        for mut quiet in [kassa.clone(), other.clone()] {
            quiet.bundle_version = BundleVersion(2);
            poll_reply(cluster.ask(two, poll_body(quiet)));
        }
    }
    assert_eq!(cluster.node(leader).state().position(), before);
}

#[test]
fn silent_daemon_expires_and_polling_daemons_do_not() {
    let mut cluster = Cluster::bootstrapped(12, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let [one, _] = others(leader);
    let mut daemons_left = 0;
    for (machine, name) in [(leader, "k-1"), (one, "k-2"), (one, "k-3")] {
        let request = poll(registration(name, "kassa", 1), 1, &[]);
        poll_reply(cluster.ask(machine, poll_body(request)));
    }
    // k-1 falls silent; the other two go on polling, with a change of leader in between.
    for round in 0..20 {
        for name in ["k-2", "k-3"] {
            let machine = if cluster.leader() == Some(one) {
                leader
            } else {
                one
            };
            let request = up_to_date_poll(&cluster, machine, name, "kassa");
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
        let new_leader = cluster.settle();
        let names: Vec<String> = fleet(&mut cluster, new_leader)
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
        daemons_left = names.len();
    }
    assert_eq!(daemons_left, 2, "k-1 has expired");
    let leader = cluster.settle();
    let statuses = fleet(&mut cluster, leader);
    assert!(
        statuses
            .iter()
            .all(|s| s.bundle_version == BundleVersion(1)),
        "{statuses:?}"
    );
}

/// The leader is told of a poll at a follower up to a second after the registration.
#[test]
fn restarted_daemon_is_not_expired_before_its_first_renewal_arrives() {
    let mut cluster = Cluster::bootstrapped(13, NO_SNAPSHOTS);
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
        expect_stays_registered(&mut cluster, leader, 2 * round + 1);
    }
}

#[test]
fn returning_daemon_is_not_expired_before_its_renewal_arrives() {
    let mut cluster = Cluster::bootstrapped(14, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let [one, _] = others(leader);
    for _ in 0..5 {
        let request = poll(registration("k-1", "kassa", 1), 1, &[]);
        cluster.send(one, poll_body(request));
        expect_stays_registered(&mut cluster, leader, 1);
        cluster.run(LEASE * 2);
        assert_eq!(
            registered_incarnation(&cluster, leader),
            None,
            "k-1 must have expired"
        );
    }
}

/// Checks repeatedly, for longer than the interval at which renewals are forwarded.
fn expect_stays_registered(cluster: &mut Cluster, leader: usize, incarnation: u64) {
    cluster.run(Duration::from_millis(80));
    for step in 0..15 {
        cluster.run(Duration::from_millis(90));
        let held = registered_incarnation(cluster, leader);
        assert_eq!(held, Some(incarnation), "step {step}");
    }
    assert_eq!(cluster.leader(), Some(leader), "the leader must not change");
}

fn registered_incarnation(cluster: &Cluster, leader: usize) -> Option<u64> {
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

/// Neither a leader that was frozen nor a new leader may expire daemons whose polls it missed.
#[test]
fn new_leader_gives_every_daemon_a_full_lease() {
    let mut cluster = Cluster::bootstrapped(13, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let request = poll(registration("k-1", "kassa", 1), 1, &[]);
    poll_reply(cluster.ask(leader, poll_body(request)));
    cluster.run(LEASE - Duration::from_millis(500));
    cluster.freeze(leader);
    cluster.run(Duration::from_secs(2));
    cluster.thaw(leader);
    cluster.run(LEASE / 2);
    let new_leader = cluster.settle();
    assert_ne!(new_leader, leader);
    assert_eq!(fleet(&mut cluster, new_leader).len(), 1);
    cluster.run(LEASE);
    assert_eq!(fleet(&mut cluster, new_leader).len(), 0);
}

/// All daemons of a follower start at once. Their registrations must fit into few messages to the
/// leader, so that none is dropped because the queue between the replicas is full.
#[test]
fn daemons_starting_together_cause_few_messages() {
    let mut cluster = Cluster::bootstrapped(17, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let follower = others(leader)[0];
    let body = |number: usize| {
        let name = format!("k-{number}");
        poll_body(poll(registration(&name, "kassa", 1), 0, &["kassa"]))
    };
    let (ids, messages) = cluster.send_together(follower, (0..1200).map(body).collect());
    assert!(messages <= 4, "{messages} messages");
    for id in ids {
        let bundle = poll_reply(cluster.wait_for(id)).bundle;
        assert_eq!(bundle, Some(BundleUpdate::Whole(signed(1, 1))));
    }
    cluster.run(Duration::from_secs(1));
    assert_eq!(
        cluster.node(leader).state().directory().daemons().count(),
        1200
    );
}
