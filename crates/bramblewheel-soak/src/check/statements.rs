//! Checks that the fleet obeys what endpoints state in their answers: rate limits, and that they drain.
//!
//! Each is checked twice: by the users' bound, which counts the daemons that passed a statement on and excuses those that
//! were restarted, suspended or cut off since, and by the bound of the design, which counts all daemons.

use super::{Breach, report_breach};
use crate::endpoint::{LimitedTime, Statement};
use crate::history::{End, Events, Request, Run, StatedAnswer, StatedLimits, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first statement of a limit until the users' bound holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from a passed on statement until its daemon counts.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Share of the limit that the users' bound allows.
const ALLOWED_SHARE: f64 = 1.5;
/// Requests that the users' bound allows in addition.
const ALLOWED_MORE: f64 = 5.0;
/// Time after a passed on drain notice from which the users' bound allows no request.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Least burst of the design.
const MIN_BURST: f64 = 3.0;
/// Burst of the design, in seconds at the limit's rate.
const BURST_SECONDS: f64 = 0.1;
/// Least rate of the design, in requests per second.
const MIN_RATE: f64 = 0.25;
/// Time in which requests that were sent before a statement was read still arrive.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Start of an endpoint: id and start time.
type Start<'a> = (&'a str, u64);

/// The recorded events, by what the checks look up.
struct Indexed<'a> {
    events: &'a Events,
    requests: HashMap<&'a str, &'a Request>,
    runs: HashMap<Start<'a>, Vec<&'a Run>>,
    answers: HashMap<Start<'a>, Vec<&'a StatedAnswer>>,
}

impl<'a> Indexed<'a> {
    fn new(events: &'a Events) -> Self {
        let mut runs: HashMap<Start<'_>, Vec<&Run>> = HashMap::new();
        for run in &events.runs {
            let start = (run.endpoint.as_str(), run.started);
            runs.entry(start).or_default().push(run);
        }
        let mut answers: HashMap<Start<'_>, Vec<&StatedAnswer>> = HashMap::new();
        for answer in &events.stated_answers {
            let start = (answer.endpoint.as_str(), answer.started);
            answers.entry(start).or_default().push(answer);
        }
        let requests = events.requests.iter();
        Self {
            events,
            requests: requests
                .map(|request| (request.id.as_str(), request))
                .collect(),
            runs,
            answers,
        }
    }

    fn runs(&self, start: Start<'a>) -> &[&'a Run] {
        self.runs.get(&start).map_or(&[], Vec::as_slice)
    }

    fn answers(&self, start: Start<'a>) -> &[&'a StatedAnswer] {
        self.answers.get(&start).map_or(&[], Vec::as_slice)
    }

    /// The daemon that passed an answer on to its caller, and when.
    fn passed_on(&self, answer: &StatedAnswer) -> Option<(usize, Timestamp)> {
        let request = self.requests.get(answer.id.as_str())?;
        let (at, end) = request.ended.as_ref()?;
        match end {
            End::Answer {
                proof: Some(proof), ..
            } if *proof == answer.endpoint => Some((request.daemon, *at)),
            _ => None,
        }
    }

    /// Whether a daemon was restarted, suspended or cut off in this time.
    fn is_interrupted(&self, daemon: usize, from: Timestamp, until: Timestamp) -> bool {
        let mut interruptions = self.events.interruptions.iter();
        interruptions.any(|one| one.daemon == daemon && from <= one.from && one.from <= until)
    }

    /// When a daemon's process ended or started within this time.
    fn restarts(&self, daemon: usize, from: Timestamp, until: Timestamp) -> Vec<Timestamp> {
        let all = self.events.interruptions.iter();
        let restarts = all.filter(|one| one.is_restart && one.daemon == daemon);
        let mut times: Vec<Timestamp> = restarts
            .map(|one| one.from)
            .filter(|at| from < *at && *at < until)
            .collect();
        times.sort();
        times
    }
}

pub(super) fn check(events: &Events, found: &mut Vec<Breach>) {
    let indexed = Indexed::new(events);
    for limits in &events.stated_limits {
        check_users_limit(&indexed, limits, found);
        for time in &limits.times {
            check_own_limit(&indexed, limits, time, found);
        }
    }
    check_drains(&indexed, found);
}

/// Runs of requests from daemons that passed a statement on half a second before and were not interrupted since.
fn told_runs<'a>(indexed: &Indexed<'a>, start: Start<'a>) -> Vec<&'a Run> {
    let answers = indexed.answers(start).iter();
    let told: Vec<(usize, Timestamp)> = answers
        .filter(|answer| matches!(answer.statement, Statement::RateLimit(_)))
        .filter_map(|answer| indexed.passed_on(answer))
        .collect();
    let is_told = |run: &&&Run| {
        let Some(request) = indexed.requests.get(run.id.as_str()) else {
            return false;
        };
        told.iter().any(|(daemon, at)| {
            *daemon == request.daemon
                && *at + TOLD_AFTER <= run.at
                && !indexed.is_interrupted(*daemon, *at, run.at)
        })
    };
    indexed
        .runs(start)
        .iter()
        .filter(is_told)
        .copied()
        .collect()
}

fn check_users_limit<'a>(indexed: &Indexed<'a>, limits: &'a StatedLimits, found: &mut Vec<Breach>) {
    let start = (limits.endpoint.as_str(), limits.started);
    let told = told_runs(indexed, start);
    for (from, until) in stretches(&limits.times) {
        let from = from + CONTACT_TIME;
        let allowed = |begin: Timestamp| {
            ALLOWED_SHARE * yielded(&limits.times, begin, begin + WINDOW) + ALLOWED_MORE
        };
        let times = told.iter().map(|run| run.at);
        if let Some(broken) = first_broken(times, from, until, &allowed) {
            let evidence = format!("{} {broken}", limits.endpoint);
            report_breach(found, "stated limit, by daemons that were told", evidence);
        }
    }
}

