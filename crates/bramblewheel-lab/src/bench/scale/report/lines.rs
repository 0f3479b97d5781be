//! The key=value lines.

use super::table::rows;
use crate::bench::scale::measure::SizeFigures;
use crate::bench::scale::options::ScaleOptions;
use std::fs;

/// Says what is run, and how busy the machine is.
pub fn print_head(options: &ScaleOptions) {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default().to_owned();
    println!(
        "bench=scale seed={} cores={cores} load_before={load} change_interval_ms={} \
         restart_interval_ms={}",
        options.seed, options.change_interval, options.restart_interval
    );
}

/// Prints the figures of one fleet.
pub fn print_size(size: &SizeFigures) {
    for row in rows(size) {
        let fields = row.fields().into_iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        println!("{}", fields.join(" "));
    }
    for daemon in &size.real_daemons {
        println!(
            "daemons={} real_daemon_endpoints={} rss_mb={:.2} rss_after_changes_mb={:.2} \
             idle_core_percent={:.3} changes_core_percent={:.3} changes_cpu_ms_per_change={:.3}",
            size.daemons,
            daemon.endpoints,
            daemon.resident as f64 / 1e6,
            daemon.resident_after_changes as f64 / 1e6,
            daemon.idle.cores() * 100.0,
            daemon.changes.cores() * 100.0,
            daemon.changes.processor_seconds * 1e3 / size.changes.events.max(1) as f64,
        );
    }
    println!(
        "daemons={} refused_answers={} leader_lost_accepted_s={:.3} replica_caught_up_s={:.3}",
        size.daemons,
        size.refused_answers,
        size.leader_lost_accepted.as_secs_f64(),
        size.replica_back.as_secs_f64(),
    );
}
