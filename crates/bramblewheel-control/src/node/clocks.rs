//! Wall clocks of the voters, as reported to the leader. The time of proposals is derived from a majority of
//! them.

use super::ControlNode;
use super::message::PeerMessage;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A reading of a replica's wall clock, and the time at which it arrived.
#[derive(Clone, Copy, Debug)]
struct Reading {
    unix_millis: u64,
    received_at: Timestamp,
}

impl Reading {
    /// Lower bound of the clock's current time: the network delay to the leader is not added.
    fn current_millis(self, now: Timestamp) -> u64 {
        let passed = Millis::of(now.since(self.received_at)).0;
        self.unix_millis.saturating_add(passed)
    }
}

/// Wall clocks of other replicas.
#[derive(Debug, Default)]
pub(super) struct Clocks {
    readings: BTreeMap<ReplicaId, Reading>,
}

impl Clocks {
    /// Records a replica's report of its clock.
    pub(super) fn note(&mut self, replica: ReplicaId, unix_millis: u64, now: Timestamp) {
        let reading = Reading {
            unix_millis,
            received_at: now,
        };
        self.readings.insert(replica, reading);
    }

    /// Forgets the readings of replicas that are not voters.
    pub(super) fn retain_voters(&mut self, voters: &BTreeSet<ReplicaId>) {
        self.readings.retain(|replica, _| voters.contains(replica));
    }

    /// Latest time that the clocks of a majority of the voters have reached, in milliseconds since
    /// the Unix epoch; `None` while too few clocks are known.
    ///
    /// No minority of wrong clocks can move it ahead, and none can hold it back while the clocks of
    /// a majority of other voters are known.
    pub(super) fn majority_time(
        &self,
        own: (ReplicaId, u64),
        voters: &BTreeSet<ReplicaId>,
        now: Timestamp,
    ) -> Option<u64> {
        let times = voters.iter().filter_map(|voter| {
            if *voter == own.0 {
                return Some(own.1);
            }
            self.readings
                .get(voter)
                .map(|reading| reading.current_millis(now))
        });
        let mut times: Vec<u64> = times.collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        times.get(voters.len() / 2).copied()
    }
}

impl ControlNode {
    /// Reports this replica's clock to a new leader at once, since its first claims wait for it.
    pub(super) fn report_clock_to_new_leader(&mut self) {
        let leader = self.replica.leader();
        let leader = leader.map(|leader| (leader, self.replica.term().0));
        if leader != self.clock_reported_to {
            self.clock_reported_to = leader;
            self.report_clock();
        }
    }

    /// Reports this replica's clock to the leader.
    pub(super) fn report_clock(&mut self) {
        let leader = self.replica.leader();
        let Some(leader) = leader.filter(|leader| *leader != self.replica.id()) else {
            return;
        };
        let unix_millis = self.now.unix_millis;
        self.messages
            .push((leader, PeerMessage::Clock { unix_millis }));
    }
}
