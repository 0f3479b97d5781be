//! Admission level from queueing delay, told to callers so that they shed before sending.
//!
//! At the end of each window the level moves: up, while the mean queueing delay is too long, so
//! that what passes is what was served, or a twentieth less; down by a small step otherwise. A
//! histogram of the offered requests over (class, cohort) says how far to move. Down is slower
//! than up, and both are relative, so that callers do not swing between all and nothing; only
//! when slots are clearly free does the level fall fast.

use crate::cohort::COHORT_COUNT;
use crate::event::AdmissionLevel;
use bramblewheel_types::{Criticality, Timestamp};
use std::time::Duration;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(200);
/// Mean queueing delay from which the endpoint counts as overloaded.
const TARGET_DELAY: Duration = Duration::from_millis(20);
/// Smallest share of the admitted load that is taken off in an overloaded window.
const DECREASE: f64 = 0.05;
/// Largest share of the admitted load that is taken off in one window.
const MAX_DECREASE: f64 = 0.5;
/// Share of the admitted load that is added in a window without overload.
const INCREASE: f64 = 0.02;
/// Positions over all classes.
const POSITIONS: usize = Criticality::ALL.len() * COHORT_COUNT as usize;
/// Mean share of the slots in use below which there is clearly room.
const IDLE_USE: f64 = 0.75;
/// Steps down per window while there is no overload.
const FALL_STEPS: u128 = COHORT_COUNT as u128 / 8;
/// Steps down in the first window with clearly room; doubled with each further one in a row, so
/// that refusals end soon after a surge.
const IDLE_FALL_STEPS: u128 = COHORT_COUNT as u128 / 2;
/// Most doublings of the steps down.
const MAX_IDLE_DOUBLINGS: u32 = 3;
/// The level never passes this, so that some of the most important calls always come through.
const MAX_POSITION: usize = POSITIONS - COHORT_COUNT as usize / 4;

/// Moves the admission level of the local endpoint.
#[derive(Debug)]
pub struct LevelController {
    position: usize,
    offered: Box<[u32; POSITIONS]>,
    window_end: Timestamp,
    delay_sum: Duration,
    delays: u32,
    served: u32,
    has_shed: bool,
    use_sum: f64,
    uses: u32,
    /// Windows with clearly room in a row.
    idle_windows: u32,
}

impl LevelController {
    /// A controller that admits everything.
    pub fn new() -> Self {
        Self {
            position: 0,
            offered: Box::new([0; POSITIONS]),
            window_end: Timestamp::ZERO,
            delay_sum: Duration::ZERO,
            delays: 0,
            served: 0,
            has_shed: false,
            use_sum: 0.0,
            uses: 0,
            idle_windows: 0,
        }
    }

    /// The level in force.
    pub fn level(&self) -> AdmissionLevel {
        let cohorts = usize::from(COHORT_COUNT);
        AdmissionLevel {
            criticality: Criticality::ALL[self.position / cohorts],
            cohort: (self.position % cohorts) as u8,
        }
    }

    /// Whether the last window was overloaded, or the level still recovers.
    pub fn is_overloaded(&self) -> bool {
        self.position > 0
    }

    /// Counts a request that arrived.
    pub fn record_offered(&mut self, now: Timestamp, place: AdmissionLevel) {
        self.roll(now);
        self.offered[position_of(place)] += 1;
    }

    /// Counts the time a request spent in the queue before it was taken out.
    pub fn record_delay(&mut self, now: Timestamp, delay: Duration) {
        self.roll(now);
        self.delay_sum += delay;
        self.delays += 1;
    }

    /// Counts a request that was taken out of the queue to run.
    pub fn record_served(&mut self) {
        self.served += 1;
    }

    /// Notes how many of the slots were in use when a request arrived.
    pub fn record_use(&mut self, running: u32, limit: u32) {
        self.use_sum += f64::from(running) / f64::from(limit.max(1));
        self.uses += 1;
    }

    /// Notes that a request was shed for want of room or time.
    pub fn record_shed(&mut self) {
        self.has_shed = true;
    }

    /// Ends the window if its time is over. An idle controller falls by one step per call, so
    /// callers' copies expire by age rather than by waiting for it.
    pub fn roll(&mut self, now: Timestamp) {
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
        self.use_sum = 0.0;
        self.uses = 0;
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

    /// Callers shed below the level before sending, so that little of what lies below is counted
    /// here; hence the steps down are bounded per window as well. With clearly free slots the
    /// count is not needed.
    fn fall(&mut self, windows: u128) {
        if self.has_room() {
            let doublings = self.idle_windows.min(MAX_IDLE_DOUBLINGS);
            let steps = (IDLE_FALL_STEPS << doublings) * windows;
            let steps = usize::try_from(steps).unwrap_or(POSITIONS);
            self.position = self.position.saturating_sub(steps);
            self.idle_windows += 1;
            return;
        }
        self.idle_windows = 0;
        let room = (self.admitted() as f64 * INCREASE).ceil() as u64;
        let max_steps = FALL_STEPS * windows;
        let mut steps = 0;
        let mut added = 0;
        while self.position > 0 && steps < max_steps && added <= room {
            self.position -= 1;
            added += u64::from(self.offered[self.position]);
            steps += 1;
        }
    }

    fn has_room(&self) -> bool {
        self.uses > 0 && self.use_sum / f64::from(self.uses) < IDLE_USE
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
