//! Whether the bound on retries has room: for a retry here, and for a call that a retried run makes.
//!
//! Rule: a request is retried only while little of the bound is used downstream, and while this daemon's budget for
//! the service has room for a request of its kind. A call of a retried run is refused, with a probability of its
//! retried share, once the budget has no room for that share.
//!
//! Inputs: the retry budget of this daemon (window of the settings, [`RetryBudget`]); the used part of the bound
//! downstream of a class (0 to 1, reported by the daemons beside endpoints with their answers, at most 4 s old and
//! counting less with age); why the request is to be retried; the retried share of a call (0 to 1).
//!
//! Reason: a retry here makes all calls downstream again, while one at the service that rejects a call costs a
//! single send. So retries are left to the daemons next to the trouble. The refusal of calls is the last resort that
//! makes the bound hold at every service of a call tree; the reports upstream keep it rare.
//!
//! Owns the budget and the reports. Relies on the caller for time and for the random draw.
//!
//! Seen in: metrics `bramblewheel_repeats`, `bramblewheel_over_budget` (by service and result before) and
//! `bramblewheel_refused_calls_of_repeats` (by service); log lines `repeat refused` (`used_below`, or `used`,
//! `allowed`, `calls_of_repeats`, `root_rank`) and `call of a repeated run refused` (`repeated`). The wire, metrics
//! and log lines say "repeat" for a retry.

use crate::bounded_map::make_space;
use crate::fading_share::remaining_weight;
use crate::request_class::RequestClass;
use crate::retry_budget::{BoundUse, FirstSend, RetryBoundSettings, RetryBudget};
use bramblewheel_types::{ServiceName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Part of the budget, 0 to 1, that may go to requests which an endpoint ran and failed: a quarter of the ratio,
/// where the budget is 0.8 of it. Where many fail, their cause mostly lies downstream, and a retry meets it again.
/// Chosen, not measured.
const PART_FOR_FAILED: f64 = 0.25 / 0.8;
/// Part of the budget, 0 to 1, that may go to requests that are not of the most important rank. Where endpoints
/// reject much, trees of many calls end only if each of their calls is retried; the rest is kept for those that
/// matter most. Measured only together with two other changes: on an overloaded day the most important class was
/// served 0.672 in place of 0.590 (`docs/design/16-tenant-ranks-and-rejections.md`).
const PART_FOR_LESS_IMPORTANT: f64 = 0.5;
/// Used part of the bound downstream, 0 to 1, from which on nothing is retried here. The rest is room for the calls
/// of runs that are retried before the report of them is here. Measured on 6,000 drawn call trees
/// (`tests/repeat_bound`): without it 6 broke the bound, with it none, and 0.603 in place of 0.599 of the callers'
/// requests were served.
const MOST_USED_DOWNSTREAM: f64 = 0.6;
/// Age at which a report of the bound's use downstream counts for nothing any more; up to there it counts less and
/// less. The window of the bound has moved on by a good part then. Chosen, not measured.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);
/// Weight of a report that less is used than before, 0 to 1; one that more is used counts at once. Chosen, not
/// measured.
const EASING_WEIGHT: f64 = 0.2;
/// Classes of which the use downstream is kept; bounds the memory. Chosen, not measured.
const MAX_CLASSES: usize = 512;

/// Why a request is to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// An endpoint rejected it, or its answer is lost.
    Unanswered {
        /// Whether it belongs to a tree of the most important rank.
        is_important: bool,
    },
    /// An endpoint ran it and failed.
    Failed,
}

impl RetryReason {
    /// Part of the budget, 0 to 1, that may be used by retries for this reason.
    fn part_of_budget(self) -> f64 {
        match self {
            Self::Unanswered { is_important: true } => 1.0,
            Self::Unanswered {
                is_important: false,
            } => PART_FOR_LESS_IMPORTANT,
            Self::Failed => PART_FOR_FAILED,
        }
    }
}

/// Whether the bound lets a request be retried.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// It does; the retry is counted.
    Allowed,
    /// Too much of the bound is used where the calls go that would be made again.
    UsedDownstream {
        /// The used part, 0.6 to 1 or somewhat more.
        part: f64,
    },
    /// The budget for the service has nothing left for such a request.
    UsedUp(BoundUse),
}

