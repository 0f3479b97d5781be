//! What a daemon knows of one endpoint, and what a request there would cost.
//!
//! Rule: the cost is the load of the endpoint times its slowness, plus what another zone costs, plus what its
//! failures cost beyond those of the other candidates.
//!
//! Inputs: the endpoint's record; its last load report (up to 2 s old, counting less with age); the times of this
//! daemon's requests there, relative to the mean of their routes; failures seen here and reported (fading over 6 s);
//! the requests of this daemon that are outstanding there.
//!
//! Reason: a daemon of a large fleet sees little of each endpoint. What it saw long ago must not decide, and an
//! endpoint that turned slow must be left before its first slow answer.
//!
//! Owns the state of one endpoint at this daemon; relies on the directory for the means over routes and candidates.

use super::ejection::Ejection;
use super::{AttemptEnd, LoadReport};
use crate::fading_share::{FadingShare, remaining_weight};
use bramblewheel_protocol::routing::EndpointRecord;
use bramblewheel_types::{Timestamp, ZoneName};
use std::time::Duration;

/// Cost of leaving the own zone, in units of a full endpoint: bytes between zones cost more than a somewhat longer
/// wait. Measured, mean worth of whole days (`docs/design/19-narrow-services.md`, round 6): 0.441 with 0.3, 0.450 with 0.6 and
/// with 1.0.
const OTHER_ZONE_COST: f64 = 0.6;
/// Cost of an idle endpoint of usual speed, in units of a full endpoint, so that slowness counts without load too.
/// Chosen, not measured.
const IDLE_COST: f64 = 0.15;
/// How many times slower an endpoint is taken to be while it is cold. Chosen, not measured.
const COLD_FACTOR: f64 = 2.0;
/// Weight of the newest answer in the mean of an endpoint's slowness, 0 to 1. Chosen, not measured.
const NEWEST_TIME_WEIGHT: f64 = 0.2;
/// Age at which a load report counts for nothing any more; up to there it counts less and less. Measured on virtual
/// time (`tests/fleet.rs`, `docs/design/13-fleet-size.md`) only together with the near endpoints: chosen.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Load of an endpoint of which nothing is known, as a part of the mean load of the known ones: less than all of it,
/// so that it is tried. Measured on virtual time (`docs/design/13-fleet-size.md`): with 0.6 a daemon met 6.5 to
/// 7.5 endpoints in 4 s in place of 3.9, and 0.021 of the requests went to slow ones in place of 0.003.
const UNKNOWN_PART: f64 = 0.9;
/// Multiple of the usual answer time after which an outstanding request is overdue. Its value is chosen; without
/// any, 0.010 to 0.022 of the requests went to slow endpoints in place of 0.003 (`docs/design/13-fleet-size.md`).
const OVERDUE_MULTIPLE: f64 = 1.6;
/// Cost of an endpoint that fails all requests, in units of a full endpoint. An endpoint that fails does so fast,
/// and would look idle and quick without it. Its value is chosen; with it a day of failing endpoints went from 0.066
/// of the requests failed to 0.003, together with retries of failed requests.
const FAILURE_COST: f64 = 2.5;
/// Weight of the newest outcome in the share of failures seen here, 0 to 1. Chosen, not measured.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.15;

/// An endpoint as this daemon knows it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) record: EndpointRecord,
    pub(super) cold_until: Timestamp,
    /// Requests of this daemon that have no answer yet.
    pub(super) outstanding: u32,
    report: Option<ReceivedReport>,
    /// Mean of answer times relative to those of all endpoints on the same route; 1 is usual.
    slowness: f64,
    /// Share of failures among this daemon's requests.
    failed_here: FadingShare,
    /// The same among all requests, as the endpoint's daemon reported it.
    failed_reported: FadingShare,
    ejection: Ejection,
    /// When it last answered, or was sent the first of the requests that are outstanding.
    waiting_since: Timestamp,
    /// Longest usual time of the outstanding requests' routes, in seconds; none if not known.
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
    /// How much the report still counts, above 0 and up to 1.
    pub(super) weight: f64,
}

/// What is usual among the endpoints that a choice is made from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    /// Mean load of those that reported lately, 1 for a full endpoint; none if nobody did.
    pub(super) utilization: Option<f64>,
    /// Share of failures, 0 to 1, that costs nothing.
    pub(super) failures: f64,
}

impl Endpoint {
    /// An endpoint of which nothing but its record is known.
    pub(super) fn new(now: Timestamp, record: EndpointRecord) -> Self {
        Self {
            cold_until: now + Duration::from(record.cold_for),
            outstanding: 0,
            report: None,
            slowness: 1.0,
            failed_here: FadingShare::default(),
            failed_reported: FadingShare::default(),
            ejection: Ejection::default(),
            waiting_since: Timestamp::ZERO,
            expected_seconds: None,
            record,
        }
    }

