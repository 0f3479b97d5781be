//! Importance class of a request, set by the bundle and passed from the root to every sub-call.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Importance class of a request; a larger value is more important.
///
/// The derived order is the shedding order: under overload the smallest class is shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Criticality {
    /// Work that may be dropped at any time, such as prefetching.
    Sheddable,
    /// Work that can be repeated later, such as a nightly report.
    Low,
    /// Interactive work, and the default where a bundle sets no class.
    #[default]
    Normal,
    /// Work that is shed last, such as a payment or a rights clearance.
    Critical,
}

impl Criticality {
    /// All classes, least important first.
    pub const ALL: [Self; 4] = [Self::Sheddable, Self::Low, Self::Normal, Self::Critical];

    /// Position in [`Criticality::ALL`]; larger is more important.
    pub const fn rank(self) -> usize {
        self as usize
    }

    /// Name used in headers, bundles, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sheddable => "sheddable",
            Self::Low => "low",
            Self::Normal => "normal",
            Self::Critical => "critical",
        }
    }
}

impl fmt::Display for Criticality {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The text is not the name of a criticality class.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown criticality `{0}`: expected sheddable, low, normal or critical")]
pub struct UnknownCriticality(pub String);

impl FromStr for Criticality {
    type Err = UnknownCriticality;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|criticality| criticality.as_str() == text)
            .ok_or_else(|| UnknownCriticality(text.to_owned()))
    }
}
