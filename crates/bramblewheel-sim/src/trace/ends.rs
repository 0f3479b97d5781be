//! How the sends of a run ended, and what ran for them.

use super::outcome::StatedOutcome;
use crate::kernel::{Entry, Fact};
use crate::requests::{Content, Record, RunId, SendId};
use bramblewheel_types::{OperationKey, RequestId, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendEnd {
    /// When.
    pub at: Timestamp,
    /// How.
    pub outcome: StatedOutcome,
}

/// A run at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct SeenRun {
    /// The send at the root of its call tree.
    pub(super) root: Option<SendId>,
    pub(super) content: Content,
    pub(super) request: RequestId,
    pub(super) operation: Option<OperationKey>,
}

/// How the sends of a run ended, and what ran for them.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    /// Sends that ended.
    pub sends: BTreeMap<SendId, SendEnd>,
    pub(super) runs: Vec<SeenRun>,
}

impl Ends {
    pub(super) fn new(history: &[Entry<Record>]) -> Self {
        let mut ends = Self::default();
        let mut roots = HashMap::new();
        for entry in history {
            if let Fact::Domain(record) = &entry.fact {
                ends.add(entry.at, record, &mut roots);
            }
        }
        ends
    }

    fn add(&mut self, at: Timestamp, record: &Record, roots: &mut HashMap<RunId, SendId>) {
        match record {
            Record::Told { send, outcome, .. } => self.end(at, *send, (*outcome).into()),
            Record::NotReached { send } => self.end(at, *send, StatedOutcome::NotReached),
            Record::GaveUp { send, .. } => self.end(at, *send, StatedOutcome::GaveUp),
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
                self.runs.push(SeenRun {
                    root,
                    content: *content,
                    request: *request,
                    operation: operation.clone(),
                });
            }
            _ => {}
        }
    }

    fn end(&mut self, at: Timestamp, send: SendId, outcome: StatedOutcome) {
        self.sends.insert(send, SendEnd { at, outcome });
    }

    /// Runs at endpoints.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }
}
