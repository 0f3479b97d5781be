//! Reports when the sums of the requests admitted for tenants lack contributions, and when they are whole again.

use super::ControlNode;
use super::events::NodeEvent;
use crate::report_limit::REPORT_INTERVAL;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{DaemonId, Timestamp};
use std::fmt;
use std::time::Duration;

/// Missing contributions in one event at most.
const MAX_LISTED: usize = 8;

/// Who contributes to the sums.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// A replica, for the daemons that report to it.
    Replica(ReplicaId),
    /// A daemon.
    Daemon(DaemonId),
}

/// A contribution that is missing or old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingUsage {
    /// Whose it is.
    pub source: UsageSource,
    /// Age of its latest report; `None` if none is known.
    pub age: Option<Duration>,
}

impl fmt::Display for MissingUsage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            UsageSource::Replica(replica) => write!(formatter, "replica {:016x}:", replica.0)?,
            UsageSource::Daemon(daemon) => write!(formatter, "{daemon}:")?,
        }
        match self.age {
            Some(age) => write!(formatter, "{}ms", age.as_millis()),
            None => formatter.write_str("never"),
        }
    }
}

/// What was reported about the sums.
#[derive(Debug, Default)]
pub(super) struct UsageReports {
    incomplete_since: Option<Timestamp>,
    reported_at: Option<Timestamp>,
}

impl ControlNode {
    /// Reports a change of what the sums lack; called with every exchange.
    pub(super) fn report_usage_completeness(&mut self) {
        let now = self.now.monotonic;
        let mut missing = self.usage.missing().to_vec();
        let reports = &mut self.usage_reports;
        if missing.is_empty() {
            if let Some(since) = reports.incomplete_since.take() {
                let after = now.since(since);
                self.events.push(NodeEvent::UsageComplete { after });
            }
            return;
        }
        let is_recent = |at: Timestamp| now.since(at) < REPORT_INTERVAL;
        if reports.incomplete_since.is_some() || reports.reported_at.is_some_and(is_recent) {
            return;
        }
        reports.incomplete_since = Some(now);
        reports.reported_at = Some(now);
        let count = missing.len();
        missing.truncate(MAX_LISTED);
        self.events
            .push(NodeEvent::UsageIncomplete { missing, count });
    }
}
