//! State of one endpoint at this daemon, and the cost of sending a request there.
//!
//! Rule: the cost is the endpoint's load times its slowness, plus a cost for another zone, plus a cost for failures
//! beyond those of the other candidates. If a candidate states its work time, the cost of all is that of the expected
//! completion instead: the load is that of the request itself and of those ahead of it, times the slowness and the
//! stated work time. An unknown or aged work time counts as the candidates' mean.
//!
//! Inputs: the endpoint's record; its last load report and statement of load (up to 2 s old, decaying with age); the
//! times of this daemon's requests there, relative to the mean of their routes; failures observed here and reported
//! (decaying over 6 s); this daemon's outstanding requests there.
//!
//! Reason: a daemon of a large fleet sees little of each endpoint. Old observations must not decide, and an endpoint
//! that has become slow must be avoided before its first slow answer.
//!
//! The means over routes and candidates come from the directory.

use super::ejection::Ejection;
use super::{AttemptEnd, LoadReport};
use crate::decaying_share::{DecayingShare, remaining_weight};
use crate::load_statement::NewestStatement;
use bramblewheel_protocol::routing::EndpointRecord;
use bramblewheel_types::{Timestamp, ZoneName};
use std::time::Duration;

/// Cost of an endpoint in another zone, in units of a full endpoint: traffic between zones costs more than a somewhat
/// longer wait. Mean net value of whole days: 0.441 with 0.3, 0.450 with 0.6 and with 1.0. The net value is the value
/// of the requests answered in time, as a part of the attainable, less the cost of resources and of refusals; 1 is the
/// best.
const OTHER_ZONE_COST: f64 = 0.6;
/// Cost of an idle endpoint of usual speed, in units of a full endpoint, so that slowness counts even without load.
const IDLE_COST: f64 = 0.15;
/// Largest load assumed for an endpoint of another zone without a report, in units of a full endpoint, where work times
/// are stated. The candidates' mean is mostly that of the own zone: without this limit, senders of a full zone never try
/// the others.
const MAX_UNKNOWN_IN_OTHER_ZONE: f64 = 0.8;
/// Load of the request itself at an endpoint with an expected completion, in units of a full endpoint.
const OWN_LOAD: f64 = 1.0;
/// Factor by which an endpoint is assumed to be slower while it is cold.
const COLD_FACTOR: f64 = 2.0;
/// Weight of the newest answer in the mean of an endpoint's slowness, 0 to 1.
const NEWEST_TIME_WEIGHT: f64 = 0.2;
/// Age at which a load report has lost its weight; until then it decays. Its effect was tested only together with that
/// of the preferred endpoints (`tests/fleet.rs`).
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Load assumed for an endpoint without a report, as a part of the mean load of the known ones: less than 1, so that it
/// is tried. On virtual time, with 0.6 a daemon used 6.5 to 7.5 endpoints in 4 s instead of 3.9, and 0.021 of the
/// requests went to slow endpoints instead of 0.003.
const UNKNOWN_PART: f64 = 0.9;
/// Multiple of the usual answer time after which an outstanding request is overdue. Without any, 0.010 to 0.022 of the
/// requests went to slow endpoints instead of 0.003.
const OVERDUE_MULTIPLE: f64 = 1.6;
/// Cost of an endpoint that fails all requests, in units of a full endpoint. Such an endpoint answers fast and would
/// otherwise look idle and quick. With this cost and retries of failed requests, the share of failed requests on a day
/// of failing endpoints fell from 0.066 to 0.003.
const FAILURE_COST: f64 = 2.5;
/// Weight of the newest outcome in the share of failures observed here, 0 to 1.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.15;

