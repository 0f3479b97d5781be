//! A replacement is continued by whichever replica leads, without a second command.

mod support;

use bramblewheel_protocol::control::{ReplaceRequest, ReplyBody, RequestBody};
use bramblewheel_replication::{Membership, ReplicaId};
use std::time::Duration;
use support::cluster::Cluster;
use support::signed;

const NO_SNAPSHOTS: u64 = 1_000_000;

/// A group of three in which one replica has lost its disk, with the request to replace it. The fourth
/// machine is empty.
struct Loss {
    cluster: Cluster,
    leader: usize,
    /// The follower that still has its disk.
    follower: usize,
    /// The machine that returned with an empty disk.
    wiped: usize,
    request: ReplaceRequest,
}

fn lose_disk_of_follower(seed: u64) -> Loss {
    let mut cluster = Cluster::bootstrapped_of(4, seed, NO_SNAPSHOTS);
    for version in 2..6 {
        let reply = cluster.ask_leader(&RequestBody::Publish(signed(version, 1)));
        assert!(matches!(reply, ReplyBody::Publish(_)), "{reply:?}");
    }
    let leader = cluster.settle();
    let [wiped, follower] = [(leader + 1) % 3, (leader + 2) % 3];
    let lost = cluster.address(wiped).replica;
    cluster.restart_wiped(wiped);
    let request = ReplaceRequest {
        lost,
        replacement: cluster.address(wiped),
    };
    Loss {
        cluster,
        leader,
        follower,
        wiped,
        request,
    }
}

fn membership(cluster: &Cluster, machine: usize) -> Membership {
    cluster.node(machine).replica().membership().clone()
}

/// Whether the replacement is complete: three voters, no learner, and the new replica has the log.
fn is_replaced(cluster: &Cluster, leader: usize, request: &ReplaceRequest) -> bool {
    let members = membership(cluster, leader);
    let new = ReplicaId(request.replacement.replica);
    let is_in_place = members.voters.contains(&new)
        && !members.contains(ReplicaId(request.lost))
        && members.voters.len() == 3
        && members.learners.is_empty();
    let replica = cluster.node(leader).replica();
    let has_all = replica.id() == new || replica.match_index(new) >= Some(replica.commit_index());
    is_in_place && has_all
}

/// The leader restarts at various times after the command. Either the command is lost or the next
/// leader finishes the replacement.
#[test]
fn replacement_continues_after_a_leader_restart_at_any_time() {
    let mut finished = 0;
    let mut under_way = 0;
    for step in 0..120 {
        let mut loss = lose_disk_of_follower(31);
        let before = membership(&loss.cluster, loss.leader);
        loss.cluster
            .send(loss.leader, RequestBody::Replace(loss.request.clone()));
        loss.cluster.run(Duration::from_millis(step));
        let membership_at_restart = membership(&loss.cluster, loss.leader);
        let was_under_way =
            membership_at_restart.voters.len() == 2 || !membership_at_restart.learners.is_empty();
        loss.cluster.restart(loss.leader);
        loss.cluster.run(Duration::from_secs(3));
        let leader = loss.cluster.settle();
        let after = membership(&loss.cluster, leader);
        if is_replaced(&loss.cluster, leader, &loss.request) {
            finished += 1;
            under_way += u32::from(was_under_way);
        } else {
            assert!(!was_under_way, "step {step}: left half-way: {after:?}");
            assert_eq!(after.voters, before.voters, "step {step}");
        }
    }
    assert!(finished > 90, "{finished} of 120 were finished");
    assert!(under_way > 18, "{under_way} were half-way at the restart");
}

/// The new machine is cut off while every process of the group restarts.
#[test]
fn replacement_continues_after_a_restart_of_the_whole_group() {
    let mut loss = lose_disk_of_follower(32);
    loss.cluster.cut_off(loss.wiped);
    loss.cluster
        .send(loss.leader, RequestBody::Replace(loss.request.clone()));
    loss.cluster.run(Duration::from_secs(1));
    for machine in [loss.leader, loss.follower] {
        loss.cluster.restart(machine);
    }
    loss.cluster.run(Duration::from_secs(2));
    let leader = loss.cluster.settle();
    let waiting = membership(&loss.cluster, leader);
    assert!(
        waiting.contains(ReplicaId(loss.request.lost)),
        "the lost replica was removed before the new one had the log: {waiting:?}"
    );
    loss.cluster.heal();
    loss.cluster.run(Duration::from_secs(3));
    let leader = loss.cluster.settle();
    assert!(is_replaced(&loss.cluster, leader, &loss.request));
    // After a second loss the quorum depends on the new voter, which must have the whole log.
    loss.cluster.crash(loss.follower);
    let reply = loss.cluster.ask_leader(&RequestBody::Publish(signed(6, 1)));
    assert!(matches!(reply, ReplyBody::Publish(_)), "{reply:?}");
}

