//! Drives the engine: events in, actions out, in the order in which the engine gives them.
//!
//! Actions are handed over while the engine's lock is held, so that two threads can't swap the
//! order of, say, a send and its cancellation. Handing over never waits: it is a channel send.

use crate::clock::Clock;
use crate::control::ledger::LedgerJob;
use bramblewheel_core::action::{Action, Answer};
use bramblewheel_core::context::{CallContext, CallRequest};
use bramblewheel_core::engine::Engine;
use bramblewheel_core::event::{AttemptResult, Event, Feedback};
use bramblewheel_types::{AttemptId, CallId, Timestamp};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc, watch};

/// What the task that serves an application's call is to do.
#[derive(Debug)]
pub enum CallCommand {
    /// Send the request to another daemon.
    Send {
        /// Address of the daemon.
        address: SocketAddr,
        /// Context to put into the headers.
        context: Box<CallContext>,
    },
    /// Close the attempt's connection.
    Cancel(AttemptId),
    /// Answer the application.
    Answer(Box<Answer>),
}

/// What the task that serves another daemon's attempt is to do.
#[derive(Debug)]
pub enum InboundCommand {
    /// Pass the request to the local endpoint.
    Dispatch,
    /// Close the connection to the local endpoint.
    Cancel,
    /// Answer the calling daemon.
    Answer(Box<Answer>, Feedback),
}

/// Another attempt with this id is in progress.
#[derive(Debug)]
pub struct DuplicateAttempt;

/// The engine with the tasks that carry out its actions.
#[derive(Debug)]
pub struct Driver {
    clock: Clock,
    state: Mutex<State>,
    sooner: Notify,
    drained: watch::Sender<bool>,
    ledger: mpsc::UnboundedSender<LedgerJob>,
}

#[derive(Debug)]
struct State {
    engine: Engine,
    actions: Vec<Action>,
    armed: Timestamp,
    calls: HashMap<CallId, CallEntry>,
    attempts: HashMap<AttemptId, CallId>,
    inbound: HashMap<AttemptId, mpsc::UnboundedSender<InboundCommand>>,
}

#[derive(Debug)]
struct CallEntry {
    commands: mpsc::UnboundedSender<CallCommand>,
    attempts: Vec<AttemptId>,
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
                calls: HashMap::new(),
                attempts: HashMap::new(),
                inbound: HashMap::new(),
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
        let (commands, receiver) = mpsc::unbounded_channel();
        let entry = CallEntry {
            commands,
            attempts: Vec::new(),
        };
        let mut state = self.lock();
        state.calls.insert(call, entry);
        self.apply(&mut state, Event::OutboundCall { call, request });
        receiver
    }

    /// Ends a call whose application went away.
    pub fn cancel_call(&self, call: CallId) {
        let mut state = self.lock();
        if state.calls.contains_key(&call) {
            self.apply(&mut state, Event::OutboundCancelled { call });
            state.forget_call(call);
        }
    }

    /// Tells the engine how an attempt ended, unless it was cancelled meanwhile.
    pub fn end_attempt(&self, attempt: AttemptId, result: AttemptResult) {
        let mut state = self.lock();
        if state.attempts.remove(&attempt).is_some() {
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
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        match state.inbound.entry(context.attempt) {
            Entry::Occupied(_) => return Err(DuplicateAttempt),
            Entry::Vacant(entry) => entry.insert(sender),
        };
        self.apply(&mut state, Event::InboundCall { context });
        Ok(receiver)
    }

    /// Tells the engine that the calling daemon went away before the answer.
    pub fn cancel_inbound(&self, attempt: AttemptId) {
        let mut state = self.lock();
        if state.inbound.contains_key(&attempt) {
            self.apply(&mut state, Event::InboundCancelled { attempt });
        }
    }

    /// Forgets an inbound attempt whose task has ended.
    pub fn end_inbound(&self, attempt: AttemptId) {
        self.lock().inbound.remove(&attempt);
    }

    /// Sends ticks when they are due; never returns.
    pub async fn run_timer(&self) {
        loop {
            let armed = self.lock().armed;
            tokio::select! {
                () = self.sooner.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(armed)) => {
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
            self.carry_out(state, action);
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

    fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::SendAttempt {
                call,
                address,
                context,
                ..
            } => {
                state.begin_attempt(call, context.attempt);
                let context = Box::new(context);
                command_call(state, call, CallCommand::Send { address, context });
            }
            Action::CancelAttempt { attempt } => {
                if let Some(call) = state.attempts.remove(&attempt) {
                    command_call(state, call, CallCommand::Cancel(attempt));
                }
            }
            Action::AnswerCall { call, answer } => {
                command_call(state, call, CallCommand::Answer(Box::new(answer)));
                state.forget_call(call);
            }
            Action::Dispatch { attempt } => {
                command_inbound(state, attempt, InboundCommand::Dispatch);
            }
            Action::CancelDispatch { attempt } => {
                command_inbound(state, attempt, InboundCommand::Cancel);
            }
            Action::AnswerAttempt {
                attempt,
                answer,
                feedback,
            } => {
                let command = InboundCommand::Answer(Box::new(answer), feedback);
                command_inbound(state, attempt, command);
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

impl State {
    fn begin_attempt(&mut self, call: CallId, attempt: AttemptId) {
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.attempts.push(attempt);
            self.attempts.insert(attempt, call);
        }
    }

    fn forget_call(&mut self, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        for attempt in entry.attempts {
            self.attempts.remove(&attempt);
        }
    }
}

/// A call or attempt without a task has been cancelled: there is nobody left to command.
fn command_call(state: &State, call: CallId, command: CallCommand) {
    if let Some(entry) = state.calls.get(&call) {
        let _ = entry.commands.send(command);
    }
}

fn command_inbound(state: &State, attempt: AttemptId, command: InboundCommand) {
    if let Some(sender) = state.inbound.get(&attempt) {
        let _ = sender.send(command);
    }
}
