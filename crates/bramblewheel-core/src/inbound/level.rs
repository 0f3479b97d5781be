//! Admission level derived from queueing delay and reported to callers, which shed before sending.
//!
//! The level is adjusted at the end of each window. If the mean queueing delay was too long, it
//! rises so that the admitted load falls to the served load, or by a twentieth if that is more.
//! Otherwise it falls by a small step. A histogram of offered requests over (class, cohort)
//! determines the size of the change. Falling is slower than rising and both are relative to the
//! admitted load, so that callers do not oscillate between sending everything and nothing. The
//! level falls fast only when slots are clearly free.

use crate::cohort::COHORT_COUNT;
use crate::event::AdmissionLevel;
use bramblewheel_types::{Criticality, Timestamp};
use std::time::Duration;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(200);
/// Mean queueing delay above which the endpoint counts as overloaded.
const TARGET_DELAY: Duration = Duration::from_millis(20);
/// Smallest share of the admitted load removed in an overloaded window.
const DECREASE: f64 = 0.05;
/// Largest share of the admitted load removed in one window.
const MAX_DECREASE: f64 = 0.5;
/// Share of the admitted load added in a window without overload.
const INCREASE: f64 = 0.02;
/// Number of positions over all classes.
const POSITIONS: usize = Criticality::ALL.len() * COHORT_COUNT as usize;
/// Mean slot utilization below which slots are clearly free.
const IDLE_UTILIZATION: f64 = 0.75;
/// Steps that the level falls per window without overload.
const FALL_STEPS: u128 = COHORT_COUNT as u128 / 8;
/// Steps that the level falls in the first window with clearly free slots. Doubled in each further
/// consecutive one, so that refusals end soon after a surge.
const IDLE_FALL_STEPS: u128 = COHORT_COUNT as u128 / 2;
/// Maximum number of doublings of these steps.
const MAX_IDLE_DOUBLINGS: u32 = 3;
/// Highest level, so that some of the most important calls are always admitted.
const MAX_POSITION: usize = POSITIONS - COHORT_COUNT as usize / 4;

/// Adjusts the admission level of the local endpoint.
#[derive(Debug)]
pub struct LevelController {
    position: usize,
    offered: Box<[u32; POSITIONS]>,
    window_end: Timestamp,
    delay_sum: Duration,
    delays: u32,
    served: u32,
    has_shed: bool,
    utilization_sum: f64,
    utilization_samples: u32,
    /// Consecutive windows with clearly free slots.
    idle_windows: u32,
}

impl LevelController {
    /// Creates a controller that admits everything.
    pub fn new() -> Self {
        Self {
            position: 0,
            offered: Box::new([0; POSITIONS]),
            window_end: Timestamp::ZERO,
            delay_sum: Duration::ZERO,
            delays: 0,
            served: 0,
            has_shed: false,
            utilization_sum: 0.0,
            utilization_samples: 0,
            idle_windows: 0,
        }
    }

    /// The current level.
    pub fn level(&self) -> AdmissionLevel {
        let cohorts = usize::from(COHORT_COUNT);
        AdmissionLevel {
            criticality: Criticality::ALL[self.position / cohorts],
            cohort: (self.position % cohorts) as u8,
        }
    }

    /// Whether the last window was overloaded or the level has not yet fallen back to zero.
    pub fn is_overloaded(&self) -> bool {
        self.position > 0
    }

    /// Counts a request that arrived.
    pub fn record_offered(&mut self, now: Timestamp, place: AdmissionLevel) {
        self.advance(now);
        self.offered[position_of(place)] += 1;
    }

    /// Records the time a request waited in the queue.
    pub fn record_delay(&mut self, now: Timestamp, delay: Duration) {
        self.advance(now);
        self.delay_sum += delay;
        self.delays += 1;
    }

    /// Counts a request that was taken from the queue to run.
    pub fn record_served(&mut self) {
        self.served += 1;
    }

    /// Records the slot utilization on arrival of a request.
    pub fn record_utilization(&mut self, running: u32, limit: u32) {
        self.utilization_sum += f64::from(running) / f64::from(limit.max(1));
        self.utilization_samples += 1;
    }

    /// Records that a request was shed for lack of capacity or time.
    pub fn record_shed(&mut self) {
        self.has_shed = true;
    }

    /// Ends the window if it is over. The level is adjusted only when this is called, so an idle
    /// controller lags; callers' copies of the level expire by age instead.
    pub fn advance(&mut self, now: Timestamp) {
        if now < self.window_end {
            return;
        }
        let mean = self.delay_sum.checked_div(self.delays).unwrap_or_default();
        if mean > TARGET_DELAY || self.has_shed {
            self.rise();
        } else {
            let windows = 1 + now.since(self.window_end).as_millis() / WINDOW.as_millis();
            self.fall(windows);
        }
        self.offered.fill(0);
        self.delay_sum = Duration::ZERO;
        self.delays = 0;
        self.served = 0;
        self.has_shed = false;
        self.utilization_sum = 0.0;
        self.utilization_samples = 0;
        self.window_end = now + WINDOW;
    }

    fn admitted(&self) -> u64 {
        self.offered[self.position..]
            .iter()
            .map(|count| u64::from(*count))
            .sum()
    }

    fn rise(&mut self) {
        self.idle_windows = 0;
        let admitted = self.admitted();
        let least = (admitted as f64 * DECREASE).ceil() as u64;
        let most = (admitted as f64 * MAX_DECREASE).ceil() as u64;
        let excess = admitted.saturating_sub(u64::from(self.served));
        let excess = excess.clamp(least, most);
        let mut taken_off = 0;
        while taken_off < excess && self.position < MAX_POSITION {
            taken_off += u64::from(self.offered[self.position]);
            self.position += 1;
        }
    }

    /// Callers shed requests below the level before sending, so few of them are counted here;
    /// therefore the number of steps per window is bounded as well. With clearly free slots the
    /// count is not used.
    fn fall(&mut self, windows: u128) {
        if self.has_free_slots() {
            let doublings = self.idle_windows.min(MAX_IDLE_DOUBLINGS);
            let steps = (IDLE_FALL_STEPS << doublings) * windows;
            let steps = usize::try_from(steps).unwrap_or(POSITIONS);
            self.position = self.position.saturating_sub(steps);
            self.idle_windows += 1;
            return;
        }
        self.idle_windows = 0;
        let max_added = (self.admitted() as f64 * INCREASE).ceil() as u64;
        let max_steps = FALL_STEPS * windows;
        let mut steps = 0;
        let mut added = 0;
        while self.position > 0 && steps < max_steps && added <= max_added {
            self.position -= 1;
            added += u64::from(self.offered[self.position]);
            steps += 1;
        }
    }

    fn has_free_slots(&self) -> bool {
        self.utilization_samples > 0
            && self.utilization_sum / f64::from(self.utilization_samples) < IDLE_UTILIZATION
    }
}

impl Default for LevelController {
    fn default() -> Self {
        Self::new()
    }
}

fn position_of(place: AdmissionLevel) -> usize {
    let within_class = usize::from(place.cohort.min(COHORT_COUNT - 1));
    place.criticality.rank() * usize::from(COHORT_COUNT) + within_class
}
