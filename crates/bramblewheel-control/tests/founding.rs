//! Self-founded groups: formation, growth and tolerated losses.

mod support;

use bramblewheel_control::node::SparePolicy;
use bramblewheel_replication::ReplicaId;
use std::time::Duration;
use support::cluster::Cluster;
use support::founded::{FAST, NO_SNAPSHOTS, expect_accepted, founded, in_force, replace, table};

#[test]
fn founders_form_one_group_without_an_operator() {
    for seed in 1..20 {
        let mut cluster = founded(0, seed);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
        let groups: Vec<_> = (0..3).map(|m| cluster.node(m).state().group()).collect();
        assert!(
            groups
                .iter()
                .all(|group| group.is_some() && *group == groups[0])
        );
    }
}

/// Two of three founders form the group. The third, which has written nothing yet, joins when it starts.
#[test]
fn group_forms_without_one_founder_which_joins_later() {
    for seed in 0..10 {
        let missing = usize::try_from(seed % 3).expect("small");
        let mut cluster = Cluster::founded_without(Some(missing), 3, 3, 500 + seed, NO_SNAPSHOTS);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
        cluster.start(missing);
        cluster.run(Duration::from_secs(2));
        let other = (missing + 1) % 3;
        cluster.crash(other);
        expect_accepted(&mut cluster, &replace(3, 4, "second"));
    }
}

/// Three founders on five machines; the group must tolerate the loss of two.
#[test]
fn group_grows_to_five_voters_and_survives_two_losses() {
    for seed in 0..10 {
        let mut cluster = Cluster::founded(3, 5, 400 + seed, NO_SNAPSHOTS);
        let grown = SparePolicy { voters: 5, ..FAST };
        cluster.set_spares(grown, vec![3, 4]);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
        cluster.run(Duration::from_secs(12));
        let leader = cluster.settle();
        let membership = cluster.node(leader).replica().membership().clone();
        assert_eq!(
            (membership.voters.len(), membership.learners.len()),
            (5, 0),
            "seed {seed}"
        );
        expect_accepted(&mut cluster, &replace(3, 4, "second"));
        cluster.crash(leader);
        cluster.restart_wiped((leader + 1) % 5);
        assert_eq!(
            in_force(&mut cluster),
            Some(table(4, "second")),
            "seed {seed}"
        );
        expect_accepted(&mut cluster, &replace(4, 5, "third"));
    }
}

/// A voter that returns at its address with an empty disk must replace its earlier identity at once, so that the group
/// tolerates the next loss.
#[test]
fn wiped_voter_is_a_voter_again_under_its_new_id_within_seconds() {
    for seed in 0..20 {
        let mut cluster = founded(0, 200 + seed);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
        let leader = cluster.settle();
        let lost = (leader + 1) % 3;
        let old = ReplicaId(cluster.address(lost).replica);
        cluster.restart_wiped(lost);
        cluster.set_spares(FAST, vec![lost]);
        cluster.run(Duration::from_millis(3_500));
        let leader = cluster.settle();
        let voters = &cluster.node(leader).replica().membership().voters;
        let new = ReplicaId(cluster.address(lost).replica);
        assert!(
            voters.contains(&new) && !voters.contains(&old),
            "seed {seed}"
        );
        let next = (0..3).find(|machine| *machine != lost).expect("another");
        cluster.crash(next);
        expect_accepted(&mut cluster, &replace(3, 4, "second"));
    }
}

/// A voter that is behind and one that lost its disk must not form a quorum, since an acknowledged table would be lost.
#[test]
fn outdated_voter_and_wiped_voter_form_no_quorum() {
    for seed in 0..20 {
        let mut cluster = founded(0, 300 + seed);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
        let leader = cluster.settle();
        let (behind, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.cut_off(behind);
        expect_accepted(&mut cluster, &replace(3, 4, "second"));
        cluster.crash(leader);
        cluster.restart_wiped(wiped);
        cluster.heal();
        cluster.set_spares_of(FAST, vec![wiped]);
        cluster.run(Duration::from_secs(20));
        assert_eq!(cluster.leader(), None, "seed {seed}");
        cluster.start(leader);
        cluster.set_spares(FAST, vec![wiped]);
        assert_eq!(
            in_force(&mut cluster),
            Some(table(4, "second")),
            "seed {seed}"
        );
    }
}

/// The fourth machine replaces a voter that is cut off; the replaced voter returns as a spare and later replaces another.
#[test]
fn replaced_voter_returns_as_a_spare() {
    let mut cluster = founded(1, 4);
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    let leader = cluster.settle();
    let isolated = (leader + 1) % 3;
    cluster.cut_off(isolated);
    cluster.run(Duration::from_secs(12));
    let leader = cluster.settle();
    let voters = cluster.node(leader).replica().membership().voters.clone();
    assert!(!voters.contains(&ReplicaId(cluster.address(isolated).replica)));
    cluster.heal();
    cluster.set_spares(FAST, vec![isolated]);
    cluster.run(Duration::from_secs(8));
    let leader = cluster.settle();
    let lost = (0..3).find(|machine| *machine != leader && *machine != isolated);
    cluster.crash(lost.expect("a third"));
    cluster.run(Duration::from_secs(12));
    let leader = cluster.settle();
    let voters = cluster.node(leader).replica().membership().voters.clone();
    assert!(voters.contains(&ReplicaId(cluster.address(isolated).replica)));
    expect_accepted(&mut cluster, &replace(3, 4, "second"));
}
