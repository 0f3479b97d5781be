//! Class limits: how many requests of one class may run at an endpoint at one time, based on their duration.
//!
//! Rule: additive increase, multiplicative decrease. The limit falls while the mean time of the answers exceeds both a
//! part of the class's latency objective and a multiple of its usual time, or too many answers are failures; it rises
//! while it is in use.
//!
//! Inputs: for each request its time from arrival to answer (including its wait), whether the endpoint failed it, and
//! the objective of its route; counted in windows of at least 200 ms and five answers.
//!
//! Reason: if a service deep in a call tree is overloaded, the time at the top grows, since requests there make calls
//! one after the other and each of them waits. Refusing a request at the top, before anything has run, is much better
//! than refusing a call for which much has run already. The longest chains reach the limit first, and calls deep in the
//! tree hardly ever. On an overloaded day 0.461 of the requests failed without this limit and with a short queue at the
//! endpoint, 0.024 with it and with the queue of [`crate::admission`].
//!
//! State: the limit and the counts of one class at one endpoint. The caller decides which requests are exempt.
//!
//! Observability: metric `bramblewheel_inbound` (result `full`); log line `not admitted` (`route_limit`, the limit
//! rounded down).

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Mean time of the answers, as a part of the objective, above which the limit falls. For classes that are not the
/// least important, the net values of eight whole days added up to 5.706 with 0.4 and failures at 0.15, and to 5.661
/// with 0.8 and failures at 0.6. The net value of a day or surge is the value of the requests answered in time, as a
/// part of the attainable, less the cost of resources and of refusals; 1 is the best.
const BUSY_PART_OF_OBJECTIVE: f64 = 0.4;
/// The same as a multiple of the usual time, so that a class that is always slow is not limited. In a long surge the
/// net value was 0.793 with 1.8, 0.771 with 1.4.
const BUSY_MULTIPLE_OF_USUAL: f64 = 1.8;
/// Least length of a window.
const WINDOW: Duration = Duration::from_millis(200);
/// Least number of answers in a window; with fewer it continues.
const MIN_ANSWERS: u32 = 5;
/// Share of failures among the answers, 0 to 1, above which the limit falls: if calls are refused deep in the tree,
/// their parents fail, and fast. In a long surge the net value was 0.793 with 0.15 and an increase of 0.08, 0.788
/// with 0.06 and 0.05.
const TOLERATED_FAILURES: f64 = 0.15;
/// Largest part of the requests in use to which the limit falls in one window.
const MAX_KEPT: f64 = 0.85;
/// Least such part, if most requests fail. Letting the limit fall by the share of failures reduced failures from 0.102
/// to 0.068 and from 0.122 to 0.108 on two overloaded days.
const MIN_KEPT: f64 = 0.5;
/// Growth of the limit in one window, as a part of it; at least one request. The figures at [`TOLERATED_FAILURES`] hold
/// for both constants together.
const INCREASE: f64 = 0.08;
/// Growth of the usual time in each window that was slower, as a part of it.
const USUAL_DRIFT: f64 = 0.001;
/// Part of the limit, 0 to 1, that must be in use for it to grow.
const MIN_USED_PART: f64 = 0.8;
/// Least limit, as a part of the endpoint's capacity: a quarter of its slots, if four requests may wait for each. If
/// the time does not come from load but, for instance, from a slow endpoint deep in the tree, refusing more does not
/// help.
const MIN_LIMIT_PART: f64 = 0.05;

/// An answer of an endpoint, as far as it indicates load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Time from the request's arrival, including its wait.
    pub time: Duration,
    /// Whether the endpoint reports an error of its own.
    pub has_failed: bool,
}

/// The limit of one class at one endpoint, in requests.
#[derive(Debug)]
pub struct ClassLimit {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    running: u32,
    /// Most requests that ran at one time within the window.
    most_running: u32,
    /// Answers within the window.
    answers: u32,
    /// Those of them that were failures.
    failures: u32,
    /// Sum of their times.
    total: Duration,
    window_begun: Timestamp,
    /// Usual mean time in seconds: the least seen, drifting slowly upwards.
    usual: Option<f64>,
}

impl ClassLimit {
    /// The limit of a class at an endpoint that can hold `capacity` requests, running and waiting.
    pub fn new(now: Timestamp, capacity: u32) -> Self {
        let max_limit = f64::from(capacity.max(1));
        Self {
            limit: max_limit,
            min_limit: (max_limit * MIN_LIMIT_PART).max(1.0),
            max_limit,
            running: 0,
            most_running: 0,
            answers: 0,
            failures: 0,
            total: Duration::ZERO,
            window_begun: now,
            usual: None,
        }
    }

    /// Requests of the class that may run now.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Requests of the class that may run now, rounded down.
    pub fn whole_limit(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between one and what the endpoint holds"
        )]
        let whole = self.limit as u32;
        whole
    }

    /// Admits a request if the limit allows one more or if it is exempt; returns whether it did.
    pub fn begin(&mut self, is_exempt: bool) -> bool {
        if !is_exempt && f64::from(self.running) >= self.limit {
            return false;
        }
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        true
    }

    /// Records that an admitted request has ended, with an answer unless it was abandoned.
    pub fn end(&mut self, now: Timestamp, answered: Option<Answered>, objective: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(answered) = answered {
            self.answers += 1;
            self.failures += u32::from(answered.has_failed);
            self.total += answered.time;
        }
        if now.since(self.window_begun) >= WINDOW && self.answers >= MIN_ANSWERS {
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

    /// Adjusts the limit after a window.
    fn adjust(&mut self, objective: Duration) {
        let mean = self.total.as_secs_f64() / f64::from(self.answers);
        let failed_share = f64::from(self.failures) / f64::from(self.answers);
        let has_failed = failed_share > TOLERATED_FAILURES;
        if !has_failed {
            self.update_usual(mean);
        }
        let usual = self.usual.unwrap_or(mean);
        let bound =
            (objective.as_secs_f64() * BUSY_PART_OF_OBJECTIVE).max(usual * BUSY_MULTIPLE_OF_USUAL);
        let in_use = f64::from(self.most_running);
        if has_failed || mean > bound {
            let from = self.limit.min(in_use);
            let kept = (1.0 - failed_share).clamp(MIN_KEPT, MAX_KEPT);
            self.limit = (from * kept).max(self.min_limit);
        } else if in_use >= self.limit * MIN_USED_PART {
            let step = (self.limit * INCREASE).max(1.0);
            self.limit = (self.limit + step).min(self.max_limit);
        }
    }

    fn update_usual(&mut self, mean: f64) {
        let usual = match self.usual {
            Some(usual) if mean > usual => usual * (1.0 + USUAL_DRIFT),
            _ => mean,
        };
        self.usual = Some(usual);
    }
}
