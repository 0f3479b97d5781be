//! The leader's side: proposals, replication, commitment, reads and hand-over.

use crate::error::{MembershipError, NotLeader, TransferError};
use crate::leadership::{Departing, Leadership, Transfer};
use crate::membership::MembershipChange;
use crate::message::{AppendResult, Body, ContactToken, Message};
use crate::output::{ProposalResult, ReadResult};
use crate::progress::Progress;
use crate::quorum::reached_by_quorum;
use crate::replica::{Replica, RoleState};
use crate::source::Source;
use crate::types::{Entry, LogIndex, Payload, ProposalId, ReadId, ReplicaId};
use bramblewheel_types::Timestamp;

impl Replica {
    pub(crate) fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            RoleState::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            RoleState::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn become_leader(&mut self) {
        let first_index = LogIndex(self.log.last_index().0 + 1);
        let leadership = Leadership::new(self.now, first_index);
        self.role = RoleState::Leader(Box::new(leadership));
        self.leader = Some(self.config.id);
        self.sync_peers();
        self.append_own(Payload::Empty);
        self.begin_round();
    }

    pub(crate) fn tick_leader(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership
            .transfer
            .take_if(|transfer| transfer.deadline <= now);
        if leadership.heartbeat_due <= now {
            self.begin_round();
        }
    }

    /// Starts a round: a message to every member, whose answers prove contact after this moment.
    fn begin_round(&mut self) {
        let now = self.now;
        let heartbeat_due = now + self.config.heartbeat_interval;
        let last_index = self.log.last_index();
        let commit = self.commit;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.begin_round(now);
        leadership.heartbeat_due = heartbeat_due;
        for progress in leadership.peers.values_mut() {
            progress.new_round(last_index);
        }
        if commit >= leadership.first_index {
            let round = leadership.round;
            leadership.reads.begin_round(round, commit);
        }
    }

    /// Whether this is a leader that no quorum has answered for an election timeout.
    pub(crate) fn leader_lost_quorum(&self) -> bool {
        let Some(leadership) = self.leadership() else {
            return false;
        };
        let contact = reached_by_quorum(&self.membership().voters, |voter| {
            if voter == self.config.id {
                return self.now;
            }
            let progress = leadership.peers.get(&voter);
            let contact = progress.and_then(|progress| progress.last_contact);
            contact.unwrap_or_default().max(leadership.elected_at)
        });
        contact.is_none_or(|contact| contact + self.config.election_timeout < self.now)
    }

    /// Proposes a command.
    ///
    /// Its fate comes with a later output: committed, or undecided if leadership is lost first.
    ///
    /// # Errors
    /// [`NotLeader`] when this replica does not lead or is handing over; nothing was appended.
    pub fn propose(
        &mut self,
        now: Timestamp,
        id: ProposalId,
        command: Vec<u8>,
    ) -> Result<(), NotLeader> {
        self.advance_clock(now);
        self.check_accepting()?;
        self.append_proposal(id, Payload::Command(command));
        Ok(())
    }

