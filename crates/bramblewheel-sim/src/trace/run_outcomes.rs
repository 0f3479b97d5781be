//! Outcomes of the sends of a simulated run, and the runs at endpoints that they caused.

use super::outcome::StatedOutcome;
use crate::kernel::{Entry, Fact};
use crate::requests::{Content, Record, RunId, SendId};
use bramblewheel_types::{OperationKey, RequestId, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time and outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendOutcome {
    /// Virtual time at which the send ended.
    pub at: Timestamp,
    /// Outcome for the caller.
    pub outcome: StatedOutcome,
}

/// A run of a request or sub-call at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct ObservedRun {
    /// The caller's send at the root of the call tree; `None` if unknown.
    pub(super) root: Option<SendId>,
    pub(super) content: Content,
    pub(super) request: RequestId,
    pub(super) operation: Option<OperationKey>,
}

/// Outcomes of the sends of a simulated run, and the runs at endpoints that they caused.
#[derive(Clone, Debug, Default)]
pub struct RunOutcomes {
    /// Sends that have ended, by id.
    pub sends: BTreeMap<SendId, SendOutcome>,
    pub(super) runs: Vec<ObservedRun>,
}

impl RunOutcomes {
    pub(super) fn new(history: &[Entry<Record>]) -> Self {
        let mut outcomes = Self::default();
        let mut roots = HashMap::new();
        for entry in history {
            if let Fact::Domain(record) = &entry.fact {
                outcomes.add(entry.at, record, &mut roots);
            }
        }
        outcomes
    }

    fn add(&mut self, at: Timestamp, record: &Record, roots: &mut HashMap<RunId, SendId>) {
        match record {
            Record::Told { send, outcome, .. } => self.record_end(at, *send, (*outcome).into()),
            Record::NotReached { send } => self.record_end(at, *send, StatedOutcome::NotReached),
            Record::GaveUp { send, .. } => self.record_end(at, *send, StatedOutcome::GaveUp),
            Record::Ran {
                run,
                content,
                request,
                operation,
                ..
            } => {
                let root = match content {
                    Content::Root(send) => Some(*send),
                    Content::SubCall { run, .. } => roots.get(run).copied(),
                };
                if let Some(root) = root {
                    roots.insert(*run, root);
                }
                self.runs.push(ObservedRun {
                    root,
                    content: *content,
                    request: *request,
                    operation: operation.clone(),
                });
            }
            _ => {}
        }
    }

    fn record_end(&mut self, at: Timestamp, send: SendId, outcome: StatedOutcome) {
        self.sends.insert(send, SendOutcome { at, outcome });
    }

    /// Number of runs at endpoints.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }
}
