//! One call of an application, from its request to its final answer.

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

/// Runs a call until the engine has an answer for it.
pub(super) async fn run(
    shared: &Arc<Shared>,
    asked: CallRequest,
    request: AppRequest,
) -> (HttpAnswer, Outcome) {
    let call = shared.ids.call();
    let commands = shared.driver.begin_call(call, asked);
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
                // The driver forgets a call only after it has answered it.
                Step::Command(None) => {
                    return (answer::explained(Outcome::Unknown), Outcome::Unknown);
                }
                Step::Ended((attempt, Ended::Result(result, whole))) => {
                    self.answers.extend(whole.map(|whole| (attempt, whole)));
                    self.shared.driver.end_attempt(attempt, result);
                }
                Step::Ended((attempt, Ended::Streamed(streamed))) => {
                    let outcome = streamed.outcome;
                    return (self.pass_on(attempt, *streamed), outcome);
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
                Some(whole) => answer::passed_on(&whole, answer.outcome),
                None => answer::explained(answer.outcome),
            },
            Source::Stored(stored) => answer::stored(stored.clone(), answer.outcome),
            Source::None => answer::explained(answer.outcome),
        }
    }

    /// Passes a long answer on as it comes; the call goes on until its last byte.
    fn pass_on(self, attempt: AttemptId, streamed: StreamedAnswer<AttemptResult>) -> HttpAnswer {
        let owner = StreamedCall {
            commands: self.commands,
            guard: self.guard,
            attempt,
            result: Some(streamed.result),
            _lease: streamed.lease,
        };
        let body = StreamedBody::new(streamed.begun, streamed.source, Box::new(owner));
        let body = AnswerBody::Streamed(body);
        answer::with_head(streamed.status, streamed.headers, streamed.outcome, body)
    }
}

enum Step {
    Command(Option<CallCommand>),
    Ended((AttemptId, Ended)),
}

/// Tells the engine that the application went away, unless the call is over.
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
/// They are polled by the call's own task, which saves a task switch for each attempt.
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

    /// Waits for the next attempt that ends; for ever if none is running.
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

/// Owner of a long answer on its way to the application.
struct StreamedCall {
    commands: UnboundedReceiver<CallCommand>,
    guard: CallGuard,
    attempt: AttemptId,
    result: Option<AttemptResult>,
    _lease: Lease,
}

impl StreamOwner for StreamedCall {
    /// Once bytes went out, the only answer that the engine can still give is to break off.
    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.commands.poll_recv(cx).map(|_| ())
    }

    fn finished(&mut self) {
        if let Some(result) = self.result.take() {
            self.guard.driver.end_attempt(self.attempt, result);
        }
        self.guard.is_over = true;
    }

    /// The caller sees the break; a retry could not reach it any more, so the call ends here.
    fn broken(&mut self) {}

    fn abandoned(&mut self) {}
}
