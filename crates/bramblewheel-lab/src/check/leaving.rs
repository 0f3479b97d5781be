//! Checks that a leaving endpoint receives no new work after a time bound.
//!
//! An endpoint is leaving when its load report says so, or during a planned stop of the endpoint or its daemon.
//! Refused arrivals count as well, because the work was sent there.

use super::Finding;
use super::history::{History, ProcessEventKind};
use crate::journal::FaultKind;
use std::time::Duration;

pub(super) fn check(history: &History<'_>, bound: Duration) -> Finding {
    let mut finding = Finding::new("leaving");
    let bound_us = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    let mut endpoints: Vec<&str> = history.arrivals.values().map(|a| a.endpoint).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    for endpoint in endpoints {
        for (from, to) in absences(history, endpoint) {
            let is_late = |at: u64| at > from.saturating_add(bound_us) && at < to;
            let arrivals = history.arrivals.values();
            let mut arrivals = arrivals.filter(|arrival| arrival.endpoint == endpoint);
            let late = arrivals.find(|arrival| is_late(arrival.received_us));
            finding.add_case(late.is_none(), || {
                let after_ms = late.map_or(0, |arrival| (arrival.received_us - from) / 1000);
                format!("{endpoint} received work {after_ms} ms after it began to leave")
            });
        }
    }
    finding
}

/// Time spans from the moment an endpoint begins to leave until it has returned.
fn absences(history: &History<'_>, endpoint: &str) -> Vec<(u64, u64)> {
    let daemon = format!("daemon-{endpoint}");
    let has_returned = |kind| {
        let return_kinds = [FaultKind::Started, FaultKind::Returned];
        return_kinds
            .into_iter()
            .any(|fault| kind == ProcessEventKind::Fault(fault))
    };
    let mut spans = history.spans(endpoint, FaultKind::Leaving, has_returned);
    spans.extend(history.spans(endpoint, FaultKind::PlannedStop, has_returned));
    spans.extend(history.spans(&daemon, FaultKind::PlannedStop, has_returned));
    let open_ended = |(from, to): (u64, Option<u64>)| (from, to.unwrap_or(u64::MAX));
    spans.into_iter().map(open_ended).collect()
}
