//! Straight lines over the sizes of the fleets.

use super::table::Row;
use crate::bench::scale::deployment::FULL_DAEMONS;
use crate::bench::scale::fit::{Line, least_squares};
use crate::bench::scale::measure::{PhaseFigures, ReplicaUse, SizeFigures};

/// A figure as it grows with the number of daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Name, with the unit.
    pub name: &'static str,
    /// Its line over the number of daemons.
    pub line: Line,
}

/// A figure of one fleet with its name.
type Figure = (&'static str, fn(&SizeFigures) -> f64);

/// Lines of all figures for which there are two sizes or more.
pub fn slopes(sizes: &[SizeFigures]) -> Vec<Slope> {
    let figures: [Figure; 16] = [
        ("idle_leader_core_percent", |s| idle(s).leader_core_percent),
        ("idle_follower_core_percent", |s| {
            idle(s).follower_core_percent
        }),
        ("idle_leader_mb", |s| idle(s).leader_mb),
        ("idle_follower_mb", |s| idle(s).follower_mb),
        ("idle_sent_bytes_per_s_per_daemon", |s| {
            idle(s).sent_bytes_per_s
        }),
        ("idle_received_bytes_per_s_per_daemon", |s| {
            idle(s).received_bytes_per_s
        }),
        ("idle_daemon_core_percent", |s| idle(s).daemon_core_percent),
        ("hollow_resident_mb", |s| {
            s.idle.used.hollow_resident as f64 / 1e6
        }),
        ("change_leader_cpu_ms", |s| leader_cost(s, &s.changes)),
        ("change_follower_cpu_ms", |s| follower_cost(s, &s.changes)),
        ("change_received_bytes_per_daemon", |s| {
            received_per_event(s, &s.changes)
        }),
        ("change_daemon_cpu_ms", |s| {
            daemon_cost(s, &s.changes) / s.daemons as f64
        }),
        ("restart_leader_cpu_ms", |s| leader_cost(s, &s.restarts)),
        ("restart_follower_cpu_ms", |s| follower_cost(s, &s.restarts)),
        ("restart_received_bytes_all_daemons", |s| {
            received_per_event(s, &s.restarts) * s.daemons as f64
        }),
        ("change_in_force_p99_s", |s| changes(s).delay_p99),
    ];
    let of = |(name, figure): &Figure| {
        let points: Vec<_> = sizes
            .iter()
            .map(|s| (s.daemons as f64, figure(s)))
            .collect();
        let line = least_squares(&points)?;
        Some(Slope { name, line })
    };
    figures.iter().filter_map(of).collect()
}

/// Prints the lines, and what they give at the size to design for.
pub fn print_slopes(sizes: &[SizeFigures]) {
    for Slope { name, line } in slopes(sizes) {
        let at_full = line.at(FULL_DAEMONS as f64);
        println!(
            "slope={name} at_zero={:.5} per_1000_daemons={:.5} at_{FULL_DAEMONS}={at_full:.5}",
            line.intercept,
            line.slope * 1e3,
        );
    }
}

fn idle(size: &SizeFigures) -> Row {
    Row::of(size.daemons, "idle", &size.idle)
}

fn changes(size: &SizeFigures) -> Row {
    Row::of(size.daemons, "changes", &size.changes)
}

/// Processor time in milliseconds that each event cost on top of rest.
fn excess(seconds: f64, spent: f64, cores_at_rest: f64, events: usize) -> f64 {
    (spent - cores_at_rest * seconds) * 1e3 / events.max(1) as f64
}

fn leader_cost(size: &SizeFigures, phase: &PhaseFigures) -> f64 {
    let rest = size.idle.used.leader().map_or(0.0, |r| r.process.cores());
    let leader = phase.used.leader().copied().unwrap_or_default().process;
    excess(leader.seconds, leader.processor_seconds, rest, phase.events)
}

fn follower_cost(size: &SizeFigures, phase: &PhaseFigures) -> f64 {
    let rest = size.idle.used.followers(|r| r.process.cores());
    let spent = |r: &ReplicaUse| r.process.processor_seconds;
    let spent = phase.used.followers(spent);
    excess(phase.used.hollow.seconds, spent, rest, phase.events)
}

fn daemon_cost(size: &SizeFigures, phase: &PhaseFigures) -> f64 {
    let rest = size.idle.used.hollow.cores();
    let hollow = phase.used.hollow;
    excess(hollow.seconds, hollow.processor_seconds, rest, phase.events)
}

/// Bytes from the replicas to one daemon that each event caused on top of rest.
fn received_per_event(size: &SizeFigures, phase: &PhaseFigures) -> f64 {
    let rest = size.idle.used.traffic().from_replica as f64 / size.idle.used.hollow.seconds;
    let received = phase.used.traffic().from_replica as f64;
    let excess = received - rest * phase.used.hollow.seconds;
    excess / phase.events.max(1) as f64 / size.daemons as f64
}
