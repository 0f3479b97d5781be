//! Rate limit of an endpoint: how many requests the daemon beside it sends to it.
//!
//! Rule: while the endpoint states a limit, each request sent to it takes a token from a bucket that is refilled at the
//! stated rate; a request that finds no token is refused. Requests that are not exempt leave the last token to exempt
//! ones.
//!
//! Inputs: the limits that the endpoint states in its answers, with the times at which the answered requests were sent;
//! what other daemons know of its limit; for each request whether it is exempt ([`crate::exemption`]).
//!
//! Reason: the limit holds for the sum over all machines. All requests for an endpoint pass through the daemon beside
//! it, so that it can keep the limit without an agreement with others. After a restart it knows no limit; the other
//! daemons tell it what they know with each request that they hand over.
//!
//! State: the limit in force and the bucket, of one incarnation of an endpoint.
//!
//! Observability: log lines `endpoint rate limit` (`change`, `limit`, `before`, `age_ms`) and `not admitted` (`reason`
//! `rate-limited`, `rate_limit`, `rate_limit_age_ms`, `next_token_ms`); metrics `bramblewheel_rate_limited` and
//! `bramblewheel_sent_under_rate_limit`.

mod stated_limit;
mod token_bucket;

pub use stated_limit::{KnownLimit, LimitChange, StatedLimit};
pub use token_bucket::{MIN_BURST, TokenBucket};

use bramblewheel_types::{RateLimit, Timestamp};
use std::time::Duration;

/// Tokens that requests leave in the bucket for exempt ones.
const TOKENS_FOR_EXEMPT: f64 = 1.0;

/// A request is refused because the endpoint's rate limit is used up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateRefusal {
    /// The limit, and how long ago the endpoint stated it.
    pub known: KnownLimit,
    /// Time until a request of this importance finds a token, if none comes before it.
    pub next_token: Duration,
}

/// Rate limit of one incarnation of an endpoint at the daemon beside it.
#[derive(Debug, Default)]
pub struct EndpointLimit {
    stated: StatedLimit,
    bucket: TokenBucket,
}

impl EndpointLimit {
    /// Records what an answer stated; the answered request was sent at `sent_at`. Returns the change of the limit in
    /// force, if there is one.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        stated: Option<RateLimit>,
    ) -> Option<LimitChange> {
        let change = self.stated.record_answer(now, sent_at, stated);
        self.apply(now, change)
    }

    /// Adopts what another daemon knows of the limit, unless this daemon knows better.
    pub fn adopt(&mut self, now: Timestamp, known: KnownLimit) -> Option<LimitChange> {
        let change = self.stated.adopt(now, known);
        self.apply(now, change)
    }

    /// The limit in force, and how long ago it was stated.
    pub fn in_force(&self, now: Timestamp) -> Option<KnownLimit> {
        self.stated.in_force(now)
    }

    /// Whether a limit is in force.
    pub fn is_in_force(&self) -> bool {
        self.stated.is_in_force()
    }

    /// Checks whether a request could be sent now, without taking a token.
    ///
    /// # Errors
    /// [`RateRefusal`] if the limit forbids it.
    pub fn check(&mut self, now: Timestamp, is_exempt: bool) -> Result<(), RateRefusal> {
        let Some(known) = self.stated.in_force(now) else {
            return Ok(());
        };
        self.bucket.refill(now, known.limit);
        let next_token = self
            .bucket
            .time_until(tokens_needed(is_exempt), known.limit);
        if next_token.is_zero() {
            return Ok(());
        }
        Err(RateRefusal { known, next_token })
    }

    /// Takes a token for a request that is sent now. Returns whether a limit is in force.
    ///
    /// # Errors
    /// [`RateRefusal`] if the limit forbids it; the request must not be sent.
    pub fn take(&mut self, now: Timestamp, is_exempt: bool) -> Result<bool, RateRefusal> {
        self.check(now, is_exempt)?;
        let is_limited = self.is_in_force();
        if is_limited {
            self.bucket.take_one();
        }
        Ok(is_limited)
    }

    /// Brings the bucket in line with a change. A new limit begins with an empty bucket, so that stating it again and
    /// again yields no burst.
    fn apply(&mut self, now: Timestamp, change: Option<LimitChange>) -> Option<LimitChange> {
        match change? {
            LimitChange::Stated(_) | LimitChange::Adopted(_) => {
                self.bucket = TokenBucket::empty(now)
            }
            LimitChange::Changed { before, .. } => self.bucket.refill(now, before),
            LimitChange::Lifted(_) => {}
        }
        change
    }
}

fn tokens_needed(is_exempt: bool) -> f64 {
    if is_exempt {
        1.0
    } else {
        1.0 + TOKENS_FOR_EXEMPT
    }
}
