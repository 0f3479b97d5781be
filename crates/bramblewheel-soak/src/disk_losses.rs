//! Lost disks of control replicas: the same machine's again and again, one while another replica is restarted or cut
//! off, replicas replaced at new addresses one after the other, and a disk lost at the end of a run while all processes
//! are killed.
//!
//! The control group tolerates the loss of one machine, so no disk of a second machine is lost while the first one
//! counts as lost.

use crate::plan::{CONTROL_RECOVERY_PAUSE, Fault, Machine, STARTUP_TIME, Size, Step, millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// Time after its return for which a machine still counts as lost.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time by which a process may start later than planned.
const START_DELAY: Duration = Duration::from_millis(500);
/// Smallest number of replicas of a group that tolerates the loss of one.
const MIN_REPLICAS: usize = 3;
/// Step of the search for a time at which a series fits.
const SEARCH_STEP: Duration = Duration::from_millis(500);

/// Time for which a machine whose disk is lost is down, in milliseconds.
const DOWN_MILLIS: Range<u64> = 300..3_000;
/// Time between a restart and the next loss of the same disk, when the replica is not replaced yet, in milliseconds.
const EARLY_GAP_MILLIS: Range<u64> = 0..3_000;
/// The same time when the group has had the time to become whole again, in milliseconds.
const LATE_GAP_MILLIS: Range<u64> = 4_000..20_000;
/// Time between the start of a replica at a new address and the next replacement, in milliseconds.
const REPLACEMENT_GAP_MILLIS: Range<u64> = 4_500..8_000;
/// Number of replacements in a series.
const REPLACEMENTS: Range<u32> = 2..4;
/// Number of losses of the same disk in a series.
const LOSSES: Range<u32> = 2..4;
/// Time between the begins of a disk's loss and of a fault of another replica, in milliseconds.
const OFFSET_MILLIS: Range<u64> = 0..4_000;
/// Time for which another replica is down or cut off, in milliseconds.
const OTHER_FAULT_MILLIS: Range<u64> = 300..5_000;
/// Pause between two series beyond the recovery of the control group, in milliseconds.
const SERIES_PAUSE_MILLIS: Range<u64> = 0..12_000;
/// Pause before the last fault, in milliseconds.
const LAST_FAULT_PAUSE_MILLIS: Range<u64> = 0..1_000;
/// Time for which all processes are down in the last fault, in milliseconds.
const LAST_FAULT_MILLIS: Range<u64> = 100..1_000;

/// Flips a bit of the seed, so that lost disks have a random sequence of their own.
const DISK_LOSS_SEED_BIT: u64 = 1 << 53;

/// Adds series of lost disks to the plan, which replace other faults of control replicas near them, and the last fault.
/// Near a planned stop no disk is lost.
pub(crate) fn add(seed: u64, size: Size, steps: &mut Vec<Step>) {
    if size.replicas < MIN_REPLICAS {
        return;
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ DISK_LOSS_SEED_BIT);
    add_series(&mut random, size, steps);
    let last = last_fault(&mut random, size, steps);
    steps.push(last);
}

fn add_series(random: &mut Pcg64Mcg, size: Size, steps: &mut Vec<Step>) {
    let end = STARTUP_TIME + size.length;
    let mut at = STARTUP_TIME + millis(random, 0..2_000);
    while at < end {
        let series = draw_series(random, size, at);
        let is_in_time = series.iter().all(|step| step.at < end);
        if !is_in_time || !is_clear_of_stops(&series, steps) {
            at += SEARCH_STEP;
            continue;
        }
        let over = last_end(&series);
        remove_control_faults_near(steps, at, over);
        steps.extend(series);
        at = over + CONTROL_RECOVERY_PAUSE + millis(random, SERIES_PAUSE_MILLIS);
    }
}

fn last_end(steps: &[Step]) -> Duration {
    let ends = steps.iter().map(Step::end);
    ends.max().unwrap_or_default()
}

fn is_clear_of_stops(series: &[Step], steps: &[Step]) -> bool {
    let is_stop = |step: &&Step| matches!(step.fault, Fault::Stop(_) | Fault::StopsInTurn);
    let mut stops = steps.iter().filter(is_stop);
    stops.all(|stop| series.iter().all(|step| step.is_clear_of_stop(stop.at)))
}

fn remove_control_faults_near(steps: &mut Vec<Step>, from: Duration, until: Duration) {
    steps.retain(|step| {
        let is_before = step.end() + CONTROL_RECOVERY_PAUSE <= from;
        let is_after = step.at >= until + CONTROL_RECOVERY_PAUSE;
        !step.fault.strikes_control() || is_before || is_after
    });
}

/// Draws a series whose first step begins at `at`.
fn draw_series(random: &mut Pcg64Mcg, size: Size, at: Duration) -> Vec<Step> {
    let replica = random.random_range(0..size.replicas);
    match random.random_range(0..4) {
        0 => {
            let losses = random.random_range(LOSSES);
            repeated_losses(random, replica, at, losses, EARLY_GAP_MILLIS)
        }
        1 => repeated_losses(random, replica, at, LOSSES.start, LATE_GAP_MILLIS),
        2 => replacements(random, size, at),
        _ => loss_beside_another_fault(random, size, replica, at),
    }
}

fn loss(random: &mut Pcg64Mcg, replica: usize, at: Duration) -> Step {
    Step {
        at,
        lasts: millis(random, DOWN_MILLIS),
        fault: Fault::KillAndWipe(Machine::Control(replica)),
    }
}

/// The same disk is lost several times, with a gap between each restart and the next loss.
fn repeated_losses(
    random: &mut Pcg64Mcg,
    replica: usize,
    at: Duration,
    losses: u32,
    gap_millis: Range<u64>,
) -> Vec<Step> {
    let mut next = at;
    let mut series = Vec::new();
    for _ in 0..losses {
        let step = loss(random, replica, next);
        next = step.end() + millis(random, gap_millis.clone());
        series.push(step);
    }
    series
}

/// Replicas are replaced at new addresses, each once the previous one has had its time to catch up.
fn replacements(random: &mut Pcg64Mcg, size: Size, at: Duration) -> Vec<Step> {
    let mut next = at;
    let mut series = Vec::new();
    for _ in 0..random.random_range(REPLACEMENTS) {
        let step = Step {
            at: next,
            lasts: millis(random, DOWN_MILLIS),
            fault: Fault::ReplaceControl(random.random_range(0..size.replicas)),
        };
        next = step.end() + millis(random, REPLACEMENT_GAP_MILLIS);
        series.push(step);
    }
    series
}

/// A disk is lost, and another replica is restarted, suspended or cut off before the first one is replaced.
fn loss_beside_another_fault(
    random: &mut Pcg64Mcg,
    size: Size,
    replica: usize,
    at: Duration,
) -> Vec<Step> {
    let other = Machine::Control((replica + random.random_range(1..size.replicas)) % size.replicas);
    let fault = match random.random_range(0..5) {
        0 => Fault::Kill(other),
        1 => Fault::Pause(other),
        2 => Fault::SilentInwards(other),
        3 => Fault::SilentOutwards(other),
        _ => Fault::Silent(other),
    };
    let lasts = millis(random, OTHER_FAULT_MILLIS);
    let is_loss_first = random.random_bool(0.5);
    // The first fault lasts, or the first replica still catches up, when the second one begins.
    let offset = millis(random, OFFSET_MILLIS);
    let (loss_at, other_at) = if is_loss_first {
        (at, at + offset)
    } else {
        (at + offset.min(lasts), at)
    };
    vec![
        loss(random, replica, loss_at),
        Step {
            at: other_at,
            lasts,
            fault,
        },
    ]
}

/// The last fault of a run, after all others have ended.
fn last_fault(random: &mut Pcg64Mcg, size: Size, steps: &[Step]) -> Step {
    let replica = random.random_range(0..size.replicas);
    let others_end = last_end(steps).max(STARTUP_TIME + size.length);
    let at = others_end.max(time_until_others_are_whole(replica, steps));
    Step {
        at: at + millis(random, LAST_FAULT_PAUSE_MILLIS),
        lasts: millis(random, LAST_FAULT_MILLIS),
        fault: Fault::KillAllAndWipe(replica),
    }
}

/// Time from which no machine other than that of `replica` counts as lost with its disk.
fn time_until_others_are_whole(replica: usize, steps: &[Step]) -> Duration {
    let is_loss_of_other = |step: &&Step| match step.fault {
        Fault::KillAndWipe(Machine::Control(lost)) | Fault::ReplaceControl(lost) => lost != replica,
        _ => false,
    };
    let losses = steps.iter().filter(is_loss_of_other);
    let Some(loss_end) = losses.map(Step::end).max() else {
        return Duration::ZERO;
    };
    // A replica that another fault keeps away delays the replacement.
    let delays_replacement =
        |step: &&Step| step.fault.strikes_control() && step.at < loss_end + CATCH_UP_TIME;
    let ends = steps.iter().filter(delays_replacement).map(Step::end);
    ends.max().unwrap_or_default() + CATCH_UP_TIME + START_DELAY
}