/// The bound of the design begins anew with the first statement after each restart of the daemon beside the endpoint.
fn check_own_limit<'a>(
    indexed: &Indexed<'a>,
    limits: &'a StatedLimits,
    time: &LimitedTime,
    found: &mut Vec<Breach>,
) {
    let start = (limits.endpoint.as_str(), limits.started);
    let restarts = indexed.restarts(limits.daemon, time.from, time.until);
    let mut begins = vec![time.from];
    begins.extend(&restarts);
    for (index, begin) in begins.iter().enumerate() {
        let until = begins.get(index + 1).copied().unwrap_or(time.until);
        let states = |answer: &&&StatedAnswer| {
            let is_same = answer.statement == Statement::RateLimit(time.limit);
            is_same && *begin < answer.at && answer.at < until
        };
        let Some(first) = indexed.answers(start).iter().find(states) else {
            continue;
        };
        let rate = time.limit.max(MIN_RATE);
        let burst = MIN_BURST.max(rate * BURST_SECONDS);
        let allowed = |begin: Timestamp| {
            let late = soak_lateness(indexed.events, begin, begin + WINDOW);
            rate * (WINDOW + late).as_secs_f64() + burst
        };
        let times = indexed.runs(start).iter().map(|run| run.at);
        let from = first.at + SETTLING_TIME;
        if let Some(broken) = first_broken(times, from, until, &allowed) {
            let evidence = format!("{} limit {} {broken}", limits.endpoint, time.limit);
            report_breach(found, "stated limit, by all daemons", evidence);
        }
    }
}

/// By how much the soak's own process, which runs the endpoints and records arrivals, was late in this time.
fn soak_lateness(events: &Events, from: Timestamp, until: Timestamp) -> Duration {
    let own = events.late_processes.iter();
    let own = own.filter(|late| late.machine.is_none());
    own.filter(|late| from <= late.until && late.until.saturating_sub(late.lateness) <= until)
        .map(|late| late.lateness)
        .sum()
}

/// Times without a gap in which a limit is stated.
fn stretches(times: &[LimitedTime]) -> Vec<(Timestamp, Timestamp)> {
    let mut stretches: Vec<(Timestamp, Timestamp)> = Vec::new();
    for time in times {
        match stretches.last_mut() {
            Some((_, until)) if *until == time.from => *until = time.until,
            _ => stretches.push((time.from, time.until)),
        }
    }
    stretches
}

/// Requests that the stated limits yield in this time.
fn yielded(times: &[LimitedTime], from: Timestamp, until: Timestamp) -> f64 {
    let parts = times.iter().map(|time| {
        let overlap = time.until.min(until).saturating_sub(time.from.max(from));
        time.limit * overlap.as_secs_f64()
    });
    parts.sum()
}

/// The first window within this time with more arrivals than are allowed in a window that begins then.
fn first_broken(
    times: impl Iterator<Item = Timestamp>,
    from: Timestamp,
    until: Timestamp,
    allowed: &dyn Fn(Timestamp) -> f64,
) -> Option<String> {
    let mut times: Vec<Timestamp> = times.filter(|at| from <= *at && *at < until).collect();
    times.sort();
    for (index, begin) in times.iter().enumerate() {
        if *begin + WINDOW > until {
            return None;
        }
        let rest = times[index..].iter();
        let count = rest.take_while(|at| **at < *begin + WINDOW).count();
        let allowed = allowed(*begin);
        #[expect(clippy::cast_precision_loss, reason = "few requests")]
        let is_broken = count as f64 > allowed;
        if is_broken {
            return Some(format!(
                "got {count} requests in {WINDOW:?} from {begin:?}, allowed {allowed:.1}"
            ));
        }
    }
    None
}

fn check_drains(indexed: &Indexed<'_>, found: &mut Vec<Breach>) {
    for (start, answers) in &indexed.answers {
        let notices = answers.iter();
        let notices: Vec<&&StatedAnswer> = notices
            .filter(|answer| answer.statement == Statement::Draining)
            .collect();
        let Some(first) = notices.first() else {
            continue;
        };
        let passed_on: Vec<(usize, Timestamp)> = notices
            .iter()
            .filter_map(|answer| indexed.passed_on(answer))
            .collect();
        for run in indexed.runs(*start) {
            let Some(request) = indexed.requests.get(run.id.as_str()) else {
                continue;
            };
            let is_told = passed_on.iter().any(|(daemon, at)| {
                *daemon == request.daemon
                    && request.sent > *at + DRAIN_TIME
                    && !indexed.is_interrupted(*daemon, *at, run.at)
            });
            if is_told {
                let evidence = format!(
                    "{} reached {} from daemon {}",
                    run.id, run.endpoint, request.daemon
                );
                report_breach(
                    found,
                    "drain notice, by daemons that passed it on",
                    evidence,
                );
            }
            let is_beside_restarted = !indexed.restarts(run.daemon, first.at, run.at).is_empty();
            if run.at > first.at + SETTLING_TIME && !is_beside_restarted {
                let evidence = format!(
                    "{} reached {} {:?} after its first notice",
                    run.id,
                    run.endpoint,
                    run.at - first.at
                );
                report_breach(found, "drain notice, by all daemons", evidence);
            }
        }
    }
}
