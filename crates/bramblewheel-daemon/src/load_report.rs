//! Asks the local endpoint for its load, as it sees it. A hint: it may lag or mislead.

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

/// Time between two questions.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for one answer.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Path asked.
const PATH: &str = "/load";
/// Limits of the exchange.
const LIMITS: ExchangeLimits = ExchangeLimits {
    connections: 1,
    body_bytes: 4096,
};

/// The endpoint's answer.
#[derive(Debug, Deserialize)]
struct Load {
    slots: u32,
    busy: u32,
    draining: bool,
}

/// Asks for ever. `pool` is the endpoint's, but not the one that calls use: a full endpoint
/// must not keep its own load report waiting.
pub async fn run(driver: Arc<Driver>, pool: Arc<Pool>) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Ok(Some(report)) = tokio::time::timeout(TIMEOUT, ask(&pool)).await {
            driver.submit(Event::LocalReport(report));
        }
    }
}

async fn ask(pool: &Arc<Pool>) -> Option<EndpointReport> {
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
