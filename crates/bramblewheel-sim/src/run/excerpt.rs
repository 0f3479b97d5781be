//! The shortest useful part of a history: the lines that show a violation, and between them the
//! faults, starts and stops.

use crate::control::{Cast, ControlRecord};
use crate::kernel::{Entry, Fact};
use crate::requests::Record;

/// Most lines of an excerpt.
const MAX_LINES: usize = 40;

pub(super) fn excerpt(
    history: &[Entry<ControlRecord>],
    cast: &Cast,
    evidence: &[usize],
) -> Vec<String> {
    let (Some(&first), Some(&last)) = (evidence.iter().min(), evidence.iter().max()) else {
        return Vec::new();
    };
    let useful = (first..=last).filter(|index| {
        let is_evidence = evidence.contains(index);
        is_evidence || is_background(&history[*index].fact)
    });
    let lines: Vec<String> = useful.map(|index| line(&history[index], cast)).collect();
    shorten(lines)
}

/// The same of a run of kind `requests`, in which processes have numbers only.
pub(super) fn of_requests(history: &[Entry<Record>], evidence: &[usize]) -> Vec<String> {
    let (Some(&first), Some(&last)) = (evidence.iter().min(), evidence.iter().max()) else {
        return Vec::new();
    };
    let useful = (first..=last).filter(|index| {
        let is_background = match &history[*index].fact {
            Fact::Domain(record) => matches!(record, Record::Fault(_)),
            _ => true,
        };
        evidence.contains(index) || is_background
    });
    let lines = useful.map(|index| {
        let entry = &history[index];
        let who = match entry.process {
            Some(process) => process.0.to_string(),
            None => "-".to_owned(),
        };
        line_of(entry, &who)
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

fn line(entry: &Entry<ControlRecord>, cast: &Cast) -> String {
    let who = match entry.process {
        Some(process) => cast.name(process),
        None => "-".to_owned(),
    };
    line_of(entry, &who)
}

fn line_of<R: std::fmt::Debug>(entry: &Entry<R>, who: &str) -> String {
    let seconds = entry.at.0 / 1_000_000;
    let micros = entry.at.0 % 1_000_000;
    let what = match &entry.fact {
        Fact::Domain(record) => format!("{record:?}"),
        other => format!("{other:?}"),
    };
    format!("{seconds}.{micros:06} {who} {what}")
}

/// Leaves out the middle of what is too long.
fn shorten(mut lines: Vec<String>) -> Vec<String> {
    if lines.len() <= MAX_LINES {
        return lines;
    }
    let half = MAX_LINES / 2;
    let left_out = lines.len() - MAX_LINES;
    let end = lines.split_off(lines.len() - half);
    lines.truncate(half);
    lines.push(format!("({left_out} lines left out)"));
    lines.extend(end);
    lines
}
