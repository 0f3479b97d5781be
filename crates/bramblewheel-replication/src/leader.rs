//! Leader behaviour: rounds, proposals and reads.

use crate::error::NotLeader;
use crate::leadership::Leadership;
use crate::message::Message;
use crate::quorum::reached_by_quorum;
use crate::replica::Replica;
use crate::role::RoleState;
use crate::source::MessageSource;
use crate::types::{Entry, LogIndex, Payload, ProposalId, ReadId};
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
        self.release_removed();
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

    /// Starts a round of messages to all members, whose answers prove contact after the current time.
    fn begin_round(&mut self) {
        let now = self.now;
        let heartbeat_due = now + self.config.heartbeat_interval;
        let last_index = self.log.last_index();
        let commit = self.commit;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.begin_round(now, last_index);
        leadership.heartbeat_due = heartbeat_due;
        for progress in leadership.peers.values_mut() {
            progress.on_round_begun();
        }
        if commit >= leadership.first_index {
            let round = leadership.round;
            leadership.reads.begin_round(round, commit);
        }
    }

    /// Whether this replica leads and has had no contact with a quorum for an election time-out.
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
    /// A later output reports its result: committed, or undecided if leadership is lost first.
    ///
    /// # Errors
    /// [`NotLeader`] when this replica is not the leader or is transferring leadership; nothing was appended.
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

    /// Requests a linearizable read.
    ///
    /// Once a quorum has confirmed the leader in a round that begins after this call, a later
    /// output gives the entry up to which the state must be applied before it is read.
    ///
    /// # Errors
    /// [`NotLeader`] when this replica is not the leader.
    pub fn read(&mut self, now: Timestamp, id: ReadId) -> Result<(), NotLeader> {
        self.advance_clock(now);
        let not_leader = self.not_leader();
        let leadership = self.leadership_mut().ok_or(not_leader)?;
        leadership.reads.push(id);
        Ok(())
    }

    pub(crate) fn check_accepting(&self) -> Result<(), NotLeader> {
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

    pub(crate) fn append_proposal(&mut self, id: ProposalId, payload: Payload) {
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

    /// Sends all pending messages to the members; called once per output, so that inputs are batched.
    pub(crate) fn flush_leader(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        if leadership.reads.needs_round() && self.has_committed_own_term() {
            self.begin_round();
        }
        let term = self.hard_state.term;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let source = MessageSource {
            log: &self.log,
            commit: self.commit,
            round: leadership.round,
            max_entries: self.config.max_entries_per_message,
        };
        for (&peer, progress) in &mut leadership.peers {
            let bodies = source.take_pending(progress);
            let messages = bodies.into_iter().map(|body| Message { term, body });
            self.messages
                .extend(messages.map(|message| (peer, message)));
        }
        self.prompt_transfer_target();
    }
}
