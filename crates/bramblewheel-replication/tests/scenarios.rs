//! Scenarios with a single fault each, which a group of replicas must survive.

mod cluster;

use bramblewheel_replication::{
    Ballot, Body, ContactToken, Event, LastEntry, LogIndex, MembershipChange, MembershipError,
    Message, Output, ProposalId, ProposalResult, ReadResult, RefusalReason, Replica, ReplicaConfig,
    ReplicaId, RestoredState, Role, Term, TransferError, VoteRefusal,
};
use bramblewheel_types::Timestamp;
use cluster::{Cluster, ELECTION, HEARTBEAT, LEASE, id, membership};
use std::time::Duration;

fn config(own: u64) -> ReplicaConfig {
    ReplicaConfig {
        id: id(own),
        heartbeat_interval: HEARTBEAT,
        election_timeout: ELECTION,
        lease: LEASE,
        max_entries_per_message: 8,
        seed: own,
        bootstrap: None,
    }
}

fn commit_change(
    cluster: &mut Cluster,
    change: MembershipChange,
) -> Result<ProposalId, MembershipError> {
    let leader = cluster.settle();
    let proposal = ProposalId(1 << 40 | cluster.now.0);
    let propose = |replica: &mut Replica, now| replica.propose_membership(now, proposal, change);
    cluster.with(leader, propose).expect("leader runs")?;
    cluster.run(Duration::from_millis(500));
    let result = cluster.proposal_results.get(&proposal);
    assert!(matches!(result, Some(ProposalResult::Committed { .. })));
    Ok(proposal)
}

fn add_learner(replica: ReplicaId) -> MembershipChange {
    let description = b"10.0.0.9:7000".to_vec();
    MembershipChange::AddLearner {
        replica,
        description,
    }
}

fn followers(cluster: &Cluster, leader: ReplicaId) -> Vec<ReplicaId> {
    let others = cluster.nodes.keys().copied();
    others.filter(|other| *other != leader).collect()
}

#[test]
fn a_single_voter_commits_only_what_is_synced() {
    let bootstrap = Some(membership([1]));
    let config = ReplicaConfig {
        bootstrap,
        ..config(1)
    };
    let mut replica = Replica::new(config, RestoredState::default(), Timestamp::ZERO);
    replica.tick(replica.next_wakeup());
    assert_eq!(replica.role(), Role::Leader);
    let output = replica.take_output();
    assert!(output.write.snapshot.is_some());
    assert_eq!(replica.commit_index(), LogIndex(1));
    replica.persisted();
    assert_eq!(replica.commit_index(), LogIndex(2));
}

#[test]
fn a_leader_that_was_frozen_refuses_reads_from_outdated_state() {
    let mut cluster = Cluster::new(3, 1);
    let old = cluster.settle();
    cluster.freeze(old);
    cluster.run(Duration::from_secs(60));
    let new = cluster.settle();
    assert_ne!(old, new);
    cluster.propose(new).expect("leader accepts proposals");
    cluster.run(Duration::from_millis(100));
    // The read arrives before any tick or message, like a request waiting in a socket.
    let node = cluster.nodes.get_mut(&old).expect("node exists");
    node.frozen = false;
    assert!(cluster.read(old).is_none());
    assert!(!cluster.replica(old).has_quorum(cluster.now));
    cluster.heal_and_check();
}

#[test]
fn messages_that_waited_while_a_follower_was_frozen_prove_no_quorum() {
    let mut cluster = Cluster::new(3, 2);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(1));
    let follower = followers(&cluster, leader)[0];
    assert!(cluster.replica(follower).has_quorum(cluster.now));
    cluster.freeze(follower);
    cluster.run(Duration::from_secs(5));
    cluster.isolate(follower);
    cluster.thaw(follower);
    assert!(!cluster.replica(follower).has_quorum(cluster.now));
}

#[test]
fn a_leader_in_a_minority_partition_steps_down_and_its_follower_loses_the_quorum() {
    let mut cluster = Cluster::new(5, 3);
    let leader = cluster.settle();
    let minority = followers(&cluster, leader)[0];
    cluster.isolate(leader);
    cluster.isolate(minority);
    cluster.cut.remove(&(leader, minority));
    cluster.cut.remove(&(minority, leader));
    cluster.run(LEASE + HEARTBEAT);
    assert_ne!(cluster.replica(leader).role(), Role::Leader);
    assert!(!cluster.replica(leader).has_quorum(cluster.now));
    assert!(!cluster.replica(minority).has_quorum(cluster.now));
    cluster.heal_and_check();
}

