//! Commands that a leader has queued, and proposals that are not decided yet.

use super::output::ClientRequestId;
use crate::state::{Command, ExpiredDaemon};
use bramblewheel_protocol::control::{
    OperationRequest, Registration, ReplaceRequest, ReplicaAddress, SignedBundle,
};
use bramblewheel_protocol::routing::{ContentReport, EndpointRecord, ReplaceTable};
use bramblewheel_replication::ProposalId;
use bramblewheel_types::DaemonId;
use std::collections::{BTreeMap, BTreeSet};

/// Operations in one entry at most, unless a single request has more.
const MAX_OPERATIONS_PER_ENTRY: usize = 1024;
/// Operations queued or proposed but not yet decided, at most.
const MAX_OPERATIONS_WAITING: usize = 65_536;

/// Purpose of a proposal, with the clients that wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A client's publish.
    Publish(ClientRequestId),
    /// Clients' operations: the number of operations of each client, in order.
    Operations(Vec<(ClientRequestId, usize)>),
    /// Registrations and expiries of daemons.
    Directory,
    /// New addresses of a replica.
    Address(u64),
    /// A change of the membership.
    Membership,
    /// Beginning or end of a replacement.
    Replacement,
    /// A client's replacement of the route table.
    Table(ClientRequestId),
    /// Clients' registrations of endpoints, in order.
    Endpoints(Vec<ClientRequestId>),
    /// Clients' reports on contents, in order.
    Contents(Vec<ClientRequestId>),
}

/// Commands to propose with the next output, batched so that they share one sync.
#[derive(Debug, Default)]
pub(super) struct Queue {
    publishes: Vec<(ClientRequestId, SignedBundle)>,
    operations: Vec<(ClientRequestId, Vec<OperationRequest>)>,
    /// Total number of requests in `operations`.
    operation_count: usize,
    registrations: BTreeMap<DaemonId, Registration>,
    expired: BTreeSet<ExpiredDaemon>,
    addresses: BTreeMap<u64, ReplicaAddress>,
    replacement: Option<Command>,
    tables: Vec<(ClientRequestId, ReplaceTable)>,
    endpoints: Vec<(ClientRequestId, EndpointRecord)>,
    contents: Vec<(ClientRequestId, ContentReport)>,
    advances_log_time: bool,
}

impl Queue {
    pub(super) fn replace_table(&mut self, id: ClientRequestId, request: ReplaceTable) {
        self.tables.push((id, request));
    }

    pub(super) fn register_endpoint(&mut self, id: ClientRequestId, record: EndpointRecord) {
        self.endpoints.push((id, record));
    }

    pub(super) fn report_content(&mut self, id: ClientRequestId, report: ContentReport) {
        self.contents.push((id, report));
    }

    /// Queues an entry that advances log time even if there is no other command, so that quarantines can expire.
    pub(super) fn advance_log_time(&mut self) {
        self.advances_log_time = true;
    }

    pub(super) fn publish(&mut self, id: ClientRequestId, signed: SignedBundle) {
        self.publishes.push((id, signed));
    }

    pub(super) fn add_operations(&mut self, id: ClientRequestId, requests: Vec<OperationRequest>) {
        self.operation_count += requests.len();
        self.operations.push((id, requests));
    }

    pub(super) fn register(&mut self, registration: Registration) {
        let daemon = registration.daemon.clone();
        self.registrations.insert(daemon, registration);
    }

    pub(super) fn expire(&mut self, expired: ExpiredDaemon) {
        self.expired.insert(expired);
    }

    pub(super) fn record_address(&mut self, address: ReplicaAddress) {
        self.addresses.insert(address.replica, address);
    }

    pub(super) fn begin_replacement(&mut self, request: ReplaceRequest) {
        self.replacement = Some(Command::BeginReplacement(request));
    }

    pub(super) fn end_replacement(&mut self, new: u64) {
        self.replacement = Some(Command::EndReplacement(new));
    }

    pub(super) fn has_replacement(&self) -> bool {
        self.replacement.is_some()
    }

    /// Number of operations queued.
    pub(super) fn operation_count(&self) -> usize {
        self.operation_count
    }

