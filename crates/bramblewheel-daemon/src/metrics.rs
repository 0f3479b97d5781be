//! Counters of the shell itself; the engine's own are read from it when they are asked for.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of the shell.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Bytes sent to the control replicas.
    pub control_sent_bytes: Counter,
    /// Bytes received from the control replicas.
    pub control_received_bytes: Counter,
    /// Polls answered by a control replica.
    pub control_polls: Counter,
    /// Answers of control replicas that were refused as older than one seen before.
    pub control_stale: Counter,
}

impl Metrics {
    /// Lists the counters in a registry.
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
