//! How many requests callers make, and how hard they try again.

use super::topology::Topology;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Rate of new requests over virtual time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    /// New requests a second, over all callers, outside the surge.
    pub base_rate: f64,
    /// Factor on the rate during the surge.
    pub surge: f64,
    /// Beginning of the surge.
    pub surge_begins: Timestamp,
    /// End of the surge.
    pub surge_ends: Timestamp,
    /// No new requests from here on.
    pub ends: Timestamp,
}

impl LoadProfile {
    /// New requests a second at a time.
    pub fn rate(&self, at: Timestamp) -> f64 {
        if at >= self.ends {
            return 0.0;
        }
        let is_surge = at >= self.surge_begins && at < self.surge_ends;
        self.base_rate * if is_surge { self.surge } else { 1.0 }
    }

    /// The highest rate at any time.
    pub fn peak_rate(&self) -> f64 {
        self.base_rate * self.surge.max(1.0)
    }
}

/// How callers behave when they don't get their answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerBehaviour {
    /// Most sends of one request, the first included.
    pub max_sends: u32,
    /// Shortest pause before the next send; whatever the refusal asks for is ignored.
    pub pause: Duration,
    /// Share of the callers that name their request, so that a resend can be recognised.
    pub with_id: f64,
    /// Callers that are told apart, in each zone.
    pub callers_per_zone: u32,
    /// Time that a caller waits beyond its deadline before it closes its connection.
    pub patience: Duration,
    /// Whether resends go to the gateways of other zones.
    pub roams: bool,
    /// Sessions with tokens in each zone; 0 if requests of sessions carry no token.
    pub sessions_per_zone: u32,
}

impl Default for CallerBehaviour {
    /// Callers that retry hard: four sends, at once, half of them without an id.
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

/// Chooses a flow by its share; `point` lies between 0 and 1.
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
