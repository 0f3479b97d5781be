//! Seeded network between the replicas, with delay, loss, duplication and partitions.

use super::Cluster;
use bramblewheel_replication::{Message, ReplicaId};
use bramblewheel_types::Timestamp;
use rand::RngExt;
use std::time::Duration;

impl Cluster {
    /// Returns `true` with a probability given per thousand.
    pub fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1000) < per_thousand
    }

    pub(super) fn transmit(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        to: ReplicaId,
        message: Message,
    ) {
        if self.chance(self.faults.duplicated) {
            self.enqueue(now, from, to, message.clone());
        }
        if !self.chance(self.faults.lost) {
            self.enqueue(now, from, to, message);
        }
    }

    fn enqueue(&mut self, now: Timestamp, from: ReplicaId, to: ReplicaId, message: Message) {
        let delay = Duration::from_micros(self.random.random_range(200..8_000));
        self.sequence += 1;
        let key = (now + delay, self.sequence);
        self.network.insert(key, (from, to, message));
    }

    pub(super) fn deliver(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.frozen {
            node.waiting.push((from, message));
            return;
        }
        self.with(to, |replica, now| replica.receive(now, from, message));
    }
}
