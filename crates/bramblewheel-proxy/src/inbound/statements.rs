//! Logs and counts what the local endpoint states of itself, and reports its draining to the control group.
//!
//! [`crate::local`] keeps the state. Statements that an endpoint repeats in each answer have no line; changes have one,
//! with a limit on their number.

use crate::dialect::{DrainStatement, EndpointStatement};
use crate::inbound::dispatch::id_text;
use crate::local::StatementChange;
use crate::shared::Shared;
use crate::wire::{AttemptResult, Handover};
use bramblewheel_decisions::endpoint_limit::{LimitChange, RateRefusal};
use bramblewheel_types::Millis;
use http::HeaderValue;
use http::response::Parts;

/// Most bytes of a value that can't be read that are logged.
const MAX_LOGGED_BYTES: usize = 32;

/// Adopts the endpoint's rate limit as the sender of a request knows it.
pub(super) fn adopt_limit(shared: &Shared, handover: &Handover, id: Option<&HeaderValue>) {
    let now = shared.clock.now();
    if let Some(change) = shared.local.adopt_limit(now, handover) {
        log_limit(shared, handover, id, change);
    }
}

/// Logs what follows from the endpoint's statement, and reports to the control group that it drains.
pub(super) fn record(
    shared: &Shared,
    handover: &Handover,
    id: &HeaderValue,
    head: &Parts,
    statement: EndpointStatement,
    change: StatementChange,
) {
    if let Some(change) = change.limit {
        log_limit(shared, handover, Some(id), change);
    }
    if let Some(record) = change.draining {
        slog::info!(shared.log, "endpoint drains by its answer"; "id" => id_text(id),
            "endpoint" => %handover.endpoint, "sequence" => record.sequence);
        shared.endpoint_updates.push(record);
    }
    let dialect = &shared.settings.dialect;
    if let Err(error) = statement.rate_limit {
        let value = head.headers.get(&dialect.rate_limit);
        log_invalid(shared, handover, id, &error.to_string(), value);
    }
    match statement.load {
        Ok(Some(load)) => {
            let percent = i64::from(load.work_percent);
            shared.metrics.stated_work_percent.set(percent);
        }
        Ok(None) => {}
        Err(error) => {
            let value = head.headers.get(&dialect.load);
            log_invalid(shared, handover, id, &error.to_string(), value);
        }
    }
    if statement.drain == DrainStatement::Invalid {
        let value = head.headers.get(&dialect.draining);
        log_invalid(shared, handover, id, "no drain notice", value);
    }
}

/// Logs and counts a request that is refused for the endpoint's rate limit; returns the result of the attempt.
pub(super) fn rate_limited(
    shared: &Shared,
    handover: &Handover,
    id: Option<&HeaderValue>,
    refusal: &RateRefusal,
) -> AttemptResult {
    let result = AttemptResult::RateLimited;
    shared.metrics.rate_limited.inc();
    slog::info!(shared.log, "not admitted"; "id" => id.map_or("", id_text),
        "endpoint" => %handover.endpoint, "reason" => result.as_str(), "rank" => handover.rank,
        "rate_limit" => %refusal.known.limit, "rate_limit_age_ms" => Millis::of(refusal.known.age).0,
        "next_token_ms" => Millis::of(refusal.next_token).0);
    result
}

fn log_limit(shared: &Shared, handover: &Handover, id: Option<&HeaderValue>, change: LimitChange) {
    let is_lifted = matches!(change, LimitChange::Lifted(_));
    shared
        .metrics
        .rate_limits_in_force
        .set(i64::from(!is_lifted));
    let now = shared.clock.now();
    let Some(left_out) = shared.statement_lines.count(now, change.as_str()) else {
        return;
    };
    let age = handover.known_limit.map(|known| Millis::of(known.age).0);
    let (before, limit) = match change {
        LimitChange::Stated(limit) | LimitChange::Adopted(limit) => (None, Some(limit)),
        LimitChange::Changed { before, now } => (Some(before), Some(now)),
        LimitChange::Lifted(before) => (Some(before), None),
    };
    let text = |limit: Option<bramblewheel_types::RateLimit>| limit.map(|limit| limit.to_string());
    slog::info!(shared.log, "endpoint rate limit"; "id" => id.map_or("", id_text),
        "endpoint" => %handover.endpoint, "change" => change.as_str(), "limit" => text(limit),
        "before" => text(before), "sender_age_ms" => age, "left_out" => left_out);
}

fn log_invalid(
    shared: &Shared,
    handover: &Handover,
    id: &HeaderValue,
    error: &str,
    value: Option<&HeaderValue>,
) {
    shared.metrics.invalid_statements.inc();
    let now = shared.clock.now();
    let Some(left_out) = shared.statement_lines.count(now, "invalid") else {
        return;
    };
    let bytes = value.map_or(&[][..], HeaderValue::as_bytes);
    let logged = &bytes[..bytes.len().min(MAX_LOGGED_BYTES)];
    slog::warn!(shared.log, "statement of the endpoint ignored"; "id" => id_text(id),
        "endpoint" => %handover.endpoint, "error" => error,
        "value" => %String::from_utf8_lossy(logged), "left_out" => left_out);
}
