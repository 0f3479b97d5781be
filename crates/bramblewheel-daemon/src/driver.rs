//! Drives the engine: events in, actions out, in the order in which the engine gives them.
//!
//! Actions are handed over while the engine's lock is held, so that two threads can't swap the
//! order of, say, a send and its cancellation. Handing over never waits: it is a channel send.

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

/// The engine, and what it needs to hand its actions over.
#[derive(Debug)]
struct State {
    engine: Engine,
    actions: Vec<Action>,
    armed: Timestamp,
    tasks: Registry,
}

/// The engine with the tasks that carry out its actions.
#[derive(Debug)]
pub struct Driver {
    clock: Clock,
    state: Mutex<State>,
    sooner: Notify,
    drained: watch::Sender<bool>,
    ledger: mpsc::UnboundedSender<LedgerJob>,
}

impl Driver {
    /// Takes over an engine; ledger requests go to `ledger`.
    pub fn new(engine: Engine, clock: Clock, ledger: mpsc::UnboundedSender<LedgerJob>) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                engine,
                actions: Vec::new(),
                armed: Timestamp::NEVER,
                tasks: Registry::default(),
            }),
            sooner: Notify::new(),
            drained: watch::Sender::new(false),
            ledger,
        }
    }

    /// The clock of the engine's timestamps.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Becomes true when the drain is complete.
    pub fn drained(&self) -> watch::Receiver<bool> {
        self.drained.subscribe()
    }

    /// Gives the engine an event and hands over its actions.
    pub fn submit(&self, event: Event) {
        let mut state = self.lock();
        self.apply(&mut state, event);
    }

    /// Reads from the engine.
    pub fn inspect<T>(&self, read: impl FnOnce(&Engine) -> T) -> T {
        read(&self.lock().engine)
    }

    /// Begins an application's call; commands for it arrive at the receiver.
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

    /// Ends a call whose application went away.
    pub fn cancel_call(&self, call: CallId) {
        let mut state = self.lock();
        if state.tasks.has_call(call) {
            self.apply(&mut state, Event::OutboundCancelled { call });
            state.tasks.forget_call(call);
        }
    }

    /// Tells the engine how an attempt ended, unless it was cancelled meanwhile.
    pub fn end_attempt(&self, attempt: AttemptId, result: AttemptResult) {
        let mut state = self.lock();
        if state.tasks.take_attempt(attempt).is_some() {
            self.apply(&mut state, Event::AttemptEnded { attempt, result });
        }
    }

    /// Begins another daemon's attempt; commands for it arrive at the receiver.
    ///
    /// # Errors
    /// [`DuplicateAttempt`] when an attempt of this id is in progress; the engine isn't told.
    pub fn begin_inbound(
        &self,
        context: CallContext,
    ) -> Result<mpsc::UnboundedReceiver<InboundCommand>, DuplicateAttempt> {
        let mut state = self.lock();
        let commands = state.tasks.add_inbound(context.attempt)?;
        self.apply(&mut state, Event::InboundCall { context });
        Ok(commands)
    }

    /// Tells the engine that the calling daemon went away before the answer.
    pub fn cancel_inbound(&self, attempt: AttemptId) {
        let mut state = self.lock();
        if state.tasks.has_inbound(attempt) {
            self.apply(&mut state, Event::InboundCancelled { attempt });
        }
    }

    /// Forgets an inbound attempt whose task has ended.
    pub fn end_inbound(&self, attempt: AttemptId) {
        self.lock().tasks.forget_inbound(attempt);
    }

    /// Sends ticks when they are due; never returns.
    pub async fn run_timer(&self) {
        loop {
            let armed = self.lock().armed;
            tokio::select! {
                () = self.sooner.notified() => {}
                () = self.clock.sleep_until(armed) => {
                    let mut state = self.lock();
                    state.armed = Timestamp::NEVER;
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
            self.carry_out(&mut state.tasks, action);
        }
        state.actions = actions;
        self.arm(state);
    }

    /// Keeps the earliest due time; a later one is found out at the next tick.
    fn arm(&self, state: &mut State) {
        let due = state.engine.next_wakeup().unwrap_or(Timestamp::NEVER);
        if due < state.armed {
            state.armed = due;
            self.sooner.notify_one();
        }
    }

    fn carry_out(&self, tasks: &mut Registry, action: Action) {
        match action {
            Action::SendAttempt {
                call,
                address,
                context,
                ..
            } => {
                tasks.add_attempt(call, context.attempt);
                let context = Box::new(context);
                tasks.command_call(call, CallCommand::Send { address, context });
            }
            Action::CancelAttempt { attempt } => {
                if let Some(call) = tasks.take_attempt(attempt) {
                    tasks.command_call(call, CallCommand::Cancel(attempt));
                }
            }
            Action::AnswerCall { call, answer } => {
                tasks.command_call(call, CallCommand::Answer(Box::new(answer)));
                tasks.forget_call(call);
            }
            Action::Dispatch { attempt } => {
                tasks.command_inbound(attempt, InboundCommand::Dispatch);
            }
            Action::CancelDispatch { attempt } => {
                tasks.command_inbound(attempt, InboundCommand::Cancel);
            }
            Action::AnswerAttempt {
                attempt,
                answer,
                feedback,
            } => {
                let command = InboundCommand::Answer(Box::new(answer), feedback);
                tasks.command_inbound(attempt, command);
            }
            Action::Ledger { attempt, request } => {
                // The ledger task lives as long as the driver; at a stop nobody waits any more.
                let _ = self.ledger.send(LedgerJob::Engine { attempt, request });
            }
            Action::Drained => {
                self.drained.send_replace(true);
            }
        }
    }
}
