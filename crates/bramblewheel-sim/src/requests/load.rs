//! Load profile and resend behaviour of callers.

use super::topology::Topology;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Rate of new requests over virtual time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    /// New requests per second of all callers outside the surge.
    pub base_rate: f64,
    /// Factor of the rate during the surge.
    pub surge: f64,
    /// Start of the surge.
    pub surge_begins: Timestamp,
    /// End of the surge.
    pub surge_ends: Timestamp,
    /// End of new requests.
    pub ends: Timestamp,
}

impl LoadProfile {
    /// New requests per second at a time.
    pub fn rate(&self, at: Timestamp) -> f64 {
        if at >= self.ends {
            return 0.0;
        }
        let is_surge = at >= self.surge_begins && at < self.surge_ends;
        self.base_rate * if is_surge { self.surge } else { 1.0 }
    }

    /// Highest rate of the profile.
    pub fn peak_rate(&self) -> f64 {
        self.base_rate * self.surge.max(1.0)
    }
}

/// Behaviour of callers whose request is not answered or fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerBehaviour {
    /// Maximum number of sends of one request, including the first.
    pub max_sends: u32,
    /// Minimum pause before the next send; the pause that a refusal asks for is ignored.
    pub pause: Duration,
    /// Share of requests that keep their id, so that a resend can be recognised.
    pub with_id: f64,
    /// Number of distinct callers in each zone.
    pub callers_per_zone: u32,
    /// Time beyond its deadline after which a caller closes its connection.
    pub patience: Duration,
    /// Whether resends go to the gateways of other zones.
    pub roams: bool,
    /// Number of sessions with tokens in each zone; 0 if requests of sessions carry no token.
    pub sessions_per_zone: u32,
}

impl Default for CallerBehaviour {
    /// Aggressive callers: four sends with pauses of 50 to 100 ms, half of the requests without an id.
    fn default() -> Self {
        Self {
            max_sends: 4,
            pause: Duration::from_millis(50),
            with_id: 0.5,
            callers_per_zone: 50,
            patience: Duration::ZERO,
            roams: false,
            sessions_per_zone: 0,
        }
    }
}

/// Selects a flow by its share; `point` lies between 0 and 1.
pub(super) fn flow_at(topology: &Topology, point: f64) -> usize {
    let mut sum = 0.0;
    for (index, flow) in topology.flows.iter().enumerate() {
        sum += flow.model.share;
        if point < sum {
            return index;
        }
    }
    topology.flows.len() - 1
}
