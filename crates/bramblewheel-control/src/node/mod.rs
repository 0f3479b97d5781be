//! A control replica as a pure state machine: the replicated log, the state over it, and the
//! requests and polls of clients.
//!
//! The driver feeds any number of inputs, then calls [`take_output`](ControlNode::take_output)
//! until it is empty, doing with each [`NodeOutput`] what is said there. Inputs in between are
//! batched: one entry and one sync serve them all.

mod applying;
mod bootstrap;
mod bundle_news;
pub mod config;
mod daemons;
pub mod durable;
mod group;
mod housekeeping;
mod leases;
pub mod message;
mod output;
mod polls;
mod proposals;
mod reading;
mod reads;
mod replacement;
mod requests;

pub use config::{NodeConfig, Now};
pub use durable::Durable;
pub use message::{Hello, PeerMessage, Renewal};
pub use output::{ClientRequestId, NodeOutput};

use crate::state::{ControlState, LoggedCommand, MalformedState, Outcome};
use bramblewheel_protocol::control::{Registration, ReplicaAddress, ReplyBody, Unavailable};
use bramblewheel_replication::{
    ProposalId, Replica, ReplicaConfig, ReplicaId, RestoredState, Role, Snapshot, Write,
};
use bramblewheel_types::Timestamp;
use bundle_news::BundleNewsCache;
use leases::Leases;
use polls::HeldPolls;
use proposals::{Proposals, Purpose, Queue};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reads::Reads;
use replacement::Replacement;
use std::collections::BTreeMap;

/// Entries in one message between replicas.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

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
}

/// Counters of [`NodeMetrics`].
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    proposals: u64,
    polls_answered: u64,
    operations_decided: u64,
}

/// A control replica without any input or output of its own.
///
/// Invariants:
/// - a change is reported as done only once it is committed;
/// - no state is shown to a daemon unless contact with a quorum is proven within the lease, and
///   none older than the daemon has seen;
/// - every request gets one reply, unless the node is dropped first.
#[derive(Debug)]
pub struct ControlNode {
    config: NodeConfig,
    replica: Replica,
    state: ControlState,
    now: Now,
    is_stopping: bool,
    next_id: u64,
    queue: Queue,
    proposals: Proposals,
    outcomes: BTreeMap<u64, Outcome>,
    polls: HeldPolls,
    bundle_news: BundleNewsCache,
    reads: Reads,
    leases: Leases,
    replacement: Option<Replacement>,
    /// Addresses that replicas stated when they connected.
    introduced: BTreeMap<u64, ReplicaAddress>,
    /// Registrations the leader is to be told with the next output.
    untold_registrations: Vec<Registration>,
    messages: Vec<(ReplicaId, PeerMessage)>,
    replies: Vec<(ClientRequestId, ReplyBody)>,
    bootstrap_write: Option<Write>,
    own_snapshot: Option<Snapshot>,
    noted_group: Option<u64>,
    housekeeping_due: Timestamp,
    exchange_due: Timestamp,
    counters: Counters,
}

impl ControlNode {
    /// Starts a node from what it had synced.
    ///
    /// # Errors
    /// [`MalformedState`] when the snapshot holds no state of this program.
    pub fn new(
        config: NodeConfig,
        restored: RestoredState,
        now: Now,
    ) -> Result<Self, MalformedState> {
        let data = restored.snapshot.as_ref().map(|s| s.data.as_slice());
        let state = ControlState::decode(data.unwrap_or_default())?;
        let introduced = group::addresses_in(&restored.entries);
        let next_id = first_id(config.seed);
        let replica = Replica::new(replica_config(&config), restored, now.monotonic);
        let mut node = Self {
            config,
            replica,
            state,
            now,
            is_stopping: false,
            next_id,
            queue: Queue::default(),
            proposals: Proposals::default(),
            outcomes: BTreeMap::new(),
            polls: HeldPolls::default(),
            bundle_news: BundleNewsCache::default(),
            reads: Reads::default(),
            leases: Leases::default(),
            replacement: None,
            introduced,
            untold_registrations: Vec::new(),
            messages: Vec::new(),
            replies: Vec::new(),
            bootstrap_write: None,
            own_snapshot: None,
            noted_group: None,
            housekeeping_due: now.monotonic,
            exchange_due: now.monotonic,
            counters: Counters::default(),
        };
        node.announce();
        Ok(node)
    }

    /// Takes in a message of another replica.
    pub fn receive(&mut self, now: Now, from: ReplicaId, message: PeerMessage) {
        self.now = now;
        match message {
            PeerMessage::Replication(message) => {
                self.replica.receive(now.monotonic, from, *message);
            }
            PeerMessage::Announcement => {}
            PeerMessage::Registrations(registrations) => {
                // Never passed on: two replicas could send it to and fro.
                let registrations = registrations.into_iter().filter(|_| self.is_leader());
                for registration in registrations.collect::<Vec<_>>() {
                    self.note_registration(&registration);
                }
            }
            PeerMessage::Renewals(renewals) => {
                for renewal in renewals {
                    self.leases.renew(now.monotonic, renewal);
                }
            }
            PeerMessage::ReadRequest { id } => self.read_for(from, id),
            PeerMessage::ReadReply { id, index } => {
                self.reads.confirmed(id, index);
                self.finish_forwarded_reads();
            }
        }
    }

