//! Records of faults in the history.

use super::topology::{EndpointIndex, ServiceIndex, ZoneIndex};
use crate::kernel::ProcessId;

/// Start of a fault, or end of all network faults.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FaultRecord {
    /// A zone is cut off in the directions given by `into` and `out_of`.
    ZoneCut {
        /// The zone.
        zone: ZoneIndex,
        /// Whether messages into the zone are lost.
        into: bool,
        /// Whether messages out of the zone are lost.
        out_of: bool,
    },
    /// Messages are lost, duplicated or reordered.
    Disorder,
    /// An endpoint leaves.
    Leaving {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// First sign of it.
        seen_on: DrainSeenOn,
    },
    /// A planned stop of a machine begins.
    StopPlanned {
        /// Process of the machine.
        process: ProcessId,
    },
    /// The work of a service takes `percent` of the usual time.
    Slow {
        /// The service.
        service: ServiceIndex,
        /// Time of the work, in percent of the usual time.
        percent: u64,
    },
    /// Runs of a service end in an error.
    Failing {
        /// The service.
        service: ServiceIndex,
        /// Share of the runs, in percent.
        percent: u64,
    },
    /// The load report of an endpoint is wrong.
    MisleadingReport {
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// A bundle came into force at a machine.
    Bundle {
        /// Process of the machine.
        process: ProcessId,
        /// Version of the bundle.
        version: u64,
    },
    /// All cuts and disorder ended.
    Healed,
}

/// First sign that an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainSeenOn {
    /// The endpoint's own load report.
    Report,
    /// Its daemon received a request to stop.
    Daemon,
    /// The platform's endpoint list, which may lag.
    List,
}
