//! Each caller receives the whole answer to its own request, and never a piece of another's.

use super::Finding;
use super::history::History;
use crate::journal::{CallerOutcome, ReplyFromDaemon};

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("own-whole-answer");
    for send in history.sends.values() {
        if let Some(end) = send.end {
            judge(&mut finding, &end.reply, || {
                format!("request {}", send.sent.request)
            });
        }
    }
    for (_, sub_call) in &history.sub_calls {
        let call = sub_call.call;
        judge(&mut finding, &sub_call.reply, || {
            format!("sub-call {call:016x}")
        });
    }
    finding
}

fn judge(finding: &mut Finding, reply: &ReplyFromDaemon, who: impl FnOnce() -> String) {
    if reply.outcome == CallerOutcome::Completed {
        let is_own = reply.own_whole == Some(true);
        finding.case(is_own, || {
            format!("{} got another answer than its own", who())
        });
    }
}
