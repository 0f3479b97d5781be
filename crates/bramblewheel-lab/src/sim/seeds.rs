//! A range of seeds on the command line.

use std::str::FromStr;
use thiserror::Error;

/// Half-open range of seeds: from `first` up to but not including `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// First seed.
    pub first: u64,
    /// First seed after the range.
    pub end: u64,
}

/// The text is not a range of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected A..B with A below B, such as 0..200")]
pub struct InvalidSeeds;

impl SeedRange {
    /// Number of seeds.
    pub const fn count(&self) -> u64 {
        self.end - self.first
    }
}

impl FromStr for SeedRange {
    type Err = InvalidSeeds;

    fn from_str(text: &str) -> Result<Self, InvalidSeeds> {
        let (first, end) = text.split_once("..").ok_or(InvalidSeeds)?;
        let first = first.parse().map_err(|_| InvalidSeeds)?;
        let end = end.parse().map_err(|_| InvalidSeeds)?;
        if first >= end {
            return Err(InvalidSeeds);
        }
        Ok(Self { first, end })
    }
}
