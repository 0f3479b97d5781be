//! A control replica as a pure state machine: the replicated log, the state derived from it, and the
//! requests and polls of clients.
//!
//! The driver passes any number of inputs, then calls [`take_output`](ControlNode::take_output)
//! until it is empty and executes each [`NodeOutput`] as described there. Inputs passed between two
//! outputs are batched: they share one log entry and one sync.

mod applying;
mod bootstrap;
mod bundle_updates;
mod clocks;
pub mod config;
mod continuation;
mod daemons;
pub mod durable;
mod election_events;
pub mod events;
pub mod full_disk;
mod group;
mod housekeeping;
mod inputs;
mod leases;
mod member_contact;
mod membership_events;
pub mod message;
mod metrics;
mod offers;
mod output;
mod peer_addresses;
mod polls;
mod proposals;
mod proposing;
mod quorum_events;
mod reading;
mod reads;
mod renewals;
mod replacement;
mod requests;
mod spares;
pub mod usage;
mod usage_events;
mod watches;

pub use config::{NodeConfig, Now};
pub use durable::Durable;
pub use events::NodeEvent;
pub use member_contact::{Heard, MemberContact};
pub use message::{Hello, OfferBasis, PeerMessage, Renewal, SpareOffer};
pub use metrics::NodeMetrics;
pub use output::{ClientRequestId, NodeOutput};
pub use spares::SparePolicy;
pub use usage_events::{MissingUsage, UsageSource};

use crate::state::{ControlState, MalformedState, Outcome};
use bramblewheel_protocol::control::{Registration, ReplyBody, Unavailable};
use bramblewheel_replication::{
    Membership, ProposalId, Replica, ReplicaConfig, ReplicaId, RestoredState, Role, Snapshot, Write,
};
use bramblewheel_types::Timestamp;
use bundle_updates::BundleUpdateCache;
use clocks::Clocks;
use election_events::ElectionReports;
use full_disk::DiskSpace;
use leases::Leases;
use metrics::Counters;
use peer_addresses::PeerAddresses;
use polls::HeldPolls;
use proposals::{Proposals, Queue};
use quorum_events::QuorumReports;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reads::Reads;
use renewals::PendingRenewals;
use replacement::WaitingClients;
use spares::Spares;
use std::collections::{BTreeMap, BTreeSet};
use usage::FleetUsage;
use usage_events::UsageReports;
use watches::HeldWatches;

/// Entries in one message between replicas at most.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// A control replica that does no I/O.
///
/// Invariants:
/// - a change is reported as done only once it is committed;
/// - a daemon is sent state only while contact with a quorum is proven within the lease, and never
///   state older than it has already seen;
/// - every request gets exactly one reply, unless the node is dropped first.
#[derive(Debug)]
pub struct ControlNode {
    config: NodeConfig,
    replica: Replica,
    state: ControlState,
    now: Now,
    is_stopping: bool,
    /// Whether route tables without signatures are accepted.
    accepts_unsigned_tables: bool,
    next_id: u64,
    queue: Queue,
    proposals: Proposals,
    outcomes: BTreeMap<u64, Outcome>,
    polls: HeldPolls,
    watches: HeldWatches,
    bundle_updates: BundleUpdateCache,
    reads: Reads,
    renewals: PendingRenewals,
    usage: FleetUsage,
    /// Replicas that read forwarded reports of daemons.
    usage_report_readers: BTreeSet<ReplicaId>,
    usage_reports: UsageReports,
    leases: Leases,
    clocks: Clocks,
    /// Leader that this replica has reported its clock to, and its term.
    clock_reported_to: Option<(ReplicaId, u64)>,
    replacement_clients: WaitingClients,
    /// New replica for which this leader has removed a voter.
    removed_voter_for: Option<ReplicaId>,
    spares: Spares,
    peer_addresses: PeerAddresses,
    /// Registrations to be reported to the leader with the next output.
    unreported_registrations: Vec<Registration>,
    messages: Vec<(ReplicaId, PeerMessage)>,
    replies: Vec<(ClientRequestId, ReplyBody)>,
    events: Vec<NodeEvent>,
    /// Membership of the last entry applied.
    applied_membership: Membership,
    /// Time of the latest event that a replacement waits.
    wait_reported: Option<Timestamp>,
    election_reports: ElectionReports,
    quorum_reports: QuorumReports,
    bootstrap_write: Option<Write>,
    own_snapshot: Option<Snapshot>,
    disk_space: DiskSpace,
    recorded_group: Option<u64>,
    housekeeping_due: Timestamp,
    exchange_due: Timestamp,
    counters: Counters,
}

