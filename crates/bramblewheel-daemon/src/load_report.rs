//! Polls the local endpoint for its load report, which may be outdated or wrong.

use crate::driver::Driver;
use crate::http::exchange::{ExchangeLimits, Exchanged, WholeAnswer, exchange};
use crate::http::pool::Pool;
use bramblewheel_core::event::{EndpointReport, Event};
use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Interval of the requests.
const PERIOD: Duration = Duration::from_secs(1);
/// Time-out of one request.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Path of the load report.
const PATH: &str = "/load";
/// Limits of one exchange.
const LIMITS: ExchangeLimits = ExchangeLimits {
    connections: 1,
    body_bytes: 4096,
};

/// Load report of the endpoint.
#[derive(Debug, Deserialize)]
struct Load {
    slots: u32,
    busy: u32,
    draining: bool,
}

/// Polls the endpoint; never returns. `pool` must not be the one used for calls, so that a load
/// report does not wait for a connection while the endpoint is fully used.
pub async fn run(driver: Arc<Driver>, pool: Arc<Pool>) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Ok(Some(report)) = tokio::time::timeout(TIMEOUT, fetch_report(&pool)).await {
            driver.submit(Event::LocalReport(report));
        }
    }
}

async fn fetch_report(pool: &Arc<Pool>) -> Option<EndpointReport> {
    let host = pool.address().to_string();
    let head = || Some(Request::get(PATH).header(HOST, host.as_str()));
    match exchange(pool, LIMITS, Bytes::new(), head, |_| Some(())).await {
        Exchanged::Whole(answer, ()) => parse(&answer),
        _ => None,
    }
}

fn parse(answer: &WholeAnswer) -> Option<EndpointReport> {
    if answer.status != StatusCode::OK {
        return None;
    }
    let load: Load = serde_json::from_slice(&answer.body).ok()?;
    Some(EndpointReport {
        slots: load.slots,
        busy: load.busy,
        draining: load.draining,
    })
}
