//! Deviations of a group from the state that it should be in after its recovery.

use crate::support::cluster::Cluster;
use bramblewheel_replication::ReplicaId;
use std::collections::BTreeSet;
use std::fmt;

const VOTERS: usize = 3;

/// A deviation that remains after the time for recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Defect {
    NoLeader,
    /// A voter is an identity that no longer exists or whose machine is gone.
    DeadVoter,
    WrongNumberOfVoters,
    Learner,
    ReplacementInProgress,
    /// The replacement's new replica no longer exists.
    ReplacementByLostReplica,
    TableLost,
    ChangeNotAccepted,
    Panicked,
}

impl fmt::Display for Defect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Deviations of the membership from three living voters.
pub fn defects(cluster: &Cluster, leader: Option<usize>, living: &[usize]) -> BTreeSet<Defect> {
    let mut defects = BTreeSet::new();
    let Some(leader) = leader else {
        defects.insert(Defect::NoLeader);
        return defects;
    };
    let node = cluster.node(leader);
    let membership = node.replica().membership();
    let identity = |machine: &usize| ReplicaId(cluster.address(*machine).replica);
    let living: BTreeSet<_> = living.iter().map(identity).collect();
    if !membership.voters.is_subset(&living) {
        defects.insert(Defect::DeadVoter);
    }
    if membership.voters.len() != VOTERS {
        defects.insert(Defect::WrongNumberOfVoters);
    }
    if !membership.learners.is_empty() {
        defects.insert(Defect::Learner);
    }
    if let Some(replacement) = node.state().replacement() {
        let new = ReplicaId(replacement.new_replica().replica);
        defects.insert(if living.contains(&new) {
            Defect::ReplacementInProgress
        } else {
            Defect::ReplacementByLostReplica
        });
    }
    defects
}

/// The membership that each running machine knows.
pub fn describe(cluster: &Cluster, running: &[usize]) -> String {
    let mut text = String::new();
    for machine in running {
        let node = cluster.node(*machine);
        let replica = node.replica();
        let membership = replica.membership();
        text += &format!(
            "  machine {machine} as {:x}: {:?}, term {}, voters {:x?}, learners {:x?}, commit {}, replacement {:x?}\n",
            replica.id().0,
            replica.role(),
            replica.term().0,
            membership.voters.iter().map(|id| id.0).collect::<Vec<_>>(),
            membership
                .learners
                .iter()
                .map(|id| id.0)
                .collect::<Vec<_>>(),
            replica.commit_index().0,
            node.state()
                .replacement()
                .map(|r| (r.lost().clone(), r.new_replica().replica)),
        );
    }
    text
}
