//! Client of the ledger; repeats requests until they are answered.
//!
//! The ledger is either the single ledger process or the control replicas. Control replicas get each
//! request as a batch of one operation.

use super::super::message::{Message, Timer};
use super::super::process_layout::ProcessLayout;
use super::Environment;
use crate::kernel::ProcessId;
use bramblewheel_core::event::{ClaimAnswer, LedgerRequest, StoredAnswer};
use bramblewheel_protocol::control::{
    ControlReply, ControlRequest, OperationAction, OperationAnswer, OperationReply,
    OperationRequest, ReplyBody, RequestBody, Unavailable,
};
use bramblewheel_types::{AttemptId, OperationKey};
use std::time::Duration;

/// Interval at which unanswered requests are repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Pending {
    attempt: AttemptId,
    request: LedgerRequest,
    /// Number of the last message that carried the request.
    last_message: u64,
}

/// Unanswered requests to the ledger.
#[derive(Debug)]
pub(super) struct LedgerClient {
    pending: Vec<Pending>,
    is_armed: bool,
    replicas: u32,
    /// Replica that receives the requests.
    target: u32,
    /// Whether a replica answered since the last repetition.
    has_reply: bool,
    incarnation: u64,
    last_message: u64,
}

impl LedgerClient {
    /// Creates a client of `replicas` control replicas, or of the single ledger process if 0.
    pub(super) fn new(replicas: u32, incarnation: u64) -> Self {
        Self {
            pending: Vec::new(),
            is_armed: false,
            replicas,
            target: 0,
            has_reply: false,
            incarnation,
            last_message: 0,
        }
    }

    /// Sends a request to the ledger.
    pub(super) fn send_request(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        request: LedgerRequest,
    ) {
        if matches!(request, LedgerRequest::Release { .. }) {
            self.drop_claim(attempt);
        }
        self.pending.push(Pending {
            attempt,
            request,
            last_message: 0,
        });
        self.send(environment, self.pending.len() - 1);
        self.arm(environment);
    }

    /// Drops a pending claim that is being released, so that it is not repeated.
    fn drop_claim(&mut self, attempt: AttemptId) {
        self.pending
            .retain(|pending| pending.attempt != attempt || !is_claim(&pending.request));
    }

    /// Handles an answer of the single ledger process; false if no such request is pending.
    pub(super) fn handle_answer(
        &mut self,
        attempt: AttemptId,
        key: &OperationKey,
        is_claim_answer: bool,
    ) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| {
            let is_same = pending.attempt == attempt && key_of(&pending.request) == key;
            !(is_same && is_claim(&pending.request) == is_claim_answer)
        });
        self.pending.len() < before
    }

    /// Handles the reply of a replica; returns the answer if the request was a claim.
    pub(super) fn handle_reply(
        &mut self,
        environment: &mut Environment<'_, '_>,
        reply: ControlReply,
    ) -> Option<(AttemptId, ClaimAnswer)> {
        let position = self
            .pending
            .iter()
            .position(|p| p.last_message == reply.id)?;
        match reply.body {
            ReplyBody::Operations(replies) => {
                self.has_reply = true;
                self.resolve(position, replies.into_iter().next()?)
            }
            ReplyBody::Unavailable(Unavailable::NotLeader(Some(leader))) => {
                let before = self.target;
                self.target = environment
                    .layout
                    .replica_number(ProcessLayout::process_at(leader));
                if self.target != before {
                    self.send(environment, position);
                }
                None
            }
            _ => {
                self.next_replica();
                None
            }
        }
    }

    fn resolve(
        &mut self,
        position: usize,
        reply: OperationReply,
    ) -> Option<(AttemptId, ClaimAnswer)> {
        if reply == OperationReply::Undecided {
            return None;
        }
        let resolved = self.pending.remove(position);
        is_claim(&resolved.request).then(|| (resolved.attempt, claim_answer(reply)))
    }

    fn next_replica(&mut self) {
        self.target = (self.target + 1) % self.replicas.max(1);
    }

    /// Repeats the unanswered requests.
    pub(super) fn repeat(&mut self, environment: &mut Environment<'_, '_>) {
        self.is_armed = false;
        if !std::mem::take(&mut self.has_reply) {
            self.next_replica();
        }
        for position in 0..self.pending.len() {
            self.send(environment, position);
        }
        if !self.pending.is_empty() {
            self.arm(environment);
        }
    }

    fn arm(&mut self, environment: &mut Environment<'_, '_>) {
        if !self.is_armed {
            self.is_armed = true;
            environment
                .context
                .set_timer(REPEAT_AFTER, Timer::RepeatLedger);
        }
    }

    fn send(&mut self, environment: &mut Environment<'_, '_>, position: usize) {
        self.last_message += 1;
        let pending = &mut self.pending[position];
        pending.last_message = self.last_message;
        let (attempt, request) = (pending.attempt, pending.request.clone());
        let (to, message) = if self.replicas == 0 {
            let message = Message::LedgerRequest { attempt, request };
            (environment.layout.ledger(), message)
        } else {
            let operation = operation(self.incarnation, attempt, request);
            let request = ControlRequest {
                id: self.last_message,
                body: RequestBody::Operations(vec![operation]),
            };
            let message = Message::ControlRequest(Box::new(request));
            (self.replica(environment), message)
        };
        environment.context.send(to, message);
    }

    fn replica(&self, environment: &Environment<'_, '_>) -> ProcessId {
        environment.layout.replica(self.target)
    }
}

fn operation(incarnation: u64, attempt: AttemptId, request: LedgerRequest) -> OperationRequest {
    let (key, action) = match request {
        LedgerRequest::Claim {
            key,
            minted_at_unix_millis,
        } => {
            let action = OperationAction::Claim {
                minted_at_unix_millis,
            };
            (key, action)
        }
        LedgerRequest::Complete {
            key,
            failed,
            answer,
        } => {
            let answer = OperationAnswer {
                failed,
                status: answer.status,
                body: answer.body.map(Into::into),
            };
            (key, OperationAction::Complete(answer))
        }
        LedgerRequest::Release { key } => (key, OperationAction::Release),
    };
    OperationRequest {
        key,
        incarnation,
        attempt: attempt.0,
        action,
    }
}

fn claim_answer(reply: OperationReply) -> ClaimAnswer {
    match reply {
        OperationReply::Granted => ClaimAnswer::Granted,
        OperationReply::Completed(answer) => ClaimAnswer::Completed {
            failed: answer.failed,
            answer: StoredAnswer {
                status: answer.status,
                body: answer.body.map(|body| body.into_vec()),
            },
        },
        OperationReply::Held => ClaimAnswer::HeldElsewhere,
        OperationReply::Expired => ClaimAnswer::Expired,
        OperationReply::Recorded | OperationReply::Absent | OperationReply::Undecided => {
            ClaimAnswer::Unavailable
        }
    }
}

fn is_claim(request: &LedgerRequest) -> bool {
    matches!(request, LedgerRequest::Claim { .. })
}

fn key_of(request: &LedgerRequest) -> &OperationKey {
    match request {
        LedgerRequest::Claim { key, .. }
        | LedgerRequest::Complete { key, .. }
        | LedgerRequest::Release { key } => key,
    }
}