    /// A replica said where it is reached.
    pub fn introduce(&mut self, now: Now, address: ReplicaAddress) {
        self.now = now;
        self.introduced.insert(address.replica, address);
        if self.is_leader() {
            self.record_addresses();
        }
    }

    /// A client went away: its request needs no reply any more.
    pub fn forget(&mut self, id: ClientRequestId) {
        self.polls.remove(id);
    }

    /// Begins a planned stop: hands leadership over and sends waiting daemons to other replicas.
    pub fn stop(&mut self, now: Now) {
        self.now = now;
        self.is_stopping = true;
        // Without a target the others elect one after their timeout.
        let _ = self.replica.transfer_leadership(now.monotonic);
        for id in self.polls.all() {
            self.polls.remove(id);
            self.unavailable(id, Unavailable::Stopping);
        }
    }

    /// Whether the process may end without cutting anything short.
    pub fn has_handed_over(&self) -> bool {
        self.is_stopping && !self.is_leader() && self.proposals.is_empty()
    }

    /// What the driver must do now. Call until it is empty.
    pub fn take_output(&mut self, now: Now) -> NodeOutput {
        self.now = now;
        if let Some(write) = self.bootstrap_write.take() {
            return NodeOutput {
                write,
                joined_group: self.newly_joined(),
                replies: std::mem::take(&mut self.replies),
                ..NodeOutput::default()
            };
        }
        self.propose_queued();
        self.forward_registrations();
        self.forward_reads();
        let output = self.replica.take_output();
        self.install(output.installed_snapshot);
        let changes = self.apply(output.committed);
        self.settle(output.proposals);
        self.finish_reads(output.reads);
        self.answer_polls(&changes);
        let own = output.messages.into_iter();
        let own = own.map(|(to, message)| (to, PeerMessage::Replication(Box::new(message))));
        NodeOutput {
            write: output.write,
            snapshot: self.own_snapshot.take(),
            joined_group: self.newly_joined(),
            messages: own.chain(std::mem::take(&mut self.messages)).collect(),
            replies: std::mem::take(&mut self.replies),
        }
    }

    /// What the outputs taken so far asked for is synced.
    pub fn persisted(&mut self, now: Now) {
        self.now = now;
        self.replica.persisted();
        self.compact_if_due();
    }

    /// Proposes what was queued; one entry for all operations and one for all daemons.
    fn propose_queued(&mut self) {
        for (purpose, command) in self.queue.take() {
            let id = self.fresh_proposal();
            let logged = LoggedCommand {
                proposed_at_unix_millis: self.now.unix_millis,
                command,
            };
            let proposed = self
                .replica
                .propose(self.now.monotonic, id, logged.encode());
            match proposed {
                Ok(()) => {
                    self.counters.proposals += 1;
                    self.proposals.opened(id, purpose, &logged.command);
                }
                Err(_) => self.refuse_as_follower(&purpose),
            }
        }
    }

    fn refuse_as_follower(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Publish(id) => self.not_leader(*id),
            Purpose::Operations(parts) => {
                for (id, _) in parts {
                    self.not_leader(*id);
                }
            }
            // Found to be missing again with the next poll.
            Purpose::Directory | Purpose::Address(_) | Purpose::Membership => {}
        }
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
        self.replica.has_quorum(self.now.monotonic)
    }

    fn reply(&mut self, id: ClientRequestId, body: ReplyBody) {
        self.replies.push((id, body));
    }

    fn unavailable(&mut self, id: ClientRequestId, why: Unavailable) {
        self.reply(id, ReplyBody::Unavailable(why));
    }

    fn not_leader(&mut self, id: ClientRequestId) {
        let leader = self.replica.leader();
        let leader = leader.filter(|leader| *leader != self.replica.id());
        let address = leader.and_then(|leader| self.member_address(leader));
        let why = Unavailable::NotLeader(address.map(|address| address.service));
        self.unavailable(id, why);
    }

    /// The replicated state as far as it is applied here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The replica of the log, for status pages and tests.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

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
            bundle_deltas_computed: self.bundle_news.counts.deltas_computed,
            bundle_deltas_sent: self.bundle_news.counts.deltas_sent,
            whole_bundles_sent: self.bundle_news.counts.whole_sent,
            operations_decided: self.counters.operations_decided,
        }
    }
}

/// Where the names of reads and proposals begin: at each start elsewhere, so that a late answer to a
/// read before a restart is not taken for the answer to one after it.
fn first_id(seed: u64) -> u64 {
    let drawn: u64 = Pcg64Mcg::seed_from_u64(seed).random();
    // Half of the numbers are left to count on.
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
