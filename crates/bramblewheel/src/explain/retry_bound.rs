//! What the daemons of a fleet together used of the bound on repeats, from their logs.

use super::LogLine;
use std::collections::BTreeMap;
use std::fmt;

/// Event of the lines that tell it.
const EVENT: &str = "retry bound";
/// Age in seconds at which the last line of a process counts for nothing: it writes one each second while
/// anything is repeated.
const LINE_LIFETIME_SECONDS: u64 = 2;
/// Processes that are named for each service.
const MAX_NAMED: usize = 3;

/// What one process used of the bound for one service.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    repeats: f64,
    calls_of_repeats: f64,
    allowed: f64,
}

impl Use {
    fn read(line: &LogLine) -> Option<Self> {
        let number = |key| line.value(key)?.parse().ok();
        Some(Self {
            repeats: number("repeats")?,
            calls_of_repeats: number("calls_of_repeats")?,
            allowed: number("allowed_for_calls")?,
        })
    }

    fn used(&self) -> f64 {
        self.repeats + self.calls_of_repeats
    }

    fn add(&mut self, other: &Self) {
        self.repeats += other.repeats;
        self.calls_of_repeats += other.calls_of_repeats;
        self.allowed += other.allowed;
    }
}

/// The moment at which the largest part of the bound was used for one service.
#[derive(Clone, Debug)]
pub struct Peak {
    /// The service.
    pub service: String,
    /// Seconds since the Unix epoch.
    pub at_seconds: u64,
    /// Processes that told what they used.
    pub processes: usize,
    total: Use,
    /// Those that used most.
    largest: Vec<(String, f64)>,
}

impl Peak {
    fn of(service: &str, at_seconds: u64, told: &BTreeMap<&str, (u64, Use)>) -> Self {
        let is_fresh = |at: u64| at_seconds < at + LINE_LIFETIME_SECONDS;
        let fresh = told.iter().filter(|(_, (at, _))| is_fresh(*at));
        let mut total = Use::default();
        let mut largest: Vec<(String, f64)> = Vec::new();
        for (process, (_, part)) in fresh {
            total.add(part);
            largest.push(((*process).to_owned(), part.used()));
        }
        let processes = largest.len();
        largest.sort_by(|one, other| other.1.total_cmp(&one.1));
        largest.truncate(MAX_NAMED);
        Self {
            service: service.to_owned(),
            at_seconds,
            processes,
            total,
            largest,
        }
    }

    /// The used part of what these processes allow themselves.
    pub fn used_part(&self) -> f64 {
        self.total.used() / self.total.allowed.max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for Peak {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Use {
            repeats,
            calls_of_repeats,
            allowed,
        } = self.total;
        write!(
            formatter,
            "service={} at={} used_part={:.2} repeats={repeats:.0} calls_of_repeats={calls_of_repeats:.0} \
             allowed={allowed:.0} processes={} most_by=\"",
            self.service,
            self.at_seconds,
            self.used_part(),
            self.processes
        )?;
        for (number, (process, used)) in self.largest.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(formatter, "{separator}{process} {used:.0}")?;
        }
        formatter.write_str("\"")
    }
}

/// The peak of each service, the one that used most of its bound first.
pub fn peaks(lines: &[LogLine]) -> Vec<Peak> {
    let mut by_service: BTreeMap<&str, Vec<(u64, &str, Use)>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event() == EVENT) {
        let told = line.value("service").zip(line.at_millis());
        if let (Some((service, at)), Some(part)) = (told, Use::read(line)) {
            let entry = (at / 1_000, line.process.as_str(), part);
            by_service.entry(service).or_default().push(entry);
        }
    }
    let mut peaks: Vec<Peak> = by_service
        .into_iter()
        .filter_map(|(service, told)| peak_of(service, told))
        .collect();
    peaks.sort_by(|one, other| other.used_part().total_cmp(&one.used_part()));
    peaks
}

fn peak_of(service: &str, mut told: Vec<(u64, &str, Use)>) -> Option<Peak> {
    told.sort_by_key(|(at, ..)| *at);
    let mut last: BTreeMap<&str, (u64, Use)> = BTreeMap::new();
    let mut peak: Option<Peak> = None;
    for second in told.chunk_by(|one, other| one.0 == other.0) {
        last.extend(
            second
                .iter()
                .map(|(at, process, part)| (*process, (*at, *part))),
        );
        let now = Peak::of(service, second[0].0, &last);
        if peak
            .as_ref()
            .is_none_or(|peak| now.used_part() > peak.used_part())
        {
            peak = Some(now);
        }
    }
    peak
}
