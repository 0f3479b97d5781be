//! Concurrency limit of the local endpoint, from the latency that its daemon observes.
//!
//! Additive increase, multiplicative decrease: in each window of samples the mean is held
//! against a slowly moving baseline. A decrease is on trial until the next windows show that
//! fewer requests side by side are quicker: if the endpoint ends clearly fewer requests a second
//! instead, its slowness does not come from its load (slow sub-calls, a slow disk), a lower limit
//! only costs capacity, and it is taken back for a while. The endpoint's own report never raises
//! the limit, since it may be frozen or flattering.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Samples that make a window.
const WINDOW_SAMPLES: u32 = 32;
/// Shortest window.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// Mean latency, as a multiple of the baseline, from which the endpoint counts as overloaded.
const TOLERANCE: f64 = 2.0;
/// Slack added to the tolerated latency, in microseconds, so that noise in very short service
/// times is not taken for overload.
const SLACK_MICROS: f64 = 1_000.0;
/// Factor of a decrease.
const DECREASE: f64 = 0.9;
/// Share by which the baseline follows the mean upwards in a window.
const BASELINE_DRIFT: f64 = 0.01;
/// Share of the limit that must be in use for it to rise.
const USE_TO_RISE: f64 = 0.8;

/// A trial has failed when the rate has fallen by more than this power of the limit's own fall:
/// half of what it falls by when all of the limit was needed.
const TRIAL_EXPONENT: f64 = 0.5;
/// Time without another trial after one has failed.
const HOLD_AFTER_TRIAL: Duration = Duration::from_secs(5);

/// A decrease that has to prove itself.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Limit before it.
    limit: f64,
    /// Requests a second that ended before it.
    rate: f64,
}

/// How many attempts may run at the local endpoint side by side.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    min: f64,
    max: f64,
    limit: f64,
    baseline_micros: Option<f64>,
    window_start: Timestamp,
    samples: u32,
    sum_micros: f64,
    peak_running: u32,
    has_failure: bool,
    trial: Option<Trial>,
    held_until: Timestamp,
}

impl ConcurrencyLimit {
    /// A limit between `min` and `max` that begins at `max`.
    pub fn new(min: u32, max: u32) -> Self {
        let min = f64::from(min.max(1));
        let max = f64::from(max).max(min);
        Self {
            min,
            max,
            limit: max,
            baseline_micros: None,
            window_start: Timestamp::ZERO,
            samples: 0,
            sum_micros: 0.0,
            peak_running: 0,
            has_failure: false,
            trial: None,
            held_until: Timestamp::ZERO,
        }
    }

    /// Takes over the bounds of a new bundle.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        let was_at_max = self.limit >= self.max;
        self.min = f64::from(min.max(1));
        self.max = f64::from(max).max(self.min);
        self.limit = if was_at_max {
            self.max
        } else {
            self.limit.clamp(self.min, self.max)
        };
    }

    /// The limit by own observation.
    pub fn observed(&self) -> u32 {
        self.limit as u32
    }

    /// The limit, lowered by the slots that the endpoint itself states, if it states any.
    pub fn with_reported_slots(&self, slots: Option<u32>) -> u32 {
        let observed = self.observed();
        let reported = slots.filter(|slots| *slots > 0).unwrap_or(observed);
        observed.min(reported).max(self.min as u32)
    }

    /// Records the latency of an attempt that ended while `running` ran, itself included.
    pub fn record(&mut self, now: Timestamp, latency: Duration, running: u32) {
        if self.samples == 0 {
            self.window_start = now;
        }
        self.samples += 1;
        self.sum_micros += latency.as_micros() as f64;
        self.peak_running = self.peak_running.max(running);
        let is_long_enough = now.since(self.window_start) >= MIN_WINDOW;
        if self.samples >= WINDOW_SAMPLES && is_long_enough {
            self.end_window(now);
        }
    }

    /// Records that the endpoint could not be reached or broke off.
    pub fn record_failure(&mut self) {
        self.has_failure = true;
    }

    fn end_window(&mut self, now: Timestamp) {
        let mean = self.sum_micros / f64::from(self.samples);
        let baseline = match self.baseline_micros {
            Some(baseline) if mean > baseline => baseline + BASELINE_DRIFT * (mean - baseline),
            _ => mean,
        };
        self.baseline_micros = Some(baseline);
        let is_slow = mean > baseline * TOLERANCE + SLACK_MICROS;
        let is_in_use = f64::from(self.peak_running) >= self.limit * USE_TO_RISE;
        let rate = f64::from(self.samples) / now.since(self.window_start).as_secs_f64();
        if self.has_failure {
            self.trial = None;
            self.decrease();
        } else if is_in_use && self.has_failed_trial(rate) {
            self.take_back(now);
        } else if is_slow {
            self.try_decrease(now, rate);
        } else if is_in_use {
            self.trial = None;
            self.limit = (self.limit + 1.0).min(self.max);
        }
        self.samples = 0;
        self.sum_micros = 0.0;
        self.peak_running = 0;
        self.has_failure = false;
    }

    fn decrease(&mut self) {
        self.limit = (self.limit * DECREASE).max(self.min);
    }

    fn try_decrease(&mut self, now: Timestamp, rate: f64) {
        if now < self.held_until {
            return;
        }
        let limit = self.limit;
        self.trial.get_or_insert(Trial { limit, rate });
        self.decrease();
    }

    fn has_failed_trial(&self, rate: f64) -> bool {
        self.trial.is_some_and(|trial| {
            let least = trial.rate * (self.limit / trial.limit).powf(TRIAL_EXPONENT);
            rate < least
        })
    }

    fn take_back(&mut self, now: Timestamp) {
        if let Some(trial) = self.trial.take() {
            self.limit = trial.limit.min(self.max);
            self.held_until = now + HOLD_AFTER_TRIAL;
        }
    }
}
