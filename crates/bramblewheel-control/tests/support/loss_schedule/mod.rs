//! Schedules of lost disks and other faults, drawn from a seed.

mod bursts;
mod draw;
mod expected_tables;
mod faults;
mod inspection;
pub mod moments;
mod run;
pub mod search;

pub use draw::draw;

use std::fmt;
use std::time::Duration;

/// Kinds of schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Each disk is lost once and replaced before the next one is lost.
    SingleLosses,
    /// The disk of one machine is lost several times in a row.
    RepeatedLosses,
    /// Machines at other addresses replace machines that are silent or gone for good.
    OtherAddresses,
    /// Several faults follow each other within milliseconds while a replacement is in progress.
    Bursts,
}

/// The machine that a fault strikes, resolved when the fault begins.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Machine(usize),
    Leader,
    /// The machine whose disk was lost last.
    LastLost,
    /// The machine of the replica that is being added to the group.
    NewReplica,
}

/// A stage of the next replacement, as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    LearnerAdded,
    LostRemoved,
    Promoted,
}

/// When a step begins, counted from the beginning of the previous one.
#[derive(Clone, Copy, Debug)]
pub enum Start {
    After(Duration),
    /// A time after a stage of the replacement in progress.
    AfterStage(Stage, Duration),
}

/// What happens in a step. Periods end on their own while later steps run.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    LoseDisk {
        target: Target,
        down: Duration,
    },
    LoseForGood {
        target: Target,
    },
    Restart {
        target: Target,
        down: Duration,
    },
    RestartAll {
        down: Duration,
    },
    CutOff {
        target: Target,
        period: Duration,
    },
    Freeze {
        target: Target,
        period: Duration,
    },
    Slow {
        target: Target,
        delay: Duration,
        period: Duration,
    },
    StopLeader {
        down: Duration,
    },
    ChangeTable {
        answer_is_lost: bool,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub start: Start,
    pub action: Action,
}

/// The last fault of a schedule, after the group has recovered from all others.
#[derive(Clone, Copy, Debug)]
pub enum LastLoss {
    /// One machine loses its disk.
    Disk { machine: usize, down: Duration },
    /// One machine loses its disk at the moment at which all machines lose power.
    DiskAndPower { machine: usize, down: Duration },
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub spares: usize,
    pub snapshot_interval: u64,
    pub steps: Vec<Step>,
    pub last_loss: LastLoss,
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, spares, interval) = (self.seed, self.spares, self.snapshot_interval);
        writeln!(
            formatter,
            "seed {seed}, {spares} spares, a snapshot each {interval} entries"
        )?;
        for Step { start, action } in &self.steps {
            writeln!(formatter, "  {start:?}: {action:?}")?;
        }
        writeln!(formatter, "  at the end: {:?}", self.last_loss)
    }
}
