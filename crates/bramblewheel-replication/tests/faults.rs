//! Seeded runs with message loss, duplication, reordering, partitions, freezes, crashes and membership
//! changes. The harness checks the invariants throughout each run.

mod cluster;

use bramblewheel_replication::{MembershipChange, ProposalId, ReplicaId, RestoredState};
use cluster::{Cluster, Faults, id};
use rand::RngExt;
use std::time::Duration;

const SEEDS: u64 = 300;
const STEPS: u32 = 120;

fn any_node(cluster: &mut Cluster) -> ReplicaId {
    let ids: Vec<_> = cluster.nodes.keys().copied().collect();
    ids[cluster.random.random_range(0..ids.len())]
}

/// Proposes a random membership change, which may be refused.
fn change_membership(cluster: &mut Cluster, at: ReplicaId, step: u32) {
    let replica = any_node(cluster);
    let change = match cluster.random.random_range(0..3) {
        0 => MembershipChange::AddLearner {
            replica,
            description: Vec::new(),
        },
        1 => MembershipChange::PromoteLearner(replica),
        _ => MembershipChange::Remove(replica),
    };
    let proposal = ProposalId(u64::MAX - u64::from(step));
    cluster.with(at, |leader, now| {
        // At least three voters remain, so that the group has a quorum after the faults end.
        let is_removal = matches!(change, MembershipChange::Remove(_));
        if !is_removal || leader.membership().voters.len() > 3 {
            let _refused = leader.propose_membership(now, proposal, change);
        }
    });
}

fn inject_fault_or_load(cluster: &mut Cluster, step: u32) {
    let node = any_node(cluster);
    let target = cluster.leader().unwrap_or(node);
    match cluster.random.random_range(0..24) {
        0 => cluster.crash(node),
        1 | 2 if cluster.nodes[&node].replica.is_none() => cluster.start(node),
        3 => cluster.freeze(node),
        4 | 5 => cluster.thaw(node),
        6 => cluster.isolate(node),
        7 => {
            let other = any_node(cluster);
            cluster.cut.insert((node, other));
        }
        8 | 9 => cluster.cut.clear(),
        10 => cluster.compact(node),
        11 => {
            cluster.with(target, |replica, now| replica.transfer_leadership(now).ok());
        }
        12..=14 => change_membership(cluster, target, step),
        15..=17 => {
            cluster.read(node);
            cluster.read(target);
        }
        _ => {
            cluster.propose(node);
            cluster.propose(target);
        }
    }
}

fn run(seed: u64) {
    let mut cluster = Cluster::new(3, seed);
    cluster.add(id(4), RestoredState::default());
    cluster.add(id(5), RestoredState::default());
    cluster.faults = Faults {
        lost: 50,
        duplicated: 50,
        crash_before_sync: 1,
    };
    cluster.settle();
    for step in 0..STEPS {
        inject_fault_or_load(&mut cluster, step);
        let pause = cluster.random.random_range(1..120);
        cluster.run(Duration::from_millis(pause));
    }
    cluster.heal_and_check();
}

#[test]
fn invariants_hold_under_random_faults() {
    for seed in 0..SEEDS {
        run(seed);
    }
}
