//! Bounds on the requests that an endpoint with a stated limit receives.

use crate::fleet::{Arrival, History, LimitedTime};
use bramblewheel_decisions::endpoint_limit::MIN_BURST;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Length of the counted windows.
const WINDOW: Duration = Duration::from_secs(4);
/// Share of a second at the limit's rate that a bucket may hold.
const BURST_SECONDS: f64 = 0.1;
/// Time from the first statement until the users' bound holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from a passed on statement until the sender counts in the users' bound.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// A window with too many arrivals.
#[derive(Debug)]
#[expect(dead_code, reason = "printed when a test fails")]
pub struct Broken {
    from: Timestamp,
    arrivals: usize,
    allowed: f64,
}

/// All windows that break the own bound or the users' bound.
pub fn broken_bounds(history: &History) -> Vec<Broken> {
    let times = history.limited_times.iter();
    let broken = times.flat_map(|time| {
        let mut broken = broken_own_bound(history, time);
        broken.extend(broken_users_bound(history, time));
        broken
    });
    broken.collect()
}

/// Own bound: over all machines, what the limit yields in the window and one burst, from the first statement that the
/// daemon beside the endpoint got, and again from the first one after each of its restarts.
fn broken_own_bound(history: &History, time: &LimitedTime) -> Vec<Broken> {
    let limit = time.limit.per_second().max(0.25);
    let allowed = limit * WINDOW.as_secs_f64() + MIN_BURST.max(limit * BURST_SECONDS);
    let mut begins = vec![time.from];
    let restarts = history.restarts.iter().copied();
    begins.extend(restarts.filter(|at| time.from < *at && *at < time.until));
    begins.sort();
    let mut broken = Vec::new();
    for (index, begin) in begins.iter().enumerate() {
        let until = begins.get(index + 1).copied().unwrap_or(time.until);
        let mut told = history.told.iter().copied();
        if let Some(told) = told.find(|told| *told > *begin && *told < until) {
            broken.extend(broken_windows(&history.arrivals, told, until, allowed));
        }
    }
    broken
}

/// The users' bound: one and a half times what the limit yields in the window, and five requests, from the daemons that
/// passed on a statement and have not restarted since.
fn broken_users_bound(history: &History, time: &LimitedTime) -> Vec<Broken> {
    let allowed = 1.5 * time.limit.per_second() * WINDOW.as_secs_f64() + 5.0;
    let is_told = |arrival: &&Arrival| {
        let restarts = history.sender_restarts.iter();
        let restarts =
            restarts.filter(|(at, sender)| *sender == arrival.sender && *at <= arrival.at);
        let since = restarts.map(|(at, _)| *at).max().unwrap_or(time.from);
        history.passed_on.iter().any(|(at, sender)| {
            *sender == arrival.sender
                && *at >= since.max(time.from)
                && *at + TOLD_AFTER <= arrival.at
        })
    };
    let from = time.from + CONTACT_TIME;
    let told: Vec<Arrival> = history
        .arrivals
        .iter()
        .filter(|arrival| arrival.at >= from && arrival.at < time.until)
        .filter(is_told)
        .copied()
        .collect();
    broken_windows(&told, from, time.until, allowed)
}

fn broken_windows(
    arrivals: &[Arrival],
    from: Timestamp,
    until: Timestamp,
    allowed: f64,
) -> Vec<Broken> {
    let times = arrivals.iter().map(|arrival| arrival.at);
    let times: Vec<Timestamp> = times.filter(|at| *at >= from && *at < until).collect();
    let mut broken = Vec::new();
    for (index, begin) in times.iter().enumerate() {
        let window = times[index..].iter();
        let count = window.take_while(|at| **at < *begin + WINDOW).count();
        if count as f64 > allowed {
            broken.push(Broken {
                from: *begin,
                arrivals: count,
                allowed,
            });
        }
    }
    broken
}
