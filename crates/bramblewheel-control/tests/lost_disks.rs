//! Disks lost several times in a row, also while a replacement is in progress.

mod support;

use bramblewheel_control::node::SparePolicy;
use bramblewheel_replication::{Membership, ReplicaId};
use std::collections::BTreeSet;
use std::time::Duration;
use support::cluster::Cluster;
use support::founded::{FAST, expect_accepted, founded, replace};

/// Interval at which a replica without a group offers itself.
const OFFER_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last fault within which the group must be whole again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Longest time that a commit takes, in milliseconds: a message there and one back, of up to 4 ms each.
const LONGEST_COMMIT_MS: u32 = 8;

/// A group of three whose machines offer themselves whenever they are not in it.
fn group(seed: u64) -> Cluster {
    group_with_spares(0, seed)
}

fn group_with_spares(spares: usize, seed: u64) -> Cluster {
    let mut cluster = founded(spares, seed);
    cluster.offer_interval = OFFER_INTERVAL;
    cluster.set_spares(FAST, (0..3 + spares).collect());
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    cluster
}

fn membership(cluster: &mut Cluster) -> Membership {
    let leader = cluster.settle();
    cluster.node(leader).replica().membership().clone()
}

fn identity(cluster: &Cluster, machine: usize) -> ReplicaId {
    ReplicaId(cluster.address(machine).replica)
}

/// Expects that the given machines are the voters, under their current identities, and nothing else is
/// in progress.
fn expect_whole(cluster: &mut Cluster, machines: [usize; 3], context: &str) {
    let members = membership(cluster);
    let expected = machines.map(|machine| identity(cluster, machine));
    assert_eq!(
        members.voters,
        BTreeSet::from(expected),
        "{context}: voters"
    );
    assert_eq!(members.learners, BTreeSet::new(), "{context}: learners");
    let leader = cluster.settle();
    let replacement = cluster.node(leader).state().replacement();
    assert_eq!(replacement, None, "{context}");
}

fn follower(cluster: &mut Cluster) -> usize {
    (cluster.settle() + 1) % 3
}

/// Runs until a machine is a learner under its current identity.
fn run_until_learner(cluster: &mut Cluster, machine: usize) {
    for _ in 0..5_000 {
        cluster.run(Duration::from_millis(1));
        let new = identity(cluster, machine);
        if let Some(leader) = cluster.leader()
            && cluster
                .node(leader)
                .replica()
                .membership()
                .learners
                .contains(&new)
        {
            return;
        }
    }
    panic!("machine {machine} did not become a learner");
}

#[test]
fn living_voter_is_not_replaced_by_an_earlier_identity_of_its_machine() {
    for (seed, pause) in [0, 1, 2, 5, 12, 28].into_iter().enumerate() {
        let mut cluster = group(700 + seed as u64);
        let machine = follower(&mut cluster);
        cluster.restart_wiped(machine);
        cluster.run(RECOVERY + Duration::from_secs(pause));
        expect_whole(&mut cluster, [0, 1, 2], "after the first loss");
        cluster.restart_wiped(machine);
        cluster.run(RECOVERY);
        expect_whole(
            &mut cluster,
            [0, 1, 2],
            &format!("{pause} s after the first"),
        );
    }
}

#[test]
fn replacement_continues_with_the_next_identity_after_its_new_replica_lost_its_disk() {
    for step in 0..20 {
        let mut cluster = group(720 + step);
        let machine = follower(&mut cluster);
        cluster.restart_wiped(machine);
        run_until_learner(&mut cluster, machine);
        cluster.run(Duration::from_millis(5 * step));
        cluster.restart_wiped(machine);
        cluster.run(RECOVERY);
        expect_whole(&mut cluster, [0, 1, 2], &format!("step {step}"));
    }
}

#[test]
fn replacement_ends_while_entries_are_appended_faster_than_the_new_replica_answers() {
    for seed in 770..775 {
        let mut cluster = group(seed);
        let machine = follower(&mut cluster);
        let lost = identity(&cluster, machine);
        cluster.restart_wiped(machine);
        cluster.delay(machine, Duration::from_millis(70));
        let leader = cluster.settle();
        for version in 0..1_000 {
            cluster.send(leader, replace(version, version + 4, "next"));
            cluster.run(Duration::from_millis(10));
        }
        let replica = cluster.node(leader).replica();
        let new = identity(&cluster, machine);
        let voters = &replica.membership().voters;
        assert!(voters.contains(&new), "seed {seed}: not promoted");
        assert!(!voters.contains(&lost), "seed {seed}: not removed");
        let replacement = cluster.node(leader).state().replacement();
        assert_eq!(replacement, None, "seed {seed}: not ended");
    }
}

#[test]
fn replacement_whose_new_replica_is_gone_continues_with_another_spare() {
    for seed in 750..755 {
        let mut cluster = group_with_spares(2, seed);
        let lost = follower(&mut cluster);
        cluster.crash(lost);
        let new = wait_for_learner_on(&mut cluster, [3, 4]);
        cluster.crash(new);
        cluster.run(RECOVERY);
        let other = if new == 3 { 4 } else { 3 };
        let mut machines = [0, 1, 2];
        machines[lost] = other;
        expect_whole(&mut cluster, machines, &format!("seed {seed}"));
    }
}

/// Runs until one of two machines is a learner; returns it.
fn wait_for_learner_on(cluster: &mut Cluster, machines: [usize; 2]) -> usize {
    for _ in 0..10_000 {
        cluster.run(Duration::from_millis(1));
        let Some(leader) = cluster.leader() else {
            continue;
        };
        let learners = &cluster.node(leader).replica().membership().learners;
        let learner = machines
            .into_iter()
            .find(|machine| learners.contains(&identity(cluster, *machine)));
        if let Some(learner) = learner {
            return learner;
        }
    }
    panic!("no spare became a learner");
}

