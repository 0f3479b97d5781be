//! Handles one attempt for the local endpoint, from its arrival to its answer.

use crate::driver::{Driver, InboundCommand};
use crate::http::answer::{self, HttpAnswer};
use crate::http::body::{AnswerBody, StreamOwner, StreamedBody};
use crate::http::exchange::WholeAnswer;
use crate::http::fields::end_to_end;
use crate::http::forward::StreamedAnswer;
use crate::http::pool::Lease;
use crate::inbound::dispatch::{self, Dispatched};
use crate::inbound::{InboundRequest, between_daemons, duplicate};
use crate::shared::Shared;
use bramblewheel_core::action::{Answer, AnswerBody as Source};
use bramblewheel_core::event::{DispatchResult, Event, Feedback};
use bramblewheel_types::{AttemptId, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Time after the deadline of a run-once operation in which its result is still recorded.
const LATE_RESULT_TIME: Duration = Duration::from_millis(250);

/// Runs an attempt until the engine answers it.
///
/// An attempt of a run-once operation runs in its own task, because its answer must be recorded
/// even if the caller disconnects. Other attempts are cancelled with their caller.
pub(super) async fn run(
    shared: Arc<Shared>,
    endpoint: SocketAddr,
    request: InboundRequest,
) -> HttpAnswer {
    let attempt = request.context.attempt;
    let outlives_caller = request.context.operation.is_some();
    let Ok(commands) = shared.driver.begin_inbound(request.context.clone()) else {
        return duplicate(attempt);
    };
    let registration = Registration {
        driver: Arc::clone(&shared.driver),
        attempt,
        ends_with_caller: !outlives_caller,
    };
    let driver = Arc::clone(&shared.driver);
    let running = RunningAttempt {
        shared,
        endpoint,
        request: Arc::new(request),
        commands,
        registration,
        dispatch: None,
        answer: None,
    };
    if !outlives_caller {
        return running.finish().await;
    }
    let mut guard = CallerGuard {
        driver,
        attempt,
        is_over: false,
    };
    let task = tokio::spawn(running.finish());
    let answer = task.await.unwrap_or_else(|_| unanswered(attempt));
    guard.is_over = true;
    answer
}

/// Answer when the runtime shuts down before the attempt was answered.
fn unanswered(attempt: AttemptId) -> HttpAnswer {
    let answer = answer::outcome_only(Outcome::Unknown);
    between_daemons(answer, attempt, &Feedback::default())
}

type Dispatching = Pin<Box<dyn Future<Output = Dispatched> + Send>>;

struct RunningAttempt {
    shared: Arc<Shared>,
    endpoint: SocketAddr,
    request: Arc<InboundRequest>,
    commands: UnboundedReceiver<InboundCommand>,
    registration: Registration,
    dispatch: Option<Dispatching>,
    answer: Option<WholeAnswer>,
}

enum Step {
    Command(Option<InboundCommand>),
    Ended(Dispatched),
}

impl RunningAttempt {
    async fn finish(mut self) -> HttpAnswer {
        let attempt = self.registration.attempt;
        loop {
            let step = tokio::select! {
                biased;
                command = self.commands.recv() => Step::Command(command),
                ended = ended(&mut self.dispatch) => Step::Ended(ended),
            };
            match step {
                Step::Command(Some(InboundCommand::Dispatch)) => self.dispatch(),
                Step::Command(Some(InboundCommand::Cancel)) => self.dispatch = None,
                Step::Command(Some(InboundCommand::Answer(answer, feedback))) => {
                    self.registration.ends_with_caller = false;
                    let rendered = self.render(&answer);
                    if self.dispatch.is_some() && self.request.context.operation.is_some() {
                        tokio::spawn(self.finish_detached());
                    }
                    return between_daemons(rendered, attempt, &feedback);
                }
                // The driver removes an attempt only after this task has ended.
                Step::Command(None) => return unanswered(attempt),
                Step::Ended(Dispatched::Result(result, whole)) => {
                    self.dispatch = None;
                    self.answer = whole;
                    self.registration.end(result);
                }
                Step::Ended(Dispatched::Streamed(streamed)) => return self.stream(*streamed),
            }
        }
    }

    /// Waits for the result of a run-once operation whose caller has already been answered, so that
    /// the result can be recorded. An answer without an end is given up shortly after the deadline.
    async fn finish_detached(mut self) {
        let latest_end = self.request.context.deadline + LATE_RESULT_TIME;
        let clock = self.shared.driver.clock();
        let result = tokio::select! {
            biased;
            _ = self.commands.recv() => return,
            result = clock.timeout_at(latest_end, result(&mut self.dispatch)) => result,
        };
        // Closes the connection to the endpoint.
        self.dispatch = None;
        self.registration
            .end(result.unwrap_or(DispatchResult::Lost));
    }

    fn dispatch(&mut self) {
        let shared = Arc::clone(&self.shared);
        let request = Arc::clone(&self.request);
        let dispatch = dispatch::send(shared, request, self.endpoint);
        self.dispatch = Some(Box::pin(dispatch));
    }

    fn render(&mut self, answer: &Answer) -> HttpAnswer {
        match &answer.body {
            Source::FromAttempt(_) => match self.answer.take() {
                Some(whole) => answer::forwarded(&whole, answer.outcome),
                None => answer::outcome_only(answer.outcome),
            },
            Source::Stored(stored) => answer::stored(stored.clone(), answer.outcome),
            Source::None => answer::outcome_only(answer.outcome),
        }
    }

    /// Streams a long answer; the attempt holds its slot until the last byte.
    fn stream(mut self, streamed: StreamedAnswer<DispatchResult>) -> HttpAnswer {
        let attempt = self.registration.attempt;
        // The tokens spent in the subtree are not known before the end, but the head is sent now;
        // therefore all lent tokens are reported as spent.
        let feedback = Feedback {
            retry_tokens_spent: self.request.context.retry_tokens,
            ..Feedback::default()
        };
        self.registration.ends_with_caller = true;
        let headers = end_to_end(&streamed.headers);
        let outcome = streamed.outcome;
        let owner = StreamedAttempt {
            commands: self.commands,
            registration: self.registration,
            result: streamed.result,
            _lease: streamed.lease,
        };
        let body = StreamedBody::new(streamed.received, streamed.source, Box::new(owner));
        let body = AnswerBody::Streamed(body);
        let answer = answer::with_head(streamed.status, headers, outcome, body);
        between_daemons(answer, attempt, &feedback)
    }
}

/// Waits for the dispatch to end; never returns if there is none.
async fn ended(dispatch: &mut Option<Dispatching>) -> Dispatched {
    match dispatch {
        Some(dispatch) => dispatch.await,
        None => std::future::pending().await,
    }
}

/// Waits for the result of the dispatch; never returns if there is none.
async fn result(dispatch: &mut Option<Dispatching>) -> DispatchResult {
    match ended(dispatch).await {
        Dispatched::Result(result, _) => result,
        Dispatched::Streamed(streamed) => streamed.drain().await,
    }
}

/// Registration of an attempt with the driver; removed when dropped.
struct Registration {
    driver: Arc<Driver>,
    attempt: AttemptId,
    /// Whether a drop means that the calling daemon disconnected before its answer.
    ends_with_caller: bool,
}

impl Registration {
    fn end(&self, result: DispatchResult) {
        let attempt = self.attempt;
        self.driver.submit(Event::DispatchEnded { attempt, result });
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.ends_with_caller {
            self.driver.cancel_inbound(self.attempt);
        }
        self.driver.end_inbound(self.attempt);
    }
}

/// Reports a disconnect of the calling daemon to the engine when dropped before the answer; the
/// attempt continues in its own task.
struct CallerGuard {
    driver: Arc<Driver>,
    attempt: AttemptId,
    is_over: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_over {
            self.driver.cancel_inbound(self.attempt);
        }
    }
}

/// Owner of a long answer that is streamed to the calling daemon.
struct StreamedAttempt {
    commands: UnboundedReceiver<InboundCommand>,
    registration: Registration,
    result: DispatchResult,
    _lease: Lease,
}

impl StreamedAttempt {
    fn end(&mut self, result: DispatchResult) {
        self.registration.ends_with_caller = false;
        self.registration.end(result);
    }
}

impl StreamOwner for StreamedAttempt {
    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.commands.poll_recv(cx).map(|_| ())
    }

    fn finished(&mut self) {
        let result = self.result.clone();
        self.end(result);
    }

    fn source_failed(&mut self) {
        self.end(DispatchResult::Lost);
    }

    fn receiver_disconnected(&mut self) {
        self.registration
            .driver
            .cancel_inbound(self.registration.attempt);
        self.end(DispatchResult::Lost);
    }
}
