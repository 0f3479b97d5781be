//! When each member of the group was last heard.

use super::ControlNode;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Timestamp;
use std::fmt;
use std::time::Duration;

/// A member of the group and the age of its last message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberContact {
    /// The member.
    pub replica: ReplicaId,
    /// Whether it is a voter; otherwise it is a learner.
    pub is_voter: bool,
    /// When it was heard.
    pub heard: Heard,
}

/// When a member was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is the replica that reports.
    Itself,
    /// Not since the replica that reports has started, or since the member was added.
    Never,
    /// This long ago.
    Ago(Duration),
}

impl fmt::Display for MemberContact {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_voter { "voter" } else { "learner" };
        write!(formatter, "{:016x}:{kind}:", self.replica.0)?;
        match self.heard {
            Heard::Itself => formatter.write_str("itself"),
            Heard::Never => formatter.write_str("never"),
            Heard::Ago(age) => write!(formatter, "{}ms", age.as_millis()),
        }
    }
}

impl ControlNode {
    /// Members of the group, voters first, with their last contact.
    pub(super) fn member_contacts(&self) -> Vec<MemberContact> {
        let membership = self.replica.membership();
        let contact_of = |replica: ReplicaId| MemberContact {
            replica,
            is_voter: membership.voters.contains(&replica),
            heard: self.heard(replica, self.now.monotonic),
        };
        membership.members().map(contact_of).collect()
    }

    pub(super) fn heard(&self, member: ReplicaId, now: Timestamp) -> Heard {
        if member == self.replica.id() {
            return Heard::Itself;
        }
        match self.replica.last_heard(member) {
            Some(at) => Heard::Ago(now.since(at)),
            None => Heard::Never,
        }
    }
}
