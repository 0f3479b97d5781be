//! Ranges of seeds on the command line.

use std::str::FromStr;

/// Most seeds in a range.
const MAX_SEEDS: u64 = 10_000;

/// First and last seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    first: u64,
    last: u64,
}

impl SeedRange {
    /// All seeds of the range.
    pub fn seeds(&self) -> Vec<u64> {
        (self.first..=self.last).collect()
    }
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("`{text}` is no range of seeds such as 1..10");
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let first: u64 = first.parse().map_err(|_| wrong())?;
        let last: u64 = last.parse().map_err(|_| wrong())?;
        if last < first || last - first >= MAX_SEEDS {
            return Err(wrong());
        }
        Ok(Self { first, last })
    }
}
