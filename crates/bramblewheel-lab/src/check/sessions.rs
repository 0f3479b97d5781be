//! Checks that sessions are not lost: a request of a session is marked as such at every endpoint where it arrives,
//! through any gateway and at any depth.

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
        finding.add_case(arrival.context.in_session, || {
            let (request, gateway) = (send.sent.request, &send.sent.gateway);
            let endpoint = arrival.endpoint;
            format!("session {session} was not known: {request} through {gateway} at {endpoint}")
        });
    }
    finding
}
