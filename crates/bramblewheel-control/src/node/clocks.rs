//! Wall clocks of the voters, as a leader knows them.
//!
//! Owns the latest reading of each; the time of proposals is taken from a majority of them.

use super::ControlNode;
use super::message::PeerMessage;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// What a replica's wall clock showed, and when its report arrived.
#[derive(Clone, Copy, Debug)]
struct Reading {
    unix_millis: u64,
    received_at: Timestamp,
}

impl Reading {
    /// What the clock shows now, at least; the way to the leader is not counted.
    fn shows(self, now: Timestamp) -> u64 {
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
    /// Notes a replica's report of its clock.
    pub(super) fn note(&mut self, replica: ReplicaId, unix_millis: u64, now: Timestamp) {
        let reading = Reading {
            unix_millis,
            received_at: now,
        };
        self.readings.insert(replica, reading);
    }

    /// Forgets who is not a voter.
    pub(super) fn keep(&mut self, voters: &BTreeSet<ReplicaId>) {
        self.readings.retain(|replica, _| voters.contains(replica));
    }

    /// Latest time that the clocks of a majority of the voters have reached, in milliseconds since
    /// the Unix epoch; none while the clocks of too few are known.
    ///
    /// No minority can move it ahead, and none can hold it back as long as a majority beside it is
    /// known.
    pub(super) fn majority_time(
        &self,
        own: (ReplicaId, u64),
        voters: &BTreeSet<ReplicaId>,
        now: Timestamp,
    ) -> Option<u64> {
        let shown = voters.iter().filter_map(|voter| {
            if *voter == own.0 {
                return Some(own.1);
            }
            self.readings.get(voter).map(|reading| reading.shows(now))
        });
        let mut shown: Vec<u64> = shown.collect();
        shown.sort_unstable_by(|one, other| other.cmp(one));
        shown.get(voters.len() / 2).copied()
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
