//! What goes on during a soak whatever strikes: callers, probes of the configuration, operators.

use crate::history::{Asked, EndedProcess, Kind, Probe, Read};
use crate::operator::Operators;
use crate::plan::Size;
use crate::run::Soak;
use crate::traffic::{self, Call, DEADLINE, MARGIN, end_of, send};
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;

/// Mean time between two requests to a daemon.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);
/// Time between two requests on a kept connection.
const KEPT_PERIOD: Duration = Duration::from_millis(40);
/// Mean time between two sends of the request that ends endpoints.
const FATAL_PERIOD: Duration = Duration::from_millis(400);
/// Time between two probes of a daemon's configuration.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Requests of callers at one daemon.
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

/// A caller that keeps its connection for as long as the daemon's process does.
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

/// The request that ends endpoints, from half of the faults on: at any daemon, under a new id each time.
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

/// Starts the endpoint beside a daemon again whenever a request has ended it.
pub(crate) async fn restart_ended(soak: Arc<Soak>, daemon: usize) {
    while !soak.is_over() {
        tokio::time::sleep(REQUEST_PERIOD).await;
        soak.restart_if_ended(daemon).await;
    }
}

/// Notes processes that end by themselves, and starts them again as whoever runs them does.
pub(crate) async fn watch_processes(soak: Arc<Soak>) {
    while !soak.is_over() {
        tokio::time::sleep(PROBE_PERIOD).await;
        for (machine, host) in &soak.hosts {
            // One that is being stopped or killed is no matter of this.
            let Ok(mut host) = host.try_lock() else {
                continue;
            };
            if !host.has_ended() {
                continue;
            }
            let at = soak.history.now();
            let ended = EndedProcess {
                machine: *machine,
                at,
            };
            soak.history.events().ended_processes.push(ended);
            soak.count_life(*machine);
            if let Err(error) = host.start() {
                println!("{machine:?} not started again: {error}");
            }
        }
    }
}

/// Asks a daemon again and again for routes that came with some version.
pub(crate) async fn probes(soak: Arc<Soak>, daemon: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ (daemon as u64) << 40);
    let mut number = 0_u64;
    while !soak.is_over() {
        tokio::time::sleep(PROBE_PERIOD).await;
        let version = {
            let events = soak.history.events();
            let taken = events.orders.iter().filter(|o| o.acknowledged.is_some());
            let newest: Vec<u64> = taken.rev().take(3).map(|order| order.version).collect();
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
    let life = || soak.lives[daemon].load(Ordering::SeqCst);
    let (before, sent) = (life(), soak.history.now());
    let asked = Asked::short(id.to_owned(), Kind::Repeatable, daemon, DEADLINE);
    let request = soak.history.begin(asked);
    let call = Call {
        method: Method::POST,
        path: &wire::probe_path(version),
        headers: &[(wire::REQUEST_ID, id)],
        body: Bytes::new(),
    };
    let answer = send(soak.addresses.outbound(daemon), call, DEADLINE + MARGIN).await;
    soak.history.end(request, end_of(&answer, id));
    let Ok(answer) = answer else {
        return;
    };
    let is_known = match answer.status {
        StatusCode::NOT_FOUND => false,
        StatusCode::SERVICE_UNAVAILABLE => return,
        _ => true,
    };
    if before != life() {
        return;
    }
    let answered = soak.history.now();
    soak.history.events().probes.push(Probe {
        daemon,
        life: before,
        version,
        sent,
        answered,
        is_known,
    });
}

/// Changes and reads of the operators, and a read at the end.
pub(crate) async fn operate(soak: Arc<Soak>, mut operators: Operators) {
    const LAST_READ_TRIES: u32 = 30;
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ 1 << 50);
    while !soak.is_over() {
        let pause = Duration::from_millis(random.random_range(200..1_500));
        tokio::time::sleep(pause).await;
        if random.random_bool(0.6) {
            operators.change().await;
        }
        operators.read().await;
    }
    for _ in 0..LAST_READ_TRIES {
        if operators.read().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let at = soak.history.now();
    // No answer at all reads as an empty configuration.
    let mut events = soak.history.events();
    events.reads.push(Read {
        sent: at,
        text: String::new(),
    });
}
