//! Metrics in the OpenMetrics text format.

use crate::metrics::Metrics;
use bramblewheel_core::metrics::{Metrics as EngineMetrics, OutcomeCounters};
use bramblewheel_types::Criticality;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;

type Labels = Vec<(&'static str, &'static str)>;

/// Writes the metrics of the engine and the daemon, and the bundle version.
pub(super) fn write(engine: &EngineMetrics, daemon: &Metrics, bundle_version: u64) -> String {
    let mut registry = Registry::default();
    register_outcomes(&mut registry, engine);
    register_shed(&mut registry, engine);
    register_counters(&mut registry, engine);
    register_gauges(&mut registry, engine, bundle_version);
    daemon.register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string never fails");
    text
}

fn register_outcomes(registry: &mut Registry, engine: &EngineMetrics) {
    let by_outcome = Family::<Labels, Counter>::default();
    let by_reason = Family::<Labels, Counter>::default();
    let directions = [("outbound", &engine.outbound), ("inbound", &engine.inbound)];
    for (direction, counters) in directions {
        add_outcomes(&by_outcome, direction, counters);
        for (reason, count) in &counters.by_reason {
            let labels = vec![("direction", direction), ("reason", reason.as_str())];
            by_reason.get_or_create(&labels).inc_by(*count);
        }
    }
    let help = "Answers by outcome and criticality";
    registry.register("bramblewheel_answers", help, by_outcome);
    let help = "Not-run answers by reason";
    registry.register("bramblewheel_not_run", help, by_reason);
}

fn add_outcomes(
    family: &Family<Labels, Counter>,
    direction: &'static str,
    counters: &OutcomeCounters,
) {
    for ((outcome, criticality), count) in &counters.by_outcome {
        let labels = vec![
            ("direction", direction),
            ("outcome", *outcome),
            ("criticality", criticality.as_str()),
        ];
        family.get_or_create(&labels).inc_by(*count);
    }
}

fn register_shed(registry: &mut Registry, engine: &EngineMetrics) {
    let family = Family::<Labels, Counter>::default();
    add_shed(&family, "before-sending", &engine.shed_early);
    add_shed(&family, "queue", &engine.shed);
    let help = "Calls and attempts shed under overload";
    registry.register("bramblewheel_shed", help, family);
}

fn add_shed(
    family: &Family<Labels, Counter>,
    place: &'static str,
    shed: &BTreeMap<Criticality, u64>,
) {
    for (criticality, count) in shed {
        let labels = vec![("place", place), ("criticality", criticality.as_str())];
        family.get_or_create(&labels).inc_by(*count);
    }
}

/// Name without prefix, help text and value of a counter.
type CounterFigure = (&'static str, &'static str, u64);

fn register_counters(registry: &mut Registry, engine: &EngineMetrics) {
    let counters = attempt_counters(engine)
        .into_iter()
        .chain(other_counters(engine));
    for (name, help, value) in counters {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        registry.register(format!("bramblewheel_{name}"), help, counter);
    }
}

fn attempt_counters(engine: &EngineMetrics) -> [CounterFigure; 6] {
    [
        ("attempts_sent", "Attempts sent", engine.attempts_sent),
        ("dispatched", "Attempts dispatched", engine.dispatched),
        (
            "retries",
            "Attempts that cost a token",
            engine.retry_tokens_spent,
        ),
        (
            "free_reroutes",
            "Attempts rerouted for free",
            engine.free_reroutes,
        ),
        (
            "retries_without_token",
            "Retries without a token left",
            engine.retries_without_token,
        ),
        (
            "retries_over_ratio",
            "Retries over a ratio budget",
            engine.retries_over_ratio,
        ),
    ]
}

fn other_counters(engine: &EngineMetrics) -> [CounterFigure; 6] {
    [
        ("resends", "Root calls that were resends", engine.resends),
        (
            "application_repeats",
            "Sub-calls repeated by an application",
            engine.application_repeats,
        ),
        (
            "late_events",
            "Events for calls that had ended",
            engine.late_events,
        ),
        ("ejections", "Endpoints ejected", engine.ejections),
        (
            "claims_released",
            "Claims given back",
            engine.claims_released,
        ),
        (
            "late_grants",
            "Grants after the attempt was given up",
            engine.late_grants,
        ),
    ]
}

fn register_gauges(registry: &mut Registry, engine: &EngineMetrics, bundle_version: u64) {
    let gauges = [
        (
            "bundle_version",
            "Bundle version in force, 0 if none",
            bundle_version,
        ),
        ("queue_length", "Attempts waiting", engine.queue_length),
        ("running", "Attempts running or claiming", engine.running),
        (
            "concurrency_limit",
            "Concurrency limit",
            engine.concurrency_limit,
        ),
        (
            "calls_in_progress",
            "Outbound calls in progress",
            engine.calls_in_progress,
        ),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(format!("bramblewheel_{name}"), help, gauge);
    }
}
