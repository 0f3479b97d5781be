//! Runs the processes: event loop, starts, stops, freezes.

use super::actor::{Actor, StartCause, StopCause};
use super::clock::Clock;
use super::context::Context;
use super::core::{ActorEvent, Addressed, Core, Event};
use super::history::{Fact, History, HistoryDigest};
use super::network::{Network, ZoneId};
use super::process::{Process, ProcessId, ProcessState};
use super::queue::Queue;
use super::random::{Purpose, Streams};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// A simulation run: processes, network and history.
pub struct Simulation<A: Actor> {
    actors: Vec<A>,
    core: Core<A>,
    streams: Streams,
    handled: u64,
}

impl<A: Actor> Simulation<A> {
    /// Creates a run at virtual time zero without processes.
    pub fn new(streams: Streams, network: Network) -> Self {
        let core = Core {
            now: Timestamp::ZERO,
            queue: Queue::new(),
            processes: Vec::new(),
            network,
            history: History::new(),
            exit: None,
        };
        Self {
            actors: Vec::new(),
            core,
            streams,
            handled: 0,
        }
    }

    /// Adds a process in the stopped state.
    pub fn add(&mut self, actor: A, zone: ZoneId, clock: Clock) -> ProcessId {
        let number = u32::try_from(self.actors.len()).expect("fewer than 2^32 processes");
        self.actors.push(actor);
        self.core.processes.push(Process {
            zone,
            clock,
            state: ProcessState::Stopped,
            starts: 0,
            random: self.streams.stream(Purpose::Process(number)),
            waiting: Vec::new(),
        });
        ProcessId(number)
    }

    /// Starts a process if it is stopped.
    pub fn start(&mut self, process: ProcessId) {
        let entry = &mut self.core.processes[process.index()];
        if entry.state != ProcessState::Stopped {
            return;
        }
        entry.state = ProcessState::Running;
        entry.starts += 1;
        let cause = match entry.starts {
            1 => StartCause::First,
            _ => StartCause::Restart,
        };
        self.core.record(Some(process), Fact::Started(cause));
        self.call(process, |actor, context| actor.start(context, cause));
    }

    /// Starts a process after a virtual delay if it is stopped by then.
    pub fn start_after(&mut self, process: ProcessId, delay: Duration) {
        let event = Event::Start;
        let at = self.core.now + delay;
        self.core.queue.push(at, Addressed { process, event });
    }

    /// Stops a process if it is not stopped.
    pub fn stop(&mut self, process: ProcessId, cause: StopCause) {
        let entry = &mut self.core.processes[process.index()];
        if entry.state == ProcessState::Stopped {
            return;
        }
        entry.state = ProcessState::Stopped;
        let waiting = std::mem::take(&mut entry.waiting);
        self.core.record(Some(process), Fact::Stopped(cause));
        self.actors[process.index()].stop(cause);
        for slot in waiting {
            let addressed = self.core.queue.take(slot);
            self.handle_for_stopped(addressed);
        }
    }

    /// Freezes a running process. Its clock keeps running; its events are kept until it resumes.
    pub fn freeze(&mut self, process: ProcessId) {
        let entry = &mut self.core.processes[process.index()];
        if entry.state == ProcessState::Running {
            entry.state = ProcessState::Frozen;
            self.core.record(Some(process), Fact::Frozen);
        }
    }

    /// Resumes a frozen process and queues the events that it missed, in order.
    pub fn thaw(&mut self, process: ProcessId) {
        let entry = &mut self.core.processes[process.index()];
        if entry.state != ProcessState::Frozen {
            return;
        }
        entry.state = ProcessState::Running;
        let waiting = std::mem::take(&mut entry.waiting);
        self.core.record(Some(process), Fact::Thawed);
        for slot in waiting {
            self.core.queue.requeue(self.core.now, slot);
        }
    }

