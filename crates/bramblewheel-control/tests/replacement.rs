//! A replacement is carried on by whichever replica leads, without a second command.

mod support;

use bramblewheel_protocol::control::{ReplaceRequest, ReplyBody, RequestBody};
use bramblewheel_replication::{Membership, ReplicaId};
use std::time::Duration;
use support::cluster::Cluster;
use support::signed;

const MANY: u64 = 1_000_000;

/// A group of three that has lost the disk of one, and what replaces it. The fourth machine is
/// empty.
struct Loss {
    cluster: Cluster,
    leader: usize,
    /// The follower that still has its disk.
    follower: usize,
    /// The machine that came back empty.
    fresh: usize,
    request: ReplaceRequest,
}

fn lose_one(seed: u64) -> Loss {
    let mut cluster = Cluster::bootstrapped_of(4, seed, MANY);
    for version in 2..6 {
        let reply = cluster.ask_leader(&RequestBody::Publish(signed(version, 1)));
        assert!(matches!(reply, ReplyBody::Publish(_)), "{reply:?}");
    }
    let leader = cluster.settle();
    let [fresh, follower] = [(leader + 1) % 3, (leader + 2) % 3];
    let lost = cluster.address(fresh).replica;
    cluster.restart_wiped(fresh);
    let request = ReplaceRequest {
        lost,
        replacement: cluster.address(fresh),
    };
    Loss {
        cluster,
        leader,
        follower,
        fresh,
        request,
    }
}

fn membership(cluster: &Cluster, machine: usize) -> Membership {
    cluster.node(machine).replica().membership().clone()
}

/// Whether the replacement is whole: three voters, no learner, and the new one has the log.
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

/// The leader restarts at any moment after the command; either the command was lost with it or
/// the next leader finishes it.
#[test]
fn a_replacement_goes_on_after_a_restart_of_the_leader_at_any_moment() {
    let mut finished = 0;
    let mut under_way = 0;
    for step in 0..20 {
        let mut loss = lose_one(31);
        let before = membership(&loss.cluster, loss.leader);
        loss.cluster
            .send(loss.leader, RequestBody::Replace(loss.request.clone()));
        loss.cluster.run(Duration::from_millis(12 * step));
        let halfway = membership(&loss.cluster, loss.leader);
        let is_halfway = halfway.voters.len() == 2 || !halfway.learners.is_empty();
        loss.cluster.restart(loss.leader);
        loss.cluster.run(Duration::from_secs(3));
        let leader = loss.cluster.settle();
        let after = membership(&loss.cluster, leader);
        if is_replaced(&loss.cluster, leader, &loss.request) {
            finished += 1;
            under_way += u32::from(is_halfway);
        } else {
            assert!(!is_halfway, "step {step}: left half-way: {after:?}");
            assert_eq!(after.voters, before.voters, "step {step}");
        }
    }
    assert!(finished > 15, "{finished} of 20 were finished");
    assert!(under_way > 3, "{under_way} were half-way at the restart");
}

/// The new machine is silent while every process of the group restarts.
#[test]
fn a_replacement_goes_on_after_a_restart_of_the_whole_group() {
    let mut loss = lose_one(32);
    loss.cluster.cut_off(loss.fresh);
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
        "the lost one stays until the new one has the log: {waiting:?}"
    );
    loss.cluster.heal();
    loss.cluster.run(Duration::from_secs(3));
    let leader = loss.cluster.settle();
    assert!(is_replaced(&loss.cluster, leader, &loss.request));
    // A second loss right after: the new voter has the whole log.
    loss.cluster.crash(loss.follower);
    let reply = loss.cluster.ask_leader(&RequestBody::Publish(signed(6, 1)));
    assert!(matches!(reply, ReplyBody::Publish(_)), "{reply:?}");
}

/// The new machine is lost as well before it has the log: another takes its place, and a command
/// that says otherwise meanwhile is refused, by the next leader too.
#[test]
fn a_failed_replacement_is_itself_replaced() {
    let mut loss = lose_one(33);
    loss.cluster.cut_off(loss.fresh);
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
    let instead = ReplaceRequest {
        lost: loss.request.replacement.replica,
        replacement: spare,
    };
    let reply = loss
        .cluster
        .ask_leader(&RequestBody::Replace(instead.clone()));
    assert_eq!(reply, ReplyBody::Done);
    let leader = loss.cluster.settle();
    assert!(is_replaced(&loss.cluster, leader, &instead));
    let members = membership(&loss.cluster, leader);
    assert!(
        !members.contains(ReplicaId(loss.request.lost)),
        "{members:?}"
    );
}
