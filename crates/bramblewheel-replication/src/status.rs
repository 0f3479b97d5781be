//! Read-only status of a replica, for its driver, status pages and tests.

use crate::replica::Replica;
use crate::role::{Role, RoleState};
use crate::types::{LogIndex, Membership, ReplicaId, Term};
use bramblewheel_types::Timestamp;

impl Replica {
    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// Role of the replica in its term.
    pub fn role(&self) -> Role {
        match self.role {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
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

    /// Term of the last entry of the log, committed or not.
    pub fn last_term(&self) -> Term {
        self.log.last_term()
    }

    /// Index of the latest snapshot; 0 if there is none.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Membership in force, which may not be committed yet.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Index of the entry with the membership in force. If that entry is compacted, the index of an entry
    /// after it up to which the log is compacted.
    pub fn membership_index(&self) -> LogIndex {
        self.log.membership().0
    }

    /// Time at which the last message of another member was processed; `None` if there was none since the start.
    pub fn last_heard(&self, member: ReplicaId) -> Option<Timestamp> {
        self.last_heard.get(&member).copied()
    }

    /// Whether the membership in force is committed.
    pub fn membership_is_committed(&self) -> bool {
        self.log.membership().0 <= self.commit
    }

    /// Whether the replica has a membership that contains it.
    pub fn is_initialised(&self) -> bool {
        self.membership().contains(self.config.id)
    }

    /// Whether contact with a quorum is proven within the lease before `now`.
    ///
    /// A leader uses the start of the rounds that a quorum answered, a follower the tokens that the leader
    /// sent back after a quorum answered it. Messages that were waiting while this process was frozen prove no
    /// contact after the start of the freeze.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        let now = now.max(self.now);
        let contact = match &self.role {
            RoleState::Leader(_) => self.leader_quorum_contact(),
            _ => self.quorum_contact,
        };
        contact.is_some_and(|contact| contact + self.config.lease >= now)
    }
}
