//! Client of the run-once ledger: sends requests in batches and repeats them until they are answered
//! or time out.

use crate::control::link::Link;
use crate::driver::Driver;
use crate::metrics::Metrics;
use bramblewheel_core::event::{ClaimAnswer, Event, LedgerRequest, StoredAnswer};
use bramblewheel_protocol::control::{
    OperationAction, OperationAnswer, OperationReply, OperationRequest, ReplyBody, RequestBody,
};
use bramblewheel_types::{AttemptId, OperationKey};
use serde_bytes::ByteBuf;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Time-out of a claim, for the ledger client and for the engine.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out for recording an answer or a release.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);
/// Time-out of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of one batch.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a batch with unanswered requests.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of requests in one batch.
const MAX_BATCH: usize = 256;
/// Maximum number of waiting requests; further claims are refused at once.
const MAX_WAITING: usize = 16_384;

/// A job for the ledger client.
#[derive(Debug)]
pub enum LedgerJob {
    /// A request of the engine.
    Engine {
        /// The attempt for which the request is made.
        attempt: AttemptId,
        /// The request.
        request: LedgerRequest,
    },
    /// A request of an operator for the state of an operation.
    Status {
        /// The operation.
        key: OperationKey,
        /// Receives the answer; dropped without a message if there is none.
        answer: oneshot::Sender<OperationReply>,
    },
}

/// The task that sends requests to the ledger.
pub struct LedgerClient {
    jobs: mpsc::UnboundedReceiver<LedgerJob>,
    waiting: Vec<Pending>,
    link: Link,
    incarnation: u64,
    driver: Arc<Driver>,
    log: Logger,
}

#[derive(Debug)]
struct Pending {
    request: OperationRequest,
    until: Instant,
    status: Option<oneshot::Sender<OperationReply>>,
}

impl LedgerClient {
    /// Creates a client that identifies itself by `incarnation` and submits claim answers to
    /// `driver`.
    pub fn new(
        jobs: mpsc::UnboundedReceiver<LedgerJob>,
        replicas: Vec<SocketAddr>,
        incarnation: u64,
        driver: Arc<Driver>,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        Self {
            jobs,
            waiting: Vec::new(),
            link: Link::new(replicas, incarnation, metrics),
            incarnation,
            driver,
            log,
        }
    }

    /// Runs until all job senders are dropped.
    pub async fn run(mut self) {
        loop {
            if self.waiting.is_empty() {
                let Some(job) = self.jobs.recv().await else {
                    return;
                };
                self.enqueue(job);
            }
            while let Ok(job) = self.jobs.try_recv() {
                self.enqueue(job);
            }
            self.drop_expired();
            if !self.waiting.is_empty() {
                self.send_batch().await;
            }
        }
    }

    fn enqueue(&mut self, job: LedgerJob) {
        let now = Instant::now();
        match job {
            LedgerJob::Engine { attempt, request } => self.enqueue_request(now, attempt, request),
            LedgerJob::Status { key, answer } => {
                let request = self.request(key, AttemptId(0), OperationAction::Status);
                self.waiting.push(Pending {
                    request,
                    until: now + STATUS_TIMEOUT,
                    status: Some(answer),
                });
            }
        }
    }

    fn enqueue_request(&mut self, now: Instant, attempt: AttemptId, request: LedgerRequest) {
        let (key, action, timeout) = match request {
            LedgerRequest::Claim {
                key,
                minted_at_unix_millis,
            } => {
                let action = OperationAction::Claim {
                    minted_at_unix_millis,
                };
                (key, action, CLAIM_TIMEOUT)
            }
            LedgerRequest::Complete {
                key,
                failed,
                answer,
            } => {
                let action = OperationAction::Complete(to_wire(failed, answer));
                (key, action, RECORD_TIMEOUT)
            }
            LedgerRequest::Release { key } => {
                self.drop_pending_claim(attempt);
                (key, OperationAction::Release, RECORD_TIMEOUT)
            }
        };
        let is_claim = matches!(action, OperationAction::Claim { .. });
        if is_claim && self.waiting.len() >= MAX_WAITING {
            return self.answer_claim(attempt, ClaimAnswer::Unavailable);
        }
        let request = self.request(key, attempt, action);
        self.waiting.push(Pending {
            request,
            until: now + timeout,
            status: None,
        });
    }