impl ControlNode {
    /// Starts a node from the state that it had synced.
    ///
    /// # Errors
    /// [`MalformedState`] if the snapshot does not hold a valid state.
    pub fn new(
        config: NodeConfig,
        restored: RestoredState,
        now: Now,
    ) -> Result<Self, MalformedState> {
        let state = restored_state(&restored)?;
        let snapshot = restored.snapshot.as_ref();
        let applied_membership = snapshot.map(|snapshot| snapshot.membership.clone());
        let peer_addresses = group::addresses_in(&restored.entries);
        let next_id = first_id(config.seed);
        let replica = Replica::new(replica_config(&config), restored, now.monotonic);
        let mut node = Self {
            config,
            replica,
            state,
            now,
            is_stopping: false,
            accepts_unsigned_tables: false,
            next_id,
            queue: Queue::default(),
            proposals: Proposals::default(),
            outcomes: BTreeMap::new(),
            polls: HeldPolls::default(),
            watches: HeldWatches::default(),
            bundle_updates: BundleUpdateCache::default(),
            reads: Reads::default(),
            renewals: PendingRenewals::default(),
            usage: FleetUsage::new(now.monotonic),
            usage_report_readers: BTreeSet::new(),
            usage_reports: UsageReports::default(),
            leases: Leases::default(),
            clocks: Clocks::default(),
            clock_reported_to: None,
            replacement_clients: WaitingClients::default(),
            removed_voter_for: None,
            spares: Spares::default(),
            peer_addresses,
            unreported_registrations: Vec::new(),
            messages: Vec::new(),
            replies: Vec::new(),
            events: Vec::new(),
            applied_membership: applied_membership.unwrap_or_default(),
            wait_reported: None,
            election_reports: ElectionReports::default(),
            quorum_reports: QuorumReports::new(now.monotonic),
            bootstrap_write: None,
            own_snapshot: None,
            disk_space: DiskSpace::default(),
            recorded_group: None,
            housekeeping_due: now.monotonic,
            exchange_due: now.monotonic,
            counters: Counters::default(),
        };
        node.announce();
        Ok(node)
    }

    /// Returns what the driver must do now. Call until the output is empty.
    pub fn take_output(&mut self, now: Now) -> NodeOutput {
        self.now = now;
        if let Some(output) = self.output_without_space() {
            return output;
        }
        if let Some(write) = self.bootstrap_write.take() {
            return NodeOutput {
                write,
                joined_group: self.take_joined_group(),
                replies: std::mem::take(&mut self.replies),
                ..NodeOutput::default()
            };
        }
        self.report_quorum();
        self.propose_queued();
        self.report_clock_to_new_leader();
        self.forward_registrations();
        self.forward_reads();
        let output = self.replica.take_output();
        self.install_snapshot(output.installed_snapshot);
        let changes = self.apply(output.committed);
        self.reply_to_proposals(output.proposals);
        self.finish_reads(output.reads);
        self.report_elections(output.events);
        self.answer_polls(&changes);
        if changes.routing {
            self.answer_watches();
        }
        let own = output.messages.into_iter();
        let own = own.map(|(to, message)| (to, PeerMessage::Replication(Box::new(message))));
        NodeOutput {
            write: output.write,
            snapshot: self.own_snapshot.take(),
            joined_group: self.take_joined_group(),
            messages: own.chain(std::mem::take(&mut self.messages)).collect(),
            replies: std::mem::take(&mut self.replies),
            events: std::mem::take(&mut self.events),
        }
    }

    /// Reports that everything in the outputs taken so far is synced.
    pub fn persisted(&mut self, now: Now) {
        self.now = now;
        if self.note_synced() {
            self.replica.persisted();
            self.compact_if_due();
        }
    }

    /// Allows operators to replace the route table without a signature.
    pub fn accept_unsigned_tables(&mut self) {
        self.accepts_unsigned_tables = true;
    }

    fn fresh_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn fresh_proposal(&mut self) -> ProposalId {
        ProposalId(self.fresh_id())
    }

    fn is_leader(&self) -> bool {
        self.replica.role() == Role::Leader
    }

    fn has_quorum(&self) -> bool {
        self.has_quorum_at(self.now.monotonic)
    }

    /// Whether contact with a quorum is proven within the lease. Not while the disk is full: the replica then
    /// learns nothing of what the group decides.
    fn has_quorum_at(&self, now: Timestamp) -> bool {
        !self.is_disk_full() && self.replica.has_quorum(now)
    }

    fn reply(&mut self, id: ClientRequestId, body: ReplyBody) {
        self.replies.push((id, body));
    }

    fn reply_unavailable(&mut self, id: ClientRequestId, why: Unavailable) {
        self.note_unavailable(&why);
        self.reply(id, ReplyBody::Unavailable(why));
    }

    fn reply_not_leader(&mut self, id: ClientRequestId) {
        let leader = self.replica.leader();
        let leader = leader.filter(|leader| *leader != self.replica.id());
        let address = leader.and_then(|leader| self.member_address(leader));
        let why = Unavailable::NotLeader(address.map(|address| address.service));
        self.reply_unavailable(id, why);
    }

    /// The replicated state, as far as this replica has applied it.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The replica of the log, for status pages and tests.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }
}

/// State in the latest synced snapshot; the state before the first entry if there is no snapshot.
fn restored_state(restored: &RestoredState) -> Result<ControlState, MalformedState> {
    let data = restored.snapshot.as_ref().map(|s| s.data.as_slice());
    ControlState::decode(data.unwrap_or_default())
}

/// First id of reads and proposals. It differs at each start, so that a late reply to a read from
/// before a restart is not matched to a read after it.
fn first_id(seed: u64) -> u64 {
    let drawn: u64 = Pcg64Mcg::seed_from_u64(seed).random();
    // Leaves half of the range for ids to count up.
    drawn >> 1
}

fn replica_config(config: &NodeConfig) -> ReplicaConfig {
    ReplicaConfig {
        id: ReplicaId(config.address.replica),
        heartbeat_interval: config.heartbeat,
        election_timeout: config.election,
        lease: config.election,
        max_entries_per_message: MAX_ENTRIES_PER_MESSAGE,
        seed: config.seed,
        bootstrap: None,
    }
}
