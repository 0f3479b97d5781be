//! Detects whether the local endpoint crashed when connections to it break.
//!
//! A broken connection alone is not enough: endpoints and networks also reset connections. A crashed process refuses
//! new ones, so the endpoint counts as crashed if a connection is refused. One that is not accepted in time proves
//! nothing: the endpoint or this process may be late. The requests that a crashed endpoint was running are reported to
//! the control group. Crashes appear in the log line `endpoint ended` and the metric
//! `bramblewheel_endpoint_ends_total`.

use crate::http::pool::ConnectFailed;
use crate::shared::Shared;
use bramblewheel_types::EndpointId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time within which all broken connections of one process are detected, even if the daemon has only a fraction of a
/// core: ten times the 10 ms seen in logs.
const DETECTION_TIME: Duration = Duration::from_millis(100);
/// Shortest time between two probes, so that an endpoint that resets many connections is not probed for each one.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Probes the endpoint after a connection to it broke during a request, unless a probe is already running.
pub fn probe_for_crash(shared: &Arc<Shared>, endpoint: &EndpointId, address: SocketAddr) {
    if !shared.local.begin_probe() {
        return;
    }
    let (shared, endpoint) = (Arc::clone(shared), endpoint.clone());
    tokio::spawn(async move {
        while shared.local.take_probe_due() {
            let pool = shared.endpoint_pools.get(address);
            match pool.open().await {
                Ok(lease) => lease.give_back_unused(),
                Err(ConnectFailed::NotReached) => {}
                Err(ConnectFailed::Refused) => {
                    report_crash(&shared, &endpoint).await;
                    continue;
                }
            }
            tokio::time::sleep(PROBE_PERIOD).await;
        }
    });
}

/// Reports the crash with the requests that were running, once all broken connections have been detected.
async fn report_crash(shared: &Shared, endpoint: &EndpointId) {
    tokio::time::sleep(DETECTION_TIME).await;
    if let Some(crash) = shared.local.take_crash(endpoint) {
        shared.reporter.endpoint_crashed(crash);
    }
}
