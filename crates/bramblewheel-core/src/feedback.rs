//! Retry-after times for refused callers.

use bramblewheel_types::{Millis, NotRunReason, Outcome};
use rand::{Rng, RngExt};

/// Retry-after time without a backlog, in milliseconds.
const BASE_RETRY_AFTER: u64 = 50;
/// Longest retry-after time before random spread, in milliseconds.
const MAX_RETRY_AFTER: u64 = 10_000;

/// A retry-after time that grows with the backlog, multiplied by a random factor between 0.5 and
/// 1.5, so that callers refused at the same time do not return at the same time.
///
/// `load_percent` is the number of calls running and queued per 100 of the concurrency limit.
pub(crate) fn retry_after(load_percent: u32, random: &mut impl Rng) -> Millis {
    let rising = BASE_RETRY_AFTER * u64::from(load_percent.max(100)) / 100;
    let wait = rising.min(MAX_RETRY_AFTER);
    Millis(random.random_range(wait / 2..=wait + wait / 2))
}

/// A not-run outcome with a retry-after time according to the backlog.
pub(crate) fn not_run(reason: NotRunReason, load_percent: u32, random: &mut impl Rng) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after: retry_after(load_percent, random),
    }
}