    /// Takes the queued commands; operations stay queued unless `include_operations`.
    pub(super) fn take(&mut self, include_operations: bool) -> Vec<(Purpose, Command)> {
        let mut queue = std::mem::take(self);
        if !include_operations {
            self.operations = std::mem::take(&mut queue.operations);
            self.operation_count = queue.operation_count;
        }
        let mut commands = batches(queue.operations);
        for (id, signed) in queue.publishes {
            commands.push((Purpose::Publish(id), Command::Publish(signed)));
        }
        if !queue.registrations.is_empty() || !queue.expired.is_empty() {
            let command = Command::Directory {
                registered: queue.registrations.into_values().collect(),
                expired: queue.expired.into_iter().collect(),
            };
            commands.push((Purpose::Directory, command));
        }
        for (replica, address) in queue.addresses {
            commands.push((Purpose::Address(replica), Command::Address(address)));
        }
        if let Some(command) = queue.replacement {
            commands.push((Purpose::Replacement, command));
        }
        for (id, request) in queue.tables {
            commands.push((Purpose::Table(id), Command::ReplaceTable(request)));
        }
        if !queue.endpoints.is_empty() {
            let (ids, records) = queue.endpoints.into_iter().unzip();
            commands.push((Purpose::Endpoints(ids), Command::Endpoints(records)));
        }
        if !queue.contents.is_empty() || queue.advances_log_time {
            let (ids, reports) = queue.contents.into_iter().unzip();
            commands.push((Purpose::Contents(ids), Command::Contents(reports)));
        }
        commands
    }
}

fn batches(waiting: Vec<(ClientRequestId, Vec<OperationRequest>)>) -> Vec<(Purpose, Command)> {
    let mut commands = Vec::new();
    let mut parts = Vec::new();
    let mut batch = Vec::new();
    for (id, requests) in waiting {
        if !batch.is_empty() && batch.len() + requests.len() > MAX_OPERATIONS_PER_ENTRY {
            let parts = Purpose::Operations(std::mem::take(&mut parts));
            commands.push((parts, Command::Operations(std::mem::take(&mut batch))));
        }
        parts.push((id, requests.len()));
        batch.extend(requests);
    }
    if !parts.is_empty() {
        commands.push((Purpose::Operations(parts), Command::Operations(batch)));
    }
    commands
}

/// Proposals that are not decided yet.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    pending: BTreeMap<ProposalId, Purpose>,
    /// Registrations and expiries in `pending`, so that they are not proposed again meanwhile.
    registrations: BTreeMap<DaemonId, (ProposalId, Registration)>,
    expired: BTreeMap<ExpiredDaemon, ProposalId>,
    operations: usize,
}

impl Proposals {
    pub(super) fn add(&mut self, id: ProposalId, purpose: Purpose, command: &Command) {
        match command {
            Command::Operations(requests) => self.operations += requests.len(),
            Command::Directory {
                registered,
                expired,
            } => {
                for registration in registered {
                    let value = (id, registration.clone());
                    self.registrations
                        .insert(registration.daemon.clone(), value);
                }
                self.expired
                    .extend(expired.iter().map(|daemon| (daemon.clone(), id)));
            }
            Command::Publish(_)
            | Command::Address(_)
            | Command::BeginReplacement(_)
            | Command::EndReplacement(_)
            | Command::ReplaceTable(_)
            | Command::Endpoints(_)
            | Command::Contents(_) => {}
        }
        self.pending.insert(id, purpose);
    }

    pub(super) fn add_membership_change(&mut self, id: ProposalId) {
        self.pending.insert(id, Purpose::Membership);
    }

    pub(super) fn take_decided(&mut self, id: ProposalId) -> Option<Purpose> {
        let purpose = self.pending.remove(&id)?;
        match &purpose {
            Purpose::Operations(parts) => {
                let count: usize = parts.iter().map(|(_, count)| count).sum();
                self.operations -= count;
            }
            Purpose::Directory => {
                self.registrations
                    .retain(|_, (proposal, _)| *proposal != id);
                self.expired.retain(|_, proposal| *proposal != id);
            }
            Purpose::Publish(_)
            | Purpose::Address(_)
            | Purpose::Membership
            | Purpose::Replacement
            | Purpose::Table(_)
            | Purpose::Endpoints(_)
            | Purpose::Contents(_) => {}
        }
        Some(purpose)
    }

    pub(super) fn is_registering(&self, registration: &Registration) -> bool {
        let pending = self.registrations.get(&registration.daemon);
        pending.is_some_and(|(_, pending)| pending == registration)
    }

    pub(super) fn is_expiring(&self, expired: &ExpiredDaemon) -> bool {
        self.expired.contains_key(expired)
    }

    pub(super) fn is_recording_address(&self, replica: u64) -> bool {
        self.pending
            .values()
            .any(|purpose| *purpose == Purpose::Address(replica))
    }

    pub(super) fn has_membership(&self) -> bool {
        self.pending
            .values()
            .any(|purpose| *purpose == Purpose::Membership)
    }

    pub(super) fn has_replacement(&self) -> bool {
        self.pending
            .values()
            .any(|purpose| *purpose == Purpose::Replacement)
    }

    pub(super) fn has_capacity_for(&self, operations: usize) -> bool {
        self.operations + operations <= MAX_OPERATIONS_WAITING
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
