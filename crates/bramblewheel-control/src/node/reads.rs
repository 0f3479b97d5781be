//! Pending quorum-checked reads.

use super::output::ClientRequestId;
use super::renewals::PendingRenewal;
use bramblewheel_protocol::control::{OperationRequest, PollRequest};
use bramblewheel_protocol::routing::WatchRequest;
use bramblewheel_replication::{ReadId, ReplicaId};
use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;

/// Origin of a read, with what is needed to answer it.
#[derive(Debug)]
pub(super) enum Reader {
    /// Poll of a daemon that has no bundle.
    Poll(ClientRequestId, Box<PollRequest>),
    /// The bundle in force.
    BundleStatus(ClientRequestId),
    /// Watch of a daemon that has no route table.
    Watch(ClientRequestId, Box<WatchRequest>),
    /// The route table in force.
    Table(ClientRequestId),
    /// Renewals of daemons' leases on the route table.
    Renewals(Vec<PendingRenewal>),
    /// States of operations.
    Operations(ClientRequestId, Vec<OperationRequest>),
    /// Read request of another replica.
    Replica {
        /// The replica.
        from: ReplicaId,
        /// Id that it gave the read.
        id: u64,
    },
}

/// A read request that this follower sent to the leader, for all reads gathered at the time.
#[derive(Debug)]
struct ForwardedRead {
    readers: Vec<Reader>,
    until: Timestamp,
    /// Entry that the state must include; `None` until the leader has replied.
    index: Option<u64>,
}

/// Reads that have not been answered yet.
#[derive(Debug, Default)]
pub(super) struct Reads {
    own: BTreeMap<ReadId, Reader>,
    /// Reads for the next request to the leader.
    gathered: Vec<Reader>,
    forwarded: BTreeMap<u64, ForwardedRead>,
}

impl Reads {
    pub(super) fn start(&mut self, id: ReadId, reader: Reader) {
        self.own.insert(id, reader);
    }

    pub(super) fn finish(&mut self, id: ReadId) -> Option<Reader> {
        self.own.remove(&id)
    }

    pub(super) fn gather(&mut self, reader: Reader) {
        self.gathered.push(reader);
    }

    pub(super) fn take_gathered(&mut self) -> Vec<Reader> {
        std::mem::take(&mut self.gathered)
    }

    pub(super) fn forward(&mut self, id: u64, readers: Vec<Reader>, until: Timestamp) {
        let read = ForwardedRead {
            readers,
            until,
            index: None,
        };
        self.forwarded.insert(id, read);
    }

    pub(super) fn confirmed(&mut self, id: u64, index: u64) {
        if let Some(read) = self.forwarded.get_mut(&id) {
            read.index = Some(index);
        }
    }

    /// Takes the forwarded reads that can be answered from a state that includes entry `applied`.
    pub(super) fn take_ready(&mut self, applied: u64) -> Vec<Reader> {
        self.take_forwarded(|read| read.index.is_some_and(|index| index <= applied))
    }

    /// Takes the forwarded reads that have timed out.
    pub(super) fn take_timed_out(&mut self, now: Timestamp) -> Vec<Reader> {
        self.take_forwarded(|read| read.until <= now)
    }

    fn take_forwarded(&mut self, is_selected: impl Fn(&ForwardedRead) -> bool) -> Vec<Reader> {
        let taken = self.forwarded.extract_if(.., |_, read| is_selected(read));
        taken.flat_map(|(_, read)| read.readers).collect()
    }
}
