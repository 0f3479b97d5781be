//! State of processes in the kernel.

use super::clock::Clock;
use super::network::ZoneId;
use rand_pcg::Pcg64Mcg;

/// Id of a process for the whole run, across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u32);

impl ProcessId {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// State of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Handles events when they are due.
    Running,
    /// Paused (SIGSTOP, a paused machine); its events are kept until it resumes.
    Frozen,
    /// Not running; messages to it are refused.
    Stopped,
}

/// State that the kernel keeps per process, without the actor.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) zone: ZoneId,
    pub(super) clock: Clock,
    pub(super) state: ProcessState,
    /// Number of starts so far; timers and connections of earlier incarnations are void.
    pub(super) starts: u32,
    pub(super) random: Pcg64Mcg,
    /// Queue slots of the events that became due while the process was frozen, in order.
    pub(super) waiting: Vec<u32>,
}
