//! Metrics of a node.

use super::{ControlNode, Heard, Now};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Timestamp;

/// Gauges and counters of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeMetrics {
    /// Whether this replica leads.
    pub is_leader: bool,
    /// Whether contact with a quorum is proven within the lease.
    pub has_quorum: bool,
    /// Whether the latest write failed because the disk was full.
    pub disk_full: bool,
    /// Current term.
    pub term: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// Index of the last entry in the latest snapshot.
    pub snapshot_index: u64,
    /// Bundle version in force.
    pub bundle_version: u64,
    /// Registered daemons.
    pub daemons: u64,
    /// Polls that wait for an update.
    pub polls_held: u64,
    /// Run-once operations in the ledger.
    pub operations_kept: u64,
    /// Entries proposed by this replica.
    pub proposals: u64,
    /// Polls and watches answered by this replica.
    pub polls_answered: u64,
    /// Bundle deltas computed by this replica.
    pub bundle_deltas_computed: u64,
    /// Polls answered with a bundle delta.
    pub bundle_deltas_sent: u64,
    /// Polls answered with a whole bundle.
    pub whole_bundles_sent: u64,
    /// Run-once requests decided by entries that this replica proposed.
    pub operations_decided: u64,
    /// Spares with a valid offer to this replica.
    pub spares: u64,
    /// Voters of the membership in force.
    pub voters: u64,
    /// Voters heard within the election time-out, with this replica. A follower hears only the leader
    /// regularly.
    pub voters_heard: u64,
    /// Learners of the membership in force.
    pub learners: u64,
    /// Milliseconds by this replica's wall clock since the log time at which the replacement in progress
    /// began; 0 if there is none.
    pub replacement_age_millis: u64,
    /// Committed entries that the new replica of the replacement in progress is not known to have synced;
    /// 0 unless this replica leads.
    pub replacement_entries_missing: u64,
}

/// Counters of [`NodeMetrics`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) proposals: u64,
    pub(super) polls_answered: u64,
    pub(super) operations_decided: u64,
}

impl ControlNode {
    /// Current values of the metrics.
    pub fn metrics(&self, now: Now) -> NodeMetrics {
        let membership = self.replica.membership();
        NodeMetrics {
            is_leader: self.is_leader(),
            has_quorum: self.has_quorum_at(now.monotonic),
            disk_full: self.is_disk_full(),
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
            spares: self.spares.offers.valid(now.monotonic).len() as u64,
            voters: membership.voters.len() as u64,
            voters_heard: self.voters_heard(now.monotonic),
            learners: membership.learners.len() as u64,
            replacement_age_millis: self.replacement_age_millis(now),
            replacement_entries_missing: self.replacement_entries_missing(),
        }
    }

    fn voters_heard(&self, now: Timestamp) -> u64 {
        let is_heard = |voter: &&ReplicaId| match self.heard(**voter, now) {
            Heard::Itself => true,
            Heard::Never => false,
            Heard::Ago(age) => age <= self.config.election,
        };
        let voters = self.replica.membership().voters.iter();
        voters.filter(is_heard).count() as u64
    }

    fn replacement_age_millis(&self, now: Now) -> u64 {
        if self.state.replacement().is_none() {
            return 0;
        }
        let begun = self.state.replacement_begun_unix_millis();
        now.unix_millis.saturating_sub(begun)
    }

    fn replacement_entries_missing(&self) -> u64 {
        let Some(replacement) = self.state.replacement().filter(|_| self.is_leader()) else {
            return 0;
        };
        let new = ReplicaId(replacement.new_replica().replica);
        let synced = self.replica.match_index(new).unwrap_or_default();
        self.replica.commit_index().0.saturating_sub(synced.0)
    }
}