/// The new machine is lost before it has the log and is replaced by another one. A conflicting
/// replacement is refused meanwhile, also by the next leader.
#[test]
fn failed_new_replica_is_replaced_by_another() {
    let mut loss = lose_disk_of_follower(33);
    loss.cluster.cut_off(loss.wiped);
    loss.cluster
        .send(loss.leader, RequestBody::Replace(loss.request.clone()));
    loss.cluster.run(Duration::from_secs(1));
    loss.cluster.restart(loss.leader);
    loss.cluster.run(Duration::from_secs(1));
    let spare = loss.cluster.address(3);
    let conflicting = ReplaceRequest {
        lost: loss.request.lost,
        replacement: spare.clone(),
    };
    let reply = loss.cluster.ask_leader(&RequestBody::Replace(conflicting));
    assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
    let second_replacement = ReplaceRequest {
        lost: loss.request.replacement.replica,
        replacement: spare,
    };
    let reply = loss
        .cluster
        .ask_leader(&RequestBody::Replace(second_replacement.clone()));
    assert_eq!(reply, ReplyBody::Done);
    let leader = loss.cluster.settle();
    assert!(is_replaced(&loss.cluster, leader, &second_replacement));
    let members = membership(&loss.cluster, leader);
    assert!(
        !members.contains(ReplicaId(loss.request.lost)),
        "{members:?}"
    );
}

/// The lost machine returns while its replacement can't be reached. A request with the two exchanged
/// cancels the replacement.
#[test]
fn replacement_is_cancelled_by_naming_the_lost_replica_as_new() {
    let mut cluster = Cluster::bootstrapped_of(4, 34, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let cut = (leader + 1) % 3;
    let before = membership(&cluster, leader);
    let request = ReplaceRequest {
        lost: cluster.address(cut).replica,
        replacement: cluster.address(3),
    };
    cluster.cut_off(cut);
    cluster.cut_off(3);
    cluster.send(leader, RequestBody::Replace(request.clone()));
    cluster.run(Duration::from_secs(1));
    assert_eq!(membership(&cluster, leader).learners.len(), 1);
    cluster.heal();
    cluster.cut_off(3);
    let cancellation = ReplaceRequest {
        lost: request.replacement.replica,
        replacement: cluster.address(cut),
    };
    let reply = cluster.ask_leader(&RequestBody::Replace(cancellation));
    assert_eq!(reply, ReplyBody::Done);
    let leader = cluster.settle();
    assert_eq!(membership(&cluster, leader).voters, before.voters);
    assert!(membership(&cluster, leader).learners.is_empty());
    assert_eq!(cluster.node(leader).state().replacement(), None);
    // A further replacement can begin.
    cluster.heal();
    let reply = cluster.ask_leader(&RequestBody::Replace(request.clone()));
    assert_eq!(reply, ReplyBody::Done);
    let leader = cluster.settle();
    assert!(is_replaced(&cluster, leader, &request));
}

/// A healthy replica that leads is replaced by one on another machine.
#[test]
fn leader_that_is_to_be_replaced_transfers_leadership() {
    let mut cluster = Cluster::bootstrapped_of(4, 35, NO_SNAPSHOTS);
    let old = cluster.settle();
    let request = ReplaceRequest {
        lost: cluster.address(old).replica,
        replacement: cluster.address(3),
    };
    cluster.cut_off(3);
    let reply = cluster.ask(old, RequestBody::Replace(request.clone()));
    assert!(matches!(reply, ReplyBody::Unavailable(_)), "{reply:?}");
    cluster.run(Duration::from_secs(1));
    let next = cluster.settle();
    assert_ne!(next, old);
    cluster.send(next, RequestBody::Replace(request.clone()));
    cluster.run(Duration::from_secs(1));
    // Restarts other leaders until the old one leads again.
    let leads_again = (0..100).any(|_| {
        let leader = cluster.settle();
        if leader != old {
            cluster.restart(leader);
        }
        leader == old
    });
    assert!(leads_again, "the old leader was never elected again");
    cluster.run(Duration::from_secs(2));
    let leader = cluster.settle();
    assert_ne!(leader, old, "the replaced leader must transfer leadership");
    assert!(!is_replaced(&cluster, leader, &request));
    cluster.heal();
    cluster.run(Duration::from_secs(3));
    let leader = cluster.settle();
    assert!(is_replaced(&cluster, leader, &request));
}

#[test]
fn third_identity_of_a_machine_can_be_named_while_the_first_one_is_still_a_voter() {
    let mut loss = lose_disk_of_follower(36);
    loss.cluster
        .send(loss.leader, RequestBody::Replace(loss.request.clone()));
    loss.cluster.restart_wiped(loss.wiped);
    loss.cluster.run(Duration::from_secs(1));
    let third = ReplaceRequest {
        lost: loss.request.replacement.replica,
        replacement: loss.cluster.address(loss.wiped),
    };
    let reply = loss
        .cluster
        .ask_leader(&RequestBody::Replace(third.clone()));
    assert_eq!(reply, ReplyBody::Done);
    let leader = loss.cluster.settle();
    assert!(is_replaced(&loss.cluster, leader, &third));
    let members = membership(&loss.cluster, leader);
    assert!(!members.contains(ReplicaId(loss.request.lost)));
}
