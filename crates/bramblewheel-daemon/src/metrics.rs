//! Counters of the daemon process; the engine's metrics are read from the engine on request.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of the daemon process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Bytes sent to the control replicas.
    pub control_sent_bytes: Counter,
    /// Bytes received from the control replicas.
    pub control_received_bytes: Counter,
    /// Polls answered by a control replica.
    pub control_polls: Counter,
    /// Answers of control replicas refused because a newer one was seen before.
    pub control_stale: Counter,
}

impl Metrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "bramblewheel_control_sent_bytes",
                "Bytes sent to the control replicas",
                &self.control_sent_bytes,
            ),
            (
                "bramblewheel_control_received_bytes",
                "Bytes received from the control replicas",
                &self.control_received_bytes,
            ),
            (
                "bramblewheel_control_polls",
                "Polls answered by a control replica",
                &self.control_polls,
            ),
            (
                "bramblewheel_control_stale",
                "Answers refused as older than one seen before",
                &self.control_stale,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}