/// State of one endpoint at this daemon.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) record: EndpointRecord,
    pub(super) cold_until: Timestamp,
    /// This daemon's requests without an answer yet.
    pub(super) outstanding: u32,
    report: Option<ReceivedReport>,
    /// What it stated last of its load.
    pub(super) stated_load: NewestStatement,
    /// Mean of answer times relative to those of all endpoints on the same route; 1 is usual.
    slowness: f64,
    /// Share of failures among this daemon's requests.
    failed_here: DecayingShare,
    /// The same among all requests, as reported by the endpoint's daemon.
    failed_reported: DecayingShare,
    ejection: Ejection,
    /// When it last answered, or when the first of the outstanding requests was sent.
    waiting_since: Timestamp,
    /// Longest usual time of the outstanding requests' routes, in seconds; none if unknown.
    expected_seconds: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received: Timestamp,
    load: LoadReport,
}

/// Load of an endpoint as it was reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    /// Requests running and waiting, relative to those that may run; 1 for a full endpoint.
    pub(super) utilization: f64,
    /// Remaining weight of the report, above 0 and up to 1.
    pub(super) weight: f64,
}

/// Means over the endpoints that a choice is made from, to which each is compared.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CandidateMeans {
    /// Mean load of those with a recent report, 1 for a full endpoint; none if there is no report.
    pub(super) utilization: Option<f64>,
    /// Share of failures, 0 to 1, up to which failures cost nothing.
    pub(super) failures: f64,
    /// Mean stated work time relative to the usual one; none if no candidate states it.
    pub(super) work: Option<f64>,
}

impl Endpoint {
    /// An endpoint without observations.
    pub(super) fn new(now: Timestamp, record: EndpointRecord) -> Self {
        Self {
            cold_until: now + Duration::from(record.cold_for),
            outstanding: 0,
            report: None,
            stated_load: NewestStatement::default(),
            slowness: 1.0,
            failed_here: DecayingShare::default(),
            failed_reported: DecayingShare::default(),
            ejection: Ejection::default(),
            waiting_since: Timestamp::ZERO,
            expected_seconds: None,
            record,
        }
    }

    /// Load as reported by its daemon; none if the report is too old.
    pub(super) fn reported(&self, now: Timestamp) -> Option<ReportedLoad> {
        let ReceivedReport { received, load } = self.report?;
        let weight = remaining_weight(now, received, REPORT_LIFETIME);
        let utilization = f64::from(load.busy) / f64::from(load.limit.max(1));
        (weight > 0.0).then_some(ReportedLoad {
            utilization,
            weight,
        })
    }

    /// Share of its requests that fail, 0 to 1: the larger of what was observed here and what was reported.
    pub(super) fn failed(&self, now: Timestamp) -> f64 {
        let reported = self.failed_reported.at(now);
        self.failed_here.at(now).max(reported)
    }

