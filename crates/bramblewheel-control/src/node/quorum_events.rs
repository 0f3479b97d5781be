//! Reports the loss of the quorum, its return, and requests that were refused without one.

use super::ControlNode;
use super::events::NodeEvent;
use crate::report_limit::REPORT_INTERVAL;
use bramblewheel_protocol::control::Unavailable;
use bramblewheel_types::Timestamp;

/// What was reported about the quorum.
#[derive(Debug)]
pub(super) struct QuorumReports {
    /// Whether the latest report says that there is a quorum.
    has_quorum: bool,
    /// Time since which there is a quorum or none, as far as it was reported.
    changed_at: Timestamp,
    lost_at: Option<Timestamp>,
    regained_at: Option<Timestamp>,
    /// Requests refused since the latest report of them.
    refused: u64,
    refused_reported_at: Option<Timestamp>,
}

impl QuorumReports {
    /// Begins without a quorum.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            has_quorum: false,
            changed_at: now,
            lost_at: None,
            regained_at: None,
            refused: 0,
            refused_reported_at: None,
        }
    }

    /// Counts a request that was refused.
    pub(super) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Records a change of the quorum. Returns whether it is to be reported: a change of the same kind was
    /// not within the last [`REPORT_INTERVAL`].
    fn note(&mut self, has_quorum: bool, now: Timestamp) -> bool {
        let last = if has_quorum {
            &mut self.regained_at
        } else {
            &mut self.lost_at
        };
        if has_quorum == self.has_quorum || is_recent(*last, now) {
            return false;
        }
        *last = Some(now);
        self.has_quorum = has_quorum;
        true
    }

    /// Takes the number of refused requests if a report is due.
    fn take_refused(&mut self, now: Timestamp) -> Option<u64> {
        if self.refused == 0 || is_recent(self.refused_reported_at, now) {
            return None;
        }
        self.refused_reported_at = Some(now);
        Some(std::mem::take(&mut self.refused))
    }
}

fn is_recent(at: Option<Timestamp>, now: Timestamp) -> bool {
    at.is_some_and(|at| now.since(at) < REPORT_INTERVAL)
}

impl ControlNode {
    /// Counts a reply that says that there is no quorum. A replica may have one and give this reply, because
    /// it is behind the state that a daemon has seen; such replies are not counted.
    pub(super) fn note_unavailable(&mut self, why: &Unavailable) {
        let lacks_quorum = matches!(why, Unavailable::NoQuorum | Unavailable::NotLeader(None));
        if lacks_quorum && !self.has_quorum() {
            self.quorum_reports.count_refused();
        }
    }

    /// Reports what has changed since the last call; called with every tick.
    pub(super) fn report_quorum(&mut self) {
        let now = self.now.monotonic;
        let has_quorum = self.has_quorum();
        if self.quorum_reports.note(has_quorum, now) {
            self.report_quorum_change(has_quorum);
        }
        if let Some(refused) = self.quorum_reports.take_refused(now) {
            self.events.push(NodeEvent::RequestsRefused {
                refused,
                term: self.replica.term(),
                leader: self.replica.leader(),
                members: self.member_contacts(),
            });
        }
    }

    fn report_quorum_change(&mut self, has_quorum: bool) {
        let now = self.now.monotonic;
        let since = std::mem::replace(&mut self.quorum_reports.changed_at, now);
        let term = self.replica.term();
        let leader = self.replica.leader();
        self.events.push(if has_quorum {
            NodeEvent::QuorumRegained {
                after: now.since(since),
                term,
                leader,
            }
        } else {
            NodeEvent::QuorumLost {
                term,
                leader,
                members: self.member_contacts(),
            }
        });
    }
}
