//! Processes as the kernel sees them.

use super::clock::Clock;
use super::network::ZoneId;
use rand_pcg::Pcg64Mcg;

/// Names a process for the whole run, over all its restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u32);

impl ProcessId {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// What a process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It handles events as they come.
    Running,
    /// It is stopped in the middle (SIGSTOP, a paused machine): events wait for it.
    Frozen,
    /// It does not run; what is sent to it is refused.
    Stopped,
}

/// Everything the kernel keeps per process, apart from the actor.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) zone: ZoneId,
    pub(super) clock: Clock,
    pub(super) state: ProcessState,
    /// Number of starts so far; timers and connections of an earlier start are void.
    pub(super) starts: u32,
    pub(super) random: Pcg64Mcg,
    /// Slots of events that came while it was frozen, in order.
    pub(super) waiting: Vec<u32>,
}
