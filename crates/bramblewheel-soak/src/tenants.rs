//! Tenants with limits: one whose callers ask for much more than its limit, one whose callers stay within it.

use crate::history::{Kind, NewRequest};
use crate::run::Soak;
use crate::traffic::{Call, DEADLINE, MARGIN, end_of, send_recorded};
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Window over which a limit applies.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Part of a window's limit, and further requests, by which it may be exceeded.
pub const OVERSHOOT: f64 = 0.1;
/// See [`OVERSHOOT`].
pub const SLACK: f64 = 20.0;
/// The tenants.
pub const TENANTS: [wire::Tenant; 2] = [
    wire::Tenant {
        name: "beyond",
        rate: 30.0,
        burst: 30.0,
    },
    wire::Tenant {
        name: "within",
        rate: 30.0,
        burst: 30.0,
    },
];
/// Requests of each tenant's callers at all daemons, as a multiple of its rate.
const DEMAND: [f64; 2] = [6.0, 0.7];

/// Prefix of the ids of a tenant's requests.
pub fn id_prefix(tenant: &wire::Tenant) -> String {
    format!("t-{}-", tenant.name)
}

/// Most requests of a tenant that may run within a window.
pub fn most_in_window(tenant: &wire::Tenant) -> f64 {
    let permitted = tenant.rate * WINDOW.as_secs_f64() + tenant.burst;
    permitted * (1.0 + OVERSHOOT) + SLACK
}

/// Sends the requests of all tenants to one daemon.
pub(crate) async fn callers(soak: Arc<Soak>, daemon: usize) {
    let tenants = TENANTS.iter().zip(DEMAND);
    let sending = tenants.map(|(tenant, demand)| {
        let period = Duration::from_secs_f64(soak.daemons as f64 / (tenant.rate * demand));
        callers_of(&soak, daemon, tenant, period)
    });
    let mut sending: Vec<_> = sending.collect();
    let (Some(last), Some(first)) = (sending.pop(), sending.pop()) else {
        return;
    };
    tokio::join!(first, last);
}

async fn callers_of(soak: &Arc<Soak>, daemon: usize, tenant: &wire::Tenant, period: Duration) {
    let seed = soak.seed ^ (daemon as u64) << 40 ^ tenant.name.len() as u64;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let mut number = 0_u64;
    while !soak.is_over() {
        tokio::time::sleep(period.mul_f64(random.random_range(0.2..1.8))).await;
        number += 1;
        let id = format!("{}{daemon}-{number}", id_prefix(tenant));
        calls.spawn(call(Arc::clone(soak), daemon, tenant.name.to_owned(), id));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

async fn call(soak: Arc<Soak>, daemon: usize, tenant: String, id: String) {
    let kind = Kind::Repeatable;
    let deadline = DEADLINE.as_millis().to_string();
    let key = wire::key_of(&tenant);
    let history = &soak.history;
    let number = history.record_request(NewRequest::short(id.clone(), kind, daemon, DEADLINE));
    let call = Call {
        method: Method::POST,
        path: &wire::tenant_path(daemon % soak.services()),
        headers: &[
            (wire::REQUEST_ID, &id),
            (wire::DEADLINE, &deadline),
            (wire::KEY, &key),
        ],
        body: Bytes::from_static(b"work"),
    };
    let on_sent = history.on_body_sent(number);
    let address = soak.addresses.outbound(daemon);
    let answer = send_recorded(address, call, DEADLINE + MARGIN, on_sent).await;
    history.record_end(number, end_of(&answer, &id));
}
