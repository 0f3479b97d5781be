//! Events of a node tell why a replica has no quorum, and how a lost replica is replaced.

mod support;

use bramblewheel_control::node::events::{MemberChange, ReplacementReason};
use bramblewheel_control::node::{Heard, MemberContact, NodeEvent};
use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use bramblewheel_replication::{Ballot, RefusalReason, ReplicaId};
use bramblewheel_types::Timestamp;
use std::time::Duration;
use support::cluster::Cluster;
use support::founded::{FAST, NO_SNAPSHOTS, expect_accepted, founded, replace};
use support::polls::others;

/// Interval within which events of one kind are reported once.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

fn identity(cluster: &Cluster, machine: usize) -> ReplicaId {
    ReplicaId(cluster.address(machine).replica)
}

/// Events of one machine that a function selects, with their times.
fn select<T>(
    cluster: &Cluster,
    machine: usize,
    selected: impl Fn(&NodeEvent) -> Option<T>,
) -> Vec<(Timestamp, T)> {
    let events = cluster.events.iter().filter(|(_, at, _)| *at == machine);
    let events = events.filter_map(|(time, _, event)| Some((*time, selected(event)?)));
    events.collect()
}

fn expect_limited<T>(events: &[(Timestamp, T)]) {
    for pair in events.windows(2) {
        assert!(pair[1].0.since(pair[0].0) >= REPORT_INTERVAL);
    }
}

fn refused(event: &NodeEvent) -> Option<(u64, Vec<MemberContact>)> {
    match event {
        NodeEvent::RequestsRefused {
            refused, members, ..
        } => Some((*refused, members.clone())),
        _ => None,
    }
}

/// Asks a machine without a quorum for the table, each 10 ms.
fn ask_in_vain(cluster: &mut Cluster, machine: usize, count: u64) {
    for _ in 0..count {
        let read = cluster.send(machine, RequestBody::ReadTable);
        cluster.run(Duration::from_millis(10));
        let reply = cluster.reply(read);
        let no_quorum = ReplyBody::Unavailable(Unavailable::NoQuorum);
        assert_eq!(reply, Some(no_quorum));
    }
}

#[test]
fn replacement_of_a_wiped_replica_is_reported_step_by_step_in_order() {
    let mut cluster = founded(0, 801);
    cluster.set_spares(FAST, vec![0, 1, 2]);
    cluster.offer_interval = Duration::from_millis(250);
    let leader = cluster.settle();
    let machine = others(leader)[0];
    let lost = identity(&cluster, machine);
    cluster.events.clear();
    cluster.restart_wiped(machine);
    cluster.run(Duration::from_secs(10));
    let new = identity(&cluster, machine);
    assert_eq!(cluster.settle(), leader);
    let is_wait = |event: &NodeEvent| matches!(event, NodeEvent::ReplacementWaits { .. });
    let steps = select(&cluster, leader, |event| step_of(event, lost, new));
    let steps: Vec<&str> = steps.into_iter().map(|(_, step)| step).collect();
    let expected = [
        "proposed",
        "begun",
        "learner added",
        "lost removed",
        "voter added",
        "ended",
    ];
    assert_eq!(steps, expected);
    let waits = select(&cluster, leader, |event| is_wait(event).then_some(()));
    expect_limited(&waits);
}

/// The step of a replacement that an event reports.
fn step_of(event: &NodeEvent, lost: ReplicaId, new: ReplicaId) -> Option<&'static str> {
    match event {
        NodeEvent::ReplacementProposed {
            lost: Some(replica),
            new: address,
            reason: ReplacementReason::VoterReset,
        } if *replica == lost && address.replica == new.0 => Some("proposed"),
        NodeEvent::ReplacementBegun {
            lost: replicas,
            new: address,
            instead_of: None,
            ..
        } if *replicas == [lost] && address.replica == new.0 => Some("begun"),
        NodeEvent::ReplacementEnded { new: replica, .. } if *replica == new => Some("ended"),
        NodeEvent::MemberChanged {
            replica, change, ..
        } => match change {
            MemberChange::LearnerAdded if *replica == new => Some("learner added"),
            MemberChange::VoterAdded if *replica == new => Some("voter added"),
            MemberChange::Removed if *replica == lost => Some("lost removed"),
            _ => Some("another member changed"),
        },
        NodeEvent::ReplacementProposed { .. }
        | NodeEvent::ReplacementBegun { .. }
        | NodeEvent::ReplacementEnded { .. } => Some("another replacement"),
        _ => None,
    }
}

