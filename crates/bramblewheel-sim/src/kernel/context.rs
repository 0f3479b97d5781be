//! Interface of the kernel to a process that handles an event.

use super::actor::Actor;
use super::core::Core;
use super::history::Fact;
use super::process::{ProcessId, ProcessState};
use bramblewheel_types::Timestamp;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Interface of the kernel to a process that handles an event.
pub struct Context<'a, A: Actor> {
    pub(super) core: &'a mut Core<A>,
    pub(super) process: ProcessId,
}

impl<A: Actor> Context<'_, A> {
    /// Id of the process.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Time on the process's own clock.
    pub fn now(&self) -> Timestamp {
        let process = &self.core.processes[self.process.index()];
        process.clock.local(self.core.now)
    }

    /// Virtual time, for records only; a real process has no access to it.
    pub fn virtual_now(&self) -> Timestamp {
        self.core.now
    }

    /// Number of starts of the process so far, at least 1.
    pub fn starts(&self) -> u32 {
        self.core.processes[self.process.index()].starts
    }

    /// Number of starts of another process so far; `None` while it is stopped. Stands for what a process learns from
    /// closed connections, without delay.
    pub fn starts_of(&self, process: ProcessId) -> Option<u32> {
        let other = &self.core.processes[process.index()];
        (other.state != ProcessState::Stopped).then_some(other.starts)
    }

    /// Sends a message.
    pub fn send(&mut self, to: ProcessId, message: A::Message) {
        self.core.send(self.process, to, message);
    }

    /// Sends a message that leaves the machine only after `delay`, for instance after a sync.
    pub fn send_after(&mut self, delay: Duration, to: ProcessId, message: A::Message) {
        self.core.send_after(self.process, delay, to, message);
    }

    /// Delivers `timer` after `delay` on the process's own clock, unless the process is stopped before. Timers can't
    /// be cancelled; a process ignores those that it no longer needs.
    pub fn set_timer(&mut self, delay: Duration, timer: A::Timer) {
        self.core.set_timer(self.process, delay, timer);
    }

    /// Like [`set_timer`](Self::set_timer), for a time on the process's own clock; due at once if that time is past.
    pub fn set_timer_at(&mut self, at: Timestamp, timer: A::Timer) {
        let delay = at.since(self.now());
        self.set_timer(delay, timer);
    }

    /// Adds a record to the history.
    pub fn record(&mut self, record: A::Record) {
        self.core.record(Some(self.process), Fact::Domain(record));
    }

    /// Random number generator of the process.
    pub fn random(&mut self) -> &mut Pcg64Mcg {
        &mut self.core.processes[self.process.index()].random
    }

    /// Exits the process once the event is handled, and restarts it after `restart_after` if given.
    pub fn exit(&mut self, restart_after: Option<Duration>) {
        self.core.exit = Some(restart_after);
    }
}
