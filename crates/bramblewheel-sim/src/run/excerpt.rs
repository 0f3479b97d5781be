//! Excerpts of a history for reports: the entries that show a violation, and the faults, starts and stops between
//! them.

use crate::control::{ControlRecord, ProcessRoles};
use crate::kernel::{Entry, Fact};
use crate::requests::Record;

/// Largest number of lines in an excerpt.
const MAX_LINES: usize = 40;

pub(super) fn excerpt(
    history: &[Entry<ControlRecord>],
    roles: &ProcessRoles,
    evidence: &[usize],
) -> Vec<String> {
    let (Some(&first), Some(&last)) = (evidence.iter().min(), evidence.iter().max()) else {
        return Vec::new();
    };
    let included = (first..=last).filter(|index| {
        let is_evidence = evidence.contains(index);
        is_evidence || is_background(&history[*index].fact)
    });
    let lines: Vec<String> = included
        .map(|index| control_line(&history[index], roles))
        .collect();
    shorten(lines)
}

/// Excerpt of a run of kind `requests`, where processes have only numbers.
pub(super) fn excerpt_of_requests(history: &[Entry<Record>], evidence: &[usize]) -> Vec<String> {
    let (Some(&first), Some(&last)) = (evidence.iter().min(), evidence.iter().max()) else {
        return Vec::new();
    };
    let included = (first..=last).filter(|index| {
        let is_background = match &history[*index].fact {
            Fact::Domain(record) => matches!(record, Record::Fault(_)),
            _ => true,
        };
        evidence.contains(index) || is_background
    });
    let lines = included.map(|index| {
        let entry = &history[index];
        let process_name = match entry.process {
            Some(process) => process.0.to_string(),
            None => "-".to_owned(),
        };
        format_line(entry, &process_name)
    });
    shorten(lines.collect())
}

fn is_background(fact: &Fact<ControlRecord>) -> bool {
    match fact {
        Fact::Domain(record) => matches!(
            record,
            ControlRecord::Fault(_)
                | ControlRecord::FaultEnded(_)
                | ControlRecord::IdentityLost { .. }
                | ControlRecord::RepairDone { .. }
                | ControlRecord::Leading { .. }
                | ControlRecord::Healed
        ),
        _ => true,
    }
}

fn control_line(entry: &Entry<ControlRecord>, roles: &ProcessRoles) -> String {
    let process_name = match entry.process {
        Some(process) => roles.name(process),
        None => "-".to_owned(),
    };
    format_line(entry, &process_name)
}

fn format_line<R: std::fmt::Debug>(entry: &Entry<R>, process_name: &str) -> String {
    let seconds = entry.at.0 / 1_000_000;
    let micros = entry.at.0 % 1_000_000;
    let event = match &entry.fact {
        Fact::Domain(record) => format!("{record:?}"),
        other => format!("{other:?}"),
    };
    format!("{seconds}.{micros:06} {process_name} {event}")
}

/// Replaces the middle of a long excerpt by the number of omitted lines.
fn shorten(mut lines: Vec<String>) -> Vec<String> {
    if lines.len() <= MAX_LINES {
        return lines;
    }
    let half = MAX_LINES / 2;
    let omitted = lines.len() - MAX_LINES;
    let end = lines.split_off(lines.len() - half);
    lines.truncate(half);
    lines.push(format!("({omitted} lines left out)"));
    lines.extend(end);
    lines
}
