//! Whether tenants got no more than their limits, and those within them were not refused for them.

use super::{Breach, RECOVERY_TIME, report_breach};
use crate::history::{End, Events, Request, Timestamp};
use crate::tenants::{TENANTS, WINDOW, id_prefix, most_in_window};
use bramblewheel_platform_client::Tenant;
use std::collections::HashMap;

/// Status of an answer to a request beyond its tenant's limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Part of the requests within a limit that may be refused for it while nothing fails.
const MAX_REFUSED_PART: f64 = 0.1;

pub(super) fn check(events: &Events, found: &mut Vec<Breach>) {
    for tenant in &TENANTS {
        check_limit(events, tenant, found);
    }
    check_refusals(events, &TENANTS[1], found);
}

/// A request that ran: when it was sent, and when it first arrived at an endpoint.
#[derive(Clone, Copy)]
struct Run {
    sent: Timestamp,
    at: Timestamp,
}

fn check_limit(events: &Events, tenant: &Tenant, found: &mut Vec<Breach>) {
    let mut runs = runs_of(events, tenant);
    runs.sort_unstable_by_key(|run| run.at);
    let most = most_in_window(tenant);
    let mut worst: Option<(usize, Timestamp)> = None;
    for first in &runs {
        let begin = first.sent;
        let from = runs.partition_point(|run| run.at < begin);
        let in_window = runs[from..]
            .iter()
            .take_while(|run| run.at < begin + WINDOW);
        let count = in_window.filter(|run| run.sent >= begin).count();
        if worst.is_none_or(|(most, _)| count > most) {
            worst = Some((count, begin));
        }
    }
    let Some((count, begin)) = worst.filter(|(count, _)| *count as f64 > most) else {
        return;
    };
    let evidence = format!(
        "{count} requests of {} ran in {WINDOW:?} from {begin:.3?}, {most} are allowed",
        tenant.name
    );
    report_breach(found, "a tenant's limit holds", evidence);
}

fn runs_of(events: &Events, tenant: &Tenant) -> Vec<Run> {
    let prefix = id_prefix(tenant);
    let sent: HashMap<&str, Timestamp> = requests_of(events, &prefix)
        .map(|request| (request.id.as_str(), request.sent))
        .collect();
    let mut first_runs: HashMap<&str, Run> = HashMap::new();
    for run in &events.runs {
        if let Some(sent) = sent.get(run.id.as_str()) {
            let (sent, at) = (*sent, run.at);
            first_runs.entry(&run.id).or_insert(Run { sent, at });
        }
    }
    first_runs.into_values().collect()
}

fn requests_of<'a>(events: &'a Events, prefix: &'a str) -> impl Iterator<Item = &'a Request> {
    let requests = events.requests.iter();
    requests.filter(move |request| request.id.starts_with(prefix))
}

fn check_refusals(events: &Events, tenant: &Tenant, found: &mut Vec<Breach>) {
    let prefix = id_prefix(tenant);
    let from = events.last_fault_ended + RECOVERY_TIME;
    let calm: Vec<&Request> = requests_of(events, &prefix)
        .filter(|request| request.sent >= from)
        .collect();
    let is_refused = |request: &&&Request| {
        let end = request.ended.as_ref().map(|(_, end)| end);
        matches!(
            end,
            Some(End::Answer {
                status: TOO_MANY_REQUESTS,
                ..
            })
        )
    };
    let refused = calm.iter().filter(is_refused).count();
    if refused as f64 <= calm.len() as f64 * MAX_REFUSED_PART {
        return;
    }
    let evidence = format!(
        "{refused} of {} requests of {} were refused after {from:.3?}",
        calm.len(),
        tenant.name
    );
    report_breach(found, "callers within their limit are admitted", evidence);
}
