//! Attempts at daemons that count as silent, which may still be answered.
//!
//! Silence does not prove that a daemon has gone: a suspended process answers once it continues. Its attempt therefore
//! stays open while the request is attempted elsewhere, and the first success counts. It ends when its connection
//! breaks, or when the request ends.
//!
//! Appears in the log lines `silent daemon answered` and `waiting for silent daemons` and in the metric
//! `bramblewheel_answers_after_silence_total`.

use crate::http::exchange::Answer;
use crate::inbound::dispatch::{AttemptOutcome, DispatchOutcome, id_text};
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::hand_over::PendingAnswer;
use bramblewheel_decisions::directory::Choice;
use bramblewheel_types::{DaemonId, EndpointId, Millis, Timestamp};
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

/// An attempt at a daemon that counts as silent.
struct SilentAttempt {
    endpoint: EndpointId,
    daemon: DaemonId,
    sent_at: Timestamp,
    silent_since: Timestamp,
    answer: PendingAnswer,
}

/// The open attempts of one request at daemons that count as silent.
#[derive(Default)]
pub(super) struct SilentAttempts(Vec<SilentAttempt>);

/// End of an attempt at a daemon that counted as silent.
pub(super) struct LateEnd {
    endpoint: EndpointId,
    daemon: DaemonId,
    sent_at: Timestamp,
    silent_since: Timestamp,
    outcome: AttemptOutcome,
}

/// What came first.
pub(super) enum First<T> {
    /// The attempt ended.
    Attempt(T),
    /// A daemon that counted as silent answered with success.
    SilentDaemon(Box<Answer>),
}

impl SilentAttempts {
    /// Adds an attempt that began at `sent_at`, whose daemon counts as silent from now on.
    pub(super) fn add(
        &mut self,
        choice: &Choice,
        sent_at: Timestamp,
        now: Timestamp,
        answer: PendingAnswer,
    ) {
        self.0.push(SilentAttempt {
            endpoint: choice.endpoint.clone(),
            daemon: choice.daemon.clone(),
            sent_at,
            silent_since: now,
            answer,
        });
    }

    /// Whether no attempt is open.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits until one of the attempts ends; never returns if there is none.
    async fn next(&mut self) -> LateEnd {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<LateEnd> {
        for index in 0..self.0.len() {
            if let Poll::Ready(outcome) = self.0[index].answer.as_mut().poll(context) {
                let ended = self.0.swap_remove(index);
                return Poll::Ready(LateEnd {
                    endpoint: ended.endpoint,
                    daemon: ended.daemon,
                    sent_at: ended.sent_at,
                    silent_since: ended.silent_since,
                    outcome,
                });
            }
        }
        Poll::Pending
    }
}

impl CallerRequest<'_> {
    /// Waits for an attempt, or for a success of a daemon that counts as silent. An error of such a daemon replaces
    /// `error`.
    pub(super) async fn first_of<T>(
        &self,
        attempt: impl Future<Output = T>,
        silent: &mut SilentAttempts,
        error: &mut Option<Box<Answer>>,
    ) -> First<T> {
        let mut attempt = pin!(attempt);
        loop {
            tokio::select! {
                biased;
                ended = &mut attempt => return First::Attempt(ended),
                late = silent.next() => if let Some(answer) = self.take_answer(late, error) {
                    return First::SilentDaemon(answer);
                },
            }
        }
    }

    /// Waits for the open attempts once no further one is made; returns the first answer, if there is one.
    pub(super) async fn wait_for_silent(&self, mut silent: SilentAttempts) -> Option<Box<Answer>> {
        if silent.is_empty() {
            return None;
        }
        slog::info!(self.shared.log, "waiting for silent daemons"; "id" => id_text(&self.id),
            "attempts" => silent.0.len(),
            "left_ms" => Millis::of(self.shared.clock.remaining_until(self.deadline)).0);
        let mut error = None;
        while !silent.is_empty() && error.is_none() {
            let late = silent.next().await;
            if let Some(answer) = self.take_answer(late, &mut error) {
                return Some(answer);
            }
        }
        error
    }

    /// Records the end of an attempt at a daemon that counted as silent. Returns an answer with success; one with an
    /// error replaces `error`.
    fn take_answer(&self, late: LateEnd, error: &mut Option<Box<Answer>>) -> Option<Box<Answer>> {
        let AttemptOutcome { dispatched, report } = late.outcome;
        let result = dispatched.result();
        self.record_late_statements(&late.endpoint, &late.daemon, late.sent_at, &report);
        self.shared.metrics.answer_after_silence(result);
        slog::info!(self.shared.log, "silent daemon answered"; "id" => id_text(&self.id),
            "daemon" => %late.daemon, "endpoint" => %late.endpoint, "result" => result.as_str(),
            "silent_ms" => Millis::of(self.shared.clock.since(late.silent_since)).0);
        if result.is_proved_not_run() {
            self.possible_runs.fetch_sub(1, Ordering::Relaxed);
        }
        let has_failed = dispatched.has_failed();
        let DispatchOutcome::Answered(answer) = dispatched else {
            return None;
        };
        if has_failed {
            *error = Some(answer);
            return None;
        }
        Some(answer)
    }
}
