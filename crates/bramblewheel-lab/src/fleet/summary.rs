//! Summary of a run as key=value lines.

use crate::check::{Finding, History};
use crate::journal::CallerOutcome;
use bramblewheel_types::Criticality;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Largest number of violations printed per checker.
const SHOWN_VIOLATIONS: usize = 10;
/// Depth that the call trees must reach; a run with shallower trees does not test nested calls.
const MIN_DEPTH: u32 = 3;
/// Largest recorded latency, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Figures of one flow.
#[derive(Clone, Debug)]
pub struct FlowFigures {
    /// Class of its requests.
    pub criticality: Criticality,
    /// Number of original requests.
    pub requests: u64,
    /// Number of sends, including resends.
    pub sends: u64,
    /// Requests that were completed within their deadline.
    pub completed: u64,
    /// Requests that were completed after their deadline.
    pub late: u64,
    /// Requests that were answered as failed.
    pub failed: u64,
    /// Requests for which it is unknown whether they ran.
    pub unknown: u64,
    /// Requests that were certainly not run.
    pub not_run: u64,
    latency_us: Histogram<u64>,
}

/// Final outcome of a request for its caller, ordered so that the largest of all sends is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FinalOutcome {
    NotRun,
    Unknown,
    Failed,
    Completed,
}

/// Summary of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Figures by flow.
    pub flows: BTreeMap<String, FlowFigures>,
    /// Depth of the deepest call that ran.
    pub depth: u32,
    /// Findings of the checkers.
    pub findings: Vec<Finding>,
    /// Reasons why the run is not meaningful, such as a flow without a completed request.
    pub shortfalls: Vec<String>,
}

impl Summary {
    /// Summarizes a run; `flows` are the flows that must have been served.
    pub fn new(history: &History<'_>, flows: &[String], findings: Vec<Finding>) -> Self {
        let mut summary = Self {
            flows: figures(history),
            depth: depth(history),
            findings,
            shortfalls: Vec::new(),
        };
        for flow in flows {
            let completed = summary
                .flows
                .get(flow)
                .map_or(0, |figures| figures.completed);
            if completed == 0 {
                summary
                    .shortfalls
                    .push(format!("no request of {flow} was completed"));
            }
        }
        if summary.depth < MIN_DEPTH {
            let depth = summary.depth;
            summary
                .shortfalls
                .push(format!("depth {depth} is below {MIN_DEPTH}"));
        }
        summary
    }

    /// Whether every checker passed and enough was served.
    pub fn passed(&self) -> bool {
        self.shortfalls.is_empty() && self.findings.iter().all(Finding::passed)
    }

    /// The summary as key=value lines.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (flow, figures) in &self.flows {
            text += &figures.line(flow);
        }
        text += &format!("depth={}\n", self.depth);
        for finding in &self.findings {
            text += &finding_lines(finding);
        }
        for shortfall in &self.shortfalls {
            text += &format!("shortfall={shortfall:?}\n");
        }
        let result = if self.passed() { "pass" } else { "FAIL" };
        text + &format!("result={result}\n")
    }
}

fn finding_lines(finding: &Finding) -> String {
    let result = if finding.passed() { "pass" } else { "FAIL" };
    let (name, cases, count) = (finding.name, finding.cases, finding.violations.len());
    let mut text = format!("check={name} result={result} cases={cases} violations={count}\n");
    for violation in finding.violations.iter().take(SHOWN_VIOLATIONS) {
        text += &format!("violation={name} text={violation:?}\n");
    }
    text
}

impl FlowFigures {
    fn new(criticality: Criticality) -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3);
        Self {
            criticality,
            requests: 0,
            sends: 0,
            completed: 0,
            late: 0,
            failed: 0,
            unknown: 0,
            not_run: 0,
            latency_us: latency_us.expect("the bounds are valid"),
        }
    }

    fn line(&self, flow: &str) -> String {
        let mut line = format!("flow={flow} class={}", self.criticality);
        let numbers = [
            ("requests", self.requests),
            ("sends", self.sends),
            ("completed", self.completed),
            ("late", self.late),
            ("not_run", self.not_run),
            ("failed", self.failed),
            ("unknown", self.unknown),
        ];
        for (key, number) in numbers {
            let _ = write!(line, " {key}={number}");
        }
        let [p50, p99] = [0.5, 0.99].map(|q| self.latency_us.value_at_quantile(q) as f64 / 1e3);
        line + &format!(" p50_ms={p50:.1} p99_ms={p99:.1}\n")
    }
}

fn depth(history: &History<'_>) -> u32 {
    let runs = history
        .arrivals
        .values()
        .filter(|arrival| arrival.ran_us.is_some());
    runs.map(|arrival| arrival.context.depth).max().unwrap_or(0)
}

fn figures(history: &History<'_>) -> BTreeMap<String, FlowFigures> {
    let mut flows: BTreeMap<String, FlowFigures> = BTreeMap::new();
    for sends in history.sends_by_request().values() {
        let first = sends[0];
        let figures = flows.entry(first.sent.flow.clone());
        let figures = figures.or_insert_with(|| FlowFigures::new(first.sent.criticality));
        figures.requests += 1;
        figures.sends += sends.len() as u64;
        let outcomes = sends
            .iter()
            .map(|send| final_outcome(send.end.map(|end| end.reply.outcome)));
        match outcomes.max().unwrap_or(FinalOutcome::Unknown) {
            FinalOutcome::NotRun => figures.not_run += 1,
            FinalOutcome::Unknown => figures.unknown += 1,
            FinalOutcome::Failed => figures.failed += 1,
            FinalOutcome::Completed => figures.add_completed(sends),
        }
    }
    flows
}

impl FlowFigures {
    fn add_completed(&mut self, sends: &[&crate::check::Send<'_>]) {
        let completed = sends.iter().filter_map(|send| {
            let end = send.end?;
            (end.reply.outcome == CallerOutcome::Completed).then_some(end.at_us)
        });
        let Some(completed_us) = completed.min() else {
            return;
        };
        let first = sends[0];
        let latency_us = completed_us.saturating_sub(first.sent.due_us);
        let allowed_us = (first.sent_us + first.sent.timeout_ms * 1000) - first.sent.due_us;
        if latency_us <= allowed_us {
            self.completed += 1;
        } else {
            self.late += 1;
        }
        self.latency_us.saturating_record(latency_us);
    }
}

fn final_outcome(outcome: Option<CallerOutcome>) -> FinalOutcome {
    match outcome {
        Some(CallerOutcome::Completed) => FinalOutcome::Completed,
        Some(CallerOutcome::Failed) => FinalOutcome::Failed,
        Some(CallerOutcome::NotRun { .. }) => FinalOutcome::NotRun,
        Some(CallerOutcome::Unknown | CallerOutcome::Nothing { .. }) | None => {
            FinalOutcome::Unknown
        }
    }
}
