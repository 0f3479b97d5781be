//! Checks that daemons refuse foreign messages and that these take no endpoint out of service.
//!
//! The checks of requests cover that requests keep their caller's service.

use super::{Breach, RECOVERY_TIME, report_breach};
use crate::history::{Events, ForeignMessage};
use std::collections::BTreeMap;

/// Checks that no foreign message was acknowledged, and that every endpoint receives requests in the end.
pub(super) fn check(events: &Events, found: &mut Vec<Breach>) {
    let acknowledged = events.foreign.iter().filter(|sent| sent.is_acknowledged);
    let mut by_form: BTreeMap<&str, Vec<&ForeignMessage>> = BTreeMap::new();
    for message in acknowledged {
        by_form.entry(&message.form).or_default().push(message);
    }
    for (form, messages) in by_form {
        let evidence = format!(
            "{} times, first at daemon {}: {form}",
            messages.len(),
            messages[0].daemon
        );
        report_breach(found, "foreign heartbeats are refused", evidence);
    }
    check_work(events, found);
}

/// Requests are spread over all endpoints of a service, so an endpoint that receives none is not served by its daemon.
fn check_work(events: &Events, found: &mut Vec<Breach>) {
    let from = events.last_fault_ended + RECOVERY_TIME;
    for daemon in 0..events.daemons {
        let mut runs = events.runs.iter();
        if !runs.any(|run| run.daemon == daemon && run.at > from) {
            let evidence = format!("none beside daemon {daemon} after {from:?}");
            report_breach(found, "every endpoint has work", evidence);
        }
    }
}
