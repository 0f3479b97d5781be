//! One replica of the log: its state, its inputs and what it tells about itself.

use crate::config::ReplicaConfig;
use crate::error::{CompactError, NotLeader};
use crate::leadership::Leadership;
use crate::log::Log;
use crate::message::{Body, ContactToken, Message};
use crate::output::{Output, ProposalResult, ReadResult};
use crate::persistence::Persistence;
use crate::types::{
    HardState, LogIndex, Membership, ProposalId, ReadId, ReplicaId, RestoredState, Snapshot, Term,
};
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// What a replica does in its term, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// Role with its state.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Box<Leadership>),
}

/// One replica of the log, without any input or output of its own.
///
/// The driver feeds any number of inputs ([`tick`](Self::tick), [`receive`](Self::receive),
/// [`propose`](Self::propose) and the like), then calls [`take_output`](Self::take_output) until
/// it is empty and does with each [`Output`] what is said there. Inputs in between are batched:
/// one sync serves them all.
///
/// Invariants:
/// - at most one leader per term;
/// - two logs with an entry of one index and term agree up to it;
/// - an entry handed out as committed is in the log of every later leader;
/// - entries are handed out once per start, in order and without gaps;
/// - nothing is promised to another replica that is not synced first, as long as the driver
///   sends the messages of an output only after its write;
/// - the clock is used for liveness only: no vote, commit or read relies on it.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) random: Pcg64Mcg,
    /// Tells the tokens of this start from those of earlier ones.
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
    /// Last message from a leader of the current term.
    pub(crate) leader_contact: Option<Timestamp>,
    /// Latest moment after which a leader with a quorum is proven to have been there.
    pub(crate) quorum_contact: Option<Timestamp>,
    pub(crate) election_due: Timestamp,
    pub(crate) messages: Vec<(ReplicaId, Message)>,
    pub(crate) installed_snapshot: Option<Snapshot>,
    pub(crate) proposal_results: Vec<(ProposalId, ProposalResult)>,
    pub(crate) read_results: Vec<(ReadId, ReadResult)>,
}

