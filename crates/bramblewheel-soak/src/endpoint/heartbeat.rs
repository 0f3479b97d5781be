//! Heartbeats of an endpoint to the daemon beside it.

use crate::endpoint_interface;
use bramblewheel_platform_client as wire;
use bramblewheel_platform_client::Heartbeat;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Sends the heartbeats of one endpoint in one state.
pub(super) struct HeartbeatSender {
    pub(super) id: String,
    pub(super) service: &'static str,
    pub(super) address: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) slots: u32,
    pub(super) started_unix_millis: u64,
    pub(super) state: &'static str,
    pub(super) sequence: Arc<AtomicU64>,
}

impl HeartbeatSender {
    /// Sends the next heartbeat; returns whether it was acknowledged.
    pub(super) async fn send(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let heartbeat = Heartbeat {
            service: self.service,
            address: self.address,
            zone: "north",
            slots: self.slots,
            state: self.state,
            sequence,
            started: Some(self.started_unix_millis),
        };
        let path = wire::heartbeat_path(&self.id);
        endpoint_interface::post(self.admin, &path, heartbeat.body()).await
    }
}
