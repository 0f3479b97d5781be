//! Refused votes and elections without a quorum are reported with their reasons.

mod cluster;

use bramblewheel_replication::{
    Ballot, Body, Event, FailedElection, LastEntry, LogIndex, Message, RefusalReason, Replica,
    ReplicaConfig, ReplicaId, RestoredState, Role, Term, VoteRefusal,
};
use bramblewheel_types::Timestamp;
use cluster::{Cluster, ELECTION, HEARTBEAT, LEASE, id, membership};
use std::time::Duration;

/// Time after which a replica without a leader has started at least one election.
const ONE_ELECTION: Duration = Duration::from_millis(2 * 300 + 1);

/// Voter 1 of the voters 1 to 3, with an empty log after the first entry.
fn voter() -> Replica {
    let config = ReplicaConfig {
        id: id(1),
        heartbeat_interval: HEARTBEAT,
        election_timeout: ELECTION,
        lease: LEASE,
        max_entries_per_message: 8,
        seed: 1,
        bootstrap: None,
    };
    let restored = RestoredState::bootstrap(membership([1, 2, 3]));
    Replica::new(config, restored, Timestamp::ZERO)
}

fn last(index: u64, term: u64) -> LastEntry {
    LastEntry {
        term: Term(term),
        index: LogIndex(index),
    }
}

fn vote_request(term: u64, last: LastEntry) -> Message {
    let body = Body::VoteRequest {
        last_index: last.index,
        last_term: last.term,
        transfer: false,
    };
    Message {
        term: Term(term),
        body,
    }
}

fn pre_vote_request(term: u64, last: LastEntry) -> Message {
    let body = Body::PreVoteRequest {
        candidate_term: Term(term + 1),
        last_index: last.index,
        last_term: last.term,
    };
    Message {
        term: Term(term),
        body,
    }
}

/// Sends a request for a vote and returns the refusals that it caused.
fn refusals(replica: &mut Replica, from: u64, request: Message) -> Vec<VoteRefusal> {
    replica.receive(Timestamp::from_millis(1), id(from), request);
    let events = replica.take_output().events.into_iter();
    let refusals = events.map(|event| match event {
        Event::VoteRefused(refusal) => refusal,
        Event::ElectionWithoutQuorum(election) => panic!("{election:?}"),
    });
    refusals.collect()
}

fn reasons(replica: &mut Replica, from: u64, request: Message) -> Vec<RefusalReason> {
    let refusals = refusals(replica, from, request);
    refusals.iter().map(|refusal| refusal.reason).collect()
}

#[test]
fn granted_votes_are_not_reported_as_refused() {
    let mut replica = voter();
    let request = pre_vote_request(1, last(1, 1));
    assert_eq!(reasons(&mut replica, 2, request), []);
    let request = vote_request(2, last(1, 1));
    assert_eq!(reasons(&mut replica, 2, request), []);
}

#[test]
fn vote_refused_to_a_log_that_is_behind_names_both_last_entries() {
    let mut replica = voter();
    for (ballot, request) in [
        (Ballot::PreVote, pre_vote_request(4, last(7, 0))),
        (Ballot::Vote, vote_request(5, last(7, 0))),
    ] {
        let refused = refusals(&mut replica, 2, request);
        let expected = VoteRefusal {
            candidate: id(2),
            ballot,
            candidate_term: Term(5),
            candidate_last: last(7, 0),
            own_term: replica.term(),
            own_last: last(1, 1),
            reason: RefusalReason::LogBehind,
        };
        assert_eq!(refused, [expected]);
    }
}

#[test]
fn second_vote_of_a_term_is_refused_with_the_first_candidate() {
    let mut replica = voter();
    assert_eq!(reasons(&mut replica, 2, vote_request(2, last(1, 1))), []);
    let candidate = id(2);
    let refused = reasons(&mut replica, 3, vote_request(2, last(1, 1)));
    assert_eq!(refused, [RefusalReason::AlreadyVoted { candidate }]);
}

#[test]
fn vote_of_an_older_term_is_refused_with_the_own_term() {
    let mut replica = voter();
    assert_eq!(reasons(&mut replica, 2, vote_request(5, last(1, 1))), []);
    for request in [
        vote_request(4, last(1, 1)),
        pre_vote_request(3, last(1, 1)),
        pre_vote_request(4, last(1, 1)),
    ] {
        let refused = refusals(&mut replica, 3, request);
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].reason, RefusalReason::OlderTerm);
        assert_eq!(refused[0].own_term, Term(5));
    }
}

