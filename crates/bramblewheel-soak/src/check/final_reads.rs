//! Checks that every control replica returns the acknowledged configuration at the end of a run.

use super::{APPLY_TIME, Breach, CONFIGURATION_RECOVERY_TIME, report_breach};
use crate::history::{Events, FinalRead};

/// Checks that each replica answered in time, and what it answered.
pub(super) fn check(
    events: &Events,
    version_of: &dyn Fn(&str) -> Option<u64>,
    found: &mut Vec<Breach>,
) {
    let due = events.last_fault_ended + CONFIGURATION_RECOVERY_TIME;
    for replica in 0..events.replicas {
        let mut reads = events.final_reads.iter();
        if !reads.any(|read| read.replica == replica && read.answered <= due) {
            let evidence = format!("none from replica {replica} until {due:?}");
            report_breach(found, "every replica returns the configuration", evidence);
        }
    }
    for read in &events.final_reads {
        check_read(events, read, version_of, found);
    }
}

fn check_read(
    events: &Events,
    read: &FinalRead,
    version_of: &dyn Fn(&str) -> Option<u64>,
    found: &mut Vec<Breach>,
) {
    const PROMISE: &str = "every replica keeps what was acknowledged";
    let replica = read.replica;
    let Some(shown) = version_of(&read.text) else {
        let evidence = format!("replica {replica} returned no whole configuration");
        return report_breach(found, PROMISE, evidence);
    };
    let is_due = |at| at + APPLY_TIME < read.sent;
    let due = events
        .orders
        .iter()
        .filter(|order| order.acknowledged.is_some_and(is_due));
    let newest = due.map(|order| order.version).max().unwrap_or(0);
    if shown < newest {
        let evidence = format!("replica {replica} returned {shown}, {newest} was acknowledged");
        report_breach(found, PROMISE, evidence);
    }
    if !is_text_of_version(events, shown, &read.text) {
        let evidence = format!("replica {replica} returned {shown} otherwise than it was sent");
        report_breach(found, PROMISE, evidence);
    }
}

/// Whether the text was sent as this version, and is the acknowledged one if one was acknowledged.
fn is_text_of_version(events: &Events, version: u64, text: &str) -> bool {
    let orders = || {
        let orders = events.orders.iter();
        orders.filter(move |order| order.version == version)
    };
    let has_acknowledged = orders().any(|order| order.acknowledged.is_some());
    let is_candidate =
        |order: &&crate::history::Order| order.acknowledged.is_some() || !has_acknowledged;
    orders()
        .filter(is_candidate)
        .any(|order| order.text == text)
}
