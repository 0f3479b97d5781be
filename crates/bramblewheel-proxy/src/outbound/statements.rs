//! Records what the daemon beside an endpoint reports of the endpoint's statements: that it drains, its rate limit, or
//! its load.
//!
//! This daemon obeys them by itself, whether or not the control group and the daemon beside the endpoint remember them.
//! The rule is in [`bramblewheel_decisions::directory`]. Appears in the log lines `endpoint drains` and `rate limit of
//! an endpoint`.

use crate::inbound::dispatch::id_text;
use crate::outbound::caller_request::CallerRequest;
use crate::wire::{AnswerReport, LimitReport};
use bramblewheel_decisions::directory::Directory;
use bramblewheel_decisions::endpoint_limit::LimitChange;
use bramblewheel_types::{DaemonId, EndpointId, Timestamp};

/// What is new about an endpoint.
#[derive(Debug, Default)]
pub(super) struct StatementNews {
    limit: Option<LimitChange>,
    has_begun_draining: bool,
}

/// Records the statements in the report on an attempt that began at `sent_at`.
pub(super) fn record_statements(
    directory: &mut Directory,
    now: Timestamp,
    endpoint: &EndpointId,
    sent_at: Timestamp,
    report: &AnswerReport,
) -> StatementNews {
    let stated = match report.rate_limit {
        None => None,
        Some(LimitReport::Unlimited) => Some(None),
        Some(LimitReport::Limited(known)) => Some(Some(known.limit)),
    };
    let limit = stated.and_then(|stated| directory.record_limit(now, sent_at, endpoint, stated));
    let has_begun_draining = report.is_draining && directory.record_drain(now, endpoint);
    StatementNews {
        limit,
        has_begun_draining,
    }
}

impl CallerRequest<'_> {
    /// Records the statements in the report of a daemon that counted as silent.
    pub(super) fn record_late_statements(
        &self,
        endpoint: &EndpointId,
        daemon: &DaemonId,
        sent_at: Timestamp,
        report: &AnswerReport,
    ) {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        if let Some(stated) = report.stated_load {
            let directory = &mut routing.directory;
            directory.record_stated_load(now, endpoint, stated);
        }
        let news = record_statements(&mut routing.directory, now, endpoint, sent_at, report);
        drop(routing);
        self.log_statements(endpoint, daemon, news);
    }

    /// Logs what is new about an endpoint, as told by the daemon beside it.
    pub(super) fn log_statements(
        &self,
        endpoint: &EndpointId,
        daemon: &DaemonId,
        news: StatementNews,
    ) {
        let log = &self.shared.log;
        if news.has_begun_draining {
            slog::info!(log, "endpoint drains"; "id" => id_text(&self.id),
                "endpoint" => %endpoint, "told_by" => %daemon);
        }
        let Some(change) = news.limit else {
            return;
        };
        let now = self.shared.clock.now();
        let Some(left_out) = self
            .shared
            .sender_statement_lines
            .count(now, change.as_str())
        else {
            return;
        };
        let limit = match change {
            LimitChange::Stated(limit) | LimitChange::Adopted(limit) => Some(limit),
            LimitChange::Changed { now, .. } => Some(now),
            LimitChange::Lifted(_) => None,
        };
        slog::info!(log, "rate limit of an endpoint"; "id" => id_text(&self.id),
            "endpoint" => %endpoint, "told_by" => %daemon, "change" => change.as_str(),
            "limit" => limit.map(|limit| limit.to_string()), "left_out" => left_out);
    }
}
