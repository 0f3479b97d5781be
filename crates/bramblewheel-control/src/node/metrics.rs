//! Counts and sizes of a node.

use super::{ControlNode, Now};

/// Counts and sizes for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeMetrics {
    /// Whether this replica leads.
    pub is_leader: bool,
    /// Whether contact with a quorum is proven within the lease.
    pub has_quorum: bool,
    /// Current term.
    pub term: u64,
    /// Last entry applied.
    pub applied_index: u64,
    /// Entry of the latest snapshot.
    pub snapshot_index: u64,
    /// Bundle version in force.
    pub bundle_version: u64,
    /// Daemons registered.
    pub daemons: u64,
    /// Polls held.
    pub polls_held: u64,
    /// Run-once operations not forgotten.
    pub operations_kept: u64,
    /// Entries proposed here.
    pub proposals: u64,
    /// Polls answered here.
    pub polls_answered: u64,
    /// Bundle deltas computed here.
    pub bundle_deltas_computed: u64,
    /// Polls answered with a bundle delta.
    pub bundle_deltas_sent: u64,
    /// Polls answered with a whole bundle.
    pub whole_bundles_sent: u64,
    /// Run-once requests decided by entries proposed here.
    pub operations_decided: u64,
    /// Spares that offered themselves lately to this leader.
    pub spares: u64,
}

/// Counters of [`NodeMetrics`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) proposals: u64,
    pub(super) polls_answered: u64,
    pub(super) operations_decided: u64,
}

impl ControlNode {
    /// Counts and sizes for the metrics.
    pub fn metrics(&self, now: Now) -> NodeMetrics {
        NodeMetrics {
            is_leader: self.is_leader(),
            has_quorum: self.replica.has_quorum(now.monotonic),
            term: self.replica.term().0,
            applied_index: self.state.position().index,
            snapshot_index: self.replica.snapshot_index().0,
            bundle_version: self.state.bundles().version().0,
            daemons: self.state.directory().daemons().count() as u64,
            polls_held: self.polls.len() as u64,
            operations_kept: self.state.ledger().len() as u64,
            proposals: self.counters.proposals,
            polls_answered: self.counters.polls_answered,
            bundle_deltas_computed: self.bundle_updates.counts.deltas_computed,
            bundle_deltas_sent: self.bundle_updates.counts.deltas_sent,
            whole_bundles_sent: self.bundle_updates.counts.whole_sent,
            operations_decided: self.counters.operations_decided,
            spares: self.spares.fresh_offers(now.monotonic).count() as u64,
        }
    }
}
