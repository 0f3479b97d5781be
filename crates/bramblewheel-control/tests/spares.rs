//! A spare replaces a voter that is lost for good, and no other voter.

mod support;

use bramblewheel_control::node::SparePolicy;
use bramblewheel_protocol::control::{PublishReply, ReplyBody, RequestBody};
use bramblewheel_replication::ReplicaId;
use std::time::Duration;
use support::cluster::Cluster;
use support::signed;

const NO_SNAPSHOTS: u64 = 1_000_000;
const POLICY: SparePolicy = SparePolicy {
    silence: Duration::from_secs(20),
    period: Duration::from_secs(120),
    voters: 0,
};

/// A group of three with spares; all machines have the policy.
fn with_spares(spares: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped_of(3 + spares, seed, NO_SNAPSHOTS);
    cluster.set_spares(POLICY, (3..3 + spares).collect());
    cluster.settle();
    cluster
}

fn is_voter(cluster: &mut Cluster, machine: usize) -> bool {
    let leader = cluster.settle();
    let id = ReplicaId(cluster.address(machine).replica);
    let membership = cluster.node(leader).replica().membership();
    assert_eq!(membership.voters.len() + membership.learners.len(), 3);
    membership.voters.contains(&id)
}

fn expect_published(cluster: &mut Cluster, version: u64) {
    let reply = cluster.ask_leader(&RequestBody::Publish(signed(version, 1)));
    let is_accepted = matches!(&reply, ReplyBody::Publish(PublishReply::Accepted { .. }));
    assert!(is_accepted, "{reply:?}");
}

/// A second voter is lost right after the repair. There is still a quorum, and the second replacement
/// waits for the next period.
#[test]
fn lost_voter_is_replaced_by_a_spare_once_per_period() {
    for loses_leader in [false, true] {
        let mut cluster = with_spares(2, 61);
        expect_published(&mut cluster, 2);
        let leader = cluster.settle();
        let lost = if loses_leader {
            leader
        } else {
            (leader + 1) % 3
        };
        cluster.crash(lost);
        cluster.run(Duration::from_secs(15));
        assert!(
            is_voter(&mut cluster, lost),
            "replaced before the silence of the policy"
        );
        let mut seconds = 0;
        while is_voter(&mut cluster, lost) && seconds < 20 {
            cluster.run(Duration::from_secs(1));
            seconds += 1;
        }
        assert!(seconds < 20, "not replaced after {seconds} s");
        cluster.run(Duration::from_secs(1));
        let leader = cluster.settle();
        assert_eq!(
            cluster.node(leader).state().replacement(),
            None,
            "the replacement must be finished"
        );
        let spare = (3..5).find(|spare| is_voter(&mut cluster, *spare));
        let spare = spare.expect("a spare must be a voter");
        let second = (0..3).find(|m| *m != lost && *m != leader);
        cluster.crash(second.expect("a third"));
        expect_published(&mut cluster, 3);
        cluster.run(Duration::from_secs(60));
        assert!(
            is_voter(&mut cluster, second.expect("a third")),
            "second replacement within one period"
        );
        assert!(is_voter(&mut cluster, spare));
        cluster.run(Duration::from_secs(60));
        assert!(
            !is_voter(&mut cluster, second.expect("a third")),
            "not replaced in the next period"
        );
        expect_published(&mut cluster, 4);
    }
}

#[test]
fn briefly_frozen_or_cut_off_voter_is_not_replaced() {
    let mut cluster = with_spares(1, 62);
    for round in 0..4 {
        let leader = cluster.settle();
        let absent = if round < 2 { (leader + 1) % 3 } else { leader };
        if round % 2 == 0 {
            cluster.freeze(absent);
        } else {
            cluster.cut_off(absent);
        }
        cluster.run(Duration::from_secs(15));
        if round % 2 == 0 {
            cluster.thaw(absent);
        } else {
            cluster.heal();
        }
        cluster.run(Duration::from_secs(10));
        for machine in 0..3 {
            assert!(is_voter(&mut cluster, machine), "round {round}");
        }
    }
}

/// Two silent voters of five are more likely cut off than lost.
#[test]
fn no_voter_is_replaced_while_two_of_five_are_silent() {
    let mut cluster = Cluster::new(6, 64, NO_SNAPSHOTS);
    let request = cluster.bootstrap_request(5);
    for machine in 0..5 {
        let body = RequestBody::Bootstrap(request.clone());
        assert_eq!(cluster.ask(machine, body), ReplyBody::Done);
    }
    cluster.set_spares(POLICY, vec![5]);
    let leader = cluster.settle();
    let before = cluster.node(leader).replica().membership().clone();
    for step in 1..3 {
        cluster.crash((leader + step) % 5);
    }
    cluster.run(Duration::from_secs(60));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(*cluster.node(leader).replica().membership(), before);
    cluster.start((leader + 1) % 5);
    cluster.run(Duration::from_secs(30));
    let after = cluster.node(leader).replica().membership().clone();
    assert_ne!(after, before, "a single silent voter must be replaced");
    assert_eq!((after.voters.len(), after.learners.len()), (5, 0));
}

#[test]
fn no_voter_is_replaced_without_a_quorum() {
    let mut cluster = with_spares(1, 63);
    let leader = cluster.settle();
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for machine in others {
        cluster.crash(machine);
    }
    cluster.run(Duration::from_secs(60));
    assert_eq!(cluster.leader(), None);
    for machine in others {
        cluster.start(machine);
    }
    for machine in 0..3 {
        assert!(is_voter(&mut cluster, machine));
    }
}

/// Followers do not exchange messages, so a new leader has had no contact with other followers before its election. It
/// must not count that time as silence.
#[test]
fn new_leader_counts_silence_from_its_election() {
    let mut led_by_third = 0;
    for seed in 65..71 {
        let mut cluster = with_spares(1, seed);
        // As the leader, this one was in contact with all others.
        let absent = cluster.settle();
        stop_and_restart(&mut cluster, absent);
        cluster.run(Duration::from_secs(60));
        let old = cluster.settle();
        assert_ne!(old, absent, "seed {seed}");
        cluster.crash(absent);
        cluster.crash(old);
        cluster.run(Duration::from_secs(2));
        cluster.start(old);
        cluster.run(Duration::from_secs(10));
        led_by_third += u32::from(cluster.settle() != old);
        assert!(is_voter(&mut cluster, absent), "seed {seed}");
    }
    assert!(led_by_third > 0, "the old leader led in every run");
}

fn stop_and_restart(cluster: &mut Cluster, leader: usize) {
    cluster.stop(leader);
    cluster.run(Duration::from_secs(1));
    cluster.restart(leader);
    cluster.settle();
}
