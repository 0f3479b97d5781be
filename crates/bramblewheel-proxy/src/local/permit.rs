//! Guards for a slot at the local endpoint and for a place in the queue.
//!
//! Both are released when dropped, so that a request cancelled at any point leaves nothing behind.

use super::{LocalEndpoint, StatementChange};
use crate::dialect::EndpointStatement;
use bramblewheel_decisions::admission::QueuePosition;
use bramblewheel_decisions::class_limit::Answered;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::RunningId;
use bramblewheel_process::clock::Clock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after a failed call within which an error of the endpoint is attributed to that call.
const CALL_FAILURE_WINDOW: Duration = Duration::from_millis(15);

/// A slot at the endpoint; released when dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) local: Arc<LocalEndpoint>,
    pub(super) clock: Clock,
    pub(super) class_entry: ClassEntry,
    pub(super) started_at: Timestamp,
    pub(super) answered: Option<Answered>,
    pub(super) running: RunningId,
    /// Where the endpoint listens.
    pub address: SocketAddr,
    pub(super) endpoint: EndpointId,
    pub(super) content: Option<ContentDigest>,
    /// When the request was sent; `None` if it was not.
    pub(super) sent_at: Option<Timestamp>,
}

/// An answered request, as far as its answer concerns the endpoint.
#[derive(Debug, Default)]
pub struct AnsweredRequest {
    /// Service without capacity, if the endpoint failed the request right after one of its calls found no capacity.
    pub full_downstream: Option<ServiceName>,
    /// What follows from the endpoint's statement.
    pub change: StatementChange,
}

/// A request as counted by the limit of its class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassEntry {
    pub(super) class: RequestClass,
    /// Latency objective.
    pub(super) objective: Duration,
    /// Whether the limit may refuse the request.
    pub(super) is_limited: bool,
}

impl Permit {
    /// Records that the request is being sent to the endpoint; from now on it may run.
    pub fn mark_sent(&mut self) {
        self.sent_at = Some(self.clock.now());
    }

    /// Records that the endpoint could not be reached and got nothing.
    pub fn mark_not_sent(&mut self) {
        self.sent_at = None;
    }

    /// Records that the endpoint began to answer the request with success.
    pub fn record_success(&self) {
        let Some(sent_at) = self.sent_at else {
            return;
        };
        let now = self.clock.now();
        let class = self.class_entry.class;
        let mut state = self.local.lock();
        state.record_run_time(now, class, now.since(sent_at));
    }

    /// Records an answer and what it states of the endpoint; `statement` is `None` if the answer is not this endpoint's.
    pub fn mark_answered(
        &mut self,
        has_failed: bool,
        statement: Option<EndpointStatement>,
    ) -> AnsweredRequest {
        let now = self.clock.now();
        let time = now.since(self.started_at);
        let sent_at = self.sent_at.unwrap_or(self.started_at);
        let mut state = self.local.lock();
        state.record_outcome(now, has_failed);
        let change = statement
            .map(|statement| state.record_statement(now, &self.endpoint, sent_at, statement));
        let call = state.call_without_capacity.clone().filter(|_| has_failed);
        drop(state);
        self.answered = Some(Answered { time, has_failed });
        let recent = call.filter(|call| now.since(call.at) < CALL_FAILURE_WINDOW);
        AnsweredRequest {
            full_downstream: recent.map(|call| call.service),
            change: change.unwrap_or_default(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.local.lock();
        state.running.end(self.running);
        if let (Some(_), None, Some(content)) = (self.sent_at, self.answered, self.content) {
            state.unanswered.record(now, &self.endpoint, content);
        }
        state.end_in_class(now, self.class_entry, self.answered);
        let started = state.queue.finish(now);
        state.start(started);
    }
}

/// A request that waits for a slot; removed from the queue when dropped.
pub(super) struct WaitingRequest<'a> {
    pub(super) local: &'a LocalEndpoint,
    pub(super) clock: Clock,
    pub(super) class_entry: ClassEntry,
    pub(super) position: QueuePosition,
    pub(super) is_over: bool,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let now = self.clock.now();
        let mut state = self.local.lock();
        state.end_in_class(now, self.class_entry, None);
        let was_queued = state.queue.leave(&self.position);
        let was_decided = state.waiting.remove(&self.position.ticket).is_none();
        // A slot that was granted in the meantime is released.
        if !was_queued && was_decided {
            let started = state.queue.finish(now);
            state.start(started);
        }
    }
}
