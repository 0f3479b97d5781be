//! The ledger of run-once operations as a single process that answers after the delay of a quorum.
//!
//! It replaces the control replicas; daemons talk to it with [`Message::LedgerRequest`] and
//! [`Message::LedgerAnswer`] only.

use super::actor::RequestActor;
use super::message::{Message, Timer};
use crate::kernel::{Context, ProcessId};
use bramblewheel_core::event::{ClaimAnswer, LedgerRequest, StoredAnswer};
use bramblewheel_types::{AttemptId, OperationKey};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Operation {
    Held(AttemptId),
    Completed { failed: bool, answer: StoredAnswer },
}

#[derive(Debug)]
struct Pending {
    to: ProcessId,
    attempt: AttemptId,
    request: LedgerRequest,
}

/// The ledger process.
#[derive(Debug)]
pub struct LedgerService {
    commit_time: Duration,
    operations: BTreeMap<OperationKey, Operation>,
    /// Attempts whose claim was released; a late duplicate of such a claim is not granted.
    released: BTreeMap<(OperationKey, AttemptId), ()>,
    pending: BTreeMap<u64, Pending>,
    received: u64,
}

impl LedgerService {
    /// Creates an empty ledger whose commits take `commit_time`.
    pub fn new(commit_time: Duration) -> Self {
        Self {
            commit_time,
            operations: BTreeMap::new(),
            released: BTreeMap::new(),
            pending: BTreeMap::new(),
            received: 0,
        }
    }

    pub(super) fn receive(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        from: ProcessId,
        message: Message,
    ) {
        let Message::LedgerRequest { attempt, request } = message else {
            return;
        };
        self.received += 1;
        let pending = Pending {
            to: from,
            attempt,
            request,
        };
        self.pending.insert(self.received, pending);
        context.set_timer(self.commit_time, Timer::LedgerReady(self.received));
    }

    pub(super) fn timer(&mut self, context: &mut Context<'_, RequestActor>, timer: &Timer) {
        let Timer::LedgerReady(number) = timer else {
            return;
        };
        let Some(pending) = self.pending.remove(number) else {
            return;
        };
        let Pending {
            to,
            attempt,
            request,
        } = pending;
        let (key, answer) = self.apply(attempt, request);
        let answer = Message::LedgerAnswer {
            attempt,
            key,
            answer,
        };
        context.send(to, answer);
    }

    fn apply(
        &mut self,
        attempt: AttemptId,
        request: LedgerRequest,
    ) -> (OperationKey, Option<ClaimAnswer>) {
        match request {
            LedgerRequest::Claim { key, .. } => {
                let answer = self.claim(&key, attempt);
                (key, Some(answer))
            }
            LedgerRequest::Complete {
                key,
                failed,
                answer,
            } => {
                if self.is_held_by(&key, attempt) {
                    let completed = Operation::Completed { failed, answer };
                    self.operations.insert(key.clone(), completed);
                }
                (key, None)
            }
            LedgerRequest::Release { key } => {
                if self.is_held_by(&key, attempt) {
                    self.operations.remove(&key);
                }
                self.released.insert((key.clone(), attempt), ());
                (key, None)
            }
        }
    }

    fn is_held_by(&self, key: &OperationKey, attempt: AttemptId) -> bool {
        matches!(self.operations.get(key), Some(Operation::Held(holder)) if *holder == attempt)
    }

    fn claim(&mut self, key: &OperationKey, attempt: AttemptId) -> ClaimAnswer {
        match self.operations.get(key) {
            Some(Operation::Held(holder)) if *holder == attempt => ClaimAnswer::Granted,
            Some(Operation::Held(_)) => ClaimAnswer::HeldElsewhere,
            Some(Operation::Completed { failed, answer }) => ClaimAnswer::Completed {
                failed: *failed,
                answer: answer.clone(),
            },
            None if self.released.contains_key(&(key.clone(), attempt)) => ClaimAnswer::Unavailable,
            None => {
                self.operations
                    .insert(key.clone(), Operation::Held(attempt));
                ClaimAnswer::Granted
            }
        }
    }
}
