//! Rate limit that an endpoint states of itself.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Longest text that is read, in bytes.
const MAX_TEXT_BYTES: usize = 32;

/// Requests per second that an endpoint takes from all machines together. Finite and not negative; 0 is a limit.
///
/// As text: a decimal number such as `12.7`.
///
/// ```
/// use bramblewheel_types::RateLimit;
///
/// let limit: RateLimit = "12.7".parse()?;
/// assert_eq!(limit.per_second(), 12.7);
/// assert!("12,7".parse::<RateLimit>().is_err());
/// # Ok::<(), bramblewheel_types::InvalidRateLimit>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// The text is not a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidRateLimit {
    /// It is longer than any number that is read.
    #[error("longer than {MAX_TEXT_BYTES} bytes")]
    TooLong,
    /// It is no decimal number.
    #[error("no decimal number")]
    NoNumber,
    /// The answer contains several different values.
    #[error("several values")]
    SeveralValues,
}

impl RateLimit {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The smaller of two limits.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

impl FromStr for RateLimit {
    type Err = InvalidRateLimit;

    fn from_str(text: &str) -> Result<Self, InvalidRateLimit> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(InvalidRateLimit::TooLong);
        }
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = text.parse().ok().filter(|_| is_decimal);
        number.map(Self).ok_or(InvalidRateLimit::NoNumber)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
