//! How many requests of one route may run at an endpoint at one time, by how long they take.
//!
//! A service deep in a call tree that is overloaded shows at the top as time: each request there
//! makes calls one after the other, and each of them waits. Refusing work at the top, before
//! anything has run, is worth far more than refusing a call for which much has run already. So each
//! route's requests at an endpoint are limited by their time relative to the route's objective; the
//! longest chains reach the bound first, and calls deep down hardly ever. Additive increase,
//! multiplicative decrease.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time of the answers, as a part of the objective, above which the limit falls.
const BUSY_PART: f64 = 0.4;
/// The same as a multiple of the usual time, so that a route which is always slow is not stopped.
const BUSY_MULTIPLE: f64 = 1.8;
/// Length of a look at the answers' times.
const WINDOW: Duration = Duration::from_millis(200);
/// Answers without which a look says nothing.
const LEAST_ANSWERS: u32 = 5;
/// Part of the answers that may be failures before the limit falls: calls that are refused deep
/// down make their parents fail, and fast.
const FAILED_PART: f64 = 0.15;
/// What the limit falls to in one step.
const DECREASE: f64 = 0.85;
/// What the limit falls to in one step at least, where most requests fail.
const LEAST_KEPT: f64 = 0.5;
/// What the limit grows by in one step, as a part of it.
const INCREASE: f64 = 0.08;
/// What the usual time grows by in each look that was slower.
const USUAL_DRIFT: f64 = 0.001;
/// Part of the limit that must be in use for it to grow.
const IN_USE: f64 = 0.8;
/// Least limit, as a part of what the endpoint holds: a quarter of its slots. Where the time does not
/// come from load, such as from a slow endpoint deep down, refusing more does not help.
const LEAST_PART: f64 = 0.05;

/// An answer of an endpoint, as far as it tells of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Time from the request's arrival, its wait included.
    pub time: Duration,
    /// Whether the endpoint reports an error of its own.
    pub has_failed: bool,
}

/// The limit of one route at one endpoint.
#[derive(Debug)]
pub struct ClassLimit {
    limit: f64,
    least: f64,
    most: f64,
    running: u32,
    most_running: u32,
    answers: u32,
    failures: u32,
    total: Duration,
    window_begun: Timestamp,
    /// Usual mean time in seconds: the least seen, drifting upwards slowly.
    usual: Option<f64>,
}

impl ClassLimit {
    /// The limit of a route at an endpoint that holds `capacity` requests, running and waiting.
    pub fn new(now: Timestamp, capacity: u32) -> Self {
        let most = f64::from(capacity.max(1));
        Self {
            limit: most,
            least: (most * LEAST_PART).max(1.0),
            most,
            running: 0,
            most_running: 0,
            answers: 0,
            failures: 0,
            total: Duration::ZERO,
            window_begun: now,
            usual: None,
        }
    }

    /// Requests that may run now.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Requests that may run now, rounded down.
    pub fn whole_limit(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between one and what the endpoint holds"
        )]
        let whole = self.limit as u32;
        whole
    }

    /// Takes a request in, if there is room or it must not be refused.
    pub fn begin(&mut self, must_run: bool) -> bool {
        if !must_run && f64::from(self.running) >= self.limit {
            return false;
        }
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        true
    }

    /// A request has ended, with an answer unless it was given up.
    pub fn end(&mut self, now: Timestamp, answered: Option<Answered>, objective: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(answered) = answered {
            self.answers += 1;
            self.failures += u32::from(answered.has_failed);
            self.total += answered.time;
        }
        if now.since(self.window_begun) >= WINDOW && self.answers >= LEAST_ANSWERS {
            self.adjust(objective);
            self.answers = 0;
            self.failures = 0;
            self.total = Duration::ZERO;
            self.most_running = self.running;
            self.window_begun = now;
        }
    }

    fn adjust(&mut self, objective: Duration) {
        let mean = self.total.as_secs_f64() / f64::from(self.answers);
        let failed_part = f64::from(self.failures) / f64::from(self.answers);
        let has_failed = failed_part > FAILED_PART;
        if !has_failed {
            self.learn_usual(mean);
        }
        let usual = self.usual.unwrap_or(mean);
        let bound = (objective.as_secs_f64() * BUSY_PART).max(usual * BUSY_MULTIPLE);
        let in_use = f64::from(self.most_running);
        if has_failed || mean > bound {
            let from = self.limit.min(in_use);
            let kept = (1.0 - failed_part).clamp(LEAST_KEPT, DECREASE);
            self.limit = (from * kept).max(self.least);
        } else if in_use >= self.limit * IN_USE {
            let step = (self.limit * INCREASE).max(1.0);
            self.limit = (self.limit + step).min(self.most);
        }
    }

    fn learn_usual(&mut self, mean: f64) {
        let usual = match self.usual {
            Some(usual) if mean > usual => usual * (1.0 + USUAL_DRIFT),
            _ => mean,
        };
        self.usual = Some(usual);
    }
}
