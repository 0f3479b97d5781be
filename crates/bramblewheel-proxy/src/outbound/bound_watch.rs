//! Exports the use of the bound on retries in the metrics `bramblewheel_retry_bound_used` and
//! `bramblewheel_retry_bound_allowed`, and in the log line `retry bound` while anything is retried.

use crate::shared::Shared;
use bramblewheel_decisions::retry_budget::BoundUse;
use std::sync::Arc;
use std::time::Duration;

/// Time between two readings: a tenth of the shortest window in use, so that the approach to the bound is visible.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Reads the use of the bound periodically; never returns.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(READ_PERIOD);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        let uses = shared.routing().retry_bound.uses(now);
        for bound in &uses {
            shared.metrics.set_bound(bound);
            if bound.used() > 0.0 {
                log(&shared, bound);
            }
        }
    }
}

fn log(shared: &Shared, bound: &BoundUse) {
    slog::info!(shared.log, "retry bound"; "service" => %bound.service,
        "first_sends" => format_args!("{:.1}", bound.first_sends), "repeats" => bound.retries,
        "calls_of_repeats" => format_args!("{:.1}", bound.calls_of_retried_runs),
        "allowed" => format_args!("{:.1}", bound.allowed),
        "allowed_for_calls" => format_args!("{:.1}", bound.allowed_for_calls),
        "repeated_runs_here" => shared.metrics.retried_runs.get());
}
