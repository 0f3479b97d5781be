//! Handles one call of an application, from its request to its final answer.

use crate::driver::{CallCommand, Driver};
use crate::http::answer::{self, HttpAnswer};
use crate::http::body::{AnswerBody, StreamOwner, StreamedBody};
use crate::http::exchange::WholeAnswer;
use crate::http::forward::StreamedAnswer;
use crate::http::pool::Lease;
use crate::outbound::AppRequest;
use crate::outbound::attempt::{self, Ended};
use crate::shared::Shared;
use bramblewheel_core::action::{Answer, AnswerBody as Source};
use bramblewheel_core::context::{CallContext, CallRequest};
use bramblewheel_core::event::AttemptResult;
use bramblewheel_types::{AttemptId, CallId, Outcome};
use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

/// Runs a call until the engine answers it.
pub(super) async fn run(
    shared: &Arc<Shared>,
    call_request: CallRequest,
    request: AppRequest,
) -> (HttpAnswer, Outcome) {
    let call = shared.ids.call();
    let commands = shared.driver.begin_call(call, call_request);
    let guard = CallGuard {
        driver: Arc::clone(&shared.driver),
        call,
        is_over: false,
    };
    let running = RunningCall {
        shared,
        request: Arc::new(request),
        commands,
        guard,
        attempts: Attempts::default(),
        answers: HashMap::new(),
    };
    running.finish().await
}

struct RunningCall<'a> {
    shared: &'a Arc<Shared>,
    request: Arc<AppRequest>,
    commands: UnboundedReceiver<CallCommand>,
    guard: CallGuard,
    attempts: Attempts,
    answers: HashMap<AttemptId, WholeAnswer>,
}

impl RunningCall<'_> {
    async fn finish(mut self) -> (HttpAnswer, Outcome) {
        loop {
            let step = tokio::select! {
                biased;
                command = self.commands.recv() => Step::Command(command),
                ended = self.attempts.next() => Step::Ended(ended),
            };
            match step {
                Step::Command(Some(CallCommand::Send { address, context })) => {
                    self.send(address, *context);
                }
                Step::Command(Some(CallCommand::Cancel(attempt))) => self.attempts.cancel(attempt),
                Step::Command(Some(CallCommand::Answer(answer))) => {
                    self.guard.is_over = true;
                    return (self.render(&answer), answer.outcome);
                }
                // The driver removes a call only after answering it.
                Step::Command(None) => {
                    return (answer::outcome_only(Outcome::Unknown), Outcome::Unknown);
                }
                Step::Ended((attempt, Ended::Result(result, whole))) => {
                    self.answers.extend(whole.map(|whole| (attempt, whole)));
                    self.shared.driver.end_attempt(attempt, result);
                }
                Step::Ended((attempt, Ended::Streamed(streamed))) => {
                    let outcome = streamed.outcome;
                    return (self.stream(attempt, *streamed), outcome);
                }
            }
        }
    }

    fn send(&mut self, address: SocketAddr, context: CallContext) {
        let attempt = context.attempt;
        let shared = Arc::clone(self.shared);
        let request = Arc::clone(&self.request);
        let sending = Box::pin(attempt::send(shared, request, address, context));
        self.attempts.start(attempt, sending);
    }

    fn render(&mut self, answer: &Answer) -> HttpAnswer {
        match &answer.body {
            Source::FromAttempt(attempt) => match self.answers.remove(attempt) {
                Some(whole) => answer::forwarded(&whole, answer.outcome),
                None => answer::outcome_only(answer.outcome),
            },
            Source::Stored(stored) => answer::stored(stored.clone(), answer.outcome),
            Source::None => answer::outcome_only(answer.outcome),
        }
    }

    /// Streams a long answer; the call lasts until its last byte.
    fn stream(self, attempt: AttemptId, streamed: StreamedAnswer<AttemptResult>) -> HttpAnswer {
        let owner = StreamedCall {
            commands: self.commands,
            guard: self.guard,
            attempt,
            result: Some(streamed.result),
            _lease: streamed.lease,
        };
        let body = StreamedBody::new(streamed.received, streamed.source, Box::new(owner));
        let body = AnswerBody::Streamed(body);
        answer::with_head(streamed.status, streamed.headers, streamed.outcome, body)
    }
}

enum Step {
    Command(Option<CallCommand>),
    Ended((AttemptId, Ended)),
}

/// Cancels the call when dropped before its end, because the application disconnected.
struct CallGuard {
    driver: Arc<Driver>,
    call: CallId,
    is_over: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.is_over {
            self.driver.cancel_call(self.call);
        }
    }
}

type Sending = Pin<Box<dyn Future<Output = Ended> + Send>>;

/// Attempts in progress; dropping one closes its connection.
///
/// They are polled by the task of the call, which saves a task switch per attempt.
#[derive(Default)]
struct Attempts {
    running: Vec<(AttemptId, Sending)>,
}

impl Attempts {
    fn start(&mut self, attempt: AttemptId, sending: Sending) {
        self.running.push((attempt, sending));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.running.retain(|(running, _)| *running != attempt);
    }

    /// Waits for the next attempt to end; never returns if none is running.
    async fn next(&mut self) -> (AttemptId, Ended) {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<(AttemptId, Ended)> {
        for index in 0..self.running.len() {
            let (attempt, sending) = &mut self.running[index];
            if let Poll::Ready(ended) = sending.as_mut().poll(cx) {
                let attempt = *attempt;
                drop(self.running.swap_remove(index));
                return Poll::Ready((attempt, ended));
            }
        }
        Poll::Pending
    }
}

/// Owner of a long answer that is streamed to the application.
struct StreamedCall {
    commands: UnboundedReceiver<CallCommand>,
    guard: CallGuard,
    attempt: AttemptId,
    result: Option<AttemptResult>,
    _lease: Lease,
}

impl StreamOwner for StreamedCall {
    /// After bytes were sent, any command of the engine means that the answer is to be cut off.
    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.commands.poll_recv(cx).map(|_| ())
    }

    fn finished(&mut self) {
        if let Some(result) = self.result.take() {
            self.guard.driver.end_attempt(self.attempt, result);
        }
        self.guard.is_over = true;
    }

    /// The caller sees the broken connection and no retry can reach it, so the call ends here.
    fn source_failed(&mut self) {}

    fn receiver_disconnected(&mut self) {}
}
