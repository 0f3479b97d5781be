//! Finds out whether the local endpoint ended when connections to it break.
//!
//! A broken connection alone says little: endpoints reset connections, and so do networks. A process
//! that has ended refuses new ones.

use crate::shared::Shared;
use bramblewheel_types::EndpointId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which all broken connections of one process are noticed, also where the daemon has a part
/// of a core: within 10 ms as logs show.
const NOTICED_WITHIN: Duration = Duration::from_millis(100);
/// Least time between two looks, so that an endpoint that resets many connections is not asked for each.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// A connection to the endpoint broke under a request: finds out whether the endpoint has ended, unless
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
            if let Some(end) = shared.local.take_end(&endpoint) {
                shared.reporter.endpoint_crashed(end);
            }
        }
    });
}
