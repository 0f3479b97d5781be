//! Use of the bound on retries by all daemons of a fleet, from their logs.

use super::LogLine;
use std::collections::BTreeMap;
use std::fmt;

/// Message of the log lines with the use of the bound.
const MESSAGE: &str = "retry bound";
/// Age in seconds from which the last line of a process is ignored. A process writes one line per second as long
/// as there are retries.
const LINE_LIFETIME_SECONDS: u64 = 2;
/// Maximum number of processes named for each service.
const MAX_NAMED_PROCESSES: usize = 3;

/// Use of the bound by one process for one service.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    retries: f64,
    calls_of_retried_runs: f64,
    allowed: f64,
}

impl Usage {
    fn read(line: &LogLine) -> Option<Self> {
        let number = |key| line.value(key)?.parse().ok();
        Some(Self {
            retries: number("repeats")?,
            calls_of_retried_runs: number("calls_of_repeats")?,
            allowed: number("allowed_for_calls")?,
        })
    }

    fn used(&self) -> f64 {
        self.retries + self.calls_of_retried_runs
    }

    fn add(&mut self, other: &Self) {
        self.retries += other.retries;
        self.calls_of_retried_runs += other.calls_of_retried_runs;
        self.allowed += other.allowed;
    }
}

/// The second in which the largest share of the bound was used for one service.
#[derive(Clone, Debug)]
pub struct Peak {
    /// Name of the service.
    pub service: String,
    /// Seconds since the Unix epoch.
    pub at_seconds: u64,
    /// Number of processes with a current line.
    pub processes: usize,
    total: Usage,
    /// Processes that used most, with their use.
    largest: Vec<(String, f64)>,
}

impl Peak {
    fn of(service: &str, at_seconds: u64, last_lines: &BTreeMap<&str, (u64, Usage)>) -> Self {
        let is_current = |at: u64| at_seconds < at + LINE_LIFETIME_SECONDS;
        let current = last_lines.iter().filter(|(_, (at, _))| is_current(*at));
        let mut total = Usage::default();
        let mut largest: Vec<(String, f64)> = Vec::new();
        for (process, (_, usage)) in current {
            total.add(usage);
            largest.push(((*process).to_owned(), usage.used()));
        }
        let processes = largest.len();
        largest.sort_by(|one, other| other.1.total_cmp(&one.1));
        largest.truncate(MAX_NAMED_PROCESSES);
        Self {
            service: service.to_owned(),
            at_seconds,
            processes,
            total,
            largest,
        }
    }

    /// Used share of what these processes together allow for calls.
    pub fn used_share(&self) -> f64 {
        self.total.used() / self.total.allowed.max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for Peak {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Usage {
            retries,
            calls_of_retried_runs,
            allowed,
        } = self.total;
        write!(
            formatter,
            "service={} at={} used_part={:.2} repeats={retries:.0} calls_of_repeats={calls_of_retried_runs:.0} \
             allowed={allowed:.0} processes={} most_by=\"",
            self.service,
            self.at_seconds,
            self.used_share(),
            self.processes
        )?;
        for (index, (process, used)) in self.largest.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{process} {used:.0}")?;
        }
        formatter.write_str("\"")
    }
}

/// Peak of each service, ordered by the used share, largest first.
pub fn peaks(lines: &[LogLine]) -> Vec<Peak> {
    let mut by_service: BTreeMap<&str, Vec<(u64, &str, Usage)>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event() == MESSAGE) {
        let service_and_time = line.value("service").zip(line.at_millis());
        if let (Some((service, at)), Some(usage)) = (service_and_time, Usage::read(line)) {
            let entry = (at / 1_000, line.process.as_str(), usage);
            by_service.entry(service).or_default().push(entry);
        }
    }
    let mut peaks: Vec<Peak> = by_service
        .into_iter()
        .filter_map(|(service, usages)| peak_of(service, usages))
        .collect();
    peaks.sort_by(|one, other| other.used_share().total_cmp(&one.used_share()));
    peaks
}

fn peak_of(service: &str, mut usages: Vec<(u64, &str, Usage)>) -> Option<Peak> {
    usages.sort_by_key(|(at, ..)| *at);
    let mut last_lines: BTreeMap<&str, (u64, Usage)> = BTreeMap::new();
    let mut peak: Option<Peak> = None;
    for second in usages.chunk_by(|one, other| one.0 == other.0) {
        last_lines.extend(
            second
                .iter()
                .map(|(at, process, usage)| (*process, (*at, *usage))),
        );
        let candidate = Peak::of(service, second[0].0, &last_lines);
        if peak
            .as_ref()
            .is_none_or(|peak| candidate.used_share() > peak.used_share())
        {
            peak = Some(candidate);
        }
    }
    peak
}