#[test]
fn requests_refused_without_a_quorum_are_counted_once_a_second_with_the_members() {
    let mut cluster = founded(0, 802);
    let leader = cluster.settle();
    let [cut_off, other] = others(leader);
    let cut_at = cluster.now;
    cluster.cut_off(cut_off);
    cluster.run(Duration::from_secs(2));
    cluster.events.clear();
    ask_in_vain(&mut cluster, cut_off, 300);
    cluster.run(REPORT_INTERVAL + Duration::from_millis(100));
    let reports = select(&cluster, cut_off, refused);
    expect_limited(&reports);
    let counted: u64 = reports.iter().map(|(_, (count, _))| count).sum();
    assert_eq!(counted, 300);
    let (at, (_, members)) = &reports[0];
    assert_eq!(members.len(), 3);
    assert!(members.iter().all(|member| member.is_voter));
    let heard = |machine: usize| {
        let replica = identity(&cluster, machine);
        let member = members.iter().find(|member| member.replica == replica);
        member.expect("a member").heard
    };
    assert_eq!(heard(cut_off), Heard::Itself);
    let Heard::Ago(age) = heard(leader) else {
        panic!("the leader was heard before the cut");
    };
    let cut_for = at.since(cut_at);
    let last_message = cut_for..cut_for + Duration::from_millis(100);
    assert!(last_message.contains(&age), "{age:?} of {last_message:?}");
    assert_eq!(select(&cluster, other, refused), []);
}

#[test]
fn read_that_a_quorum_does_not_confirm_is_reported_by_the_former_leader() {
    let mut cluster = founded(0, 803);
    let leader = cluster.settle();
    for other in others(leader) {
        cluster.crash(other);
    }
    let read = cluster.send(leader, RequestBody::ReadTable);
    let reply = cluster.wait_for(read);
    assert_eq!(reply, ReplyBody::Unavailable(Unavailable::NoQuorum));
    cluster.run(REPORT_INTERVAL);
    let reports = select(&cluster, leader, refused);
    let counted: u64 = reports.iter().map(|(_, (count, _))| count).sum();
    assert_eq!(counted, 1);
}

#[test]
fn lost_and_regained_quorum_are_reported_once_each() {
    let mut cluster = founded(0, 804);
    let leader = cluster.settle();
    let cut_off = others(leader)[0];
    cluster.run(Duration::from_secs(2));
    cluster.events.clear();
    cluster.cut_off(cut_off);
    cluster.run(Duration::from_secs(5));
    cluster.heal();
    cluster.run(Duration::from_secs(2));
    let changes = select(&cluster, cut_off, |event| match event {
        NodeEvent::QuorumLost { members, .. } => Some(format!("lost, {}", members.len())),
        NodeEvent::QuorumRegained { after, .. } => {
            let expected = Duration::from_secs(4)..Duration::from_secs(6);
            assert!(expected.contains(after), "{after:?}");
            Some("regained".to_owned())
        }
        _ => None,
    });
    let changes: Vec<String> = changes.into_iter().map(|(_, change)| change).collect();
    assert_eq!(changes, ["lost, 3", "regained"]);
}

#[test]
fn voter_alone_reports_its_elections_once_a_second_with_the_silent_voters() {
    let mut cluster = founded(0, 805);
    let leader = cluster.settle();
    let [first, second] = others(leader);
    cluster.crash(first);
    cluster.crash(second);
    cluster.events.clear();
    cluster.run(Duration::from_secs(20));
    let elections = select(&cluster, leader, |event| match event {
        NodeEvent::ElectionWithoutQuorum {
            election,
            without_line,
        } => Some((election.clone(), *without_line)),
        _ => None,
    });
    expect_limited(&elections);
    assert!(elections.len() > 5, "{elections:?}");
    let mut silent = vec![identity(&cluster, first), identity(&cluster, second)];
    silent.sort_unstable();
    for (_, (election, _)) in &elections {
        assert_eq!(election.ballot, Ballot::PreVote);
        assert_eq!(election.granted, [identity(&cluster, leader)]);
        assert_eq!(election.refused, []);
        assert_eq!(election.silent, silent);
    }
    let left_out: u64 = elections.iter().map(|(_, (_, left_out))| left_out).sum();
    assert!(left_out > 0, "an election starts every 0.3 to 0.6 s");
}

