//! One replica of the log: state, start and outputs.
//!
//! The handling of inputs is in other modules: `step` (messages and time), `candidate`, `follower`,
//! `leader` and the modules they use; `status` reports the state to the driver. The driver must sync the
//! write of an [`Output`] before it sends the messages.

use crate::config::ReplicaConfig;
use crate::error::NotLeader;
use crate::events::Event;
use crate::log::Log;
use crate::message::{Body, ContactToken, Message};
use crate::output::{Output, ProposalResult, ReadResult};
use crate::persistence::Persistence;
use crate::role::RoleState;
use crate::types::{
    HardState, LogIndex, Membership, ProposalId, ReadId, ReplicaId, RestoredState, Snapshot,
};
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// One replica of the log, without any I/O of its own.
///
/// The driver passes any number of inputs ([`tick`](Self::tick), [`receive`](Self::receive),
/// [`propose`](Self::propose) and others), then calls [`take_output`](Self::take_output) until
/// it is empty and carries out each [`Output`] as described there. Inputs between outputs are batched
/// and share one sync.
///
/// Invariants:
/// - at most one leader per term;
/// - two logs with an entry of the same index and term are identical up to that entry;
/// - an entry handed out as committed is in the log of every later leader;
/// - entries are handed out once per start, in order and without gaps;
/// - no vote or acknowledgement is sent before the state it depends on is synced, provided that the driver
///   sends the messages of an output only after its write;
/// - the clock is used for liveness only: no vote, commit or read depends on it.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) random: Pcg64Mcg,
    /// Distinguishes the tokens of this start from those of earlier starts.
    pub(crate) session: u64,
    pub(crate) now: Timestamp,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) persistence: Persistence,
    pub(crate) commit: LogIndex,
    /// Last entry handed out as committed.
    pub(crate) delivered: LogIndex,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    /// Time of the last message of each member.
    pub(crate) last_heard: BTreeMap<ReplicaId, Timestamp>,
    /// Time of the last message from a leader of the current term.
    pub(crate) leader_contact: Option<Timestamp>,
    /// Latest time after which a leader is proven to have had contact with a quorum.
    pub(crate) quorum_contact: Option<Timestamp>,
    pub(crate) election_due: Timestamp,
    pub(crate) messages: Vec<(ReplicaId, Message)>,
    pub(crate) installed_snapshot: Option<Snapshot>,
    pub(crate) proposal_results: Vec<(ProposalId, ProposalResult)>,
    pub(crate) read_results: Vec<(ReadId, ReadResult)>,
    pub(crate) events: Vec<Event>,
}

impl Replica {
    /// Starts a replica from its synced state.
    ///
    /// Without restored state or a bootstrap membership, the replica neither starts elections nor votes
    /// until a leader sends it a membership that contains it. The state machine starts from
    /// `restored.snapshot`; entries after it are handed out again once they are known to be committed.
    pub fn new(config: ReplicaConfig, restored: RestoredState, now: Timestamp) -> Self {
        let is_new = restored == RestoredState::default();
        let bootstrap = config.bootstrap.clone().filter(|_| is_new);
        let mut random = Pcg64Mcg::seed_from_u64(config.seed ^ config.id.0);
        let session = random.random_range(0..=u64::MAX);
        let start = restored
            .snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.index);
        let log = Log::new(restored.snapshot, restored.entries);
        let mut replica = Self {
            persistence: Persistence::new(log.last_index(), restored.hard_state),
            hard_state: restored.hard_state,
            log,
            commit: start,
            delivered: start,
            config,
            random,
            session,
            now,
            role: RoleState::Follower,
            leader: None,
            last_heard: BTreeMap::new(),
            leader_contact: None,
            quorum_contact: None,
            election_due: now,
            messages: Vec::new(),
            installed_snapshot: None,
            proposal_results: Vec::new(),
            read_results: Vec::new(),
            events: Vec::new(),
        };
        if let Some(membership) = bootstrap {
            replica.bootstrap(membership);
        }
        replica.reset_election_timer();
        replica
    }

    fn bootstrap(&mut self, membership: Membership) {
        let state = RestoredState::bootstrap(membership);
        let snapshot = state.snapshot.expect("a bootstrap state has a snapshot");
        self.hard_state = state.hard_state;
        self.commit = snapshot.index;
        self.delivered = snapshot.index;
        self.log.install(snapshot.clone());
        self.persistence.on_install(snapshot);
    }

    /// Returns the actions for the driver; to be called until the output is empty.
    pub fn take_output(&mut self) -> Output {
        self.flush_leader();
        let committed = self.log.range(LogIndex(self.delivered.0 + 1), self.commit);
        let committed = committed.cloned().collect();
        self.delivered = self.commit;
        self.collect_ready_reads();
        Output {
            write: self.persistence.take_write(&self.log, self.hard_state),
            messages: std::mem::take(&mut self.messages),
            committed,
            installed_snapshot: self.installed_snapshot.take(),
            proposals: std::mem::take(&mut self.proposal_results),
            reads: std::mem::take(&mut self.read_results),
            events: std::mem::take(&mut self.events),
        }
    }

    /// Records that the writes of all outputs taken so far are synced.
    pub fn persisted(&mut self) {
        self.persistence.persisted();
        self.advance_commit();
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let term = self.hard_state.term;
        self.messages.push((to, Message { term, body }));
    }

    pub(crate) fn token(&self) -> ContactToken {
        ContactToken {
            session: self.session,
            at: self.now,
        }
    }

    pub(crate) fn not_leader(&self) -> NotLeader {
        NotLeader {
            leader: self.leader.filter(|leader| *leader != self.config.id),
        }
    }

    pub(crate) fn can_campaign(&self) -> bool {
        self.membership().voters.contains(&self.config.id)
    }
}
