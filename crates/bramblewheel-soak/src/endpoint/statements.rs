//! What an endpoint states of itself in its answers, by a plan that is drawn from its seed: rate limits that begin, change
//! and end, or that it drains.

use crate::history::Timestamp;
use bramblewheel_platform_client as wire;
use http::{HeaderMap, HeaderValue};
use rand::{Rng, RngExt};
use std::ops::Range;
use std::time::Duration;

/// Exponents of ten between which limits are drawn: 0.3 to 50 requests a second.
const LIMIT_EXPONENTS: Range<f64> = -0.52..1.7;
/// Time from the first drain notice until the endpoint ends.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(6);

/// A time in which an endpoint states this limit in all answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitedTime {
    /// Since when.
    pub from: Timestamp,
    /// Until when.
    pub until: Timestamp,
    /// The limit in requests per second.
    pub limit: f64,
}

/// What an answer states of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// A rate limit in requests per second.
    RateLimit(f64),
    /// The endpoint drains.
    Draining,
}

/// Statements of one start of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementPlan {
    /// When it states a limit, in order and without overlap.
    pub(super) limited_times: Vec<LimitedTime>,
    /// Since when it states that it drains.
    pub(super) drains_from: Option<Timestamp>,
}

impl StatementPlan {
    /// Draws the statements of an endpoint that starts now; it states nothing after `until`.
    pub(super) fn draw(random: &mut impl Rng, now: Timestamp, until: Timestamp) -> Self {
        let begin = now + seconds(random, 1.0..6.0);
        match random.random_range(0..5) {
            0 | 1 => Self {
                limited_times: draw_limited_times(random, begin, until),
                drains_from: None,
            },
            2 => Self {
                limited_times: Vec::new(),
                drains_from: Some(begin).filter(|from| *from + DRAIN_TIME < until),
            },
            _ => Self::default(),
        }
    }

    /// What an answer states at this time.
    pub(super) fn at(&self, now: Timestamp) -> Option<Statement> {
        if self.drains_from.is_some_and(|from| from <= now) {
            return Some(Statement::Draining);
        }
        let mut times = self.limited_times.iter();
        let time = times.find(|time| time.from <= now && now < time.until);
        time.map(|time| Statement::RateLimit(time.limit))
    }
}

fn draw_limited_times(
    random: &mut impl Rng,
    begin: Timestamp,
    until: Timestamp,
) -> Vec<LimitedTime> {
    let mut times = Vec::new();
    let mut from = begin;
    while from < until {
        let end = (from + seconds(random, 4.0..12.0)).min(until);
        let limit = 10_f64.powf(random.random_range(LIMIT_EXPONENTS));
        times.push(LimitedTime {
            from,
            until: end,
            limit: (limit * 10.0).round() / 10.0,
        });
        // The limit changes at once, or is lifted for some time.
        let pause = if random.random_bool(0.5) {
            Duration::ZERO
        } else {
            seconds(random, 0.2..3.0)
        };
        from = end + pause;
    }
    times
}

fn seconds(random: &mut impl Rng, range: Range<f64>) -> Duration {
    Duration::from_secs_f64(random.random_range(range))
}

/// Writes a statement to the head of an answer.
pub(super) fn write(statement: Statement, headers: &mut HeaderMap) {
    match statement {
        Statement::RateLimit(limit) => {
            let value = HeaderValue::try_from(limit.to_string());
            headers.insert(wire::RATE_LIMIT, value.expect("a number is visible ASCII"));
        }
        Statement::Draining => {
            headers.insert(wire::DRAINING, HeaderValue::from_static("1"));
        }
    }
}
