//! Background tasks that run through a whole soak: callers, probes of the configuration, operators and the restart of
//! endpoints and processes.

use crate::history::{Kind, NewRequest, Probe, Read, UnexpectedExit};
use crate::operator::Operators;
use crate::plan::Size;
use crate::run::Soak;
use crate::traffic::{self, Call, DEADLINE, MARGIN, end_of, send_recorded};
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Mean time between two requests of the plain callers of a daemon.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);
/// Time between two requests on a kept connection.
const KEPT_PERIOD: Duration = Duration::from_millis(40);
/// Mean time between two sends of the fatal request.
const FATAL_PERIOD: Duration = Duration::from_millis(400);
/// Time between two probes of a daemon's configuration.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time after the end of the soak within which a change under way must be settled, and then a read be answered.
const LAST_OPERATION_TIME: Duration = Duration::from_secs(10);
/// Pause between two attempts of the last read.
const LAST_READ_PAUSE: Duration = Duration::from_millis(200);

/// Sends plain requests to one daemon, each on a connection of its own.
pub(crate) async fn callers(soak: Arc<Soak>, daemon: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ (daemon as u64) << 32);
    let mut calls = JoinSet::new();
    let mut number = 0_u64;
    while !soak.is_over() {
        let pause = REQUEST_PERIOD.mul_f64(random.random_range(0.2..1.8));
        tokio::time::sleep(pause).await;
        let kind = match random.random_bool(0.5) {
            true => Kind::Once,
            false => Kind::Repeatable,
        };
        number += 1;
        let id = format!("r-{daemon}-{number}");
        let address = soak.addresses.outbound(daemon);
        calls.spawn(traffic::call(
            soak.history.clone(),
            address,
            daemon,
            kind,
            id,
        ));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// Sends plain requests to one daemon on one connection, which is replaced only when it breaks.
pub(crate) async fn kept_callers(soak: Arc<Soak>, daemon: usize) {
    let mut kept = None;
    let mut number = 0_u64;
    while !soak.is_over() {
        tokio::time::sleep(KEPT_PERIOD).await;
        let open = match kept.take() {
            Some(open) => Some(open),
            None => traffic::open(soak.addresses.outbound(daemon)).await,
        };
        let Some(open) = open else {
            continue;
        };
        number += 1;
        let id = format!("k-{daemon}-{number}");
        kept = traffic::call_on(open, &soak.history, daemon, id).await;
    }
}

/// Sends the fatal request to random daemons under a new id each time, beginning at half of the soak's length.
pub(crate) async fn fatal_callers(soak: Arc<Soak>, size: Size) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ 1 << 51);
    tokio::time::sleep(size.length / 2).await;
    let mut calls = JoinSet::new();
    let mut number = 0_u64;
    while !soak.is_over() {
        tokio::time::sleep(FATAL_PERIOD.mul_f64(random.random_range(0.2..1.8))).await;
        number += 1;
        let daemon = random.random_range(0..size.daemons);
        let id = format!("{}{number}", traffic::FATAL_ID);
        let address = soak.addresses.outbound(daemon);
        let history = soak.history.clone();
        calls.spawn(traffic::call(
            history,
            address,
            daemon,
            Kind::Repeatable,
            id,
        ));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// Starts a new endpoint beside a daemon whenever a request has crashed its endpoint.
pub(crate) async fn restart_ended(soak: Arc<Soak>, daemon: usize) {
    while !soak.is_over() {
        tokio::time::sleep(REQUEST_PERIOD).await;
        soak.restart_if_ended(daemon).await;
    }
}

/// Records processes that exit unexpectedly and starts them again, as a service manager does.
pub(crate) async fn watch_processes(soak: Arc<Soak>) {
    while !soak.is_over() {
        tokio::time::sleep(PROBE_PERIOD).await;
        for (machine, host) in &soak.hosts {
            // A locked host may be in the middle of a stop or kill; it is checked again in the next round.
            let Ok(mut host) = host.try_lock() else {
                continue;
            };
            if !host.has_ended() {
                continue;
            }
            let at = soak.history.now();
            let ended = UnexpectedExit {
                machine: *machine,
                at,
            };
            soak.history.events().unexpected_exits.push(ended);
            soak.advance_generation(*machine);
            if let Err(error) = host.start() {
                println!("{machine:?} not started again: {error}");
            }
        }
    }
}

/// Probes whether a daemon has the routes of recent versions.
pub(crate) async fn probes(soak: Arc<Soak>, daemon: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ (daemon as u64) << 40);
    let mut number = 0_u64;
    while !soak.is_over() {
        tokio::time::sleep(PROBE_PERIOD).await;
        let version = {
            let events = soak.history.events();
            let acknowledged = events.orders.iter().filter(|o| o.acknowledged.is_some());
            let newest: Vec<u64> = acknowledged
                .rev()
                .take(3)
                .map(|order| order.version)
                .collect();
            if newest.is_empty() {
                continue;
            }
            newest[random.random_range(0..newest.len())]
        };
        number += 1;
        probe(&soak, daemon, version, &format!("p-{daemon}-{number}")).await;
    }
}

async fn probe(soak: &Soak, daemon: usize, version: u64, id: &str) {
    let generation = || soak.process_generations[daemon].load(Ordering::SeqCst);
    let (before, sent) = (generation(), soak.history.now());
    let new_request = NewRequest::short(id.to_owned(), Kind::Repeatable, daemon, DEADLINE);
    let request = soak.history.record_request(new_request);
    let call = Call {
        method: Method::POST,
        path: &wire::probe_path(version),
        headers: &[(wire::REQUEST_ID, id)],
        body: Bytes::new(),
    };
    let on_sent = soak.history.on_body_sent(request);
    let outbound = soak.addresses.outbound(daemon);
    let answer = send_recorded(outbound, call, DEADLINE + MARGIN, on_sent).await;
    soak.history.record_end(request, end_of(&answer, id));
    let Ok(answer) = answer else {
        return;
    };
    let has_route = match answer.status {
        StatusCode::NOT_FOUND => false,
        StatusCode::SERVICE_UNAVAILABLE => return,
        _ => true,
    };
    if before != generation() {
        return;
    }
    let answered = soak.history.now();
    soak.history.events().probes.push(Probe {
        daemon,
        generation: before,
        version,
        sent,
        answered,
        has_route,
    });
}

/// Waits until the soak has been over for [`LAST_OPERATION_TIME`].
async fn operations_end(soak: &Soak) {
    while !soak.is_over() {
        tokio::time::sleep(PROBE_PERIOD).await;
    }
    tokio::time::sleep(LAST_OPERATION_TIME).await;
}

/// Runs the operators' changes and reads, with a last read at the end.
pub(crate) async fn operate(soak: Arc<Soak>, mut operators: Operators) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ 1 << 50);
    while !soak.is_over() {
        let pause = Duration::from_millis(random.random_range(200..1_500));
        tokio::time::sleep(pause).await;
        if random.random_bool(0.6) {
            // A group without a quorum settles no change.
            tokio::select! {
                () = operators.change() => {}
                () = operations_end(&soak) => {}
            }
        }
        operators.read().await;
    }
    let deadline = Instant::now() + LAST_OPERATION_TIME;
    while Instant::now() < deadline {
        if operators.read().await {
            return;
        }
        tokio::time::sleep(LAST_READ_PAUSE).await;
    }
    let at = soak.history.now();
    // No replica answered: recorded as a read of an empty configuration, which the check reports.
    let mut events = soak.history.events();
    events.reads.push(Read {
        sent: at,
        text: String::new(),
    });
}
