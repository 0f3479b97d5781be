//! When a refused caller may come back.

use bramblewheel_types::{Millis, NotRunReason, Outcome};
use rand::{Rng, RngExt};

/// Wait that is asked of callers when there is no backlog, in milliseconds.
const BASE_RETRY_AFTER: u64 = 50;
/// Longest wait asked of callers, in milliseconds.
const MAX_RETRY_AFTER: u64 = 10_000;

/// A wait that rises with the backlog and is spread between half and one and a half of itself,
/// so that callers refused together do not come back together.
///
/// `load_percent` is calls running and queued per 100 of the concurrency limit.
pub(crate) fn retry_after(load_percent: u32, random: &mut impl Rng) -> Millis {
    let rising = BASE_RETRY_AFTER * u64::from(load_percent.max(100)) / 100;
    let wait = rising.min(MAX_RETRY_AFTER);
    Millis(random.random_range(wait / 2..=wait + wait / 2))
}

/// A not-run outcome with a wait by backlog.
pub(crate) fn not_run(reason: NotRunReason, load_percent: u32, random: &mut impl Rng) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after: retry_after(load_percent, random),
    }
}