#[test]
fn a_pending_read_of_an_isolated_leader_fails_with_leadership_lost() {
    let mut cluster = Cluster::new(3, 4);
    let leader = cluster.settle();
    cluster.isolate(leader);
    let read = cluster.read(leader).expect("replica still leads");
    cluster.run(Duration::from_secs(1));
    let result = cluster.read_results.get(&read);
    assert_eq!(result, Some(&ReadResult::LeadershipLost));
}

#[test]
fn a_replica_that_reconnects_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 5);
    let leader = cluster.settle();
    let term = cluster.replica(leader).term();
    let follower = followers(&cluster, leader)[0];
    cluster.isolate(follower);
    cluster.run(Duration::from_secs(10));
    cluster.cut.clear();
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replica(leader).term(), term);
    assert_eq!(cluster.replica(follower).term(), term);
}

#[test]
fn a_one_way_partition_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 6);
    let leader = cluster.settle();
    let term = cluster.replica(leader).term();
    let follower = followers(&cluster, leader)[0];
    cluster.cut.insert((leader, follower));
    cluster.run(Duration::from_secs(10));
    assert_eq!(cluster.replica(leader).term(), term);
    cluster.heal_and_check();
}

#[test]
fn a_replica_without_a_membership_neither_campaigns_nor_votes() {
    let mut replica = Replica::new(config(9), RestoredState::default(), Timestamp::ZERO);
    assert!(!replica.is_initialised());
    assert_eq!(replica.next_wakeup(), Timestamp::NEVER);
    let later = Timestamp::from_millis(60_000);
    replica.tick(later);
    let body = Body::VoteRequest {
        last_index: LogIndex(9),
        last_term: Term(9),
        transfer: true,
    };
    let term = Term(10);
    replica.receive(later, id(1), Message { term, body });
    let refusal = VoteRefusal {
        candidate: id(1),
        ballot: Ballot::Vote,
        candidate_term: term,
        candidate_last: LastEntry {
            term: Term(9),
            index: LogIndex(9),
        },
        own_term: Term(0),
        own_last: LastEntry {
            term: Term(0),
            index: LogIndex(0),
        },
        reason: RefusalReason::NoMembership,
    };
    let only_refused = Output {
        events: vec![Event::VoteRefused(refusal)],
        ..Output::default()
    };
    assert_eq!(replica.take_output(), only_refused);
}

#[test]
fn a_lost_replica_is_replaced_under_a_new_identity() {
    let mut cluster = Cluster::new(3, 7);
    let leader = cluster.settle();
    let lost = followers(&cluster, leader)[0];
    let other = followers(&cluster, leader)[1];
    for _ in 0..40 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_millis(500));
    cluster.compact(leader);
    cluster.nodes.remove(&lost);
    cluster.add(id(4), RestoredState::default());
    let learner = add_learner(id(4));
    commit_change(&mut cluster, learner).expect("no change is pending");
    commit_change(&mut cluster, MembershipChange::PromoteLearner(id(4)))
        .expect("learner has caught up");
    commit_change(&mut cluster, MembershipChange::Remove(lost)).expect("no change is pending");
    let leader = cluster.settle();
    let last = cluster.replica(leader).last_index();
    assert_eq!(cluster.replica(leader).match_index(id(4)), Some(last));
    // After a second loss directly after the repair, the new voter has all acknowledged entries.
    cluster.crash(other);
    cluster.run(Duration::from_secs(2));
    let leader = cluster.settle();
    cluster.propose(leader).expect("two of three are a quorum");
    cluster.heal_and_check();
}

#[test]
fn a_learner_that_has_not_caught_up_is_not_promoted() {
    let mut cluster = Cluster::new(3, 8);
    cluster.settle();
    commit_change(&mut cluster, add_learner(id(4))).expect("no change is pending");
    let promotion = commit_change(&mut cluster, MembershipChange::PromoteLearner(id(4)));
    assert!(matches!(
        promotion,
        Err(MembershipError::NotCaughtUp { .. })
    ));
    cluster.add(id(4), RestoredState::default());
    cluster.run(Duration::from_secs(1));
    commit_change(&mut cluster, MembershipChange::PromoteLearner(id(4)))
        .expect("learner has caught up");
    cluster.heal_and_check();
}

#[test]
fn a_group_of_two_does_not_wait_for_a_silent_learner_to_get_a_third_voter() {
    let mut cluster = Cluster::new(3, 12);
    let leader = cluster.settle();
    let [lost, other] = [
        followers(&cluster, leader)[0],
        followers(&cluster, leader)[1],
    ];
    cluster.add(id(4), RestoredState::default());
    commit_change(&mut cluster, add_learner(id(4))).expect("no change is pending");
    commit_change(&mut cluster, MembershipChange::Remove(lost)).expect("two voters remain");
    cluster.crash(id(4));
    cluster.run(Duration::from_secs(2));
    commit_change(&mut cluster, MembershipChange::PromoteLearner(id(4)))
        .expect("two of three voters are as many as two of two");
    cluster.start(id(4));
    cluster.run(Duration::from_secs(1));
    cluster.crash(other);
    cluster.run(Duration::from_secs(2));
    let leader = cluster.settle();
    cluster.propose(leader).expect("two of three are a quorum");
    cluster.heal_and_check();
}