#[test]
fn vote_request_without_an_answer_is_reported_with_the_leader_in_contact() {
    let mut replica = voter();
    let body = Body::Append {
        previous_index: LogIndex(1),
        previous_term: Term(1),
        entries: Vec::new(),
        commit: LogIndex(1),
        round: 1,
        echo: None,
    };
    let term = Term(2);
    replica.receive(Timestamp::from_millis(1), id(2), Message { term, body });
    let leader = Some(id(2));
    for request in [pre_vote_request(2, last(1, 1)), vote_request(3, last(1, 1))] {
        let refused = reasons(&mut replica, 3, request);
        assert_eq!(refused, [RefusalReason::LeaderContact { leader }]);
    }
    assert_eq!(replica.term(), term);
}

fn failed_elections(cluster: &Cluster, of: ReplicaId) -> Vec<FailedElection> {
    let events = cluster.events.iter().filter(|(_, at, _)| *at == of);
    let failed = events.filter_map(|(_, _, event)| match event {
        Event::ElectionWithoutQuorum(election) => Some(election.clone()),
        Event::VoteRefused(_) => None,
    });
    failed.collect()
}

#[test]
fn election_without_a_quorum_names_who_granted_refused_and_was_silent() {
    let mut cluster = Cluster::new(5, 21);
    let leader = cluster.settle();
    cluster.propose(leader).expect("the leader runs");
    cluster.run(Duration::from_millis(200));
    let mut others = cluster
        .nodes
        .keys()
        .copied()
        .filter(|other| *other != leader);
    let [ahead, behind, granting, silent]: [ReplicaId; 4] =
        std::array::from_fn(|_| others.next().expect("five replicas"));
    // Only one replica receives the next entry, which makes it refuse the log of the others.
    for other in [behind, granting, silent] {
        cluster.cut.insert((leader, other));
    }
    cluster.propose(leader).expect("the leader runs");
    cluster.run(HEARTBEAT / 2);
    cluster.crash(leader);
    cluster.crash(silent);
    // Otherwise the replica with the newest log would be elected.
    cluster.cut.insert((ahead, granting));
    cluster.events.clear();
    cluster.run(ONE_ELECTION * 4);
    let failed = failed_elections(&cluster, behind);
    let first = failed
        .iter()
        .find(|election| election.granted.contains(&granting) && election.refused.contains(&ahead));
    let election = first.unwrap_or_else(|| panic!("{failed:?}"));
    assert_eq!(election.ballot, Ballot::PreVote);
    let mut granted = vec![behind, granting];
    granted.sort_unstable();
    assert_eq!(election.granted, granted);
    assert_eq!(election.refused, [ahead]);
    let mut gone = vec![leader, silent];
    gone.sort_unstable();
    assert_eq!(election.silent, gone);
}

#[test]
fn isolated_voter_reports_each_election_with_all_others_silent() {
    let mut cluster = Cluster::new(3, 22);
    let leader = cluster.settle();
    let isolated = if leader == id(1) { id(2) } else { id(1) };
    cluster.isolate(isolated);
    cluster.events.clear();
    cluster.run(ONE_ELECTION * 3);
    let failed = failed_elections(&cluster, isolated);
    assert!(failed.len() >= 2, "{failed:?}");
    for election in failed {
        assert_eq!(election.granted, [isolated]);
        assert_eq!(election.refused, []);
        assert_eq!(election.silent.len(), 2);
    }
}

#[test]
fn won_elections_report_no_lost_quorum() {
    let mut cluster = Cluster::new(3, 23);
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.replica(leader).role(), Role::Leader);
    for number in 1..=3 {
        assert_eq!(failed_elections(&cluster, id(number)), []);
    }
}

#[test]
fn last_contact_is_kept_for_members_only() {
    let mut replica = voter();
    for from in [2, 9] {
        replica.receive(
            Timestamp::from_millis(5),
            id(from),
            pre_vote_request(1, last(1, 1)),
        );
    }
    assert_eq!(replica.last_heard(id(2)), Some(Timestamp::from_millis(5)));
    assert_eq!(replica.last_heard(id(3)), None);
    assert_eq!(replica.last_heard(id(9)), None);
}
