//! What another writer sends to a daemon is refused, and takes no endpoint out of service.
//!
//! That requests keep the name of their machine's service is checked with the requests.

use super::{Breach, RECOVERY, breach};
use crate::history::{Events, ForeignMessage};
use std::collections::BTreeMap;

/// Checks what came of foreign heartbeats, and that every endpoint has work in the end.
pub(super) fn check(events: &Events, found: &mut Vec<Breach>) {
    let taken = events.foreign.iter().filter(|sent| sent.is_acknowledged);
    let mut by_form: BTreeMap<&str, Vec<&ForeignMessage>> = BTreeMap::new();
    for message in taken {
        by_form.entry(&message.form).or_default().push(message);
    }
    for (form, messages) in by_form {
        let said = format!(
            "{} times, first at daemon {}: {form}",
            messages.len(),
            messages[0].daemon
        );
        breach(found, "foreign heartbeats are refused", said);
    }
    check_work(events, found);
}

/// Requests are spread over the endpoints of a service: one without any is not served by its daemon.
fn check_work(events: &Events, found: &mut Vec<Breach>) {
    let from = events.calm_since + RECOVERY;
    for daemon in 0..events.daemons {
        let mut runs = events.runs.iter();
        if !runs.any(|run| run.daemon == daemon && run.at > from) {
            let said = format!("none beside daemon {daemon} after {from:?}");
            breach(found, "every endpoint has work", said);
        }
    }
}