    /// Proposes to change the membership by one replica.
    ///
    /// A promoted learner holds the whole log up to the start of the latest round; whether it
    /// holds the promotion itself tells [`match_index`](Self::match_index).
    ///
    /// # Errors
    /// [`MembershipError`] when the change is not possible now; nothing was appended.
    pub fn propose_membership(
        &mut self,
        now: Timestamp,
        id: ProposalId,
        change: MembershipChange,
    ) -> Result<(), MembershipError> {
        self.advance_clock(now);
        self.check_accepting()?;
        if !self.has_committed_own_term() {
            return Err(MembershipError::NotReady);
        }
        if !self.membership_is_committed() {
            return Err(MembershipError::ChangeInProgress);
        }
        let next = self.membership().changed(&change)?;
        if let MembershipChange::PromoteLearner(replica) = change {
            self.check_caught_up(replica)?;
        }
        self.append_proposal(id, Payload::Membership(next));
        if let MembershipChange::Remove(replica) = change {
            self.keep_departing(replica);
        }
        self.sync_peers();
        Ok(())
    }

    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), MembershipError> {
        let leadership = self.leadership().ok_or(self.not_leader())?;
        let progress = leadership
            .peers
            .get(&replica)
            .ok_or(MembershipError::UnknownReplica(replica))?;
        let answers_now = progress.acked_round + 1 >= leadership.round;
        if answers_now && progress.match_index >= progress.catch_up_target {
            return Ok(());
        }
        Err(MembershipError::NotCaughtUp {
            replica,
            synced: progress.match_index,
            wanted: progress.catch_up_target,
        })
    }

    /// Asks for a linearizable read.
    ///
    /// Once a quorum has confirmed the leader in a round that begins after this call, a later
    /// output says from which entry on the state may be read.
    ///
    /// # Errors
    /// [`NotLeader`] when this replica does not lead.
    pub fn read(&mut self, now: Timestamp, id: ReadId) -> Result<(), NotLeader> {
        self.advance_clock(now);
        let not_leader = self.not_leader();
        let leadership = self.leadership_mut().ok_or(not_leader)?;
        leadership.reads.push(id);
        Ok(())
    }

    /// Starts to hand leadership to the voter that has most of the log; returns that voter.
    ///
    /// Proposals are refused until it took over or an election timeout passed.
    ///
    /// # Errors
    /// [`TransferError`] when this replica does not lead or no other voter answers.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Result<ReplicaId, TransferError> {
        self.advance_clock(now);
        self.check_accepting()?;
        let target = self.transfer_target().ok_or(TransferError::NoTarget)?;
        let deadline = self.now + self.config.election_timeout;
        let leadership = self.leadership_mut().expect("checked to be the leader");
        leadership.transfer = Some(Transfer {
            target,
            deadline,
            told: false,
        });
        Ok(target)
    }

    fn transfer_target(&self) -> Option<ReplicaId> {
        let leadership = self.leadership()?;
        let voters = &self.membership().voters;
        let recent = |progress: &Progress| {
            let contact = progress.last_contact?;
            (contact + self.config.election_timeout >= self.now).then_some(progress.match_index)
        };
        let candidates = leadership
            .peers
            .iter()
            .filter(|(id, _)| voters.contains(id));
        candidates
            .filter_map(|(id, progress)| Some((recent(progress)?, *id)))
            .max()
            .map(|(_, id)| id)
    }

    fn check_accepting(&self) -> Result<(), NotLeader> {
        let Some(leadership) = self.leadership() else {
            return Err(self.not_leader());
        };
        match &leadership.transfer {
            Some(transfer) if transfer.deadline > self.now => Err(NotLeader {
                leader: Some(transfer.target),
            }),
            _ => Ok(()),
        }
    }

    /// Last entry that another member is known to have synced; `None` unless this is the leader.
    pub fn match_index(&self, replica: ReplicaId) -> Option<LogIndex> {
        let progress = self.leadership()?.peers.get(&replica)?;
        Some(progress.match_index)
    }

    fn append_proposal(&mut self, id: ProposalId, payload: Payload) {
        let index = self.append_own(payload);
        if let Some(leadership) = self.leadership_mut() {
            leadership.proposals.insert(index, id);
        }
    }

    fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = LogIndex(self.log.last_index().0 + 1);
        let term = self.hard_state.term;
        self.log.append(Entry {
            term,
            index,
            payload,
        });
        index
    }

    /// Makes the peers those of the membership in force.
    fn sync_peers(&mut self) {
        let own = self.config.id;
        let members: Vec<ReplicaId> = self
            .membership()
            .members()
            .filter(|id| *id != own)
            .collect();
        let last_index = self.log.last_index();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let departing = leadership.departing.as_ref().map(|gone| gone.replica);
        leadership
            .peers
            .retain(|id, _| members.contains(id) || departing == Some(*id));
        for member in members {
            let fresh = || Progress::new(last_index);
            leadership.peers.entry(member).or_insert_with(fresh);
        }
    }

    /// Goes on sending to a removed replica until it has the membership without it, so that it
    /// does not campaign.
    fn keep_departing(&mut self, replica: ReplicaId) {
        let index = self.log.last_index();
        if let Some(leadership) = self.leadership_mut() {
            leadership.departing = Some(Departing { replica, index });
        }
    }

    pub(crate) fn on_append_response(
        &mut self,
        from: ReplicaId,
        round: u64,
        result: AppendResult,
        token: ContactToken,
    ) {
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let start = leadership.round_start(round);
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        if let Some(start) = start {
            progress.answered(round, start, token);
        }
        match result {
            AppendResult::Matched { index } if index <= self.log.last_index() => {
                progress.matched(index);
            }
            AppendResult::Matched { .. } => {}
            AppendResult::Conflict {
                previous_index,
                hint_index,
                hint_term,
            } => {
                let (possible, _) = self.log.possible_match(hint_index, hint_term);
                progress.conflicted(round, previous_index, possible);
            }
        }
        self.release_departed();
        self.confirm_reads();
        self.advance_commit();
    }

    fn release_departed(&mut self) {
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let Some(Departing { replica, index }) = leadership.departing else {
            return;
        };
        let progress = leadership.peers.get(&replica);
        if progress.is_none_or(|progress| progress.match_index >= index) {
            leadership.departing = None;
            self.sync_peers();
        }
    }

    fn confirm_reads(&mut self) {
        let own = self.config.id;
        let voters = &self.log.membership().1.voters;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let current = leadership.round;
        let peers = &leadership.peers;
        let confirmed = reached_by_quorum(voters, |voter| match voter {
            voter if voter == own => current,
            voter => peers.get(&voter).map_or(0, |progress| progress.acked_round),
        });
        if let Some(round) = confirmed {
            leadership.reads.confirm(round);
        }
    }

    pub(crate) fn collect_ready_reads(&mut self) {
        self.confirm_reads();
        let applied = self.delivered;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let ready = leadership.reads.take_ready(applied);
        let ready = ready.into_iter();
        self.read_results
            .extend(ready.map(|(id, index)| (id, ReadResult::Ready { index })));
    }

    fn has_committed_own_term(&self) -> bool {
        self.leadership()
            .is_some_and(|leadership| self.commit >= leadership.first_index)
    }

    /// Commits what a quorum has synced. Only an entry of the own term is counted; those before
    /// it are committed with it.
    pub(crate) fn advance_commit(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let synced = self.persistence.synced();
        let reached = reached_by_quorum(&self.membership().voters, |voter| {
            if voter == self.config.id {
                return synced;
            }
            let progress = leadership.peers.get(&voter);
            progress.map_or(LogIndex(0), |progress| progress.match_index)
        });
        let Some(reached) = reached else {
            return;
        };
        if reached <= self.commit || self.log.term_at(reached) != Some(self.hard_state.term) {
            return;
        }
        self.commit = reached;
        self.report_committed();
        self.step_down_if_removed();
    }

    fn report_committed(&mut self) {
        let commit = self.commit;
        let term = self.hard_state.term;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some(first) = leadership.proposals.first_entry() {
            if *first.key() > commit {
                break;
            }
            let (index, id) = first.remove_entry();
            let result = ProposalResult::Committed { index, term };
            self.proposal_results.push((id, result));
        }
    }

    fn step_down_if_removed(&mut self) {
        let is_voter = self.membership().voters.contains(&self.config.id);
        if !is_voter && self.membership_is_committed() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Sends what the members lack; called once per output, so that inputs are batched.
    pub(crate) fn flush_leader(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        if leadership.reads.needs_round() && self.has_committed_own_term() {
            self.begin_round();
        }
        let echoes = self.has_quorum(self.now);
        let term = self.hard_state.term;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let source = Source {
            log: &self.log,
            commit: self.commit,
            round: leadership.round,
            max_entries: self.config.max_entries_per_message,
            echoes,
        };
        for (&peer, progress) in &mut leadership.peers {
            let bodies = source.missing(progress);
            let messages = bodies.into_iter().map(|body| Message { term, body });
            self.messages
                .extend(messages.map(|message| (peer, message)));
        }
        self.tell_transfer_target();
    }

    /// Tells the replica that takes over to campaign, once it has the whole log.
    fn tell_transfer_target(&mut self) {
        let last_index = self.log.last_index();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let target = transfer.target;
        let synced = leadership.peers.get(&target).map(|p| p.match_index);
        if transfer.told || synced != Some(last_index) {
            return;
        }
        transfer.told = true;
        self.send(target, Body::TransferLeadership);
    }
}