    /// Whether it is ejected because it could not be reached recently.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejection.is_in_force(now)
    }

    /// Records that an attempt is sent; `usual_seconds` is the usual answer time of its route, if one is known.
    pub(super) fn record_send(&mut self, now: Timestamp, usual_seconds: Option<f64>) {
        if self.outstanding == 0 {
            self.waiting_since = now;
            self.expected_seconds = None;
        }
        self.outstanding += 1;
        if let Some(usual) = usual_seconds {
            let longest = self.expected_seconds.unwrap_or_default().max(usual);
            self.expected_seconds = Some(longest);
        }
    }

    /// Slowness by the answers, or a higher one if the outstanding requests are overdue, so that an endpoint that has
    /// become slow is avoided before its first slow answer.
    fn slowness_now(&self, now: Timestamp) -> f64 {
        let expected = self.expected_seconds.filter(|_| self.outstanding > 0);
        let Some(expected) = expected else {
            return self.slowness;
        };
        // The stated work time is a factor of its own.
        let expected = match self.stated_load.at(now) {
            Some(stated) => expected * stated.work_factor(1.0),
            None => expected,
        };
        let waited = now.since(self.waiting_since).as_secs_f64();
        let overdue = waited / (expected * OVERDUE_MULTIPLE);
        if overdue <= 1.0 {
            return self.slowness;
        }
        self.slowness.max(overdue * OVERDUE_MULTIPLE)
    }

    fn utilization(&self, now: Timestamp, is_in_other_zone: bool, means: &CandidateMeans) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(self.record.slots.max(1));
        let unknown = means.utilization.unwrap_or_default() * UNKNOWN_PART;
        let unknown = match means.work {
            Some(_) if is_in_other_zone => unknown.min(MAX_UNKNOWN_IN_OTHER_ZONE),
            _ => unknown,
        };
        let reported = self.reported(now).unwrap_or_default();
        let estimated = reported.utilization * reported.weight + unknown * (1.0 - reported.weight);
        estimated.max(own)
    }

    /// Cost of a request at this endpoint, in units of a full endpoint.
    pub(super) fn cost(&self, now: Timestamp, zone: &ZoneName, means: &CandidateMeans) -> f64 {
        let is_cold = now < self.cold_until;
        let slowness = self.slowness_now(now) * if is_cold { COLD_FACTOR } else { 1.0 };
        let is_in_other_zone = self.record.zone != *zone;
        let zone_cost = if is_in_other_zone {
            OTHER_ZONE_COST
        } else {
            0.0
        };
        let utilization = self.utilization(now, is_in_other_zone, means);
        let failures = (self.failed(now) - means.failures).max(0.0);
        let load = match means.work {
            None => utilization + IDLE_COST,
            Some(mean) => (OWN_LOAD + utilization) * self.work_factor(now, mean),
        };
        load * slowness + zone_cost + failures * FAILURE_COST
    }

    /// Work time relative to the usual one; `mean` is that of the candidates.
    fn work_factor(&self, now: Timestamp, mean: f64) -> f64 {
        let stated = self.stated_load.at(now);
        stated.map_or(mean, |stated| stated.work_factor(mean))
    }

    /// Time that an answer would have taken with the usual work time, so that a stated slowness does not count twice.
    pub(super) fn usual_work_time(&self, now: Timestamp, time: Duration) -> Duration {
        match self.stated_load.at(now) {
            Some(stated) => time.div_f64(stated.work_factor(1.0)),
            None => time,
        }
    }

    /// Records a load report that its daemon sent with an answer.
    pub(super) fn record_report(&mut self, now: Timestamp, load: LoadReport) {
        self.report = Some(ReceivedReport {
            received: now,
            load,
        });
        let reported = f64::from(load.failed_percent) / 100.0;
        self.failed_reported = DecayingShare::measured(now, reported);
    }

    /// Records how an attempt has ended; `relative` is its time relative to the usual one, if it shows anything about
    /// the endpoint.
    pub(super) fn record_end(&mut self, now: Timestamp, end: AttemptEnd, relative: Option<f64>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.record_outcome(now, end);
        self.ejection.record_end(now, end);
        match end {
            AttemptEnd::Answered(_) => self.record_time(now, relative.unwrap_or(1.0)),
            AttemptEnd::GivenUp(_) | AttemptEnd::Failed(_) => {
                self.record_time(now, relative.unwrap_or(self.slowness));
            }
            AttemptEnd::Unreachable
            | AttemptEnd::Lost
            | AttemptEnd::Leaving
            | AttemptEnd::Full
            | AttemptEnd::RateLimited
            | AttemptEnd::OutOfTime
            | AttemptEnd::Quarantined
            | AttemptEnd::Rejected => {}
        }
    }

    fn record_time(&mut self, now: Timestamp, relative: f64) {
        self.waiting_since = now;
        self.slowness += NEWEST_TIME_WEIGHT * (relative - self.slowness);
    }

    /// Counts an outcome that shows whether the endpoint works correctly.
    fn record_outcome(&mut self, now: Timestamp, end: AttemptEnd) {
        let has_failed = match end {
            AttemptEnd::Answered(_) => false,
            AttemptEnd::Failed(_) | AttemptEnd::Rejected | AttemptEnd::Lost => true,
            AttemptEnd::Full
            | AttemptEnd::RateLimited
            | AttemptEnd::OutOfTime
            | AttemptEnd::Quarantined
            | AttemptEnd::Leaving
            | AttemptEnd::Unreachable
            | AttemptEnd::GivenUp(_) => return,
        };
        self.failed_here
            .record(now, has_failed, NEWEST_OUTCOME_WEIGHT);
    }
}
