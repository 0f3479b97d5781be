//! Fault plans: a seed determines which faults are injected when.

use crate::disk_losses;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Time before the first fault, in which all processes start.
pub(crate) const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Time between the end of a fault of a control replica and the next one: the control group must recover its lost
/// state first.
pub(crate) const CONTROL_RECOVERY_PAUSE: Duration = Duration::from_secs(6);
/// Time before a planned stop in which no other fault may be active.
const STOP_CLEARANCE: Duration = Duration::from_secs(4);
/// Longest time that a planned stop with the following start takes, also when all daemons are stopped in turn.
const MAX_STOP_TIME: Duration = Duration::from_secs(9);
/// Pause between the planned stops of [`Fault::StopsInTurn`].
pub const STOPS_PAUSE: Duration = Duration::from_millis(300);
/// Number of steps of a series of reloads or kills.
pub const SERIES_STEPS: u32 = 4;
/// Pause between the steps of a series; short enough that the previous step has not taken full effect.
pub const SERIES_PAUSE: Duration = Duration::from_millis(120);

/// Flips a bit of the seed, so that foreign heartbeats have a random sequence of their own.
const FOREIGN_SEED_BIT: u64 = 1 << 52;

/// A machine of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Machine {
    /// A control replica.
    Control(usize),
    /// A daemon and the endpoint beside it.
    Daemon(usize),
}

/// A kind of fault. "Duration" below is [`Step::lasts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and started again after the duration.
    Kill(Machine),
    /// Like [`Fault::Kill`], but the data folder is deleted before the restart.
    KillAndWipe(Machine),
    /// The control replica is killed and its data folder deleted; after the duration another one starts in its place at
    /// a new address, and all machines learn the new seeds.
    ReplaceControl(usize),
    /// All control replicas are killed at once.
    KillAllControl,
    /// Right after an acknowledged change of the configuration, the processes of all machines are killed at once and
    /// the data folder of this control replica is deleted; all are started again after the duration.
    KillAllAndWipe(usize),
    /// The process is suspended for the duration.
    Pause(Machine),
    /// Traffic to the machine is held back for the duration.
    SilentInwards(Machine),
    /// Answers of the machine are held back for the duration.
    SilentOutwards(Machine),
    /// Traffic in both directions is held back for the duration.
    Silent(Machine),
    /// Every chunk to and from the machine is delayed by some milliseconds, for the duration.
    Delay(Machine, u64),
    /// Connections to the machine are reset.
    Reset(Machine),
    /// The settings file changes and the process gets a reload signal.
    Reload(Machine),
    /// Several reloads in quick succession.
    ReloadSeries(Machine),
    /// The process is killed and started again several times in quick succession.
    KillSeries(Machine),
    /// A planned stop; the process is started again.
    Stop(usize),
    /// A planned stop of a control replica; it is started again.
    StopControl(usize),
    /// Callers send this percentage of the usual load.
    Surge(u32),
    /// Planned stops of all daemons in turn, each begun before the previous one has finished; each is started again.
    StopsInTurn,
    /// The endpoint crashes; another one starts beside the daemon.
    EndpointCrash(usize),
    /// The endpoint reports that it drains, serves for a while longer and stops; another one starts.
    EndpointLeaves(usize),
    /// The endpoint crashes and starts again under its id after the duration.
    EndpointRestart(usize),
    /// The endpoint makes a planned stop and starts again under its id.
    EndpointRestartAfterLeaving(usize),
    /// All endpoints crash at once and start again under their ids after the duration.
    AllEndpointsRestart,
    /// Heartbeats that can't be parsed are sent under the endpoint's id.
    InvalidHeartbeats(usize),
    /// For the duration, valid heartbeats are sent to the daemon that don't come from the endpoint on its machine.
    ForeignHeartbeats(usize),
}

