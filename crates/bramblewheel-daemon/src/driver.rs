//! Drives the engine: submits events and carries out the returned actions in order.
//!
//! Actions are passed on while the engine's lock is held, so that two threads can't reorder, for
//! example, a send and its cancellation. Passing on an action never blocks: it is a channel send.

mod command;
mod registry;

pub use command::{CallCommand, InboundCommand};

use crate::clock::Clock;
use crate::control::ledger::LedgerJob;
use bramblewheel_core::action::Action;
use bramblewheel_core::context::{CallContext, CallRequest};
use bramblewheel_core::engine::Engine;
use bramblewheel_core::event::{AttemptResult, Event};
use bramblewheel_types::{AttemptId, CallId, Timestamp};
use registry::Registry;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc, watch};

/// Another attempt with this id is in progress.
#[derive(Debug)]
pub struct DuplicateAttempt;

/// The engine and the state needed to pass its actions on.
#[derive(Debug)]
struct State {
    engine: Engine,
    actions: Vec<Action>,
    next_tick: Timestamp,
    tasks: Registry,
}

/// The engine and the tasks that carry out its actions.
#[derive(Debug)]
pub struct Driver {
    clock: Clock,
    state: Mutex<State>,
    tick_moved: Notify,
    drained: watch::Sender<bool>,
    ledger: mpsc::UnboundedSender<LedgerJob>,
}

impl Driver {
    /// Creates a driver for an engine; ledger requests are sent to `ledger`.
    pub fn new(engine: Engine, clock: Clock, ledger: mpsc::UnboundedSender<LedgerJob>) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                engine,
                actions: Vec::new(),
                next_tick: Timestamp::NEVER,
                tasks: Registry::default(),
            }),
            tick_moved: Notify::new(),
            drained: watch::Sender::new(false),
            ledger,
        }
    }

    /// The clock that gives the engine's timestamps.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Becomes true when the drain is complete.
    pub fn drained(&self) -> watch::Receiver<bool> {
        self.drained.subscribe()
    }

    /// Submits an event to the engine and carries out the resulting actions.
    pub fn submit(&self, event: Event) {
        let mut state = self.lock();
        self.apply(&mut state, event);
    }

    /// Reads from the engine under its lock.
    pub fn inspect<T>(&self, read: impl FnOnce(&Engine) -> T) -> T {
        read(&self.lock().engine)
    }

    /// Starts an application's call; the receiver gets the commands for it.
    pub fn begin_call(
        &self,
        call: CallId,
        request: CallRequest,
    ) -> mpsc::UnboundedReceiver<CallCommand> {
        let mut state = self.lock();
        let commands = state.tasks.add_call(call);
        self.apply(&mut state, Event::OutboundCall { call, request });
        commands
    }

    /// Cancels a call whose application disconnected.
    pub fn cancel_call(&self, call: CallId) {
        let mut state = self.lock();
        if state.tasks.has_call(call) {
            self.apply(&mut state, Event::OutboundCancelled { call });
            state.tasks.remove_call(call);
        }
    }

    /// Reports the result of an attempt to the engine, unless the attempt was cancelled.
    pub fn end_attempt(&self, attempt: AttemptId, result: AttemptResult) {
        let mut state = self.lock();
        if state.tasks.take_attempt(attempt).is_some() {
            self.apply(&mut state, Event::AttemptEnded { attempt, result });
        }
    }

    /// Starts another daemon's attempt; the receiver gets the commands for it.
    ///
    /// # Errors
    /// [`DuplicateAttempt`] when an attempt with this id is in progress; the engine gets no event.
    pub fn begin_inbound(
        &self,
        context: CallContext,
    ) -> Result<mpsc::UnboundedReceiver<InboundCommand>, DuplicateAttempt> {
        let mut state = self.lock();
        let commands = state.tasks.add_inbound(context.attempt)?;
        self.apply(&mut state, Event::InboundCall { context });
        Ok(commands)
    }

    /// Reports to the engine that the calling daemon disconnected before the answer.
    pub fn cancel_inbound(&self, attempt: AttemptId) {
        let mut state = self.lock();
        if state.tasks.has_inbound(attempt) {
            self.apply(&mut state, Event::InboundCancelled { attempt });
        }
    }

    /// Removes an inbound attempt whose task has ended.
    pub fn end_inbound(&self, attempt: AttemptId) {
        self.lock().tasks.remove_inbound(attempt);
    }

    /// Submits ticks when they are due; never returns.
    pub async fn run_timer(&self) {
        loop {
            let next_tick = self.lock().next_tick;
            tokio::select! {
                () = self.tick_moved.notified() => {}
                () = self.clock.sleep_until(next_tick) => {
                    let mut state = self.lock();
                    state.next_tick = Timestamp::NEVER;
                    self.apply(&mut state, Event::Tick);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a panic under the lock ends the process, so the lock is never poisoned")
    }

    fn apply(&self, state: &mut State, event: Event) {
        let mut actions = std::mem::take(&mut state.actions);
        state.engine.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(&mut state.tasks, action);
        }
        state.actions = actions;
        self.schedule_tick(state);
    }

    /// Moves the next tick forward if the engine needs it earlier. A due time that moved back is not
    /// applied; the tick then comes early and the timer is set again.
    fn schedule_tick(&self, state: &mut State) {
        let due = state.engine.next_wakeup().unwrap_or(Timestamp::NEVER);
        if due < state.next_tick {
            state.next_tick = due;
            self.tick_moved.notify_one();
        }
    }

    fn execute(&self, tasks: &mut Registry, action: Action) {
        match action {
            Action::SendAttempt {
                call,
                address,
                context,
                ..
            } => {
                tasks.add_attempt(call, context.attempt);
                let context = Box::new(context);
                tasks.send_call_command(call, CallCommand::Send { address, context });
            }
            Action::CancelAttempt { attempt } => {
                if let Some(call) = tasks.take_attempt(attempt) {
                    tasks.send_call_command(call, CallCommand::Cancel(attempt));
                }
            }
            Action::AnswerCall { call, answer } => {
                tasks.send_call_command(call, CallCommand::Answer(Box::new(answer)));
                tasks.remove_call(call);
            }
            Action::Dispatch { attempt } => {
                tasks.send_inbound_command(attempt, InboundCommand::Dispatch);
            }
            Action::CancelDispatch { attempt } => {
                tasks.send_inbound_command(attempt, InboundCommand::Cancel);
            }
            Action::AnswerAttempt {
                attempt,
                answer,
                feedback,
            } => {
                let command = InboundCommand::Answer(Box::new(answer), feedback);
                tasks.send_inbound_command(attempt, command);
            }
            Action::Ledger { attempt, request } => {
                // Sending fails only at a stop, after the ledger task has ended.
                let _ = self.ledger.send(LedgerJob::Engine { attempt, request });
            }
            Action::Drained => {
                self.drained.send_replace(true);
            }
        }
    }
}
