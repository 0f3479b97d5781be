//! Shows what is used of the bound on repeated sends: in metrics, and in the log while anything is repeated.

use crate::shared::Shared;
use bramblewheel_decisions::retry_budget::BoundUse;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks: a tenth of the shortest window in use, so that a breach is seen to build up.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Looks at the bound for as long as the daemon runs; never returns.
pub async fn run(shared: Arc<Shared>) {
    let mut looks = tokio::time::interval(PROBE_PERIOD);
    loop {
        looks.tick().await;
        let now = shared.clock.now();
        let uses = shared.routing().retry_bound.uses(now);
        for bound in &uses {
            shared.metrics.show_bound(bound);
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
