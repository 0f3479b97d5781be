//! Index of a history by send, run and process.

use super::super::content::{Content, RunId};
use super::super::faults::FaultRecord;
use super::super::message::SendId;
use super::super::record::Record;
use super::super::topology::{EndpointIndex, FlowIndex};
use crate::kernel::{Entry, Fact, ProcessId};
use bramblewheel_types::{OperationKey, Outcome, RequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A send by a caller.
#[derive(Debug)]
pub(super) struct Send {
    pub(super) at: Timestamp,
    pub(super) index: usize,
    pub(super) person: u64,
    pub(super) to: ProcessId,
    pub(super) flow: FlowIndex,
    pub(super) request: RequestId,
    pub(super) operation: Option<OperationKey>,
    pub(super) end: Option<SendEnd>,
}

/// End of a send.
#[derive(Debug)]
pub(super) struct SendEnd {
    pub(super) at: Timestamp,
    pub(super) index: usize,
    pub(super) outcome: CallerOutcome,
}

/// Outcome of a send, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerOutcome {
    /// Answered, with the outcome and the content that the answer belongs to.
    Answer(Outcome, Option<Content>),
    /// No connection could be opened.
    NotReached,
    /// The caller stopped waiting without an answer.
    Nothing,
}

/// A run at an endpoint.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) at: Timestamp,
    pub(super) index: usize,
    pub(super) endpoint: EndpointIndex,
    pub(super) content: Content,
    pub(super) request: RequestId,
    pub(super) operation: Option<OperationKey>,
    /// When the run ended on its own, and whether it succeeded.
    pub(super) ended: Option<(Timestamp, bool)>,
    /// When the run was cancelled.
    pub(super) stopped: Option<Timestamp>,
}

/// End of a sub-call, as the calling endpoint saw it.
#[derive(Debug)]
pub(super) struct SubCallEnd {
    pub(super) index: usize,
    pub(super) content: Content,
    pub(super) outcome: Outcome,
    pub(super) answered: Option<Content>,
}

/// Time spans during which a condition held.
#[derive(Debug, Default)]
pub(super) struct Spans(Vec<(Timestamp, Timestamp)>);

impl Spans {
    fn begin(&mut self, at: Timestamp) {
        let is_open = |span: &(Timestamp, Timestamp)| span.1 == Timestamp::NEVER;
        if !self.0.last().is_some_and(is_open) {
            self.0.push((at, Timestamp::NEVER));
        }
    }

    fn end(&mut self, at: Timestamp) {
        if let Some((_, end)) = self.0.last_mut()
            && *end == Timestamp::NEVER
        {
            *end = at;
        }
    }

    pub(super) fn overlap(&self, from: Timestamp, to: Timestamp) -> bool {
        self.0
            .iter()
            .any(|(begin, end)| *begin <= to && *end >= from)
    }
}

/// Index of a history by send, run and process.
#[derive(Debug, Default)]
pub(super) struct Facts {
    pub(super) sends: BTreeMap<SendId, Send>,
    pub(super) runs: BTreeMap<RunId, Run>,
    pub(super) sub_calls: Vec<SubCallEnd>,
    pub(super) duplicate_answers: Vec<(usize, SendId)>,
    /// Time spans during which a process was frozen or stopped.
    pub(super) unavailable: BTreeMap<ProcessId, Spans>,
    /// Time spans during which any zone was cut off.
    pub(super) zone_cuts: Spans,
    /// Runs by content.
    by_content: BTreeMap<Content, BTreeSet<RunId>>,
}

impl Facts {
    pub(super) fn new(history: &[Entry<Record>]) -> Self {
        let mut facts = Self::default();
        for (index, entry) in history.iter().enumerate() {
            facts.add(index, entry);
        }
        facts
    }

    fn add(&mut self, index: usize, entry: &Entry<Record>) {
        let at = entry.at;
        match (&entry.fact, entry.process) {
            (Fact::Domain(record), _) => self.add_record(index, at, record),
            (Fact::Stopped(_) | Fact::Frozen, Some(process)) => {
                self.unavailable.entry(process).or_default().begin(at);
            }
            (Fact::Started(_) | Fact::Thawed, Some(process)) => {
                self.unavailable.entry(process).or_default().end(at);
            }
            _ => {}
        }
    }

    fn add_record(&mut self, index: usize, at: Timestamp, record: &Record) {
        match record {
            Record::Sent {
                send,
                person,
                to,
                flow,
                request,
                operation,
                ..
            } => {
                let sent = Send {
                    at,
                    index,
                    person: *person,
                    to: *to,
                    flow: *flow,
                    request: *request,
                    operation: operation.clone(),
                    end: None,
                };
                self.sends.insert(*send, sent);
            }
            Record::Told {
                send,
                outcome,
                answered,
                ..
            } => self.end_send(index, at, *send, CallerOutcome::Answer(*outcome, *answered)),
            Record::NotReached { send } => {
                self.end_send(index, at, *send, CallerOutcome::NotReached)
            }
            Record::GaveUp { send, .. } => self.end_send(index, at, *send, CallerOutcome::Nothing),
            Record::ToldAgain { send } => self.duplicate_answers.push((index, *send)),
            Record::SubCallTold {
                run,
                position,
                outcome,
                answered,
            } => self.sub_calls.push(SubCallEnd {
                index,
                content: Content::SubCall {
                    run: *run,
                    position: *position,
                },
                outcome: *outcome,
                answered: *answered,
            }),
            Record::Fault(FaultRecord::ZoneCut { .. }) => self.zone_cuts.begin(at),
            Record::Fault(FaultRecord::Healed) => self.zone_cuts.end(at),
            _ => self.add_run(index, at, record),
        }
    }

    fn add_run(&mut self, index: usize, at: Timestamp, record: &Record) {
        match record {
            Record::Ran {
                endpoint,
                run,
                content,
                request,
                operation,
                ..
            } => {
                self.by_content.entry(*content).or_default().insert(*run);
                let begun = Run {
                    at,
                    index,
                    endpoint: *endpoint,
                    content: *content,
                    request: *request,
                    operation: operation.clone(),
                    ended: None,
                    stopped: None,
                };
                self.runs.insert(*run, begun);
            }
            Record::Ended {
                run, is_success, ..
            } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.ended = Some((at, *is_success));
                }
            }
            Record::Stopped { run, .. } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.stopped = Some(at);
                }
            }
            _ => {}
        }
    }

    fn end_send(&mut self, index: usize, at: Timestamp, send: SendId, outcome: CallerOutcome) {
        if let Some(sent) = self.sends.get_mut(&send) {
            sent.end = Some(SendEnd { at, index, outcome });
        }
    }

    /// Runs of a content.
    pub(super) fn runs_of(&self, content: Content) -> impl Iterator<Item = &Run> {
        let runs = self.by_content.get(&content).into_iter().flatten();
        runs.map(|run| &self.runs[run])
    }

    /// The send at the root of a run's call tree.
    pub(super) fn root_of(&self, run: &Run) -> Option<SendId> {
        let mut content = run.content;
        loop {
            match content {
                Content::Root(send) => return Some(send),
                Content::SubCall { run, .. } => content = self.runs.get(&run)?.content,
            }
        }
    }

    /// Whether a process was frozen or stopped at any time in a span.
    pub(super) fn was_unavailable(
        &self,
        process: ProcessId,
        from: Timestamp,
        to: Timestamp,
    ) -> bool {
        self.unavailable
            .get(&process)
            .is_some_and(|spans| spans.overlap(from, to))
    }
}
