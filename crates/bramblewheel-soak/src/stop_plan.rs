//! Plans that exercise all patterns of planned stops, one after the other, without any unplanned fault.

use crate::plan::{Fault, Machine, STARTUP_TIME, Size, Step, millis};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Time between the beginnings of two patterns; long enough for the last stop of a pattern and the start after it.
const PERIOD: Duration = Duration::from_secs(13);
/// Time by which a surge precedes the stops, so that queues are full when they begin.
const SURGE_LEAD: Duration = Duration::from_millis(1_500);
/// Length of a surge.
const SURGE_TIME: Duration = Duration::from_secs(9);
/// Load during a surge, in percent of the usual load.
const SURGE_PERCENT: std::ops::Range<u32> = 150..350;

/// Returns the plan of a seed, sorted by begin.
pub fn plan(seed: u64, size: Size) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x570_9575);
    let end = STARTUP_TIME + size.length;
    let mut at = STARTUP_TIME + SURGE_LEAD;
    let mut steps = Vec::new();
    while at + PERIOD <= end {
        let is_in_surge = random.random_bool(0.6);
        if is_in_surge {
            steps.push(Step {
                at: at - SURGE_LEAD,
                lasts: SURGE_TIME,
                fault: Fault::Surge(random.random_range(SURGE_PERCENT)),
            });
        }
        steps.extend(stop_pattern(&mut random, size, at));
        at += PERIOD;
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Steps of one pattern that begins at `at`.
fn stop_pattern(random: &mut Pcg64Mcg, size: Size, at: Duration) -> Vec<Step> {
    let daemon = random.random_range(0..size.daemons);
    let other = (daemon + random.random_range(1..size.daemons)) % size.daemons;
    let step = |at, fault| Step {
        at,
        lasts: Duration::from_millis(300),
        fault,
    };
    match random.random_range(0..9) {
        0 => vec![step(at, Fault::Stop(daemon))],
        1 => vec![step(at, Fault::StopsInTurn)],
        2 => concurrent_stops(random, size, at, size.daemons.div_ceil(4)),
        3 => concurrent_stops(random, size, at, size.daemons.div_ceil(2)),
        // Two daemons that may be on the path of one request, one shortly after the other.
        4 => vec![
            step(at, Fault::Stop(daemon)),
            step(at + millis(random, 0..3_000), Fault::Stop(other)),
        ],
        5 => vec![
            step(at, Fault::EndpointLeaves(daemon)),
            step(at + millis(random, 0..3_000), Fault::Stop(daemon)),
        ],
        6 => vec![
            step(at, Fault::Stop(daemon)),
            step(at + millis(random, 0..3_000), Fault::EndpointLeaves(daemon)),
        ],
        7 => vec![
            step(at, Fault::ReloadSeries(Machine::Daemon(daemon))),
            step(at + millis(random, 0..800), Fault::Stop(daemon)),
            step(
                at + millis(random, 0..800),
                Fault::Reload(Machine::Daemon(other)),
            ),
        ],
        _ => vec![
            step(
                at,
                Fault::StopControl(random.random_range(0..size.replicas)),
            ),
            step(at + millis(random, 0..2_000), Fault::Stop(daemon)),
        ],
    }
}

/// Stops of `count` daemons within a second.
fn concurrent_stops(random: &mut impl Rng, size: Size, at: Duration, count: usize) -> Vec<Step> {
    let first = random.random_range(0..size.daemons);
    let stop = |number| Step {
        at: at + millis(random, 0..1_000),
        lasts: Duration::from_millis(300),
        fault: Fault::Stop((first + number) % size.daemons),
    };
    (0..count).map(stop).collect()
}
