//! Faults as the history shows them.

use super::topology::{EndpointIndex, ServiceIndex, ZoneIndex};
use crate::kernel::ProcessId;

/// A fault that began, or everything that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FaultRecord {
    /// A zone is cut off; `into` and `out_of` say which ways.
    ZoneCut {
        /// The zone.
        zone: ZoneIndex,
        /// Whether what is sent into the zone is lost.
        into: bool,
        /// Whether what is sent out of the zone is lost.
        out_of: bool,
    },
    /// Messages are lost, come twice or overtake each other.
    Disorder,
    /// An endpoint leaves, and said so first in this way.
    Leaving {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// How it became known.
        seen_on: DrainSeenOn,
    },
    /// A planned stop of a machine begins.
    StopPlanned {
        /// Its process.
        process: ProcessId,
    },
    /// A service is slower by a factor of a hundredth of `percent`, or its runs fail.
    Slow {
        /// The service.
        service: ServiceIndex,
        /// Time that work takes, in percent of the usual.
        percent: u64,
    },
    /// Runs of a service end in an error.
    Failing {
        /// The service.
        service: ServiceIndex,
        /// Share of the runs.
        percent: u64,
    },
    /// Load reports of an endpoint mislead.
    MisleadingReport {
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// A bundle came into force at a machine.
    Bundle {
        /// Its process.
        process: ProcessId,
        /// Version of the bundle.
        version: u64,
    },
    /// All cuts and disorder ended.
    Healed,
}

/// How it becomes known first that an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainSeenOn {
    /// The endpoint's own load report.
    Report,
    /// Its daemon was told to stop.
    Daemon,
    /// The platform's list, late.
    List,
}