impl Fault {
    /// Whether the fault strikes control replicas.
    pub(crate) fn strikes_control(self) -> bool {
        match self {
            Self::Kill(machine)
            | Self::KillAndWipe(machine)
            | Self::Pause(machine)
            | Self::SilentInwards(machine)
            | Self::SilentOutwards(machine)
            | Self::Silent(machine)
            | Self::Delay(machine, _)
            | Self::Reset(machine)
            | Self::Reload(machine)
            | Self::ReloadSeries(machine)
            | Self::KillSeries(machine) => matches!(machine, Machine::Control(_)),
            Self::KillAllControl
            | Self::KillAllAndWipe(_)
            | Self::ReplaceControl(_)
            | Self::StopControl(_) => true,
            Self::Stop(_)
            | Self::Surge(_)
            | Self::StopsInTurn
            | Self::EndpointCrash(_)
            | Self::EndpointLeaves(_)
            | Self::EndpointRestart(_)
            | Self::EndpointRestartAfterLeaving(_)
            | Self::AllEndpointsRestart
            | Self::InvalidHeartbeats(_)
            | Self::ForeignHeartbeats(_) => false,
        }
    }
}

impl Fault {
    /// Whether the fault strikes the process, the connections or the endpoint of a machine. Planned stops, changed
    /// settings and messages strike nothing in this sense.
    pub(crate) fn strikes(self, machine: Machine) -> bool {
        match self {
            Self::Kill(struck)
            | Self::KillAndWipe(struck)
            | Self::Pause(struck)
            | Self::SilentInwards(struck)
            | Self::SilentOutwards(struck)
            | Self::Silent(struck)
            | Self::Delay(struck, _)
            | Self::Reset(struck)
            | Self::KillSeries(struck) => struck == machine,
            Self::EndpointCrash(daemon)
            | Self::EndpointLeaves(daemon)
            | Self::EndpointRestart(daemon)
            | Self::EndpointRestartAfterLeaving(daemon) => machine == Machine::Daemon(daemon),
            Self::ReplaceControl(replica) => machine == Machine::Control(replica),
            Self::KillAllControl => matches!(machine, Machine::Control(_)),
            Self::AllEndpointsRestart => matches!(machine, Machine::Daemon(_)),
            Self::KillAllAndWipe(_) => true,
            Self::Reload(_)
            | Self::ReloadSeries(_)
            | Self::Stop(_)
            | Self::StopControl(_)
            | Self::StopsInTurn
            | Self::Surge(_)
            | Self::InvalidHeartbeats(_)
            | Self::ForeignHeartbeats(_) => false,
        }
    }

    /// The daemon that the fault suspends or cuts off, if there is one.
    pub(crate) fn suspended_or_cut(self) -> Option<usize> {
        match self {
            Self::Pause(Machine::Daemon(daemon))
            | Self::SilentInwards(Machine::Daemon(daemon))
            | Self::SilentOutwards(Machine::Daemon(daemon))
            | Self::Silent(Machine::Daemon(daemon)) => Some(daemon),
            _ => None,
        }
    }

    /// Whether the duration of a step says how long the fault is to last.
    pub(crate) fn has_fixed_length(self) -> bool {
        matches!(
            self,
            Self::Kill(_)
                | Self::Pause(_)
                | Self::SilentInwards(_)
                | Self::SilentOutwards(_)
                | Self::Silent(_)
                | Self::Delay(..)
        )
    }
}

/// A fault with its begin and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

impl Step {
    pub(crate) fn end(&self) -> Duration {
        self.at + self.lasts
    }

    /// Whether the step keeps clear of a planned stop that is requested at `stop`.
    pub(crate) fn is_clear_of_stop(&self, stop: Duration) -> bool {
        self.end() < stop.saturating_sub(STOP_CLEARANCE) || self.at > stop + MAX_STOP_TIME
    }
}

/// Size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Control replicas.
    pub replicas: usize,
    /// Daemons.
    pub daemons: usize,
    /// Time from the first to the last fault.
    pub length: Duration,
}

/// Returns the fault plan of a seed, sorted by begin.
pub fn plan(seed: u64, size: Size) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = control_steps(&mut random, size);
    steps.extend(daemon_steps(&mut random, size));
    // Once per run, at five sixths of its length, all endpoints start again under their ids.
    steps.push(Step {
        at: STARTUP_TIME + size.length * 5 / 6,
        lasts: millis(&mut random, 200..1_500),
        fault: Fault::AllEndpointsRestart,
    });
    steps.extend(foreign_steps(seed, size));
    add_planned_stops(&mut random, size, &mut steps);
    disk_losses::add(seed, size, &mut steps);
    steps.sort_by_key(|step| step.at);
    steps
}