#[test]
fn a_second_membership_change_is_refused_while_one_is_pending() {
    let mut cluster = Cluster::new(3, 9);
    let leader = cluster.settle();
    let results = cluster.with(leader, |replica, now| {
        let first = replica.propose_membership(now, ProposalId(1 << 41), add_learner(id(4)));
        let second = replica.propose_membership(now, ProposalId(2 << 41), add_learner(id(5)));
        (first, second)
    });
    assert_eq!(
        results,
        Some((Ok(()), Err(MembershipError::ChangeInProgress)))
    );
}

#[test]
fn entries_synced_before_a_removal_are_not_counted_when_the_replica_is_added_again() {
    let mut cluster = Cluster::new(3, 11);
    let leader = cluster.settle();
    cluster.propose(leader).expect("leader runs");
    cluster.run(Duration::from_millis(200));
    let lost = followers(&cluster, leader)[0];
    cluster.crash(lost);
    let removal = MembershipChange::Remove(lost);
    let propose =
        |replica: &mut Replica, now| replica.propose_membership(now, ProposalId(1 << 41), removal);
    cluster
        .with(leader, propose)
        .expect("leader runs")
        .expect("two voters remain");
    cluster.run(Duration::from_millis(20));
    let propose = |replica: &mut Replica, now| {
        replica.propose_membership(now, ProposalId(2 << 41), add_learner(lost))
    };
    cluster
        .with(leader, propose)
        .expect("leader runs")
        .expect("the removal is committed");
    assert_eq!(cluster.replica(leader).match_index(lost), Some(LogIndex(0)));
}

#[test]
fn a_removed_leader_steps_down_once_its_removal_is_committed() {
    let mut cluster = Cluster::new(3, 10);
    let leader = cluster.settle();
    commit_change(&mut cluster, MembershipChange::Remove(leader)).expect("two voters remain");
    assert_eq!(cluster.replica(leader).role(), Role::Follower);
    cluster.run(Duration::from_secs(2));
    let next = cluster.settle();
    assert_ne!(next, leader);
    let term = cluster.replica(next).term();
    cluster.run(Duration::from_secs(5));
    assert_eq!(
        cluster.replica(next).term(),
        term,
        "removed replica starts no election"
    );
}

#[test]
fn leadership_transfer_does_not_wait_for_an_election_timeout() {
    let mut cluster = Cluster::new(3, 11);
    let leader = cluster.settle();
    cluster.run(Duration::from_millis(200));
    let transfer = |replica: &mut Replica, now| replica.transfer_leadership(now);
    let target = cluster.with(leader, transfer).expect("leader runs");
    let target = target.expect("both followers answer");
    assert!(cluster.propose(leader).is_none());
    cluster.run(ELECTION / 3);
    assert_eq!(cluster.leader(), Some(target));
    let refused = cluster.with(leader, transfer).expect("replica runs");
    assert!(matches!(refused, Err(TransferError::NotLeader(_))));
    cluster.heal_and_check();
}

#[test]
fn a_follower_far_behind_receives_a_snapshot() {
    let mut cluster = Cluster::new(3, 12);
    let leader = cluster.settle();
    let follower = followers(&cluster, leader)[0];
    cluster.crash(follower);
    for _ in 0..1500 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_secs(1));
    cluster.compact(leader);
    cluster.start(follower);
    cluster.run(Duration::from_secs(2));
    let snapshot = cluster.replica(leader).snapshot_index();
    assert_eq!(cluster.replica(follower).snapshot_index(), snapshot);
    cluster.heal_and_check();
}

#[test]
fn a_token_of_an_earlier_start_does_not_prove_a_quorum() {
    let restored = RestoredState::bootstrap(membership([1, 2, 3]));
    let mut replica = Replica::new(config(1), restored, Timestamp::ZERO);
    let now = Timestamp::from_millis(10);
    let echo = Some(ContactToken {
        session: 0,
        at: now,
    });
    let body = Body::Append {
        previous_index: LogIndex(1),
        previous_term: Term(1),
        entries: Vec::new(),
        commit: LogIndex(1),
        round: 1,
        echo,
    };
    let term = Term(2);
    replica.receive(now, id(2), Message { term, body });
    assert_eq!(replica.leader(), Some(id(2)));
    assert!(!replica.has_quorum(now));
}