    /// Load as its daemon reported it; none if that is too old.
    pub(super) fn reported(&self, now: Timestamp) -> Option<ReportedLoad> {
        let ReceivedReport { received, load } = self.report?;
        let weight = remaining_weight(now, received, REPORT_LIFETIME);
        let utilization = f64::from(load.busy) / f64::from(load.limit.max(1));
        (weight > 0.0).then_some(ReportedLoad {
            utilization,
            weight,
        })
    }

    /// Share of its requests that fail, 0 to 1, as far as this daemon knows.
    pub(super) fn failed(&self, now: Timestamp) -> f64 {
        let reported = self.failed_reported.at(now);
        self.failed_here.at(now).max(reported)
    }

    /// Whether it is left alone, since it could not be reached lately.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejection.is_in_force(now)
    }

    /// Records that an attempt is sent; `usual_seconds` is the usual answer time of its route, if one is known.
    pub(super) fn note_send(&mut self, now: Timestamp, usual_seconds: Option<f64>) {
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

    /// Slowness as the answers show it, or more if the outstanding requests should have been answered
    /// by now: an endpoint that turned slow is left before its first slow answer.
    fn slowness_now(&self, now: Timestamp) -> f64 {
        let expected = self.expected_seconds.filter(|_| self.outstanding > 0);
        let Some(expected) = expected else {
            return self.slowness;
        };
        let waited = now.since(self.waiting_since).as_secs_f64();
        let overdue = waited / (expected * OVERDUE_MULTIPLE);
        if overdue <= 1.0 {
            return self.slowness;
        }
        self.slowness.max(overdue * OVERDUE_MULTIPLE)
    }

    fn utilization(&self, now: Timestamp, usual: &Usual) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(self.record.slots.max(1));
        let unknown = usual.utilization.unwrap_or_default() * UNKNOWN_PART;
        let reported = self.reported(now).unwrap_or_default();
        let believed = reported.utilization * reported.weight + unknown * (1.0 - reported.weight);
        believed.max(own)
    }

    /// Cost of a request here, in units of a full endpoint.
    pub(super) fn cost(&self, now: Timestamp, zone: &ZoneName, usual: &Usual) -> f64 {
        let is_cold = now < self.cold_until;
        let slowness = self.slowness_now(now) * if is_cold { COLD_FACTOR } else { 1.0 };
        let distance = if self.record.zone == *zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let failures = (self.failed(now) - usual.failures).max(0.0);
        (self.utilization(now, usual) + IDLE_COST) * slowness + distance + failures * FAILURE_COST
    }

    /// Takes over what its daemon reported with an answer.
    pub(super) fn note_report(&mut self, now: Timestamp, load: LoadReport) {
        self.report = Some(ReceivedReport {
            received: now,
            load,
        });
        let reported = f64::from(load.failed_percent) / 100.0;
        self.failed_reported = FadingShare::measured(now, reported);
    }

    /// Records how an attempt has ended; `relative` is its time relative to the usual one, if it says anything.
    pub(super) fn note_end(&mut self, now: Timestamp, end: AttemptEnd, relative: Option<f64>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.note_outcome(now, end);
        self.ejection.note_end(now, end);
        match end {
            AttemptEnd::Answered(_) => self.note_time(now, relative.unwrap_or(1.0)),
            AttemptEnd::GivenUp(_) | AttemptEnd::Failed(_) => {
                self.note_time(now, relative.unwrap_or(self.slowness));
            }
            AttemptEnd::Unreachable
            | AttemptEnd::Lost
            | AttemptEnd::Leaving
            | AttemptEnd::Full
            | AttemptEnd::Quarantined
            | AttemptEnd::Rejected => {}
        }
    }

    fn note_time(&mut self, now: Timestamp, relative: f64) {
        self.waiting_since = now;
        self.slowness += NEWEST_TIME_WEIGHT * (relative - self.slowness);
    }

    /// Counts an outcome that shows whether the endpoint does its work.
    fn note_outcome(&mut self, now: Timestamp, end: AttemptEnd) {
        let has_failed = match end {
            AttemptEnd::Answered(_) => false,
            AttemptEnd::Failed(_) | AttemptEnd::Rejected | AttemptEnd::Lost => true,
            AttemptEnd::Full
            | AttemptEnd::Quarantined
            | AttemptEnd::Leaving
            | AttemptEnd::Unreachable
            | AttemptEnd::GivenUp(_) => return,
        };
        self.failed_here
            .record(now, has_failed, NEWEST_OUTCOME_WEIGHT);
    }
}