    /// Handles all events up to and including the virtual time `end`, then sets the time to `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.core.queue.next_at().is_some_and(|at| at <= end) {
            self.step();
        }
        self.core.now = self.core.now.max(end);
    }

    /// Handles the next event; `false` if there is none.
    pub fn step(&mut self) -> bool {
        let Some((at, slot)) = self.core.queue.pop_slot() else {
            return false;
        };
        self.core.now = self.core.now.max(at);
        self.handled += 1;
        let process = self.core.queue.peek(slot).process;
        if self.core.processes[process.index()].state == ProcessState::Frozen {
            self.core.processes[process.index()].waiting.push(slot);
            return true;
        }
        let addressed = self.core.queue.take(slot);
        self.handle(addressed);
        true
    }

    fn handle(&mut self, addressed: ActorEvent<A>) {
        let Addressed { process, event } = addressed;
        let entry = &self.core.processes[process.index()];
        let is_running = entry.state == ProcessState::Running;
        let current = entry.starts;
        match event {
            Event::Start => self.start(process),
            Event::Timer { starts, timer } if is_running && starts == current => {
                self.call(process, |actor, context| actor.timer(context, timer));
            }
            Event::Undelivered {
                to,
                starts,
                message,
            } if is_running && starts == current => {
                self.call(process, |actor, context| {
                    actor.undelivered(context, to, message);
                });
            }
            Event::Timer { .. } | Event::Undelivered { .. } => {}
            Event::Message {
                from,
                starts,
                message,
            } => self.deliver(from, process, starts, message),
        }
    }

    fn deliver(&mut self, from: ProcessId, to: ProcessId, starts: u32, message: A::Message) {
        if self
            .core
            .network
            .is_cut(self.core.location(from), self.core.location(to))
        {
            return;
        }
        let entry = &self.core.processes[to.index()];
        let is_connected = starts == entry.starts || !self.core.network.keeps_connections();
        if entry.state == ProcessState::Stopped || !is_connected {
            return self.core.return_undelivered(from, to, message);
        }
        self.call(to, |actor, context| actor.receive(context, from, message));
    }

    /// Handles an event kept for a frozen process that is stopped instead of resumed.
    fn handle_for_stopped(&mut self, addressed: ActorEvent<A>) {
        let to = addressed.process;
        match addressed.event {
            Event::Message { from, message, .. } => self.core.return_undelivered(from, to, message),
            Event::Start => self.start_after(to, Duration::ZERO),
            Event::Timer { .. } | Event::Undelivered { .. } => {}
        }
    }

    fn call(&mut self, process: ProcessId, action: impl FnOnce(&mut A, &mut Context<'_, A>)) {
        let core = &mut self.core;
        let mut context = Context { core, process };
        action(&mut self.actors[process.index()], &mut context);
        if let Some(restart_after) = self.core.exit.take() {
            self.stop(process, StopCause::Exited);
            if let Some(delay) = restart_after {
                self.start_after(process, delay);
            }
        }
    }

    /// Calls a process from outside, as its user does; returns `None` if it is not running.
    pub fn with<T>(
        &mut self,
        process: ProcessId,
        action: impl FnOnce(&mut A, &mut Context<'_, A>) -> T,
    ) -> Option<T> {
        if self.state(process) != ProcessState::Running {
            return None;
        }
        let mut result = None;
        self.call(process, |actor, context| {
            result = Some(action(actor, context));
        });
        result
    }

    /// Adds a record from outside the processes, such as a fault.
    pub fn record(&mut self, process: Option<ProcessId>, record: A::Record) {
        self.core.record(process, Fact::Domain(record));
    }

    /// Virtual time.
    pub fn now(&self) -> Timestamp {
        self.core.now
    }

    /// State of a process.
    pub fn state(&self, process: ProcessId) -> ProcessState {
        self.core.processes[process.index()].state
    }

    /// Number of starts of a process so far.
    pub fn starts(&self, process: ProcessId) -> u32 {
        self.core.processes[process.index()].starts
    }

    /// The actor of a process.
    pub fn actor(&self, process: ProcessId) -> &A {
        &self.actors[process.index()]
    }

    /// Mutable actor of a process, to change its machine (disk).
    pub fn actor_mut(&mut self, process: ProcessId) -> &mut A {
        &mut self.actors[process.index()]
    }

    /// Mutable network, to set delays and cuts.
    pub fn network_mut(&mut self) -> &mut Network {
        &mut self.core.network
    }

    /// History so far.
    pub fn history(&self) -> &History<A::Record> {
        &self.core.history
    }

    /// Mutable history, to remove entries.
    pub fn history_mut(&mut self) -> &mut History<A::Record> {
        &mut self.core.history
    }

    /// Digest of the whole history; equal for runs with the same seed.
    pub fn digest(&self) -> HistoryDigest {
        self.core.history.digest(self.handled)
    }

    /// Number of events handled so far.
    pub fn handled(&self) -> u64 {
        self.handled
    }

    /// Random number streams of the run.
    pub fn streams(&self) -> Streams {
        self.streams
    }
}
