//! Trait that a domain implements to define the behaviour of its processes.

use super::context::Context;
use super::process::ProcessId;
use std::fmt::Debug;
use std::hash::Hash;

/// Why a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartCause {
    /// First start.
    First,
    /// Start after a stop.
    Restart,
}

/// How a process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopCause {
    /// The process was killed; the machine keeps running, so written data stays.
    Killed,
    /// The machine lost power; data that was not synced may be lost.
    PowerLost,
    /// The process exited by itself.
    Exited,
}

/// A process together with its machine.
///
/// The value holds the state that survives a stop (disk, name) as well as the state in memory. [`stop`](Self::stop)
/// drops the latter, and [`start`](Self::start) rebuilds it from the former.
pub trait Actor {
    /// Message between processes. The kernel clones it only to duplicate it on the network.
    type Message: Clone;
    /// Value that a timer delivers when it is due.
    type Timer;
    /// Record of the domain in the history; hashed into the digest.
    type Record: Debug + Hash;

    /// Handles the start of the process.
    fn start(&mut self, context: &mut Context<'_, Self>, cause: StartCause)
    where
        Self: Sized;

    /// Handles the stop of the process, which can no longer send messages.
    fn stop(&mut self, cause: StopCause);

    /// Handles a message.
    fn receive(&mut self, context: &mut Context<'_, Self>, from: ProcessId, message: Self::Message)
    where
        Self: Sized;

    /// Handles a timer that this incarnation of the process has set.
    fn timer(&mut self, context: &mut Context<'_, Self>, timer: Self::Timer)
    where
        Self: Sized;

    /// Whether the network may lose, duplicate or reorder the message.
    fn is_disorderly(_message: &Self::Message) -> bool {
        true
    }

    /// Handles the return of a message whose receiver was not running (refused) or had restarted since (reset).
    /// Messages lost on the network are never reported.
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
