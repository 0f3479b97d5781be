//! Checks after a run: a leader exists, and after all faults have ended all logs match.

use super::{Cluster, Faults};
use bramblewheel_replication::{Entry, ReplicaId};
use std::time::Duration;

impl Cluster {
    /// Runs until there is a leader with a quorum, for at most ten seconds.
    pub fn settle(&mut self) -> ReplicaId {
        for _ in 0..1000 {
            self.run(Duration::from_millis(10));
            let leader = self.leader();
            if let Some(leader) = leader.filter(|id| self.replica(*id).has_quorum(self.now)) {
                return leader;
            }
        }
        panic!("no leader with a quorum after ten seconds");
    }

    /// Ends all faults and checks that all members reach the same log.
    pub fn heal_and_check(&mut self) {
        self.faults = Faults::default();
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            if self.nodes[&id].replica.is_none() {
                self.start(id);
            } else if self.nodes[&id].frozen {
                self.thaw(id);
            }
        }
        self.run(Duration::from_secs(3));
        let leader = self.settle();
        self.propose(leader)
            .expect("a healthy leader accepts proposals");
        self.run(Duration::from_secs(1));
        let leader = self.settle();
        let commit = self.replica(leader).commit_index();
        assert_eq!(commit, self.replica(leader).last_index());
        assert!(
            commit >= self.highest_acknowledged,
            "acknowledged entries must stay committed"
        );
        for member in self.replica(leader).membership().members() {
            let replica = self.replica(member);
            assert_eq!(
                replica.commit_index(),
                commit,
                "{member:?} must have the whole log"
            );
            assert!(
                replica.has_quorum(self.now),
                "{member:?} must have a quorum"
            );
        }
        self.check_disks_agree();
    }

    /// Log matching: logs with an entry of the same index and term are identical up to it.
    fn check_disks_agree(&self) {
        let disks: Vec<_> = self.nodes.values().map(|node| &node.disk.entries).collect();
        for (left, right) in disks.iter().flat_map(|l| disks.iter().map(move |r| (l, r))) {
            let same = |a: &&Entry| right.iter().any(|b| (b.index, b.term) == (a.index, a.term));
            let Some(last) = left.iter().rev().find(same).map(|entry| entry.index) else {
                continue;
            };
            for entry in left.iter().filter(|entry| entry.index <= last) {
                let other = right.iter().find(|other| other.index == entry.index);
                assert!(other.is_none_or(|other| other == entry), "logs differ");
            }
        }
    }
}
