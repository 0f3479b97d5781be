//! Scenario values that are drawn per seed.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::time::Duration;

/// A whole number, or a range `[lowest, highest]` from which a value is drawn per seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "NumberOrRange")]
pub struct Range {
    /// Lowest value.
    pub lowest: u64,
    /// Highest value.
    pub highest: u64,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "expected a whole number or [lowest, highest]")]
enum NumberOrRange {
    Number(u64),
    Range([u64; 2]),
}

impl From<NumberOrRange> for Range {
    fn from(value: NumberOrRange) -> Self {
        match value {
            NumberOrRange::Number(number) => Self::exactly(number),
            NumberOrRange::Range([lowest, highest]) => Self { lowest, highest },
        }
    }
}

impl Range {
    /// Range of a single number.
    pub const fn exactly(number: u64) -> Self {
        Self {
            lowest: number,
            highest: number,
        }
    }

    /// Whether the lowest value is above the highest.
    pub const fn is_reversed(&self) -> bool {
        self.lowest > self.highest
    }

    /// Draws a value with uniform distribution.
    pub fn draw(&self, random: &mut Pcg64Mcg) -> u64 {
        random.random_range(self.lowest..=self.highest.max(self.lowest))
    }
}

/// A [`Range`] of milliseconds, drawn in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct MillisRange(pub Range);

impl MillisRange {
    /// Range of a single time.
    pub const fn exactly(millis: u64) -> Self {
        Self(Range::exactly(millis))
    }

    /// Range from one time to another, in milliseconds.
    pub const fn between(lowest: u64, highest: u64) -> Self {
        Self(Range { lowest, highest })
    }

    /// Draws a time with uniform distribution.
    pub fn draw(&self, random: &mut Pcg64Mcg) -> Duration {
        let micros = Range {
            lowest: self.0.lowest.saturating_mul(1_000),
            highest: self.0.highest.saturating_mul(1_000),
        };
        Duration::from_micros(micros.draw(random))
    }
}
