//! Addresses that replicas reported for themselves when they connected.
//!
//! A replica that was moved with its data keeps its identity, so that two addresses may be reported for it, in any order.
//! The log orders them: an entry with an address that was appended to this replica's log after a report replaces it. If
//! the report was the later one after all, its replica is still connected and its next message reports it again.

use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::{Entry, LogIndex, Term};
use std::collections::BTreeMap;

/// An entry of the log; a later entry is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryPosition {
    pub(super) term: Term,
    pub(super) index: LogIndex,
}

impl EntryPosition {
    pub(super) fn of(entry: &Entry) -> Self {
        Self {
            term: entry.term,
            index: entry.index,
        }
    }
}

#[derive(Debug)]
struct Reported {
    address: ReplicaAddress,
    /// Last entry of this replica's log at the time of the report.
    log_end: EntryPosition,
}

/// Reported addresses by replica.
#[derive(Debug, Default)]
pub(super) struct PeerAddresses(BTreeMap<u64, Reported>);

impl PeerAddresses {
    /// The address that a replica reported, unless the log has a later one.
    pub(super) fn get(&self, replica: u64) -> Option<&ReplicaAddress> {
        self.0.get(&replica).map(|reported| &reported.address)
    }

    /// Records a report that was made when `log_end` was the last entry of this replica's log.
    pub(super) fn report(&mut self, address: ReplicaAddress, log_end: EntryPosition) {
        let replica = address.replica;
        self.0.insert(replica, Reported { address, log_end });
    }

    /// Drops the reports of replicas whose address stands in the log at a position after the report.
    pub(super) fn replace_by_log(
        &mut self,
        position: EntryPosition,
        is_in_log: impl Fn(u64) -> bool,
    ) {
        self.0
            .retain(|replica, reported| position <= reported.log_end || !is_in_log(*replica));
    }
}