    fn request(
        &self,
        key: OperationKey,
        attempt: AttemptId,
        action: OperationAction,
    ) -> OperationRequest {
        OperationRequest {
            key,
            incarnation: self.incarnation,
            attempt: attempt.0,
            action,
        }
    }

    /// Drops the pending claim of an attempt, which must not be sent again after its release.
    fn drop_pending_claim(&mut self, attempt: AttemptId) {
        self.waiting
            .retain(|p| !(p.is_claim() && p.request.attempt == attempt.0));
    }

    fn drop_expired(&mut self) {
        let now = Instant::now();
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|pending| pending.until <= now);
        self.waiting = waiting;
        for pending in expired {
            self.expire(pending);
        }
    }

    /// Handles a timed-out request. A claim may have been recorded nevertheless, so it is released.
    fn expire(&mut self, pending: Pending) {
        let request = pending.request;
        match request.action {
            OperationAction::Claim { .. } => {
                let attempt = AttemptId(request.attempt);
                let release = self.request(request.key, attempt, OperationAction::Release);
                self.waiting.push(Pending {
                    request: release,
                    until: Instant::now() + RECORD_TIMEOUT,
                    status: None,
                });
                self.answer_claim(attempt, ClaimAnswer::Unavailable);
            }
            OperationAction::Complete(_) | OperationAction::Release => {
                slog::error!(self.log, "operation not recorded";
                    "key" => request.key.as_str(), "attempt" => request.attempt);
            }
            OperationAction::Status => {}
        }
    }

    async fn send_batch(&mut self) {
        let count = self.waiting.len().min(MAX_BATCH);
        let batch: Vec<Pending> = self.waiting.drain(..count).collect();
        let requests = batch.iter().map(|p| p.request.clone()).collect();
        let batch_request = RequestBody::Operations(requests);
        let unanswered = match self.link.query(batch_request, BATCH_TIMEOUT).await {
            Ok(ReplyBody::Operations(replies)) if replies.len() == batch.len() => {
                self.link.record_success();
                self.settle(batch, replies)
            }
            Ok(other) => {
                slog::warn!(self.log, "unexpected ledger answer"; "answer" => ?other);
                self.link.next_replica();
                batch
            }
            Err(error) => {
                slog::debug!(self.log, "ledger not reached"; "error" => %error);
                self.link.back_off().await;
                batch
            }
        };
        if unanswered.is_empty() {
            return;
        }
        // Put back at the front, so that the requests of one attempt stay in order.
        self.waiting.splice(0..0, unanswered);
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    /// Delivers answers and returns the requests that are still unanswered.
    fn settle(&self, batch: Vec<Pending>, replies: Vec<OperationReply>) -> Vec<Pending> {
        let mut unanswered = Vec::new();
        for (mut pending, reply) in batch.into_iter().zip(replies) {
            if reply == OperationReply::Undecided {
                unanswered.push(pending);
            } else if let Some(status) = pending.status.take() {
                // The operator may have disconnected.
                let _ = status.send(reply);
            } else if pending.is_claim() {
                let attempt = AttemptId(pending.request.attempt);
                self.answer_claim(attempt, claim_answer(reply));
            }
        }
        unanswered
    }

    fn answer_claim(&self, attempt: AttemptId, answer: ClaimAnswer) {
        self.driver.submit(Event::ClaimAnswered { attempt, answer });
    }
}

impl Pending {
    fn is_claim(&self) -> bool {
        matches!(self.request.action, OperationAction::Claim { .. })
    }
}

fn claim_answer(reply: OperationReply) -> ClaimAnswer {
    match reply {
        OperationReply::Granted => ClaimAnswer::Granted,
        OperationReply::Completed(answer) => ClaimAnswer::Completed {
            failed: answer.failed,
            answer: from_wire(answer),
        },
        OperationReply::Held => ClaimAnswer::HeldElsewhere,
        OperationReply::Expired => ClaimAnswer::Expired,
        OperationReply::Recorded | OperationReply::Absent | OperationReply::Undecided => {
            ClaimAnswer::Unavailable
        }
    }
}

fn to_wire(failed: bool, answer: StoredAnswer) -> OperationAnswer {
    OperationAnswer {
        failed,
        status: answer.status,
        body: answer.body.map(ByteBuf::from),
    }
}

fn from_wire(answer: OperationAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status,
        body: answer.body.map(ByteBuf::into_vec),
    }
}
