//! Requests of several tenants in the queue beside an endpoint: which one is refused, and with which reason.

use bramblewheel_decisions::admission::Displacement;
use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_process::clock::Clock;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_proxy::local::{LocalEndpoint, Permit, Refusal};
use bramblewheel_proxy::wire::Handover;
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, ZoneName};
use http::HeaderValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Slots of the endpoint; 7 of them are used, and 28 requests may wait.
const SLOTS: u32 = 8;
const RUNNING: u32 = 7;
const WAITING: u32 = 28;

fn endpoint() -> EndpointId {
    EndpointId::new("e-0").expect("a name")
}

fn open_endpoint(clock: Clock) -> Arc<LocalEndpoint> {
    let local = LocalEndpoint::new(MachineIdentity {
        service: Some(ServiceName::new("kassa").expect("a name")),
        zone: ZoneName::new("north").expect("a name"),
        endpoint_address: None,
    });
    let mut record = EndpointRecord {
        endpoint: endpoint(),
        service: ServiceName::new("kassa").expect("a name"),
        daemon: DaemonId::new("daemon-1").expect("a name"),
        address: ([127, 0, 0, 1], 9000).into(),
        endpoint_address: ([127, 0, 0, 1], 9001).into(),
        zone: ZoneName::new("north").expect("a name"),
        slots: SLOTS,
        state: EndpointState::Ready,
        sequence: 1,
        cold_for: Millis(0),
    };
    local.take_heartbeat(clock.now(), &mut record);
    local.confirm(&endpoint(), EndpointState::Ready);
    Arc::new(local)
}

/// A request of the most important rank, which no limit of a class refuses.
fn handover(tenant: Option<&'static str>, tree_tenant: Option<&'static str>) -> Handover {
    Handover {
        endpoint: endpoint(),
        rank: 0,
        root_rank: 0,
        class: RequestClass(1),
        objective: Duration::from_mins(1),
        remaining: Duration::from_mins(5),
        wait: Duration::from_mins(5),
        caller: None,
        is_likely_nested: tree_tenant.is_some(),
        tenant: tenant.map(HeaderValue::from_static),
        tree_tenant: tree_tenant.map(HeaderValue::from_static),
        content: None,
        retried_share: 0.0,
        known_limit: None,
    }
}

/// Guards against a large tenant that keeps others out of a full queue, and against displaced requests that are not
/// answered at once or don't say why.
#[tokio::test]
async fn request_of_the_largest_tenant_is_displaced_at_once() {
    let clock = Clock::start();
    let local = open_endpoint(clock);
    let until = clock.now() + Duration::from_mins(5);
    let admit = |handover: Handover| {
        let local = Arc::clone(&local);
        async move { local.admit(clock, &handover, false, until).await }
    };
    let mut running: Vec<Permit> = Vec::new();
    for _ in 0..RUNNING {
        let permit = admit(handover(Some("large"), None)).await;
        running.push(permit.expect("there is a free slot"));
    }
    let mut waiting = JoinSet::new();
    for _ in 0..WAITING {
        waiting.spawn(admit(handover(Some("large"), None)));
    }
    while local.load(clock.now()).busy < RUNNING + WAITING {
        tokio::task::yield_now().await;
    }
    let further = admit(handover(Some("large"), None)).await;
    assert_eq!(further.err(), Some(Refusal::Full));
    // A call counts towards the tenant of the request that made it.
    let small = tokio::spawn(admit(handover(None, Some("small"))));
    let displaced = waiting.join_next().await.expect("one is decided");
    let displaced = displaced.expect("no panic").err();
    assert_eq!(displaced, Some(Refusal::Displaced(Displacement::ByTenant)));
    // It was served least and is next.
    drop(running.pop());
    let small = small.await.expect("no panic");
    assert!(small.is_ok(), "{:?}", small.err());
    assert_eq!(waiting.len() as u32, WAITING - 1);
}
