//! Replacements that an operator plans, of replicas and by machines that are healthy.

mod support;

use bramblewheel_control::node::SparePolicy;
use bramblewheel_protocol::control::{ReplaceRequest, RequestBody};
use bramblewheel_replication::ReplicaId;
use std::time::Duration;
use support::cluster::Cluster;
use support::founded::FAST;

const NO_SNAPSHOTS: u64 = 1_000_000;
const SLOW: SparePolicy = SparePolicy {
    silence: Duration::from_secs(900),
    period: Duration::from_secs(14_400),
    voters: 0,
};

/// Request to replace a healthy follower by the machine `new`.
fn replace_follower(cluster: &mut Cluster, new: usize) -> (usize, ReplaceRequest) {
    let leader = cluster.settle();
    let lost = cluster.node(leader).replica().membership().voters.clone();
    let own = ReplicaId(cluster.address(leader).replica);
    let follower = lost.into_iter().find(|voter| *voter != own);
    let request = ReplaceRequest {
        lost: follower.expect("a follower").0,
        replacement: cluster.address(new),
    };
    (leader, request)
}

fn is_voter(cluster: &mut Cluster, machine: usize) -> bool {
    let leader = cluster.settle();
    let id = ReplicaId(cluster.address(machine).replica);
    let membership = cluster.node(leader).replica().membership();
    membership.voters.contains(&id)
}

#[test]
fn planned_replacement_waits_for_a_new_machine_that_answers_late() {
    let mut cluster = Cluster::bootstrapped_of(4, 11, NO_SNAPSHOTS);
    cluster.set_spares(SLOW, vec![]);
    cluster.run(Duration::from_secs(1_000));
    let (leader, request) = replace_follower(&mut cluster, 3);
    cluster.cut_off(3);
    cluster.send(leader, RequestBody::Replace(request));
    cluster.run(Duration::from_secs(3));
    cluster.heal();
    cluster.run(Duration::from_secs(20));
    assert!(is_voter(&mut cluster, 3), "given up");
}

#[test]
fn planned_replacement_by_a_machine_with_slow_answers_is_not_given_up() {
    for step in 0..20 {
        let mut cluster = Cluster::bootstrapped_of(4, 50 + step, NO_SNAPSHOTS);
        cluster.set_spares(FAST, vec![]);
        cluster.run(Duration::from_secs(10));
        cluster.delay(3, Duration::from_millis(60));
        cluster.run(Duration::from_millis(7 * step));
        let (leader, request) = replace_follower(&mut cluster, 3);
        cluster.send(leader, RequestBody::Replace(request));
        cluster.run(Duration::from_secs(20));
        assert!(is_voter(&mut cluster, 3), "step {step}: given up");
    }
}

#[test]
fn healthy_voter_of_two_stays_until_the_new_machine_has_the_log() {
    for step in 0..20 {
        let mut cluster = Cluster::founded(2, 3, 900 + step, NO_SNAPSHOTS);
        let (leader, request) = replace_follower(&mut cluster, 2);
        cluster.send(leader, RequestBody::Replace(request));
        cluster.run(Duration::from_millis(step));
        cluster.freeze(2);
        cluster.run(Duration::from_secs(5));
        assert!(cluster.leader().is_some(), "step {step}: no quorum");
    }
}

#[test]
fn second_identity_of_an_added_spare_is_no_voter_before_it_has_the_log() {
    for seed in 840..845 {
        let mut cluster = Cluster::founded(2, 3, seed, NO_SNAPSHOTS);
        cluster.offer_interval = Duration::from_millis(250);
        cluster.set_spares(FAST, vec![2]);
        let leader = cluster.settle();
        while cluster.node(leader).state().replacement().is_none() {
            cluster.run(Duration::from_millis(1));
        }
        cluster.restart_wiped(2);
        let second = cluster.address(2).replica;
        let is_named = |cluster: &Cluster| {
            let replacement = cluster.node(leader).state().replacement();
            replacement.is_some_and(|current| current.new_replica().replica == second)
        };
        while !is_named(&cluster) {
            cluster.run(Duration::from_millis(1));
        }
        cluster.crash(2);
        cluster.run(Duration::from_secs(2));
        let leader = cluster.settle();
        let voters = cluster.node(leader).replica().membership().voters.len();
        assert_eq!(voters, 2, "seed {seed}");
    }
}