pub(crate) fn millis(random: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Faults of control replicas, one at a time: losing more replicas than the group tolerates would interrupt service.
fn control_steps(random: &mut impl Rng, size: Size) -> Vec<Step> {
    let end = STARTUP_TIME + size.length;
    let mut at = STARTUP_TIME + millis(random, 0..2_000);
    let mut steps = Vec::new();
    while at < end {
        let machine = Machine::Control(random.random_range(0..size.replicas));
        let fault = match random.random_range(0..10) {
            0 | 1 => Fault::Kill(machine),
            2 => Fault::KillAndWipe(machine),
            3 => Fault::KillAllControl,
            4 => Fault::Pause(machine),
            5 => Fault::SilentInwards(machine),
            6 => Fault::SilentOutwards(machine),
            7 => Fault::Silent(machine),
            8 => Fault::Delay(machine, random.random_range(5..60)),
            _ => Fault::Reset(machine),
        };
        let lasts = millis(random, 300..5_000);
        steps.push(Step { at, lasts, fault });
        at += lasts + CONTROL_RECOVERY_PAUSE + millis(random, 0..1_000);
    }
    steps
}

fn daemon_steps(random: &mut impl Rng, size: Size) -> Vec<Step> {
    let end = STARTUP_TIME + size.length;
    let mut steps = Vec::new();
    let mut busy_until = vec![Duration::ZERO; size.daemons];
    let mut at = STARTUP_TIME;
    while at < end {
        at += millis(random, 200..2_500);
        let number = random.random_range(0..size.daemons);
        if busy_until[number] > at {
            continue;
        }
        let machine = Machine::Daemon(number);
        let fault = match random.random_range(0..18) {
            0 | 1 => Fault::Kill(machine),
            2 => Fault::Pause(machine),
            3 => Fault::SilentInwards(machine),
            4 => Fault::SilentOutwards(machine),
            5 => Fault::Silent(machine),
            6 => Fault::Delay(machine, random.random_range(5..80)),
            7 => Fault::Reset(machine),
            8 => Fault::Reload(machine),
            9 => Fault::EndpointCrash(number),
            10 => Fault::ReloadSeries(machine),
            11 => Fault::KillSeries(machine),
            12 | 13 => Fault::EndpointRestart(number),
            14 => Fault::EndpointRestartAfterLeaving(number),
            15 => Fault::InvalidHeartbeats(number),
            _ => Fault::EndpointLeaves(number),
        };
        let lasts = millis(random, 300..4_000);
        steps.push(Step { at, lasts, fault });
        busy_until[number] = at + lasts + Duration::from_secs(3);
    }
    steps
}

/// Foreign heartbeats may overlap with any other fault of the daemon or of a replica, so they are drawn separately.
fn foreign_steps(seed: u64, size: Size) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ FOREIGN_SEED_BIT);
    let end = STARTUP_TIME + size.length;
    let mut at = STARTUP_TIME;
    let mut steps = Vec::new();
    while at < end {
        at += millis(&mut random, 500..4_000);
        steps.push(Step {
            at,
            lasts: millis(&mut random, 100..4_000),
            fault: Fault::ForeignHeartbeats(random.random_range(0..size.daemons)),
        });
    }
    steps
}

/// Adds a planned stop every 20 seconds and removes all other faults near it.
fn add_planned_stops(random: &mut impl Rng, size: Size, steps: &mut Vec<Step>) {
    const PERIOD: Duration = Duration::from_secs(20);
    let end = STARTUP_TIME + size.length;
    let mut at = STARTUP_TIME + PERIOD;
    let mut is_first = true;
    while at + MAX_STOP_TIME < end {
        steps.retain(|step| step.is_clear_of_stop(at));
        steps.push(Step {
            at,
            lasts: millis(random, 100..500),
            fault: if is_first {
                Fault::StopsInTurn
            } else {
                Fault::Stop(random.random_range(0..size.daemons))
            },
        });
        is_first = false;
        at += PERIOD;
    }
}
