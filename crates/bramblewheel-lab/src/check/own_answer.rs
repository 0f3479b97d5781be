//! Checks that each caller receives the complete answer to its own request and no part of another answer.

use super::Finding;
use super::history::History;
use crate::journal::{CallerOutcome, ReplyFromDaemon};

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("own-whole-answer");
    for send in history.sends.values() {
        if let Some(end) = send.end {
            check_reply(&mut finding, &end.reply, || {
                format!("request {}", send.sent.request)
            });
        }
    }
    for (_, sub_call) in &history.sub_calls {
        let call = sub_call.call;
        check_reply(&mut finding, &sub_call.reply, || {
            format!("sub-call {call:016x}")
        });
    }
    finding
}

fn check_reply(finding: &mut Finding, reply: &ReplyFromDaemon, label: impl FnOnce() -> String) {
    if reply.outcome == CallerOutcome::Completed {
        let is_own = reply.own_whole == Some(true);
        finding.add_case(is_own, || {
            format!("{} received an answer other than its own", label())
        });
    }
}
