//! What a soak plays: the faults and the traffic, and what disturbs it besides.

use crate::foreign::ForeignMessages;
use crate::history::Timestamp;
use crate::plan::{Size, Step, plan};
use crate::stop_plan;
use crate::suspensions::Suspensions;
use crate::workload::Workload;

/// Faults and traffic of a soak.
#[derive(Clone, Debug)]
pub enum Scenario {
    /// Faults of all kinds, with plain callers; no workload.
    Faults(ForeignMessages),
    /// Planned stops of all patterns, with the callers of a workload.
    PlannedStops(Workload),
}

impl Scenario {
    pub(crate) fn steps(&self, seed: u64, size: Size) -> Vec<Step> {
        match self {
            Self::Faults(_) => plan(seed, size),
            Self::PlannedStops(_) => stop_plan::plan(seed, size),
        }
    }

    pub(crate) fn workload(&self) -> Workload {
        match self {
            Self::Faults(_) => Workload::plain(),
            Self::PlannedStops(workload) => workload.clone(),
        }
    }

    pub(crate) fn foreign_messages(&self) -> ForeignMessages {
        match self {
            Self::Faults(foreign) => *foreign,
            Self::PlannedStops(_) => ForeignMessages::All,
        }
    }
}

/// What disturbs a soak in addition to the faults of its plan.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    /// Suspensions of daemons.
    pub suspensions: Option<Suspensions>,
    /// Whether endpoints state rate limits and that they drain in their answers.
    pub has_statements: bool,
    /// Until when they may, from the begin of the soak; `None` for as long as faults may strike.
    pub statements_until: Option<Timestamp>,
    /// Whether tenants with limits send requests.
    pub has_tenants: bool,
    /// Whether the connections to one machine after the other are cut.
    pub has_cuts: bool,
}
