//! What a daemon knows of one endpoint, and what a request there would cost.

use super::{AttemptEnd, LoadReport};
use crate::fading_share::FadingShare;
use bramblewheel_protocol::routing::EndpointRecord;
use bramblewheel_types::{Timestamp, ZoneName};
use std::time::Duration;

/// Cost of leaving the own zone, in units of a full endpoint: bytes between zones cost more than
/// a somewhat longer wait.
const OTHER_ZONE_COST: f64 = 0.6;
/// Cost of an idle endpoint of usual speed, so that slowness counts without load too.
const IDLE_COST: f64 = 0.15;
/// How much slower an endpoint is taken to be while it is cold.
const COLD_FACTOR: f64 = 2.0;
/// Weight of the newest measurement in the moving averages.
pub(super) const SMOOTHING: f64 = 0.2;
/// Age at which a load report of an endpoint's daemon counts for nothing any more; up to there it
/// counts less and less.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Load of an endpoint of which nothing is known, as a part of the mean load of the known ones: less
/// than all of it, so that it is tried.
const UNKNOWN_PART: f64 = 0.9;
/// Multiple of the usual answer time after which an outstanding request is overdue.
const OVERDUE_MULTIPLE: f64 = 1.6;
/// First time-out of an endpoint that could not be reached; doubled with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Longest such time-out.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// Lost answers in a row that count as a failure to reach the endpoint.
const LOST_IN_A_ROW: u32 = 3;
/// Time for which a daemon that refuses for its own stop is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(800);
/// Cost of an endpoint that fails all requests, in units of a full endpoint. An endpoint that fails
/// does so fast, and would look idle and quick without it.
const FAILURE_COST: f64 = 2.5;
/// Weight of the newest outcome in the share of failures seen here.
const FAILURE_SMOOTHING: f64 = 0.15;

/// An endpoint as this daemon knows it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) record: EndpointRecord,
    pub(super) cold_until: Timestamp,
    pub(super) outstanding: u32,
    report: Option<(Timestamp, LoadReport)>,
    /// Mean of answer times relative to those of all endpoints on the same route.
    slowness: f64,
    /// Share of failures among this daemon's requests.
    failed_here: FadingShare,
    /// The same among all requests, as the endpoint's daemon reported it.
    failed_reported: FadingShare,
    failures: u32,
    lost_in_a_row: u32,
    ejected_until: Timestamp,
    /// When it last answered, or was sent the first of the requests that are outstanding.
    waiting_since: Timestamp,
    /// Longest usual time of the outstanding requests' routes, in seconds; none if not known.
    expected_seconds: Option<f64>,
}

/// What is usual among the endpoints that a choice is made from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    /// Mean load of those that reported lately, 1 for a full endpoint; none if nobody did.
    pub(super) utilization: Option<f64>,
    /// Share of failures that costs nothing.
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
            failures: 0,
            lost_in_a_row: 0,
            ejected_until: Timestamp::ZERO,
            waiting_since: Timestamp::ZERO,
            expected_seconds: None,
            record,
        }
    }

    /// Load as its daemon reported it, and how much that still counts: between 0 and 1.
    pub(super) fn reported(&self, now: Timestamp) -> Option<(f64, f64)> {
        let (at, report) = self.report?;
        let age = now.since(at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        let utilization = f64::from(report.busy) / f64::from(report.limit.max(1));
        (age < 1.0).then_some((utilization, 1.0 - age))
    }

    /// Share of its requests that fail, as far as this daemon knows.
    pub(super) fn failed(&self, now: Timestamp) -> f64 {
        let reported = self.failed_reported.at(now);
        self.failed_here.at(now).max(reported)
    }

    /// Whether it could not be reached lately.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Notes a send; `usual_seconds` is the usual answer time of its route, if one is known.
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
        let (reported, weight) = self.reported(now).unwrap_or_default();
        let believed = reported * weight + unknown * (1.0 - weight);
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
        self.report = Some((now, load));
        let reported = f64::from(load.failed_percent) / 100.0;
        self.failed_reported = FadingShare::measured(now, reported);
    }

    /// Notes how a send has ended; `relative` is its time relative to the usual one, if it tells.
    pub(super) fn note_end(&mut self, now: Timestamp, end: AttemptEnd, relative: Option<f64>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.note_outcome(now, end);
        match end {
            AttemptEnd::Answered(_) => {
                self.failures = 0;
                self.lost_in_a_row = 0;
                self.note_time(now, relative.unwrap_or(1.0));
            }
            AttemptEnd::Unreachable => self.eject(now),
            AttemptEnd::Lost => {
                self.lost_in_a_row += 1;
                if self.lost_in_a_row >= LOST_IN_A_ROW {
                    self.eject(now);
                }
            }
            AttemptEnd::Leaving => self.ejected_until = now + REFUSAL_PAUSE,
            AttemptEnd::GivenUp(_) | AttemptEnd::Failed(_) => {
                self.note_time(now, relative.unwrap_or(self.slowness));
            }
            AttemptEnd::Full | AttemptEnd::Quarantined | AttemptEnd::Rejected => {}
        }
    }

    fn note_time(&mut self, now: Timestamp, relative: f64) {
        self.waiting_since = now;
        self.slowness += SMOOTHING * (relative - self.slowness);
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
        self.failed_here.record(now, has_failed, FAILURE_SMOOTHING);
    }

    fn eject(&mut self, now: Timestamp) {
        let doublings = self.failures.min(4);
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        self.failures += 1;
        self.ejected_until = now + pause;
    }
}