/// Used part of the bound downstream, as it was reported.
#[derive(Clone, Copy, Debug)]
struct ReportedUse {
    reported: Timestamp,
    part: f64,
}

impl ReportedUse {
    /// The part as far as it still counts.
    fn at(&self, now: Timestamp) -> f64 {
        self.part * remaining_weight(now, self.reported, REPORT_LIFETIME)
    }

    /// What is known after a report of `part`, with what was known before.
    fn merged(now: Timestamp, before: Option<&Self>, part: f64) -> Self {
        let before = before.map_or(0.0, |before| before.at(now));
        let eased = before + EASING_WEIGHT * (part - before);
        Self {
            reported: now,
            part: part.max(eased),
        }
    }
}

/// What a daemon knows of the bound on retries, and decides by it.
#[derive(Debug)]
pub struct RetryBound {
    budget: RetryBudget,
    downstream: HashMap<RequestClass, ReportedUse>,
    /// Largest used part downstream of the services that the local endpoint calls, as reported.
    downstream_of_calls: Option<ReportedUse>,
}

impl RetryBound {
    /// The bound of a daemon that may be the only one, and that starts now.
    pub fn new(settings: RetryBoundSettings, now: Timestamp) -> Self {
        Self {
            budget: RetryBudget::new(settings, now),
            downstream: HashMap::new(),
            downstream_of_calls: None,
        }
    }

    /// Sets how many daemons share the fixed part of the bound.
    pub fn share_among(&mut self, daemons: u32) {
        self.budget.share_among(daemons);
    }

    /// Whether a request may be sent for the first time; counts it then. `drawn` is a number between 0 and 1
    /// drawn for it: calls with a retried share are refused by that share once the budget is used up.
    pub fn may_begin(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        send: FirstSend,
        drawn: f64,
    ) -> bool {
        let is_refused = drawn < send.retried_share
            && !self
                .budget
                .has_room_for_call(now, service, send.retried_share);
        if !is_refused {
            self.budget.record_first(now, service, send);
        }
        !is_refused
    }

    /// Whether the bound lets a request of a class be retried at a service; counts the retry then.
    pub fn decide_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: RequestClass,
        reason: RetryReason,
    ) -> RetryDecision {
        let used_downstream = self.used_downstream(now, class);
        if used_downstream >= MOST_USED_DOWNSTREAM {
            return RetryDecision::UsedDownstream {
                part: used_downstream,
            };
        }
        if self.budget.withdraw(now, service, reason.part_of_budget()) {
            RetryDecision::Allowed
        } else {
            RetryDecision::UsedUp(self.budget.use_of(now, service))
        }
    }

    /// Records what an endpoint's daemon reported with an answer: the used part of the bound (0 to 1 or somewhat
    /// more) where the calls go that are made for this class.
    pub fn note_used_downstream(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        is_likely_nested: bool,
        part: f64,
    ) {
        make_space(&mut self.downstream, &class, MAX_CLASSES);
        let known = ReportedUse::merged(now, self.downstream.get(&class), part);
        self.downstream.insert(class, known);
        if is_likely_nested {
            let before = self.downstream_of_calls.as_ref();
            self.downstream_of_calls = Some(ReportedUse::merged(now, before, part));
        }
    }

    /// Used part of the bound where the calls go that are made for a class, as far as it was reported lately.
    pub fn used_downstream(&self, now: Timestamp, class: RequestClass) -> f64 {
        let known = self.downstream.get(&class);
        known.map_or(0.0, |known| known.at(now))
    }

    /// Largest used part of the bound where the local endpoint's calls go, and downstream of that.
    pub fn used_by_calls(&mut self, now: Timestamp) -> f64 {
        let reported = self.downstream_of_calls;
        let further = reported.map_or(0.0, |known| known.at(now));
        self.budget.used_by_calls(now).max(further)
    }

    /// What is used of the bound for each service.
    pub fn uses(&mut self, now: Timestamp) -> Vec<BoundUse> {
        self.budget.uses(now)
    }
}
