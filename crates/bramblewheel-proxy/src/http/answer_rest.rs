//! The rest of a long answer, which is received while it is passed on, until its deadline at the latest.
//!
//! An endpoint may send bytes without an end, or stop in the middle of a body. The deadline can't be checked where the body
//! is read: nobody reads it while its receiver takes no bytes, or while it waits for the answers before it on its
//! connection. A timer therefore drops the rest, which closes the connection to the sender, and then closes the
//! connection on which the answer is passed on.

use crate::http::body::{AnswerResources, BrokenBody};
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// When an answer must have been received to its end.
pub struct AnswerDeadline {
    /// Clock of `at`.
    pub clock: Clock,
    /// The deadline.
    pub at: Timestamp,
    /// Called if the answer is ended at its deadline.
    pub on_passed: Box<dyn FnOnce() + Send>,
}

/// The rest of an answer.
#[derive(Debug)]
pub(super) struct AnswerRest {
    state: Arc<Mutex<State>>,
    timer: Option<AbortHandle>,
}

#[derive(Debug)]
struct State {
    reception: Reception,
    /// Notified at the deadline, to close the connection on which the answer is passed on.
    closed_at_deadline: Option<Arc<Notify>>,
}

#[derive(Debug)]
enum Reception {
    /// It is being received.
    Open(Incoming, Box<AnswerResources>),
    /// It was received to its end.
    Ended,
    /// It broke off, or was not at its end at the deadline.
    Broken,
}

impl AnswerRest {
    pub(super) fn new(incoming: Incoming, resources: Box<AnswerResources>) -> Self {
        let state = State {
            reception: Reception::Open(incoming, resources),
            closed_at_deadline: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            timer: None,
        }
    }

    /// Ends the reception at the deadline.
    pub(super) fn set_deadline(&mut self, deadline: AnswerDeadline) {
        let AnswerDeadline {
            clock,
            at,
            on_passed,
        } = deadline;
        let state = Arc::clone(&self.state);
        let timer = tokio::spawn(async move {
            clock.sleep_until(at).await;
            if lock(&state).end_at_deadline() {
                on_passed();
            }
        });
        if let Some(earlier) = self.timer.replace(timer.abort_handle()) {
            earlier.abort();
        }
    }

    /// Notifies `connection` if the reception is ended at the deadline, or was.
    pub(super) fn close_at_deadline(&self, connection: Arc<Notify>) {
        let mut state = lock(&self.state);
        if matches!(state.reception, Reception::Broken) {
            connection.notify_one();
        }
        state.closed_at_deadline = Some(connection);
    }

    /// Whether the rest can't be received any more.
    pub(super) fn is_broken(&self) -> bool {
        matches!(lock(&self.state).reception, Reception::Broken)
    }

    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        let mut state = lock(&self.state);
        let incoming = match &mut state.reception {
            Reception::Open(incoming, _) => incoming,
            Reception::Ended => return Poll::Ready(None),
            Reception::Broken => return Poll::Ready(Some(Err(BrokenBody))),
        };
        match std::task::ready!(Pin::new(incoming).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(_)) => {
                state.reception = Reception::Broken;
                Poll::Ready(Some(Err(BrokenBody)))
            }
            None => {
                let received = std::mem::replace(&mut state.reception, Reception::Ended);
                if let Reception::Open(_, resources) = received {
                    resources.lease.give_back();
                }
                Poll::Ready(None)
            }
        }
    }

    pub(super) fn is_ended(&self) -> bool {
        matches!(lock(&self.state).reception, Reception::Ended)
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        match &lock(&self.state).reception {
            Reception::Open(incoming, _) => incoming.size_hint(),
            Reception::Ended => SizeHint::with_exact(0),
            Reception::Broken => SizeHint::default(),
        }
    }
}

impl State {
    /// Drops what is not received yet; returns whether there was something.
    fn end_at_deadline(&mut self) -> bool {
        if !matches!(self.reception, Reception::Open(..)) {
            return false;
        }
        self.reception = Reception::Broken;
        if let Some(connection) = &self.closed_at_deadline {
            connection.notify_one();
        }
        true
    }
}

impl Drop for AnswerRest {
    fn drop(&mut self) {
        if let Some(timer) = &self.timer {
            timer.abort();
        }
    }
}
