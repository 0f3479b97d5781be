//! Concurrency limit of the local endpoint, derived from the latency observed by its daemon.
//!
//! Additive increase, multiplicative decrease: in each window of samples the mean is compared with
//! a slowly moving baseline. A decrease is a trial until the following windows show that fewer
//! concurrent requests are faster. If the endpoint completes clearly fewer requests per second
//! instead, the latency is not caused by its load (but by slow sub-calls or a slow disk) and a
//! lower limit only costs capacity; the decrease is then reverted and not tried again for a while.
//! The endpoint's own report never raises the limit, since it may be stale or too optimistic.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Minimum number of samples in a window.
const WINDOW_SAMPLES: u32 = 32;
/// Minimum length of a window.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// Mean latency, as a multiple of the baseline, above which the endpoint counts as overloaded.
const TOLERANCE: f64 = 2.0;
/// Slack added to the tolerated latency, in microseconds, so that noise in very short service
/// times does not count as overload.
const SLACK_MICROS: f64 = 1_000.0;
/// Factor by which the limit is decreased.
const DECREASE: f64 = 0.9;
/// Share of the difference by which the baseline follows a higher mean in each window.
const BASELINE_DRIFT: f64 = 0.01;
/// Share of the limit that must be in use for the limit to rise.
const UTILIZATION_TO_RISE: f64 = 0.8;

/// A trial has failed when the completion rate, relative to the rate before, is lower than the
/// relative limit raised to this power: about half the fall expected if the whole limit was needed.
const TRIAL_EXPONENT: f64 = 0.5;
/// Time after a failed trial during which no other is started.
const HOLD_AFTER_TRIAL: Duration = Duration::from_secs(5);

/// A decrease whose effect is being checked.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Limit before the decrease.
    limit: f64,
    /// Requests completed per second before the decrease.
    rate: f64,
}

/// Limit on concurrent attempts at the local endpoint.
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
    /// Creates a limit between `min` and `max`, initially `max`.
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

    /// Applies the bounds of a new bundle.
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

    /// The limit according to the daemon's own observation.
    pub fn observed(&self) -> u32 {
        self.limit as u32
    }

    /// The limit, capped at the number of slots that the endpoint reports, if any.
    pub fn with_reported_slots(&self, slots: Option<u32>) -> u32 {
        let observed = self.observed();
        let reported = slots.filter(|slots| *slots > 0).unwrap_or(observed);
        observed.min(reported).max(self.min as u32)
    }

    /// Records the latency of an attempt that ended while `running` attempts, including itself, ran.
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

    /// Records that the endpoint could not be reached or the connection broke.
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
        let is_in_use = f64::from(self.peak_running) >= self.limit * UTILIZATION_TO_RISE;
        let rate = f64::from(self.samples) / now.since(self.window_start).as_secs_f64();
        if self.has_failure {
            self.trial = None;
            self.decrease();
        } else if is_in_use && self.has_failed_trial(rate) {
            self.revert_decrease(now);
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

    fn revert_decrease(&mut self, now: Timestamp) {
        if let Some(trial) = self.trial.take() {
            self.limit = trial.limit.min(self.max);
            self.held_until = now + HOLD_AFTER_TRIAL;
        }
    }
}
