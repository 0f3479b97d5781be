//! Groups that found themselves: formation, growth and the losses that a group must bear.

mod support;

use bramblewheel_control::node::SparePolicy;
use bramblewheel_replication::ReplicaId;
use std::time::Duration;
use support::cluster::Cluster;
use support::founded::{FAST, MANY, accepted, founded, in_force, replace, table};

#[test]
fn founders_form_one_group_without_a_word_from_an_operator() {
    for seed in 1..20 {
        let mut cluster = founded(0, seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        let groups: Vec<_> = (0..3).map(|m| cluster.node(m).state().group()).collect();
        assert!(
            groups
                .iter()
                .all(|group| group.is_some() && *group == groups[0])
        );
    }
}

/// Two of three founders are enough; the third, which never wrote anything, joins when it starts.
#[test]
fn a_group_forms_while_a_founder_is_missing() {
    for seed in 0..10 {
        let missing = usize::try_from(seed % 3).expect("small");
        let mut cluster = Cluster::founded_without(Some(missing), 3, 3, 500 + seed, MANY);
        accepted(&mut cluster, &replace(0, 3, "first"));
        cluster.start(missing);
        cluster.run(Duration::from_secs(2));
        let other = (missing + 1) % 3;
        cluster.crash(other);
        accepted(&mut cluster, &replace(3, 4, "second"));
    }
}

/// Three founders, five machines, and the loss of two to be borne.
#[test]
fn a_group_grows_until_it_bears_the_losses_that_it_must() {
    for seed in 0..10 {
        let mut cluster = Cluster::founded(3, 5, 400 + seed, MANY);
        let grown = SparePolicy { voters: 5, ..FAST };
        cluster.set_spares(grown, vec![3, 4]);
        accepted(&mut cluster, &replace(0, 3, "first"));
        cluster.run(Duration::from_secs(12));
        let leader = cluster.settle();
        let membership = cluster.node(leader).replica().membership().clone();
        assert_eq!(
            (membership.voters.len(), membership.learners.len()),
            (5, 0),
            "seed {seed}"
        );
        accepted(&mut cluster, &replace(3, 4, "second"));
        cluster.crash(leader);
        cluster.restart_wiped((leader + 1) % 5);
        assert_eq!(
            in_force(&mut cluster),
            Some(table(4, "second")),
            "seed {seed}"
        );
        accepted(&mut cluster, &replace(4, 5, "third"));
    }
}

/// A voter that returns empty at its address takes its old place at once, so that the next loss
/// can be borne.
#[test]
fn a_voter_that_returns_empty_is_a_voter_again_within_seconds() {
    for seed in 0..20 {
        let mut cluster = founded(0, 200 + seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
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
        accepted(&mut cluster, &replace(3, 4, "second"));
    }
}

/// Two halves: the one behind and one that lost its disk must not form a quorum.
#[test]
fn one_behind_and_one_empty_decide_nothing() {
    for seed in 0..20 {
        let mut cluster = founded(0, 300 + seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        let leader = cluster.settle();
        let (behind, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.cut_off(behind);
        accepted(&mut cluster, &replace(3, 4, "second"));
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

/// The fourth machine takes the place of one that is gone for good, and the one that was only cut
/// off comes back as the next spare.
#[test]
fn a_replaced_voter_comes_back_as_a_spare() {
    let mut cluster = founded(1, 4);
    accepted(&mut cluster, &replace(0, 3, "first"));
    let leader = cluster.settle();
    let away = (leader + 1) % 3;
    cluster.cut_off(away);
    cluster.run(Duration::from_secs(12));
    let leader = cluster.settle();
    let voters = cluster.node(leader).replica().membership().voters.clone();
    assert!(!voters.contains(&ReplicaId(cluster.address(away).replica)));
    cluster.heal();
    cluster.set_spares(FAST, vec![away]);
    cluster.run(Duration::from_secs(8));
    let leader = cluster.settle();
    let lost = (0..3).find(|machine| *machine != leader && *machine != away);
    cluster.crash(lost.expect("a third"));
    cluster.run(Duration::from_secs(12));
    let leader = cluster.settle();
    let voters = cluster.node(leader).replica().membership().voters.clone();
    assert!(voters.contains(&ReplicaId(cluster.address(away).replica)));
    accepted(&mut cluster, &replace(3, 4, "second"));
}
