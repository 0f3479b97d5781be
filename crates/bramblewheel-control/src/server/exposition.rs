//! Metrics in the OpenMetrics text format.

use super::connection_metrics::ConnectionMetrics;
use crate::node::NodeMetrics;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of the lateness of timers, in seconds.
const LATENESS_BUCKETS: [f64; 8] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];

/// Creates a histogram of the lateness of timers.
pub(super) fn lateness_histogram() -> Histogram {
    Histogram::new(LATENESS_BUCKETS)
}

/// Encodes the metrics of the node and of the connections, and the lateness of the process's timers.
pub(super) fn write(
    metrics: &NodeMetrics,
    connections: &ConnectionMetrics,
    timer_lateness: Histogram,
) -> String {
    let mut registry = Registry::with_prefix("bramblewheel_control");
    register_gauges(&mut registry, metrics);
    register_membership(&mut registry, metrics);
    register_counters(&mut registry, metrics);
    connections.register(&mut registry);
    registry.register(
        "timer_lateness_seconds",
        "By how much this process woke up later than it asked for",
        timer_lateness,
    );
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string can't fail");
    text
}

fn register_gauges(registry: &mut Registry, metrics: &NodeMetrics) {
    let gauges = [
        (
            "leader",
            "1 if this replica leads",
            u64::from(metrics.is_leader),
        ),
        (
            "quorum",
            "1 if contact with a quorum is proven within the lease",
            u64::from(metrics.has_quorum),
        ),
        (
            "disk_full",
            "1 if this replica waits for space on its disk",
            u64::from(metrics.disk_full),
        ),
        ("term", "Current term", metrics.term),
        ("applied_index", "Last entry applied", metrics.applied_index),
        (
            "snapshot_index",
            "Entry of the latest snapshot",
            metrics.snapshot_index,
        ),
        (
            "bundle_version",
            "Bundle version in force, 0 if none",
            metrics.bundle_version,
        ),
        ("daemons", "Daemons registered", metrics.daemons),
        ("polls_held", "Polls waiting for news", metrics.polls_held),
        (
            "operations_kept",
            "Run-once operations not forgotten",
            metrics.operations_kept,
        ),
        (
            "spares",
            "Spares that offered themselves lately to this leader",
            metrics.spares,
        ),
    ];
    register_all(registry, gauges);
}

fn register_membership(registry: &mut Registry, metrics: &NodeMetrics) {
    let gauges = [
        ("voters", "Voters of the group", metrics.voters),
        (
            "voters_heard",
            "Voters heard within the election time-out, with this replica",
            metrics.voters_heard,
        ),
        ("learners", "Learners of the group", metrics.learners),
        (
            "replacement_age_ms",
            "Milliseconds since the replacement in progress began, 0 if none",
            metrics.replacement_age_millis,
        ),
        (
            "replacement_entries_missing",
            "Entries that the new replica of the replacement lacks, as far as this leader knows",
            metrics.replacement_entries_missing,
        ),
    ];
    register_all(registry, gauges);
}

fn register_all<const N: usize>(
    registry: &mut Registry,
    gauges: [(&'static str, &'static str, u64); N],
) {
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    }
}

fn register_counters(registry: &mut Registry, metrics: &NodeMetrics) {
    let counters = [
        ("proposals", "Entries proposed here", metrics.proposals),
        (
            "polls_answered",
            "Polls answered here",
            metrics.polls_answered,
        ),
        (
            "bundle_deltas_computed",
            "Bundle deltas computed here",
            metrics.bundle_deltas_computed,
        ),
        (
            "bundle_deltas_sent",
            "Polls answered with a bundle delta",
            metrics.bundle_deltas_sent,
        ),
        (
            "whole_bundles_sent",
            "Polls answered with a whole bundle",
            metrics.whole_bundles_sent,
        ),
        (
            "operations_decided",
            "Run-once requests decided by entries proposed here",
            metrics.operations_decided,
        ),
    ];
    for (name, help, value) in counters {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    }
}
