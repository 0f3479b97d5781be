//! A daemon's requests to the ledger, repeated until they are answered.

use super::super::message::{Message, Timer};
use super::Environment;
use bramblewheel_core::event::LedgerRequest;
use bramblewheel_types::{AttemptId, OperationKey};
use std::time::Duration;

/// Time after which unanswered requests are repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Pending {
    attempt: AttemptId,
    request: LedgerRequest,
}

/// Requests to the ledger that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct LedgerClient {
    pending: Vec<Pending>,
    is_armed: bool,
}

impl LedgerClient {
    /// Asks the ledger.
    pub(super) fn ask(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        request: LedgerRequest,
    ) {
        if matches!(request, LedgerRequest::Release { .. }) {
            self.forget_claim(attempt);
        }
        send(environment, attempt, request.clone());
        self.pending.push(Pending { attempt, request });
        self.arm(environment);
    }

    /// A claim that is given up is not asked for again.
    fn forget_claim(&mut self, attempt: AttemptId) {
        self.pending
            .retain(|pending| pending.attempt != attempt || !is_claim(&pending.request));
    }

    /// The ledger answered; false if nothing of the kind was asked.
    pub(super) fn answered(
        &mut self,
        attempt: AttemptId,
        key: &OperationKey,
        answers_claim: bool,
    ) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| {
            let is_same = pending.attempt == attempt && key_of(&pending.request) == key;
            !(is_same && is_claim(&pending.request) == answers_claim)
        });
        self.pending.len() < before
    }

    /// Time to ask again.
    pub(super) fn repeat(&mut self, environment: &mut Environment<'_, '_>) {
        self.is_armed = false;
        for pending in &self.pending {
            send(environment, pending.attempt, pending.request.clone());
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
}

fn send(environment: &mut Environment<'_, '_>, attempt: AttemptId, request: LedgerRequest) {
    let ledger = environment.places.ledger();
    environment
        .context
        .send(ledger, Message::AskLedger { attempt, request });
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
