//! State shared by the listeners.

use crate::driver::Driver;
use crate::http::answer::{self, HttpAnswer};
use crate::http::pool::Pools;
use crate::metrics::Metrics;
use crate::sessions::SessionKeys;
use crate::settings::LimitSettings;
use arc_swap::ArcSwapOption;
use bramblewheel_bundle::Bundle;
use bramblewheel_http::body::{Collected, collect};
use bramblewheel_types::{CallId, RequestId, ServiceName, ZoneName};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of connections to one daemon if its service is not in the bundle.
const DEFAULT_CONNECTIONS: usize = 16;

/// State shared by the listeners.
pub(crate) struct Shared {
    pub(crate) driver: Arc<Driver>,
    pub(crate) pools: Pools,
    pub(crate) limits: LimitSettings,
    pub(crate) sessions: SessionKeys,
    pub(crate) zone: ZoneName,
    pub(crate) bundle: Arc<ArcSwapOption<Bundle>>,
    pub(crate) endpoint: Option<SocketAddr>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) ids: IdSource,
}

impl Shared {
    /// Maximum number of connections to one daemon of a service.
    pub(crate) fn connections_to(&self, service: &ServiceName) -> usize {
        let bundle = self.bundle.load();
        let policy = bundle.as_ref().and_then(|bundle| bundle.service(service));
        policy.map_or(DEFAULT_CONNECTIONS, |policy| {
            policy.routing.max_connections as usize
        })
    }

    /// Reads a complete request body, or returns the refusal to send.
    pub(crate) async fn read_body(&self, body: &mut Incoming) -> Result<Bytes, Box<HttpAnswer>> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let limit = self.limits.body_bytes;
        let reading = collect(body, limit);
        match tokio::time::timeout(self.limits.body_timeout(), reading).await {
            Ok(Ok(Collected::Whole(bytes))) => Ok(bytes),
            Ok(Ok(Collected::OverLimit(_))) => {
                let cause = format!("the body is longer than {limit} bytes");
                let mut refusal = answer::invalid_request(&cause);
                *refusal.status_mut() = http::StatusCode::PAYLOAD_TOO_LARGE;
                Err(Box::new(refusal))
            }
            Ok(Err(_)) => Err(Box::new(answer::invalid_request("the body broke"))),
            Err(_) => Err(Box::new(answer::invalid_request("the body took too long"))),
        }
    }
}

/// Generates ids that are unique in this process and unlikely to collide with those of others.
#[derive(Debug)]
pub(crate) struct IdSource {
    start: u64,
    next: AtomicU64,
}

impl IdSource {
    pub(crate) fn new(start: u64) -> Self {
        Self {
            start,
            next: AtomicU64::new(0),
        }
    }

    pub(crate) fn call(&self) -> CallId {
        CallId(self.start.wrapping_add(self.next()))
    }

    /// A request id: one half random per process, one half a mixed counter.
    pub(crate) fn request(&self) -> RequestId {
        /// Odd multiplier, so that different counter values never give the same product.
        const MIX: u64 = 0x9E37_79B9_7F4A_7C15;
        let low = self.next().wrapping_mul(MIX);
        RequestId((u128::from(self.start) << 64) | u128::from(low))
    }

    fn next(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}
