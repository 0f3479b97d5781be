//! A request answered `NotRun` was not run, anywhere.
//!
//! A send answered `NotRun` left no run at any endpoint, at any depth, at any time. And a
//! caller that resends and is answered `NotRun` may start anew under another key: then no earlier
//! send of the request may have begun to run before that answer.

use super::Finding;
use super::history::{Arrival, History, Send};
use crate::journal::CallerOutcome;
use std::collections::HashMap;

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("not-run-truth");
    let runs = history.runs_by_send();
    for (request, sends) in history.sends_by_request() {
        for (index, send) in sends.iter().enumerate() {
            let Some(end) = send.end else {
                continue;
            };
            let CallerOutcome::NotRun { reason } = end.reply.outcome else {
                continue;
            };
            let own = first_run(&runs, send, u64::MAX);
            finding.case(own.is_none(), || {
                let endpoint = own.map_or("", |run| run.endpoint);
                format!("request {request} told not-run ({reason}) but ran at {endpoint}")
            });
            let mut earlier = sends[..index].iter();
            let earlier = earlier.find_map(|send| first_run(&runs, send, end.at_us));
            finding.case(earlier.is_none(), || {
                let endpoint = earlier.map_or("", |run| run.endpoint);
                let resend = send.sent.resend;
                format!(
                    "request {request} resend {resend} told not-run ({reason}) \
                     but an earlier send ran at {endpoint}"
                )
            });
        }
    }
    finding
}

/// A run of a send that began before a moment.
fn first_run<'a, 'b>(
    runs: &'b HashMap<u64, Vec<&'b Arrival<'a>>>,
    send: &Send<'_>,
    before_us: u64,
) -> Option<&'b Arrival<'a>> {
    let runs = runs.get(&send.sent.send)?;
    let began_before = |run: &&&Arrival<'a>| run.ran_us.is_some_and(|at| at < before_us);
    runs.iter().find(began_before).copied()
}
