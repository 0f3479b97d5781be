//! Checks that a request answered `NotRun` was not run anywhere.
//!
//! A send answered `NotRun` must have no run at any endpoint, at any depth, at any time. If a resend is answered
//! `NotRun`, no earlier send of the request may have begun to run before that answer either, because the caller may
//! then start again under another key.

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
            let own_run = run_before(&runs, send, u64::MAX);
            finding.add_case(own_run.is_none(), || {
                let endpoint = own_run.map_or("", |run| run.endpoint);
                format!("request {request} was answered not-run ({reason}) but ran at {endpoint}")
            });
            let mut earlier_sends = sends[..index].iter();
            let earlier_run = earlier_sends.find_map(|send| run_before(&runs, send, end.at_us));
            finding.add_case(earlier_run.is_none(), || {
                let endpoint = earlier_run.map_or("", |run| run.endpoint);
                let resend = send.sent.resend;
                format!(
                    "request {request} resend {resend} was answered not-run ({reason}) \
                     but an earlier send ran at {endpoint}"
                )
            });
        }
    }
    finding
}

/// A run of a send that began before a given time, if there is one.
fn run_before<'a, 'b>(
    runs: &'b HashMap<u64, Vec<&'b Arrival<'a>>>,
    send: &Send<'_>,
    before_us: u64,
) -> Option<&'b Arrival<'a>> {
    let runs = runs.get(&send.sent.send)?;
    let began_before = |run: &&&Arrival<'a>| run.ran_us.is_some_and(|at| at < before_us);
    runs.iter().find(began_before).copied()
}
