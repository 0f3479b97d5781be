//! What an endpoint states of itself in its answers, a rate limit or a drain notice, holds at all daemons together.

use crate::support::endpoint::{Behavior, ScriptedEndpoint};
use crate::support::{TestCluster, call_on};
use bramblewheel_decisions::load_statement::StatedLoad;
use bytes::Bytes;
use http::StatusCode;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// Requests per second that the limited endpoint takes.
const LIMIT: usize = 5;
/// Header line with this limit.
const LIMIT_LINE: &str = "bw-rate-limit: 5\r\n";
/// Header line of an endpoint that drains.
const DRAIN_LINE: &str = "bw-draining: 1\r\n";
/// Header line with a load and a work time of 2.5 times the usual.
const LOAD_LINE: &str = "bw-endpoint-load: 5,1,18,250\r\n";
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond the limit that one window may hold.
const MAX_BURST: usize = 3;
/// Time between two requests to one daemon.
const REQUEST_PERIOD: Duration = Duration::from_millis(25);
/// Time after a statement until requests that were already on their way have arrived.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Sends a request to each of these addresses in each period; returns the statuses of the answers.
async fn send_load(addresses: &[SocketAddr], time: Duration) -> Vec<StatusCode> {
    let mut calls = JoinSet::new();
    let mut ticks = interval(REQUEST_PERIOD);
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < time {
        ticks.tick().await;
        for address in addresses.iter().copied() {
            number += 1;
            let id = format!("r-{begun:?}-{number}").replace(|c: char| !c.is_alphanumeric(), "-");
            calls.spawn(async move {
                let stream = TcpStream::connect(address).await.expect("it listens");
                let headers = [("bw-request-id", id.as_str()), ("bw-remaining-ms", "3000")];
                let answer = call_on(stream, "/safe/item", &headers, Bytes::new()).await;
                answer.expect("an answer").status
            });
        }
    }
    calls.join_all().await
}

fn outbound(cluster: &TestCluster) -> Vec<SocketAddr> {
    let daemons = cluster.daemons.iter();
    daemons
        .map(|daemon| daemon.shared().settings.outbound)
        .collect()
}

fn arrival_times(endpoint: &ScriptedEndpoint) -> Vec<Instant> {
    let arrivals = endpoint.arrivals().into_iter();
    arrivals.map(|arrival| arrival.received_at).collect()
}

/// Most of these times in one window that begins at `from` or later.
fn most_in_window(times: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = times.iter().copied().filter(|at| *at >= from).collect();
    let in_window_from = |begin: &Instant| {
        let within = |at: &&Instant| **at >= *begin && **at < *begin + WINDOW;
        counted.iter().filter(within).count()
    };
    counted.iter().map(in_window_from).max().unwrap_or_default()
}

/// Guards against sending an endpoint more requests than the rate limit that its answers state.
#[tokio::test]
async fn endpoint_gets_no_more_than_its_stated_rate_limit_from_all_daemons() {
    let cluster = TestCluster::start(3).await;
    let limited = &cluster.endpoints[0];
    limited.state_in_answers(LIMIT_LINE);
    let statuses = send_load(&outbound(&cluster), Duration::from_secs(6)).await;
    let times = arrival_times(limited);
    let first = *times.first().expect("it got a request");
    let most = most_in_window(&times, first + SETTLING_TIME);
    assert!(most <= 4 * LIMIT + MAX_BURST, "{most} requests in 4 s");
    assert!(most >= LIMIT, "{most} requests in 4 s");
    let served = statuses.iter().filter(|status| status.is_success());
    assert_eq!(served.count(), statuses.len(), "others have capacity");
}

