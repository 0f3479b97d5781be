//! Metrics of a replica's connections, by listener.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabel {
    listener: &'static str,
}

/// Connections of all listeners.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionMetrics {
    open: Family<ListenerLabel, Gauge>,
    refused: Family<ListenerLabel, Counter>,
}

impl ConnectionMetrics {
    /// The metrics of one listener.
    pub(super) fn of(&self, listener: &'static str) -> ListenerMetrics {
        let label = ListenerLabel { listener };
        ListenerMetrics {
            open: self.open.get_or_create(&label).clone(),
            refused: self.refused.get_or_create(&label).clone(),
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "connections",
            "Connections open at a listener",
            self.open.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections closed at once because a listener had too many",
            self.refused.clone(),
        );
    }
}

/// Connections of one listener.
#[derive(Clone, Debug)]
pub(super) struct ListenerMetrics {
    open: Gauge,
    refused: Counter,
}

impl ListenerMetrics {
    /// Counts a connection as open until the result is dropped.
    pub(super) fn count_open(&self) -> OpenConnection {
        self.open.inc();
        OpenConnection(self.open.clone())
    }

    pub(super) fn count_refused(&self) {
        self.refused.inc();
    }
}

/// A connection that is counted as open.
#[derive(Debug)]
pub(super) struct OpenConnection(Gauge);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.dec();
    }
}
