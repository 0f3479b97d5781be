//! Shares and reports that count less the older they are: nothing that was measured once may decide forever.
//!
//! Rule: what was measured counts in full at first and falls linearly to nothing over its lifetime. An endpoint that
//! was avoided for its failures is so tried again, and an old report loses against what is seen here.
//!
//! Inputs: outcomes of single requests or a share measured elsewhere (0 to 1), and the time. Owns nothing but the
//! value; relies on the caller for the time. Not logged by itself: it shows in the choice of endpoints and in the
//! refused part of a class.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time after which a share that nothing confirmed counts for nothing. Chosen, not measured.
const SHARE_LIFETIME: Duration = Duration::from_secs(6);

/// How much of something measured at `measured` still counts, 1 to 0.
pub(crate) fn remaining_weight(now: Timestamp, measured: Timestamp, lifetime: Duration) -> f64 {
    let age = now.since(measured).as_secs_f64();
    (1.0 - age / lifetime.as_secs_f64()).max(0.0)
}

/// A moving average of outcomes that fades while nothing is recorded.
///
/// ```
/// use bramblewheel_decisions::fading_share::FadingShare;
/// use bramblewheel_types::Timestamp;
///
/// let mut failures = FadingShare::default();
/// failures.record(Timestamp::ZERO, true, 0.5);
/// assert_eq!(failures.at(Timestamp::ZERO), 0.5);
/// assert_eq!(failures.at(Timestamp::from_millis(60_000)), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct FadingShare {
    share: f64,
    recorded: Timestamp,
}

impl FadingShare {
    /// A share, 0 to 1, that another process measured, as of `now`.
    pub fn measured(now: Timestamp, share: f64) -> Self {
        Self {
            share,
            recorded: now,
        }
    }

    /// Records the outcome of one request; `weight` is that of the newest in the average, between 0 and 1.
    pub fn record(&mut self, now: Timestamp, is_counted: bool, weight: f64) {
        let outcome = f64::from(u8::from(is_counted));
        let before = self.at(now);
        self.share = before + weight * (outcome - before);
        self.recorded = now;
    }

    /// The share between 0 and 1, as far as it still counts.
    pub fn at(&self, now: Timestamp) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        self.share * remaining_weight(now, self.recorded, SHARE_LIFETIME)
    }
}

/// A share as whole percent, the form in which it is reported to other daemons: 1.0 gives 100. Cut to between 0 and
/// 10,000.
pub fn whole_percent(share: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded and not negative"
    )]
    let percent = (share.clamp(0.0, 100.0) * 100.0).round() as u32;
    percent
}
