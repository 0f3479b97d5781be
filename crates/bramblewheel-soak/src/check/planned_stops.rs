//! Checks that a planned stop interrupts no request in progress.
//!
//! A request that a stopping daemon accepted, or that runs at the endpoint beside one, may end without a whole answer
//! only
//! - if its endpoint broke it off, crashed or stopped;
//! - if the time limit of its caller or its route had passed;
//! - if it was sent within the first half of the grace time or is a call of an endpoint, and it or the request that it
//!   was made for was still running in the last sixth: then no daemon can wait for it.

use super::{Breach, evidence, report_breach};
use crate::fleet::GRACE_TIME;
use crate::history::{End, Events, PlannedStop, Request, Run, RunEnd};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the stop request from which new requests must be refused or answered.
const ACCEPT_TIME: Duration = GRACE_TIME.checked_div(2).expect("the divisor is not zero");
/// Time after the stop request from which a run that has not ended excuses an interruption.
const LONG_RUN_TIME: Duration = GRACE_TIME
    .checked_mul(5)
    .expect("the grace time is a few seconds")
    .checked_div(6)
    .expect("the divisor is not zero");
/// Time after its last byte was sent in which a request that reached no endpoint may stay without an answer: the
/// daemon may not have read it yet.
const UNREAD_TIME: Duration = Duration::from_millis(200);
/// Tolerance for comparing an end with a time limit, since both sides run their own timers.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// Time after the exit of a daemon's process within which callers notice the connections that it broke.
const DETECTION_MARGIN: Duration = Duration::from_millis(300);

/// Runs by the id of their request.
type RunsById<'a> = HashMap<&'a str, Vec<&'a Run>>;

/// How a request without a whole answer breaks a promise.
enum Interruption {
    /// Its connection was closed although an endpoint had received it.
    CutOff,
    /// Its connection was closed although the daemon had read it.
    LeftUnanswered,
    /// The daemon answered with an error while the endpoint was still running the request.
    BrokenOff,
}

impl Interruption {
    fn promise(&self) -> &'static str {
        match self {
            Self::CutOff => "a planned stop cuts nothing off",
            Self::LeftUnanswered => "a planned stop answers what was read",
            Self::BrokenOff => "a planned stop breaks no work off",
        }
    }
}

/// Checks all planned stops.
pub(super) fn check(events: &Events, runs: &RunsById<'_>, found: &mut Vec<Breach>) {
    for stop in &events.planned_stops {
        if !stop.is_in_time {
            let evidence = format!("daemon {} at {:?}", stop.daemon, stop.requested);
            report_breach(found, "a planned stop ends", evidence);
        }
    }
    for request in &events.requests {
        check_request(request, events, runs, found);
    }
}

fn check_request(request: &Request, events: &Events, runs: &RunsById<'_>, found: &mut Vec<Breach>) {
    let own_runs = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
    let stops = || events.planned_stops.iter();
    let Some(stop) = stops().find(|stop| was_open_during(request, own_runs, stop)) else {
        return;
    };
    let Some(interruption) = find_interruption(request, own_runs) else {
        return;
    };
    let parent_runs = request.parent_id.as_deref().and_then(|id| runs.get(id));
    let related_runs = own_runs.iter().chain(parent_runs.into_iter().flatten());
    let related_runs: Vec<&Run> = related_runs.copied().collect();
    let overlapping_stops = stops().filter(|stop| was_open_during(request, own_runs, stop));
    if is_excused(request, &related_runs, overlapping_stops) {
        return;
    }
    report_breach(
        found,
        interruption.promise(),
        describe(request, own_runs, events, stop),
    );
}

/// Whether a request was open at the stopping daemon during its stop: the daemon had accepted it, or is beside an
/// endpoint that ran it.
fn was_open_during(request: &Request, runs: &[&Run], stop: &PlannedStop) -> bool {
    let Some((ended, _)) = &request.ended else {
        return false;
    };
    let is_open = request.sent <= stop.ended && *ended >= stop.requested;
    let is_within = *ended <= stop.ended + DETECTION_MARGIN;
    let ran_here = |run: &&Run| -> bool {
        let was_open = run.ended.is_none_or(|(at, _)| at >= stop.requested);
        run.daemon == stop.daemon && run.at <= stop.ended && was_open
    };
    is_open && is_within && (request.daemon == stop.daemon || runs.iter().any(ran_here))
}

fn find_interruption(request: &Request, runs: &[&Run]) -> Option<Interruption> {
    let (ended, end) = request.ended.as_ref()?;
    match end {
        End::Broken if !runs.is_empty() => Some(Interruption::CutOff),
        End::Broken => {
            let body_sent_at = request.body_sent_at?;
            (*ended > body_sent_at + UNREAD_TIME).then_some(Interruption::LeftUnanswered)
        }
        End::Answer {
            status: 502 | 504,
            proof: None,
            ..
        } => {
            let is_dropped = |run: &&&Run| matches!(run.ended, Some((_, RunEnd::Dropped)) | None);
            runs.iter()
                .find(is_dropped)
                .map(|_| Interruption::BrokenOff)
        }
        _ => None,
    }
}

fn is_excused<'a>(
    request: &Request,
    related_runs: &[&Run],
    stops: impl Iterator<Item = &'a PlannedStop>,
) -> bool {
    let Some((ended, _)) = &request.ended else {
        return true;
    };
    let was_broken_off = |run: &&Run| matches!(run.ended, Some((_, RunEnd::BrokenOff)));
    let is_over = *ended + CLOCK_MARGIN >= request.sent + request.time_limit;
    if related_runs.iter().any(was_broken_off) || is_over {
        return true;
    }
    let mut stops = stops;
    stops.any(|stop| {
        let long_run_from = stop.requested + LONG_RUN_TIME;
        let is_long_run = |run: &&Run| run.ended.is_none_or(|(at, _)| at >= long_run_from);
        let is_early = request.sent <= stop.requested + ACCEPT_TIME;
        (is_early || request.parent_id.is_some()) && related_runs.iter().any(is_long_run)
    })
}

/// Describes a request around a planned stop, with times from the order to stop.
fn describe(request: &Request, runs: &[&Run], events: &Events, stop: &PlannedStop) -> String {
    let ordered = stop.requested;
    format!(
        "{} sent to daemon {} at {} s after daemon {} was told to stop ({} s), its time {:?}{}{}",
        request.id,
        request.daemon,
        evidence::sent_at(request, ordered),
        stop.daemon,
        evidence::seconds(ordered),
        request.time_limit,
        evidence::path(request, runs, ordered),
        evidence::circumstances(request, runs, events, ordered)
    )
}
