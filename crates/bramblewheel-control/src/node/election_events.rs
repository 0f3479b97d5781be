//! Reports refused votes and elections without a quorum.

use super::ControlNode;
use super::events::NodeEvent;
use crate::report_limit::ReportLimit;
use bramblewheel_replication::{Ballot, Event, ReplicaId};

/// Kinds of events of elections, each of which is reported at most once per interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    VoteRefused(ReplicaId, Ballot),
    ElectionWithoutQuorum,
}

/// Limit on the reports of elections.
#[derive(Debug, Default)]
pub(super) struct ElectionReports(ReportLimit<Kind>);

impl ControlNode {
    /// Reports events of the replicated log.
    pub(super) fn report_elections(&mut self, events: Vec<Event>) {
        for event in events {
            let kind = match &event {
                Event::VoteRefused(refusal) => Kind::VoteRefused(refusal.candidate, refusal.ballot),
                Event::ElectionWithoutQuorum(_) => Kind::ElectionWithoutQuorum,
            };
            let admitted = self.election_reports.0.admit(kind, self.now.monotonic);
            let Some(without_line) = admitted else {
                continue;
            };
            self.events.push(match event {
                Event::VoteRefused(refusal) => NodeEvent::VoteRefused {
                    refusal,
                    without_line,
                },
                Event::ElectionWithoutQuorum(election) => NodeEvent::ElectionWithoutQuorum {
                    election,
                    without_line,
                },
            });
        }
    }
}
