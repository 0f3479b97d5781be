//! What strikes when: one seed, one plan.

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Time before the first fault, in which everything starts.
pub(crate) const CALM_START: Duration = Duration::from_secs(5);
/// Time after the end of a fault at a control replica before the next one: what was lost must be
/// made up for first.
const CONTROL_PAUSE: Duration = Duration::from_secs(6);
/// Time around a planned stop that is checked in which nothing else happens.
const STOP_MARGIN: Duration = Duration::from_secs(4);
/// Time that a planned stop and the start after it take at most, and those of all daemons in turn.
const STOP_TIME: Duration = Duration::from_secs(9);
/// Pause between planned stops in turn.
pub const STOPS_PAUSE: Duration = Duration::from_millis(300);
/// Steps of a series, and the pause between them.
pub const SERIES_STEPS: u32 = 4;
/// Pause between the steps of a series: they come before the one before has taken full effect.
pub const SERIES_PAUSE: Duration = Duration::from_millis(120);

/// Tells the draws of foreign heartbeats from those of other faults.
const FOREIGN_SEED: u64 = 1 << 52;

/// A machine of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Machine {
    /// A control replica.
    Control(usize),
    /// A daemon and the endpoint beside it.
    Daemon(usize),
}

/// What strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and started again after the time.
    Kill(Machine),
    /// The same, and its data folder is emptied meanwhile.
    KillAndWipe(Machine),
    /// All control replicas are killed at once.
    KillAllControl,
    /// The process stands still for the time.
    Pause(Machine),
    /// What others send to the machine is held for the time.
    SilentInwards(Machine),
    /// What the machine answers is held for the time.
    SilentOutwards(Machine),
    /// Both.
    Silent(Machine),
    /// Every piece on its way to and from the machine is held for some milliseconds, for the time.
    Delay(Machine, u64),
    /// Connections to the machine are reset.
    Reset(Machine),
    /// The settings file changes and the process is told so.
    Reload(Machine),
    /// The settings file changes again and again, and the process is told each time.
    ReloadSeries(Machine),
    /// The process is killed and started again, several times in a row.
    KillSeries(Machine),
    /// A planned stop; the process is started again.
    Stop(usize),
    /// A planned stop of a control replica; it is started again.
    StopControl(usize),
    /// Callers send more: in percent of the usual load.
    Surge(u32),
    /// Planned stops of all daemons, one after the other before the last has ended; each is started again.
    StopsInTurn,
    /// The endpoint dies without notice; another one starts beside the daemon.
    EndpointCrash(usize),
    /// The endpoint says that it leaves, serves on and ends; another one starts.
    EndpointLeaves(usize),
    /// The endpoint dies without notice and starts again under its id after the time.
    EndpointRestart(usize),
    /// The endpoint leaves as planned and starts again under its id.
    EndpointRestartAfterLeaving(usize),
    /// All endpoints die at once and start again under their ids after the time.
    AllEndpointsRestart,
    /// Heartbeats that can't be read come under the endpoint's id.
    InvalidHeartbeats(usize),
    /// Another writer sends readable heartbeats, which are not of the endpoint on the machine, for the time.
    ForeignHeartbeats(usize),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What strikes.
    pub fault: Fault,
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

/// The steps of a seed, in order.
pub fn plan(seed: u64, size: Size) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = control_steps(&mut random, size);
    steps.extend(daemon_steps(&mut random, size));
    // Once a run, in its last third, all endpoints start again under their ids.
    steps.push(Step {
        at: CALM_START + size.length * 5 / 6,
        lasts: millis(&mut random, 200..1_500),
        fault: Fault::AllEndpointsRestart,
    });
    steps.extend(foreign_steps(seed, size));
    add_planned_stops(&mut random, size, &mut steps);
    steps.sort_by_key(|step| step.at);
    steps
}

pub(crate) fn millis(random: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// One fault after the other: more losses at once than the group bears would rest service.
fn control_steps(random: &mut impl Rng, size: Size) -> Vec<Step> {
    let end = CALM_START + size.length;
    let mut at = CALM_START + millis(random, 0..2_000);
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
        at += lasts + CONTROL_PAUSE + millis(random, 0..1_000);
    }
    steps
}

fn daemon_steps(random: &mut impl Rng, size: Size) -> Vec<Step> {
    let end = CALM_START + size.length;
    let mut steps = Vec::new();
    let mut busy_until = vec![Duration::ZERO; size.daemons];
    let mut at = CALM_START;
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

/// Foreign heartbeats come at any time, also while the daemon or a replica is struck, so that they are drawn apart.
fn foreign_steps(seed: u64, size: Size) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ FOREIGN_SEED);
    let end = CALM_START + size.length;
    let mut at = CALM_START;
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

/// Every 20 seconds a stop that nothing else is near.
fn add_planned_stops(random: &mut impl Rng, size: Size, steps: &mut Vec<Step>) {
    const PERIOD: Duration = Duration::from_secs(20);
    let end = CALM_START + size.length;
    let mut at = CALM_START + PERIOD;
    let mut is_first = true;
    while at + STOP_TIME < end {
        let free = (at.saturating_sub(STOP_MARGIN), at + STOP_TIME);
        steps.retain(|step| step.at + step.lasts < free.0 || step.at > free.1);
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
