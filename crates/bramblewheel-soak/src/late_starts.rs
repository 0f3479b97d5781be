//! Counts runs that began after their caller had been answered, or had given up: work for nobody.

use crate::history::{End, Events, Request, Run, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// A run that began after the end of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateStart {
    /// Request id.
    pub id: String,
    /// Daemon beside the endpoint.
    pub daemon: usize,
    /// When the request had ended for its caller.
    pub ended: Timestamp,
    /// How much later the run began.
    pub late: Duration,
}

/// The runs that began after the end of their requests.
pub fn late_starts(events: &Events) -> Vec<LateStart> {
    let ended = |request: &Request| {
        let (at, end) = request.ended.as_ref()?;
        let was_sent = !matches!(end, End::NotSent);
        was_sent.then_some(*at)
    };
    let ended: HashMap<&str, Timestamp> = events
        .requests
        .iter()
        .filter_map(|request| Some((request.id.as_str(), ended(request)?)))
        .collect();
    let late_start = |run: &Run| {
        let ended = *ended.get(run.id.as_str())?;
        let late = run.at.checked_sub(ended)?;
        Some(LateStart {
            id: run.id.clone(),
            daemon: run.daemon,
            ended,
            late,
        })
    };
    events.runs.iter().filter_map(late_start).collect()
}

/// Prints how many runs began after the end of their requests, and which ones.
pub(crate) fn print_summary(events: &Events) {
    let late = late_starts(events);
    println!("{} runs began after the end of their requests", late.len());
    for start in late {
        println!("late start: {start:?}");
    }
}
