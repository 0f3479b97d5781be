//! Token bucket of a rate limit.

use bramblewheel_types::{RateLimit, Timestamp};
use std::time::Duration;

/// Least number of tokens that a full bucket holds.
pub const MIN_BURST: f64 = 3.0;
/// Time at the limit's rate within which an empty bucket fills up, if that yields more than [`MIN_BURST`] tokens.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Least rate at which the bucket is refilled, in tokens per second. An endpoint that gets no request at all could never
/// state that its limit has ended.
const MIN_RATE: f64 = 0.25;

/// Tokens for requests to an endpoint with a rate limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A bucket without tokens.
    pub fn empty(now: Timestamp) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens since the last refill, up to a full bucket.
    pub fn refill(&mut self, now: Timestamp, limit: RateLimit) {
        let rate = refill_rate(limit);
        let added = rate * now.since(self.refilled_at).as_secs_f64();
        let capacity = MIN_BURST.max(rate * BURST_TIME.as_secs_f64());
        self.tokens = (self.tokens + added).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Time until the bucket holds `needed` tokens; zero if it does.
    pub fn time_until(&self, needed: f64, limit: RateLimit) -> Duration {
        let missing = (needed - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / refill_rate(limit))
    }

    /// Takes a token, which must be there.
    pub fn take_one(&mut self) {
        self.tokens -= 1.0;
    }
}

fn refill_rate(limit: RateLimit) -> f64 {
    limit.per_second().max(MIN_RATE)
}