#[test]
fn replacement_is_given_up_when_the_silent_voter_returns_and_the_new_replica_is_gone() {
    for seed in 760..765 {
        let mut cluster = group_with_spares(1, seed);
        let silent = follower(&mut cluster);
        cluster.cut_off(silent);
        cluster.set_spares(FAST, vec![3]);
        let new = wait_for_learner_on(&mut cluster, [3, 3]);
        cluster.crash(new);
        cluster.heal();
        cluster.run(RECOVERY);
        expect_whole(&mut cluster, [0, 1, 2], &format!("seed {seed}"));
    }
}

#[test]
fn group_is_not_left_with_two_voters_when_the_new_replica_stops_answering() {
    for step in 0..40 {
        let mut cluster = group(780 + step);
        let machine = follower(&mut cluster);
        cluster.restart_wiped(machine);
        run_until_learner(&mut cluster, machine);
        cluster.run(Duration::from_millis(5 * step));
        cluster.crash(machine);
        cluster.run(Duration::from_secs(1));
        let voters = membership(&mut cluster).voters;
        assert_eq!(voters.len(), 3, "step {step}");
        cluster.start(machine);
        cluster.run(RECOVERY);
        expect_whole(&mut cluster, [0, 1, 2], &format!("step {step}"));
    }
}

#[test]
fn time_with_two_voters_is_as_short_as_one_commit() {
    for seed in 800..810 {
        let mut cluster = group(seed);
        let machine = follower(&mut cluster);
        cluster.restart_wiped(machine);
        let mut with_two = 0;
        for _ in 0..5_000 {
            cluster.run(Duration::from_millis(1));
            let leader = cluster.leader().expect("the leader keeps its quorum");
            let voters = cluster.node(leader).replica().membership().voters.len();
            with_two += u32::from(voters == 2);
        }
        expect_whole(&mut cluster, [0, 1, 2], &format!("seed {seed}"));
        assert!(with_two <= LONGEST_COMMIT_MS, "seed {seed}: {with_two} ms");
    }
}

#[test]
fn spare_on_the_machine_of_a_lost_voter_replaces_no_other_voter() {
    for seed in 820..830 {
        let mut cluster = group(seed);
        let leader = cluster.settle();
        let [wiped, silent] = [(leader + 1) % 3, (leader + 2) % 3];
        let silent_identity = identity(&cluster, silent);
        cluster.cut_off(silent);
        cluster.run(FAST.silence + Duration::from_millis(100));
        cluster.restart_wiped(wiped);
        cluster.run(Duration::from_secs(3));
        cluster.heal();
        cluster.run(RECOVERY);
        expect_whole(&mut cluster, [0, 1, 2], &format!("seed {seed}"));
        assert_eq!(identity(&cluster, silent), silent_identity, "seed {seed}");
    }
}

#[test]
fn spare_that_stopped_answering_is_not_added_as_a_voter() {
    for seed in 840..845 {
        let mut cluster = Cluster::founded(2, 3, seed, 1_000_000);
        cluster.offer_interval = OFFER_INTERVAL;
        cluster.set_spares(FAST, vec![2]);
        let leader = cluster.settle();
        while cluster.node(leader).state().replacement().is_none() {
            cluster.run(Duration::from_millis(1));
        }
        cluster.crash(2);
        cluster.run(Duration::from_secs(2));
        let voters = membership(&mut cluster).voters;
        assert_eq!(voters.len(), 2, "seed {seed}");
        cluster.start(2);
        cluster.run(RECOVERY);
        expect_whole(&mut cluster, [0, 1, 2], &format!("seed {seed}"));
    }
}

#[test]
fn silent_voter_stays_a_voter_until_the_new_replica_is_one() {
    for step in 0..40 {
        let mut cluster = group_with_spares(1, 860 + step);
        let leader = cluster.settle();
        let [silent, other] = [(leader + 1) % 3, (leader + 2) % 3];
        cluster.freeze(silent);
        wait_for_learner_on(&mut cluster, [3, 3]);
        cluster.run(Duration::from_millis(step));
        cluster.crash(leader);
        cluster.run(Duration::from_secs(1));
        cluster.thaw(silent);
        cluster.run(RECOVERY);
        expect_whole(&mut cluster, [silent, other, 3], &format!("step {step}"));
    }
}

#[test]
fn replacement_by_a_silent_machine_does_not_keep_another_lost_voter_from_its_replacement() {
    let policy = SparePolicy { voters: 5, ..FAST };
    for seed in 400..405 {
        let mut cluster = Cluster::founded(5, 5, seed, 1_000_000);
        cluster.offer_interval = OFFER_INTERVAL;
        cluster.set_spares(policy, (0..5).collect());
        let leader = cluster.settle();
        let [first, second] = [(leader + 1) % 5, (leader + 2) % 5];
        cluster.restart_wiped(first);
        run_until_learner(&mut cluster, first);
        cluster.crash(first);
        cluster.run(Duration::from_secs(5));
        cluster.restart_wiped(second);
        cluster.run(RECOVERY);
        let members = membership(&mut cluster);
        assert!(
            members.voters.contains(&identity(&cluster, second)),
            "seed {seed}"
        );
        cluster.start(first);
        cluster.run(RECOVERY);
        let members = membership(&mut cluster);
        let expected = [0, 1, 2, 3, 4].map(|machine| identity(&cluster, machine));
        assert_eq!(members.voters, BTreeSet::from(expected), "seed {seed}");
        assert_eq!(members.learners, BTreeSet::new(), "seed {seed}");
    }
}
