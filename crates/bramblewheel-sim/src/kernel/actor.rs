//! What a domain brings: the behaviour of its processes.

use super::context::Context;
use super::process::ProcessId;
use std::fmt::Debug;
use std::hash::Hash;

/// Why a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartCause {
    /// For the first time.
    First,
    /// After it was stopped.
    Restart,
}

/// How a process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopCause {
    /// The process was killed; the machine goes on, so what it wrote stays.
    Killed,
    /// The machine lost power; what was not synced may be lost.
    PowerLost,
    /// The process ended by itself.
    Exited,
}

/// One process with the machine below it.
///
/// What must survive a stop (its disk, its name) is part of the value; [`stop`](Self::stop) drops
/// the rest, and [`start`](Self::start) builds it up again from what survived.
pub trait Actor {
    /// What processes send each other. The kernel moves it and clones it only to duplicate it.
    type Message: Clone;
    /// What a timer brings back.
    type Timer;
    /// What the domain records in the history; hashed into the digest.
    type Record: Debug + Hash;

    /// The process starts.
    fn start(&mut self, context: &mut Context<'_, Self>, cause: StartCause)
    where
        Self: Sized;

    /// The process is stopped; nothing can be sent any more.
    fn stop(&mut self, cause: StopCause);

    /// A message arrives.
    fn receive(&mut self, context: &mut Context<'_, Self>, from: ProcessId, message: Self::Message)
    where
        Self: Sized;

    /// A timer of this start of the process is due.
    fn timer(&mut self, context: &mut Context<'_, Self>, timer: Self::Timer)
    where
        Self: Sized;

    /// Whether the network's disorder (loss, duplicates, reordering) concerns a message.
    fn is_disorderly(_message: &Self::Message) -> bool {
        true
    }

    /// A message reached a machine whose process was not there (refused), or was no longer the
    /// one it was sent to (reset). Messages lost on the way are never reported.
    fn undelivered(
        &mut self,
        _context: &mut Context<'_, Self>,
        _to: ProcessId,
        _message: Self::Message,
    ) where
        Self: Sized,
    {
    }
}
