//! Describes a request, as evidence of a broken promise: where it was sent, where it ran, how it ended, what struck the
//! machines on its path meanwhile and which processes were late. It excuses nothing.

use crate::history::{Events, Request, Run, Timestamp};
use crate::plan::Machine;
use std::time::Duration;

/// A time in seconds.
pub(super) fn seconds(at: Timestamp) -> String {
    format!("{:.3}", at.as_secs_f64())
}

/// Time from `origin` to `at`, in seconds with a sign.
fn since(origin: Timestamp, at: Timestamp) -> String {
    let (late, early) = (at.saturating_sub(origin), origin.saturating_sub(at));
    let sign = if early > Duration::ZERO { "-" } else { "+" };
    format!("{sign}{}", seconds(late.max(early)))
}

/// Describes a request of its own, with times from when it was sent.
pub(super) fn describe(request: &Request, runs: &[&Run], events: &Events) -> String {
    let sent = request.sent;
    format!(
        "{} sent to daemon {} at {} s, its time {:?}{}{}",
        request.id,
        request.daemon,
        seconds(sent),
        request.time_limit,
        path(request, runs, sent),
        circumstances(request, runs, events, sent)
    )
}

/// Describes where a request ran and how it ended, with times from `origin`.
pub(super) fn path(request: &Request, runs: &[&Run], origin: Timestamp) -> String {
    let mut text = String::new();
    for run in runs {
        let end = run.ended.map_or("goes on".to_owned(), |(at, end)| {
            format!("{end:?} at {}", since(origin, at))
        });
        text.push_str(&format!(
            "; ran at {} beside daemon {} from {}, {end}",
            run.endpoint,
            run.daemon,
            since(origin, run.at)
        ));
    }
    if let Some((at, end)) = &request.ended {
        text.push_str(&format!("; ended at {}: {end:?}", since(origin, *at)));
    }
    text
}

/// When a request was sent, from `origin`.
pub(super) fn sent_at(request: &Request, origin: Timestamp) -> String {
    since(origin, request.sent)
}

/// Describes what struck the processes on the path of a request while it was open, and which processes were late, with
/// times from `origin`.
pub(super) fn circumstances(
    request: &Request,
    runs: &[&Run],
    events: &Events,
    origin: Timestamp,
) -> String {
    let ended = request.ended.as_ref().map_or(events.ended, |(at, _)| *at);
    let on_path = |machine: Machine| {
        let mut daemons = runs.iter().map(|run| run.daemon).chain([request.daemon]);
        daemons.any(|daemon| machine == Machine::Daemon(daemon))
    };
    let mut text = String::new();
    for strike in &events.strikes {
        let is_over = strike.until.is_some_and(|until| until < request.sent);
        if on_path(strike.machine) && strike.from <= ended && !is_over {
            text.push_str(&format!(
                "; struck by {} from {} to {}",
                strike.fault,
                since(origin, strike.from),
                since(origin, strike.until.unwrap_or(events.ended))
            ));
        }
    }
    for late in &events.late_processes {
        let from = late.until.saturating_sub(late.lateness);
        let is_open = from <= ended && late.until >= request.sent;
        if is_open && late.machine.is_none_or(on_path) {
            let who = late
                .machine
                .map_or("soak".to_owned(), |machine| format!("{machine:?}"));
            text.push_str(&format!(
                "; {who} late by {:?} until {}",
                late.lateness,
                since(origin, late.until)
            ));
        }
    }
    text
}
