//! The share of an endpoint's requests that failed, or were refused, lately.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time after which a share that nothing confirmed counts for nothing: an endpoint that gets no work
/// any more must be tried again.
const FADE: Duration = Duration::from_secs(6);

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
    /// A share that somebody else measured, as of `now`.
    pub fn measured(now: Timestamp, share: f64) -> Self {
        Self {
            share,
            recorded: now,
        }
    }

    /// Notes the end of one request; `weight` is that of the newest in the average, between 0 and 1.
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
        let age = now.since(self.recorded).as_secs_f64();
        let left = (1.0 - age / FADE.as_secs_f64()).max(0.0);
        self.share * left
    }
}

/// A part in whole hundredths, as it is told to other daemons; cut to between 0 and 10,000.
pub fn whole_percent(part: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded and not negative"
    )]
    let percent = (part.clamp(0.0, 100.0) * 100.0).round() as u32;
    percent
}
