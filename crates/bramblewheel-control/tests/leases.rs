//! Polls and leases of daemons: who is updated, who expires, what it costs.

mod support;

use bramblewheel_protocol::control::{
    BundleUpdate, DaemonStatus, PublishReply, ReplyBody, RequestBody,
};
use bramblewheel_types::{BundleVersion, DaemonId};
use std::time::Duration;
use support::cluster::{Cluster, LEASE};
use support::polls::{MANY, caught_up, endpoints, others, poll_body, polled, publish};
use support::{poll, reached, registration, signed};

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
