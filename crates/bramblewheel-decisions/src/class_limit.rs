//! Limit of a class: how many requests of one class may run at an endpoint at one time, by how long they take.
//!
//! Rule: additive increase, multiplicative decrease. The limit falls while the mean time of the answers exceeds both
//! a part of the class's objective and a multiple of its usual time, or too many answers are failures; it rises
//! while it is in use.
//!
//! Inputs: for each request its time from arrival to answer (its wait included), whether the endpoint failed it, and
//! the objective of its route; counted in windows of at least 200 ms and five answers.
//!
//! Reason: a service deep in a call tree that is overloaded shows at the top as time, since each request there makes
//! calls one after the other and each of them waits. Refusing work at the top, before anything has run, is worth far
//! more than refusing a call for which much has run already. The longest chains reach the bound first, and calls
//! deep down hardly ever. Measured on an overloaded day: 0.461 of the requests failed without it and with a short
//! queue at the endpoint, 0.024 with it and with the queue of [`crate::admission`].
//!
//! Owns the limit and the counts of one class at one endpoint. Relies on the caller for time, and to say which
//! requests are exempt.
//!
//! Seen in: metric `bramblewheel_inbound` (result `full`); log line `not admitted` (`route_limit`, the limit rounded
//! down).

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Mean time of the answers, as a part of the objective, above which the limit falls. Measured for classes that are
/// not the least important, on eight whole days (`docs/design/12-platform.md`): summed worth 5.706 with 0.4 and
/// failures at 0.15, 5.661 with 0.8 and failures at 0.6.
const BUSY_PART_OF_OBJECTIVE: f64 = 0.4;
/// The same as a multiple of the usual time, so that a class which is always slow is not stopped. Measured on a long
/// surge (`docs/design/13-fleet-size.md`): worth 0.793 with 1.8, 0.771 with 1.4.
const BUSY_MULTIPLE_OF_USUAL: f64 = 1.8;
/// Least length of a window. Chosen, not measured.
const WINDOW: Duration = Duration::from_millis(200);
/// Answers without which a window says nothing and goes on. Chosen, not measured.
const LEAST_ANSWERS: u32 = 5;
/// Share of the answers, 0 to 1, that may be failures before the limit falls: calls that are refused deep down make
/// their parents fail, and fast. Measured on a long surge (`docs/design/13-fleet-size.md`): worth 0.793 with 0.15
/// and an increase of 0.08, 0.788 with 0.06 and 0.05.
const TOLERATED_FAILURES: f64 = 0.15;
/// What the limit falls to in one window, as a part of what was in use. Chosen, not measured.
const DECREASE: f64 = 0.85;
/// What it falls to at least, where most requests fail. Chosen; that it falls by the share that fails took failures
/// from 0.102 to 0.068 and from 0.122 to 0.108 on two overloaded days.
const LEAST_KEPT: f64 = 0.5;
/// What the limit grows by in one window, as a part of it; at least one request. Measured together with
/// [`TOLERATED_FAILURES`].
const INCREASE: f64 = 0.08;
/// What the usual time grows by in each window that was slower, as a part of it. Chosen, not measured.
const USUAL_DRIFT: f64 = 0.001;
/// Part of the limit, 0 to 1, that must be in use for it to grow. Chosen, not measured.
const IN_USE: f64 = 0.8;
/// Least limit, as a part of what the endpoint holds: a quarter of its slots, where four wait for each. Where the
/// time does not come from load, such as from a slow endpoint deep down, refusing more does not help. Chosen, not
/// measured.
const LEAST_PART: f64 = 0.05;

/// An answer of an endpoint, as far as it shows load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Time from the request's arrival, its wait included.
    pub time: Duration,
    /// Whether the endpoint reports an error of its own.
    pub has_failed: bool,
}

/// The limit of one class at one endpoint, in requests.
#[derive(Debug)]
pub struct ClassLimit {
    limit: f64,
    least: f64,
    most: f64,
    running: u32,
    /// Most that ran at one time within the window.
    most_running: u32,
    /// Answers within the window.
    answers: u32,
    /// Those of them that were failures.
    failures: u32,
    /// Sum of their times.
    total: Duration,
    window_begun: Timestamp,
    /// Usual mean time in seconds: the least seen, drifting upwards slowly.
    usual: Option<f64>,
}

impl ClassLimit {
    /// The limit of a class at an endpoint that holds `held` requests, running and waiting.
    pub fn new(now: Timestamp, held: u32) -> Self {
        let most = f64::from(held.max(1));
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

    /// Admits a request if the limit allows one more, or if it is exempt from the limit; returns whether it did.
    pub fn begin(&mut self, is_exempt: bool) -> bool {
        if !is_exempt && f64::from(self.running) >= self.limit {
            return false;
        }
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        true
    }

    /// A request that was admitted has ended, with an answer unless it was given up.
    pub fn end(&mut self, now: Timestamp, answered: Option<Answered>, objective: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(answered) = answered {
            self.answers += 1;
            self.failures += u32::from(answered.has_failed);
            self.total += answered.time;
        }
        if now.since(self.window_begun) >= WINDOW && self.answers >= LEAST_ANSWERS {
            self.adjust(objective);
            self.begin_window(now);
        }
    }

    fn begin_window(&mut self, now: Timestamp) {
        self.answers = 0;
        self.failures = 0;
        self.total = Duration::ZERO;
        self.most_running = self.running;
        self.window_begun = now;
    }

    /// Lowers or raises the limit by the window that ends.
    fn adjust(&mut self, objective: Duration) {
        let mean = self.total.as_secs_f64() / f64::from(self.answers);
        let failed_share = f64::from(self.failures) / f64::from(self.answers);
        let has_failed = failed_share > TOLERATED_FAILURES;
        if !has_failed {
            self.learn_usual(mean);
        }
        let usual = self.usual.unwrap_or(mean);
        let bound =
            (objective.as_secs_f64() * BUSY_PART_OF_OBJECTIVE).max(usual * BUSY_MULTIPLE_OF_USUAL);
        let in_use = f64::from(self.most_running);
        if has_failed || mean > bound {
            let from = self.limit.min(in_use);
            let kept = (1.0 - failed_share).clamp(LEAST_KEPT, DECREASE);
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