/// The voter that is left asks for the vote of an identity that no longer exists.
#[test]
fn voter_that_lost_its_disk_is_reported_as_silent_under_its_earlier_identity() {
    let mut cluster = founded(0, 806);
    let leader = cluster.settle();
    let [wiped, asking] = others(leader);
    cluster.crash(leader);
    let before = identity(&cluster, wiped);
    cluster.restart_wiped(wiped);
    assert_ne!(identity(&cluster, wiped), before);
    cluster.run(Duration::from_secs(5));
    let elections = select(&cluster, asking, |event| match event {
        NodeEvent::ElectionWithoutQuorum { election, .. } => Some(election.silent.clone()),
        _ => None,
    });
    let (_, silent) = elections.last().expect("an election without a quorum");
    assert!(silent.contains(&before), "asked under its earlier identity");
}

/// Two of five voters remain. The one with the older log asks the other one for its vote again and again.
#[test]
fn refused_votes_are_reported_by_the_refusing_replica_once_a_second() {
    let mut cluster = Cluster::founded(5, 5, 807, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let [behind, ahead] = [(leader + 1) % 5, (leader + 2) % 5];
    cluster.cut_off(behind);
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    cluster.run(Duration::from_millis(200));
    for machine in (0..5).filter(|machine| ![behind, ahead].contains(machine)) {
        cluster.crash(machine);
    }
    cluster.heal();
    cluster.run(Duration::from_secs(2));
    cluster.events.clear();
    cluster.run(Duration::from_secs(20));
    let refusals = select(&cluster, ahead, |event| match event {
        NodeEvent::VoteRefused {
            refusal,
            without_line,
        } => Some((*refusal, *without_line)),
        _ => None,
    });
    expect_limited(&refusals);
    assert!(refusals.len() > 5, "{refusals:?}");
    for (_, (refusal, _)) in &refusals {
        assert_eq!(refusal.candidate, identity(&cluster, behind));
        assert_eq!(refusal.ballot, Ballot::PreVote);
        assert_eq!(refusal.reason, RefusalReason::LogBehind);
        assert!(refusal.candidate_last.index < refusal.own_last.index);
    }
    let left_out: u64 = refusals.iter().map(|(_, (_, left_out))| left_out).sum();
    assert!(left_out > 0, "an election starts every 0.3 to 0.6 s");
}

#[test]
fn metrics_show_the_members_that_are_heard_and_a_replacement_that_does_not_end() {
    let mut cluster = founded(0, 808);
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    cluster.run(Duration::from_secs(1));
    let leader = cluster.settle();
    let metrics = cluster.metrics(leader);
    assert_eq!(
        (metrics.voters, metrics.voters_heard, metrics.learners),
        (3, 3, 0)
    );
    assert_eq!(metrics.replacement_age_millis, 0);
    assert_eq!(metrics.replacement_entries_missing, 0);
    let machine = others(leader)[0];
    cluster.set_spares(FAST, vec![0, 1, 2]);
    cluster.offer_interval = Duration::from_millis(250);
    cluster.restart_wiped(machine);
    run_until_learner(&mut cluster, leader);
    cluster.crash(machine);
    cluster.run(Duration::from_secs(10));
    let metrics = cluster.metrics(leader);
    assert_eq!((metrics.voters_heard, metrics.learners), (2, 1));
    let age = metrics.replacement_age_millis;
    assert!((10_000..15_000).contains(&age), "{age}");
    let missing = metrics.replacement_entries_missing;
    let applied = metrics.applied_index;
    assert!((1..=applied).contains(&missing), "{missing} of {applied}");
    let follower = cluster.metrics(others(leader)[1]);
    assert_eq!(
        follower.replacement_entries_missing, 0,
        "known to the leader only"
    );
    assert!(follower.replacement_age_millis >= 10_000);
}

/// Runs until the leader has a learner, in steps in which the learner can't get the log.
fn run_until_learner(cluster: &mut Cluster, leader: usize) {
    for _ in 0..20_000 {
        cluster.run(Duration::from_micros(100));
        if cluster.metrics(leader).learners == 1 {
            return;
        }
    }
    panic!("no learner after two seconds");
}
