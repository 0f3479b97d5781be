//! Sessions are never dropped: wherever a request of a session runs, at whatever gateway it came
//! in and at any depth, it is known there as part of a session.

use super::Finding;
use super::history::History;

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("sessions");
    for arrival in history.arrivals.values() {
        let Some(send) = history.sends.get(&arrival.context.send) else {
            continue;
        };
        let Some(session) = send.sent.session else {
            continue;
        };
        finding.case(arrival.context.in_session, || {
            let (request, gateway) = (send.sent.request, &send.sent.gateway);
            let endpoint = arrival.endpoint;
            format!("session {session} was not known: {request} through {gateway} at {endpoint}")
        });
    }
    finding
}
