//! Finds out whether the local endpoint crashed when connections to it break.
//!
//! A broken connection alone says little: endpoints reset connections, and so do networks. A process that has
//! crashed refuses new ones, so that the endpoint counts as crashed where none opens. Owns nothing; what the
//! endpoint was running goes to the control group. Shown by the log line `endpoint ended` and the metric
//! `bramblewheel_endpoint_ends_total`.

use crate::shared::Shared;
use bramblewheel_types::EndpointId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which all broken connections of one process are noticed, also where the daemon has a part
/// of a core. Logs show 10 ms; ten times as much is chosen.
const NOTICED_WITHIN: Duration = Duration::from_millis(100);
/// Least time between two probes, so that an endpoint that resets many connections is not probed for each.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// A connection to the endpoint broke under a request: finds out whether the endpoint has crashed, unless
/// that is being done already.
pub fn probe_for_crash(shared: &Arc<Shared>, endpoint: &EndpointId, address: SocketAddr) {
    if !shared.local.begin_probe() {
        return;
    }
    let (shared, endpoint) = (Arc::clone(shared), endpoint.clone());
    tokio::spawn(async move {
        while shared.local.is_probe_due() {
            let pool = shared.endpoint_pools.get(address);
            if let Ok(lease) = pool.open().await {
                lease.give_back_unused();
                tokio::time::sleep(PROBE_PERIOD).await;
                continue;
            }
            tokio::time::sleep(NOTICED_WITHIN).await;
            if let Some(end) = shared.local.take_crash(&endpoint) {
                shared.reporter.endpoint_crashed(end);
            }
        }
    });
}
