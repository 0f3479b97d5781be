//! Counts of the events of a run by name. A name without events is absent.

use super::super::content::Content;
use super::super::message::SendId;
use super::super::record::Record;
use super::super::topology::Topology;
use crate::kernel::{Entry, Fact};
use bramblewheel_types::Outcome;
use std::collections::{BTreeMap, BTreeSet};

/// Counts the events of a history.
pub(super) fn count(history: &[Entry<Record>], topology: &Topology) -> BTreeMap<&'static str, u64> {
    let mut counts = Counts::default();
    for entry in history {
        match &entry.fact {
            Fact::Domain(record) => counts.add(record),
            Fact::Stopped(_) => counts.increase("stops"),
            _ => {}
        }
    }
    counts.finish(topology)
}

#[derive(Default)]
struct Counts {
    figures: BTreeMap<&'static str, u64>,
    /// Whether the request of each person was completed.
    completed: BTreeMap<u64, bool>,
    /// Contents that ran at least once.
    ran: BTreeSet<Content>,
    /// Person of each send.
    persons: BTreeMap<SendId, u64>,
}

impl Counts {
    fn increase(&mut self, name: &'static str) {
        *self.figures.entry(name).or_default() += 1;
    }

    fn add(&mut self, record: &Record) {
        match record {
            Record::Sent { .. } => self.add_send(record),
            Record::Ran { content, .. } => {
                self.increase("runs");
                if !self.ran.insert(*content) {
                    self.increase("extra_runs");
                }
            }
            Record::Told {
                send,
                outcome,
                answered,
                ..
            } => self.add_answer(*send, *outcome, *answered),
            Record::GaveUp { .. } => self.increase("gave_up"),
            Record::NotReached { .. } => self.increase("not_reached"),
            Record::Stopped { .. } => self.increase("runs_stopped"),
            Record::Replied { outcome, .. } if outcome.is_not_run() => {
                self.increase("attempts_refused");
            }
            Record::Fault(_) => self.increase("faults"),
            _ => {}
        }
    }

    fn add_send(&mut self, record: &Record) {
        let Record::Sent {
            send,
            person,
            resend,
            operation,
            has_token,
            ..
        } = record
        else {
            return;
        };
        self.increase("sends");
        if *has_token {
            self.increase("session_sends");
        }
        self.persons.insert(*send, *person);
        self.completed.entry(*person).or_insert(false);
        if *resend > 0 {
            self.increase("resends");
        }
        if operation.is_some() {
            self.increase("operation_sends");
        }
    }

    fn add_answer(&mut self, send: SendId, outcome: Outcome, answered: Option<Content>) {
        self.increase(match outcome {
            Outcome::Completed => "told_completed",
            Outcome::NotRun { .. } => "told_not_run",
            Outcome::Failed => "told_failed",
            Outcome::Unknown => "told_unknown",
        });
        if outcome != Outcome::Completed {
            return;
        }
        self.completed.insert(self.persons[&send], true);
        let is_stored = answered != Some(Content::Root(send));
        if is_stored {
            self.increase("stored_answers");
        }
    }

    fn finish(mut self, topology: &Topology) -> BTreeMap<&'static str, u64> {
        let requests = self.completed.len() as u64;
        let completed = self.completed.values().filter(|done| **done).count() as u64;
        self.figures.insert("requests", requests);
        self.figures.insert("requests_completed", completed);
        self.figures
            .insert("endpoints", topology.endpoints.len() as u64);
        self.figures
    }
}
