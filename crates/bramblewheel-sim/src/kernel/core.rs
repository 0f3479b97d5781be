//! State of the kernel without the actors.

use super::actor::Actor;
use super::history::{Entry, Fact, History};
use super::network::{Location, Network};
use super::process::{Process, ProcessId};
use super::queue::Queue;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// An event that a process handles.
#[derive(Debug)]
pub(super) enum Event<M, T> {
    Message {
        from: ProcessId,
        /// Number of starts of the receiver when the message was sent.
        starts: u32,
        message: M,
    },
    Undelivered {
        to: ProcessId,
        /// Number of starts of the sender when the message came back.
        starts: u32,
        message: M,
    },
    Timer {
        /// Number of starts of the process when it set the timer.
        starts: u32,
        timer: T,
    },
    Start,
}

/// An event with the process that handles it.
#[derive(Debug)]
pub(super) struct Addressed<M, T> {
    pub(super) process: ProcessId,
    pub(super) event: Event<M, T>,
}

/// An addressed event with the message and timer types of an actor.
pub(super) type ActorEvent<A> = Addressed<<A as Actor>::Message, <A as Actor>::Timer>;

/// State of the kernel without the actors.
pub(super) struct Core<A: Actor> {
    pub(super) now: Timestamp,
    pub(super) queue: Queue<ActorEvent<A>>,
    pub(super) processes: Vec<Process>,
    pub(super) network: Network,
    pub(super) history: History<A::Record>,
    /// Set by a process that exits while it handles an event; the inner value is the delay of the restart, if any.
    pub(super) exit: Option<Option<Duration>>,
}

impl<A: Actor> Core<A> {
    pub(super) fn location(&self, process: ProcessId) -> Location {
        let zone = self.processes[process.index()].zone;
        Location { process, zone }
    }

    pub(super) fn send(&mut self, from: ProcessId, to: ProcessId, message: A::Message) {
        self.send_after(from, Duration::ZERO, to, message);
    }

    pub(super) fn send_after(
        &mut self,
        from: ProcessId,
        departure_delay: Duration,
        to: ProcessId,
        message: A::Message,
    ) {
        let starts = self.processes[to.index()].starts;
        let is_disorderly = A::is_disorderly(&message);
        let (from_location, to_location) = (self.location(from), self.location(to));
        let copies = self
            .network
            .transmit(from_location, to_location, is_disorderly);
        let arrival = |delay: Duration| self.now + departure_delay + delay;
        match copies.map(|copy| copy.map(arrival)) {
            [Some(first), Some(second)] => {
                self.enqueue_message(first, from, to, starts, message.clone());
                self.enqueue_message(second, from, to, starts, message);
            }
            [Some(at), None] | [None, Some(at)] => {
                self.enqueue_message(at, from, to, starts, message);
            }
            [None, None] => {}
        }
    }

    fn enqueue_message(
        &mut self,
        at: Timestamp,
        from: ProcessId,
        process: ProcessId,
        starts: u32,
        message: A::Message,
    ) {
        let event = Event::Message {
            from,
            starts,
            message,
        };
        self.queue.push(at, Addressed { process, event });
    }

    /// Returns an undelivered message to its sender if the network reports such messages.
    pub(super) fn return_undelivered(
        &mut self,
        from: ProcessId,
        to: ProcessId,
        message: A::Message,
    ) {
        if !self.network.reports_undelivered() {
            return;
        }
        let (from_location, to_location) = (self.location(to), self.location(from));
        let is_disorderly = A::is_disorderly(&message);
        let copies = self
            .network
            .transmit(from_location, to_location, is_disorderly);
        let [Some(delay), _] = copies else {
            return;
        };
        let starts = self.processes[from.index()].starts;
        let event = Event::Undelivered {
            to,
            starts,
            message,
        };
        let process = from;
        self.queue
            .push(self.now + delay, Addressed { process, event });
    }

    pub(super) fn set_timer(&mut self, process: ProcessId, local: Duration, timer: A::Timer) {
        let owner = &self.processes[process.index()];
        let at = self.now + owner.clock.virtual_duration(local);
        let starts = owner.starts;
        let event = Event::Timer { starts, timer };
        self.queue.push(at, Addressed { process, event });
    }

    pub(super) fn record(&mut self, process: Option<ProcessId>, fact: Fact<A::Record>) {
        let at = self.now;
        self.history.record(Entry { at, process, fact });
    }
}
