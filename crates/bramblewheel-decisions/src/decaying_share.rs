//! Decaying averages: shares and reports that lose weight with age, so that no single measurement decides forever.
//!
//! Rule: a measurement has full weight at first, which falls linearly to zero over its lifetime. An endpoint that was
//! avoided for its failures is thereby tried again, and an old report gives way to what this daemon observes.
//!
//! Inputs: outcomes of single requests or a share measured elsewhere (0 to 1), and the time. Not logged itself; it
//! affects the choice of endpoints and the refused part of a class.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time after which a share without new outcomes has decayed to zero.
const SHARE_LIFETIME: Duration = Duration::from_secs(6);

/// Weight, 1 to 0, of something measured at `measured`.
pub(crate) fn remaining_weight(now: Timestamp, measured: Timestamp, lifetime: Duration) -> f64 {
    let age = now.since(measured).as_secs_f64();
    (1.0 - age / lifetime.as_secs_f64()).max(0.0)
}

/// A moving average of outcomes that decays while nothing is recorded.
///
/// ```
/// use bramblewheel_decisions::decaying_share::DecayingShare;
/// use bramblewheel_types::Timestamp;
///
/// let mut failures = DecayingShare::default();
/// failures.record(Timestamp::ZERO, true, 0.5);
/// assert_eq!(failures.at(Timestamp::ZERO), 0.5);
/// assert_eq!(failures.at(Timestamp::from_millis(60_000)), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingShare {
    share: f64,
    recorded: Timestamp,
}

impl DecayingShare {
    /// A share, 0 to 1, measured by another process at `now`.
    pub fn measured(now: Timestamp, share: f64) -> Self {
        Self {
            share,
            recorded: now,
        }
    }

    /// Records the outcome of one request; `weight`, 0 to 1, is that of the newest outcome in the average.
    pub fn record(&mut self, now: Timestamp, is_counted: bool, weight: f64) {
        let outcome = f64::from(u8::from(is_counted));
        let before = self.at(now);
        self.share = before + weight * (outcome - before);
        self.recorded = now;
    }

    /// The decayed share, 0 to 1.
    pub fn at(&self, now: Timestamp) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        self.share * remaining_weight(now, self.recorded, SHARE_LIFETIME)
    }
}

/// A share in whole percent, as it is reported to other daemons: 1.0 gives 100. The result is limited to 0 to 10,000.
pub fn whole_percent(share: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded and not negative"
    )]
    let percent = (share.clamp(0.0, 100.0) * 100.0).round() as u32;
    percent
}