/// Guards against a daemon that forgets the rate limit of its endpoint when it restarts.
#[tokio::test]
async fn restarted_daemon_keeps_the_rate_limit_that_other_daemons_know() {
    let mut cluster = TestCluster::start(1).await;
    let (first, second) = (cluster.add_daemon().await, cluster.add_daemon().await);
    let limited = cluster.endpoints[0].clone();
    limited.state_in_answers(LIMIT_LINE);
    limited.script(&vec![
        Behavior::AnswerAfter(Duration::from_millis(900));
        2_000
    ]);
    let others = [first, second].map(|number| cluster.daemons[number].shared().settings.outbound);
    send_load(&others, Duration::from_secs(1)).await;
    sleep(SETTLING_TIME).await;
    let from = Instant::now();
    for _ in 0..4 {
        cluster.restart_daemon(0).await;
        send_load(&others, Duration::from_millis(700)).await;
    }
    let most = most_in_window(&arrival_times(&limited), from);
    assert!(most <= 4 * LIMIT + MAX_BURST, "{most} requests in 4 s");
}

/// Guards against new requests to an endpoint whose answers state that it drains, while its heartbeats say ready.
#[tokio::test]
async fn endpoint_that_states_in_an_answer_that_it_drains_gets_no_new_requests() {
    let cluster = TestCluster::start(3).await;
    let draining = &cluster.endpoints[0];
    send_load(&outbound(&cluster), Duration::from_millis(300)).await;
    draining.state_in_answers(DRAIN_LINE);
    send_load(&outbound(&cluster), SETTLING_TIME).await;
    let before = draining.arrivals().len();
    let statuses = send_load(&outbound(&cluster), Duration::from_secs(1)).await;
    assert_eq!(draining.arrivals().len(), before);
    let served = statuses.iter().filter(|status| status.is_success());
    assert_eq!(served.count(), statuses.len(), "others have capacity");
}

/// Guards against a daemon that passed a drain notice on and sends to the endpoint again, because neither the control
/// group nor the restarted daemon beside the endpoint knows of the notice.
#[tokio::test]
async fn daemon_that_passed_on_a_drain_notice_remembers_it_alone() {
    let mut cluster = TestCluster::start(1).await;
    let other = cluster.add_daemon().await;
    let address = [cluster.daemons[other].shared().settings.outbound];
    let draining = cluster.endpoints[0].clone();
    send_load(&address, Duration::from_millis(100)).await;
    cluster.stop_replica().await;
    draining.state_in_answers(DRAIN_LINE);
    send_load(&address, Duration::from_millis(100)).await;
    let settings = cluster.kill_daemon(0);
    cluster.start_replica().await;
    cluster.insert_daemon(0, settings).await;
    let before = draining.arrivals().len();
    let statuses = send_load(&address, Duration::from_millis(500)).await;
    assert_eq!(draining.arrivals().len(), before);
    let refused = statuses
        .iter()
        .filter(|status| **status == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.count(), statuses.len());
}

/// What the daemon `number` knows of the load that the first endpoint stated.
fn load_known_at(cluster: &TestCluster, number: usize) -> Option<StatedLoad> {
    let shared = cluster.daemons[number].shared();
    let endpoint = cluster.daemons[0].shared().local.record()?.endpoint;
    let now = shared.clock.now();
    shared.routing().directory.stated_load(now, &endpoint)
}

/// Guards against senders that don't learn what an endpoint states of its load, against statements of no use that are
/// passed on, and against an incarnation that inherits the statement of the one before.
#[tokio::test]
async fn stated_load_reaches_senders_and_ends_with_its_incarnation() {
    let mut cluster = TestCluster::start(1).await;
    let other = cluster.add_daemon().await;
    let address = [cluster.daemons[other].shared().settings.outbound];
    let useless = [
        "bw-endpoint-load: 5,1,18\r\n",
        "bw-endpoint-load: 5,1,0,250\r\n",
    ];
    for line in useless {
        cluster.endpoints[0].state_in_answers(line);
        send_load(&address, Duration::from_millis(60)).await;
        assert_eq!(load_known_at(&cluster, other), None);
    }
    let metrics = cluster.daemons[0].shared().metrics.text();
    assert!(!metrics.contains("bramblewheel_invalid_statements_total 0"));
    cluster.endpoints[0].state_in_answers(LOAD_LINE);
    send_load(&address, Duration::from_millis(60)).await;
    let stated = load_known_at(&cluster, other).expect("stated just now");
    assert_eq!(stated.statement.work_percent, 250);
    cluster.restart_under_new_id(0).await;
    send_load(&address, Duration::from_millis(60)).await;
    assert_eq!(load_known_at(&cluster, other), None);
}