impl Replica {
    /// Starts a replica from what it had synced.
    ///
    /// With nothing restored and no bootstrap membership the replica neither campaigns nor votes
    /// until a leader sends it a membership that contains it. The state machine starts from
    /// `restored.snapshot`; entries after it are handed out again as they are known committed.
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
            leader_contact: None,
            quorum_contact: None,
            election_due: now,
            messages: Vec::new(),
            installed_snapshot: None,
            proposal_results: Vec::new(),
            read_results: Vec::new(),
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
        self.persistence.installed(snapshot);
    }

    /// Lets time pass; call at [`next_wakeup`](Self::next_wakeup) or more often.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_clock(now);
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_due && self.can_campaign() {
            self.start_pre_vote();
        }
    }

    /// Takes in a message of another replica.
    pub fn receive(&mut self, now: Timestamp, from: ReplicaId, message: Message) {
        self.advance_clock(now);
        if from == self.config.id {
            return;
        }
        if message.term > self.hard_state.term && !self.accept_term(&message) {
            return;
        }
        // A replica behind our term may still grant a pre-vote for the next one.
        let is_pre_vote = matches!(message.body, Body::PreVoteResponse { .. });
        if message.term < self.hard_state.term && !is_pre_vote {
            self.refuse_old_term(from, message);
            return;
        }
        self.dispatch(from, message);
    }

    fn dispatch(&mut self, from: ReplicaId, message: Message) {
        match message.body {
            Body::PreVoteRequest {
                candidate_term,
                last_index,
                last_term,
            } => self.on_pre_vote_request(from, candidate_term, last_index, last_term),
            Body::PreVoteResponse {
                candidate_term,
                granted,
            } => self.on_pre_vote_response(from, candidate_term, granted),
            Body::VoteRequest {
                last_index,
                last_term,
                transfer: _,
            } => self.on_vote_request(from, last_index, last_term),
            Body::VoteResponse { granted } => self.on_vote_response(from, granted),
            Body::Append { .. } => self.on_append(from, message.body),
            Body::InstallSnapshot { snapshot, round } => {
                self.on_install_snapshot(from, snapshot, round);
            }
            Body::AppendResponse {
                round,
                result,
                token,
            } => self.on_append_response(from, round, result, token),
            Body::TransferLeadership => self.on_transfer_leadership(from),
        }
    }

    /// Moves the clock; a leader that lost its quorum meanwhile steps down before anything else,
    /// also when the process was frozen.
    pub(crate) fn advance_clock(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        if self.leader_lost_quorum() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Takes over a higher term; `false` if the message must be ignored.
    fn accept_term(&mut self, message: &Message) -> bool {
        match &message.body {
            // Asks only; whoever loses a pre-vote must not raise our term.
            Body::PreVoteRequest { .. } => true,
            Body::VoteRequest { .. } if !self.is_initialised() => false,
            Body::VoteRequest { transfer, .. } if !transfer && self.hears_leader() => false,
            _ => {
                self.become_follower(message.term, None);
                true
            }
        }
    }

    /// Lets the sender of an older term know the current one.
    fn refuse_old_term(&mut self, from: ReplicaId, message: Message) {
        match message.body {
            Body::PreVoteRequest { candidate_term, .. } => {
                let granted = false;
                let body = Body::PreVoteResponse {
                    candidate_term,
                    granted,
                };
                self.send(from, body);
            }
            Body::VoteRequest { .. } => self.send(from, Body::VoteResponse { granted: false }),
            Body::Append { previous_index, .. } => self.refuse_append(from, 0, previous_index),
            Body::InstallSnapshot { snapshot, .. } => self.refuse_append(from, 0, snapshot.index),
            _ => {}
        }
    }

    /// What the driver must do now. Call until it is empty.
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
        }
    }

    /// The writes of all outputs taken so far are synced.
    pub fn persisted(&mut self) {
        self.persistence.persisted();
        self.advance_commit();
    }

    /// Takes a snapshot of the state machine, at an entry already handed out, in place of the
    /// entries up to it. The driver stores the result.
    ///
    /// # Errors
    /// [`CompactError`] when the entry is not applied and synced, or is compacted already.
    pub fn compact(
        &mut self,
        now: Timestamp,
        index: LogIndex,
        data: Vec<u8>,
    ) -> Result<Snapshot, CompactError> {
        self.advance_clock(now);
        let limit = self.delivered.min(self.persistence.synced());
        if index > limit {
            return Err(CompactError::NotApplied { index, limit });
        }
        if index <= self.log.snapshot_index() {
            let present = self.log.snapshot_index();
            return Err(CompactError::AlreadyCompacted(present));
        }
        Ok(self.log.compact(index, data))
    }

    /// Bytes of the commands that the log holds in memory.
    pub fn log_bytes(&self) -> usize {
        self.log.held_bytes()
    }

    /// When [`tick`](Self::tick) is due at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        match &self.role {
            RoleState::Leader(leadership) => leadership.heartbeat_due,
            _ if self.can_campaign() => self.election_due,
            _ => Timestamp::NEVER,
        }
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
        }
        let old = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leadership) = old {
            self.give_up(*leadership);
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Reports what a leader had accepted and can't see through.
    fn give_up(&mut self, leadership: Leadership) {
        let proposals = leadership.proposals.into_values();
        self.proposal_results
            .extend(proposals.map(|id| (id, ProposalResult::Undecided)));
        let reads = leadership.reads.into_pending();
        self.read_results
            .extend(reads.map(|id| (id, ReadResult::LeadershipLost)));
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let shortest = self.config.election_timeout;
        let micros = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.random.random_range(0..=micros);
        self.election_due = self.now + shortest + std::time::Duration::from_micros(jitter);
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

    fn can_campaign(&self) -> bool {
        self.membership().voters.contains(&self.config.id)
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// What the replica does in its term.
    pub fn role(&self) -> Role {
        match self.role {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Last entry of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Index of the latest snapshot; 0 if there is none.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Membership in force, which may not be committed yet.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Whether the membership in force is committed.
    pub fn membership_is_committed(&self) -> bool {
        self.log.membership().0 <= self.commit
    }

    /// Whether the replica knows a membership that contains it.
    pub fn is_initialised(&self) -> bool {
        self.membership().contains(self.config.id)
    }

    /// Whether contact with a quorum is proven within the lease before `now`.
    ///
    /// A leader goes by the start of the rounds that a quorum answered, a follower by the tokens
    /// that the leader sent back after a quorum answered it. Messages that waited while this process was frozen
    /// prove nothing newer than the freeze.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        let now = now.max(self.now);
        let contact = match &self.role {
            RoleState::Leader(_) => self.leader_quorum_contact(),
            _ => self.quorum_contact,
        };
        contact.is_some_and(|contact| contact + self.config.lease >= now)
    }
}

impl RestoredState {
    /// State of a first voter of a new group: the membership as a snapshot at index 1.
    pub fn bootstrap(membership: Membership) -> Self {
        let term = Term(1);
        let snapshot = Snapshot {
            index: LogIndex(1),
            term,
            membership,
            data: Vec::new(),
        };
        let hard_state = HardState {
            term,
            voted_for: None,
        };
        Self {
            hard_state,
            snapshot: Some(snapshot),
            entries: Vec::new(),
        }
    }
}
