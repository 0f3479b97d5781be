//! Reports changes of the members and of the replacement in progress as events.

use super::ControlNode;
use super::events::{MemberChange, NodeEvent, WaitReason};
use crate::report_limit::REPORT_INTERVAL;
use crate::state::Replacement;
use bramblewheel_replication::{LogIndex, Membership, ReplicaId, Term};

impl ControlNode {
    /// Reports how the membership of an applied entry differs from that of the entries before it.
    pub(super) fn report_membership(&mut self, term: Term, index: LogIndex, next: Membership) {
        let previous = std::mem::replace(&mut self.applied_membership, next);
        let members: Vec<ReplicaId> = self.applied_membership.members().collect();
        for replica in members {
            if let Some(change) = change_of(replica, &previous, &self.applied_membership) {
                self.report_member(replica, change, term, index);
            }
        }
        for replica in previous.members() {
            if !self.applied_membership.contains(replica) {
                self.report_member(replica, MemberChange::Removed, term, index);
            }
        }
    }

    fn report_member(
        &mut self,
        replica: ReplicaId,
        change: MemberChange,
        term: Term,
        index: LogIndex,
    ) {
        self.events.push(NodeEvent::MemberChanged {
            replica,
            change,
            term,
            index,
        });
    }

    /// Reports how an applied entry changed the replacement in progress, which was `previous` before it.
    pub(super) fn report_replacement(&mut self, previous: Option<&Replacement>, index: LogIndex) {
        let current = self.state.replacement();
        if current == previous {
            return;
        }
        let event = match (current, previous) {
            (Some(current), previous) => NodeEvent::ReplacementBegun {
                lost: current.lost().iter().copied().map(ReplicaId).collect(),
                new: current.new_replica().clone(),
                instead_of: previous.map(|previous| ReplicaId(previous.new_replica().replica)),
                index,
            },
            (None, Some(previous)) => NodeEvent::ReplacementEnded {
                new: ReplicaId(previous.new_replica().replica),
                index,
            },
            (None, None) => return,
        };
        self.events.push(event);
    }

    /// Reports why the replacement in progress waits, at most once per [`REPORT_INTERVAL`].
    pub(super) fn report_wait(&mut self, new: ReplicaId, reason: WaitReason) {
        let now = self.now.monotonic;
        let is_recent = |at| now.since(at) < REPORT_INTERVAL;
        if self.wait_reported.is_some_and(is_recent) {
            return;
        }
        self.wait_reported = Some(now);
        self.events
            .push(NodeEvent::ReplacementWaits { new, reason });
    }
}

/// How a member of `next` changed, if it did.
fn change_of(replica: ReplicaId, previous: &Membership, next: &Membership) -> Option<MemberChange> {
    let is_voter = next.voters.contains(&replica);
    if is_voter && !previous.voters.contains(&replica) {
        return Some(MemberChange::VoterAdded);
    }
    let is_new = !previous.contains(replica);
    (is_new && !is_voter).then_some(MemberChange::LearnerAdded)
}
