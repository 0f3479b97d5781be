//! Requests that a caller sends before the answers to the ones before them on its connection.

use crate::support::endpoint::{Arrival, Behavior};
use crate::support::{CALLER_IDLE_TIMEOUT, HOST, TEST_TIMEOUT, TestCluster, wait_until};
use bramblewheel_proxy::http::ahead::StartedAhead;
use bramblewheel_proxy::http::body::ReceivedBody;
use bramblewheel_proxy::http::server::Handler;
use bramblewheel_proxy::outbound::Outbound;
use bramblewheel_proxy::{AheadSettings, Settings};
use http::header::RETRY_AFTER;
use http::{Request, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SLOW: Duration = Duration::from_millis(200);

/// A caller that writes and reads the bytes of one connection itself.
struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

/// An answer as read from the connection.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    status: u16,
    body: String,
    is_closing: bool,
}

impl Caller {
    async fn connect(cluster: &TestCluster) -> Self {
        let address = cluster.daemons[0].shared().settings.outbound;
        let stream = TcpStream::connect(address).await.expect("it listens");
        let received = Vec::new();
        Self { stream, received }
    }

    async fn send(&mut self, requests: &str) {
        let written = self.stream.write_all(requests.as_bytes()).await;
        written.expect("the connection is open");
    }

    /// The next answer; `None` if the connection ends before it is complete.
    async fn answer(&mut self) -> Option<Answer> {
        let reading = timeout(TEST_TIMEOUT, self.read_answer());
        reading.await.expect("an answer or a close in time")
    }

    async fn read_answer(&mut self) -> Option<Answer> {
        let head = loop {
            let end = self.received.windows(4).position(|end| end == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.received.drain(..end + 4).collect();
                break String::from_utf8_lossy(&head).to_lowercase();
            }
            self.read_more().await?;
        };
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find_map(|(stated, value)| (stated == name).then_some(value))
        };
        let length = header("content-length").map_or(0, |text| text.parse().expect("a number"));
        while self.received.len() < length {
            self.read_more().await?;
        }
        let body: Vec<u8> = self.received.drain(..length).collect();
        Some(Answer {
            status: head[9..12].parse().expect("a status"),
            body: String::from_utf8_lossy(&body).into_owned(),
            is_closing: header("connection") == Some("close"),
        })
    }

    async fn read_more(&mut self) -> Option<()> {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).await.ok()?;
        self.received.extend_from_slice(&buffer[..count]);
        (count > 0).then_some(())
    }
}

fn request(route: &str, id: &str) -> String {
    let method = if route == "once" { "POST" } else { "GET" };
    format!(
        "{method} /{route}/item HTTP/1.1\r\nhost: {HOST}\r\nbw-request-id: {id}\r\nbw-remaining-ms: 3000\r\n\r\n"
    )
}

fn requests(route: &str, ids: std::ops::Range<usize>) -> String {
    ids.map(|number| request(route, &format!("r-{number}")))
        .collect()
}

fn arrivals(cluster: &TestCluster) -> Vec<Arrival> {
    let endpoints = cluster.endpoints.iter();
    let mut all: Vec<_> = endpoints.flat_map(|endpoint| endpoint.arrivals()).collect();
    all.sort_by_key(|arrival| arrival.received_at);
    all
}

fn script_all(cluster: &TestCluster, behaviors: &[Behavior]) {
    for endpoint in &cluster.endpoints {
        endpoint.script(behaviors);
    }
}

/// Guards against requests that wait unread for the answers before them, and against answers in the order of their ends.
#[tokio::test]
async fn requests_sent_ahead_run_together_and_are_answered_in_order() {
    let cluster = TestCluster::start(2).await;
    script_all(&cluster, &[Behavior::AnswerAfter(SLOW * 4)]);
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&requests("safe", 0..5)).await;
    wait_until(|| arrivals(&cluster).len() == 5).await;
    let arrivals = arrivals(&cluster);
    assert!(arrivals[4].received_at - arrivals[0].received_at < SLOW * 4);
    for number in 0..5 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(
            answer.body.ends_with(&format!("for r-{number}")),
            "{answer:?}"
        );
    }
    let metrics = cluster.daemons[0].shared().metrics.text();
    assert!(metrics.contains("bramblewheel_requests_ahead_total{event=\"started\"} 4"));
}

/// Guards against a request that may run only once being started before the answers to those before it, and against
/// requests that overtake it.
#[tokio::test]
async fn request_that_may_run_once_waits_and_holds_those_behind_it() {
    let cluster = TestCluster::start(1).await;
    script_all(&cluster, &[const { Behavior::AnswerAfter(SLOW) }; 3]);
    let mut caller = Caller::connect(&cluster).await;
    let sent = [
        request("safe", "r-0"),
        request("once", "r-1"),
        request("safe", "r-2"),
    ];
    caller.send(&sent.concat()).await;
    for number in 0..3 {
        let answer = caller.answer().await.expect("an answer");
        assert!(
            answer.body.ends_with(&format!("for r-{number}")),
            "{answer:?}"
        );
    }
    let times: Vec<_> = arrivals(&cluster)
        .iter()
        .map(|arrival| arrival.received_at)
        .collect();
    assert!(times[1] - times[0] >= SLOW && times[2] - times[1] >= SLOW);
}

/// Guards against endpoints that go on working for a caller that has closed its connection.
#[tokio::test]
async fn requests_of_a_caller_that_goes_away_are_cancelled() {
    let cluster = TestCluster::start(1).await;
    script_all(&cluster, &[const { Behavior::Hang }; 5]);
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&requests("safe", 0..5)).await;
    wait_until(|| arrivals(&cluster).len() == 5).await;
    drop(caller);
    wait_until(|| cluster.endpoints[0].cancelled() == 5).await;
}

/// Guards against a planned stop that cuts off requests which were started ahead.
#[tokio::test]
async fn planned_stop_answers_the_requests_that_were_started() {
    let mut cluster = TestCluster::start(2).await;
    for endpoint in &cluster.endpoints {
        endpoint.script(&[const { Behavior::AnswerAfter(SLOW) }; 4]);
    }
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&requests("safe", 0..4)).await;
    wait_until(|| arrivals(&cluster).len() == 4).await;
    let stopping = tokio::spawn(cluster.daemons.remove(0).stop());
    for number in 0..4 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 200, "{number}");
        assert_eq!(answer.is_closing, number == 3, "{number}");
    }
    assert_eq!(caller.answer().await, None);
    stopping.await.expect("a planned stop");
}

/// Guards against a started request that runs on behind an answer which closes the connection, and against a request
/// that may run once being sent there.
#[tokio::test]
async fn requests_behind_an_answer_that_closes_are_not_run() {
    let cluster = TestCluster::start(1).await;
    let mut caller = Caller::connect(&cluster).await;
    let closing = request("safe", "r-0").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let sent = [closing, request("once", "r-1"), request("safe", "r-2")];
    caller.send(&sent.concat()).await;
    let answer = caller.answer().await.expect("an answer");
    assert!(answer.is_closing);
    assert_eq!(caller.answer().await, None);
    assert_eq!(arrivals(&cluster).len(), 1);
}

/// Guards against a head that can't be read taking the answers of good requests before it along.
#[tokio::test]
async fn good_requests_before_an_invalid_head_are_answered_first() {
    let cluster = TestCluster::start(1).await;
    let mut caller = Caller::connect(&cluster).await;
    let sent = format!("{}no request\r\n\r\n", requests("safe", 0..3));
    caller.send(&sent).await;
    for number in 0..3 {
        let answer = caller.answer().await.expect("an answer");
        assert!(
            answer.body.ends_with(&format!("for r-{number}")),
            "{answer:?}"
        );
    }
    assert_eq!(caller.answer().await.map(|answer| answer.status), Some(400));
    assert_eq!(caller.answer().await, None);
}

/// Guards against a broken answer of an endpoint that affects the requests behind its own.
#[tokio::test]
async fn broken_answer_affects_only_its_request() {
    let cluster = TestCluster::start(2).await;
    script_all(&cluster, &[Behavior::CutShort, Behavior::AnswerTwice]);
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&requests("safe", 0..6)).await;
    for number in 0..6 {
        let answer = caller.answer().await.expect("an answer");
        let is_own = answer.body.ends_with(&format!("for r-{number}"));
        assert!(answer.status == 502 || is_own, "{answer:?}");
    }
}

/// Guards against a change for connections on which nothing is sent ahead.
#[tokio::test]
async fn nothing_is_started_ahead_where_each_request_follows_an_answer() {
    let cluster = TestCluster::start(1).await;
    let mut caller = Caller::connect(&cluster).await;
    for number in 0..20 {
        let route = ["safe", "once"][number % 2];
        caller.send(&request(route, &format!("r-{number}"))).await;
        let answer = caller.answer().await.expect("an answer");
        assert!(
            answer.body.ends_with(&format!("for r-{number}")),
            "{answer:?}"
        );
    }
    let metrics = cluster.daemons[0].shared().metrics.text();
    assert!(!metrics.contains("bramblewheel_requests_ahead_total{"));
}

/// Body that does not fit into the buffers of the sockets between an endpoint and a caller that does not read.
const LONG: usize = 32 << 20;

/// Guards against requests that are started behind one that may run once while its answer is still being written.
#[tokio::test]
async fn barrier_lasts_until_the_last_byte_of_its_answer() {
    let cluster = TestCluster::start(1).await;
    script_all(&cluster, &[Behavior::Long(LONG)]);
    let mut caller = Caller::connect(&cluster).await;
    let sent = request("once", "r-0") + &request("safe", "r-1");
    caller.send(&sent).await;
    wait_until(|| arrivals(&cluster).len() == 1).await;
    tokio::time::sleep(SLOW).await;
    assert_eq!(arrivals(&cluster).len(), 1);
    let long = caller.answer().await.expect("an answer");
    assert_eq!(long.body.len(), LONG);
    let answer = caller.answer().await.expect("an answer");
    assert!(answer.body.ends_with("for r-1"), "{answer:?}");
}

/// Guards against the idle time-out closing a connection whose caller reads a long answer slowly, with answers behind it.
#[tokio::test]
async fn slow_reader_keeps_the_answers_behind_a_long_one() {
    let cluster = TestCluster::start(1).await;
    script_all(&cluster, &[Behavior::Long(LONG)]);
    let mut caller = Caller::connect(&cluster).await;
    let patient = |text: String| text.replace("bw-remaining-ms: 3000", "bw-remaining-ms: 30000");
    caller.send(&patient(request("patient", "r-0"))).await;
    wait_until(|| arrivals(&cluster).len() == 1).await;
    caller.send(&patient(requests("patient", 1..4))).await;
    tokio::time::sleep(CALLER_IDLE_TIMEOUT * 2).await;
    let long = caller.answer().await.expect("an answer");
    assert_eq!(long.body.len(), LONG);
    for number in 1..4 {
        let answer = caller.answer().await.expect("an answer");
        assert!(
            answer.body.ends_with(&format!("for r-{number}")),
            "{answer:?}"
        );
    }
}

/// Guards against a caller that is not asked to close because its last answer is older than the order to stop.
#[tokio::test]
async fn planned_stop_closes_with_the_last_answer_also_if_that_was_complete_before() {
    let mut cluster = TestCluster::start(1).await;
    script_all(&cluster, &[Behavior::AnswerAfter(SLOW * 5)]);
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&request("safe", "r-0")).await;
    wait_until(|| arrivals(&cluster).len() == 1).await;
    caller.send(&requests("safe", 1..3)).await;
    wait_until(|| arrivals(&cluster).len() == 3).await;
    tokio::time::sleep(SLOW).await;
    let stopping = tokio::spawn(cluster.daemons.remove(0).stop());
    for number in 0..3 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 200, "{number}");
        assert_eq!(answer.is_closing, number == 2, "{number}");
    }
    assert_eq!(caller.answer().await, None);
    stopping.await.expect("a planned stop");
}

/// Guards against a request that is run after its time has passed, which it spent behind another one.
#[tokio::test]
async fn time_of_a_request_starts_when_its_head_is_read() {
    let cluster = TestCluster::start(1).await;
    script_all(&cluster, &[Behavior::AnswerAfter(SLOW * 3)]);
    let mut caller = Caller::connect(&cluster).await;
    let late = request("once", "r-1").replace("3000", "300");
    caller.send(&(request("safe", "r-0") + &late)).await;
    assert_eq!(caller.answer().await.map(|answer| answer.status), Some(200));
    assert_eq!(caller.answer().await.map(|answer| answer.status), Some(503));
    assert_eq!(arrivals(&cluster).len(), 1);
}

/// A cluster with one endpoint, whose daemon has these limits.
async fn cluster_with(requests_ahead: AheadSettings) -> TestCluster {
    let mut cluster = TestCluster::start(1).await;
    let settings = Settings {
        requests_ahead,
        ..cluster.kill_daemon(0)
    };
    cluster.insert_daemon(0, settings).await;
    cluster
}

/// Guards against requests that are started ahead although the settings allow none.
#[tokio::test]
async fn nothing_is_started_ahead_if_the_settings_allow_none() {
    let cluster = cluster_with(AheadSettings {
        per_connection: 0,
        ..Default::default()
    })
    .await;
    script_all(&cluster, &[Behavior::AnswerAfter(SLOW)]);
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&requests("safe", 0..2)).await;
    for number in 0..2 {
        let answer = caller.answer().await.expect("an answer");
        assert!(
            answer.body.ends_with(&format!("for r-{number}")),
            "{answer:?}"
        );
    }
    let arrivals = arrivals(&cluster);
    assert!(arrivals[1].received_at - arrivals[0].received_at >= SLOW);
}

/// Guards against a connection with many requests that takes the permits of all others.
#[tokio::test]
async fn connections_get_the_permits_of_the_daemon_in_turn() {
    let cluster = cluster_with(AheadSettings {
        per_daemon: 1,
        ..Default::default()
    })
    .await;
    script_all(&cluster, &[const { Behavior::AnswerAfter(SLOW) }; 40]);
    let mut greedy = Caller::connect(&cluster).await;
    let ids = (0..12).map(|number| request("safe", &format!("greedy-{number}")));
    greedy.send(&ids.collect::<String>()).await;
    wait_until(|| arrivals(&cluster).len() == 2).await;
    let mut other = Caller::connect(&cluster).await;
    let ids = (0..3).map(|number| request("safe", &format!("other-{number}")));
    other.send(&ids.collect::<String>()).await;
    for number in 0..3 {
        let answer = other.answer().await.expect("an answer");
        assert!(answer.body.ends_with(&format!("for other-{number}")));
    }
    let arrivals = arrivals(&cluster);
    let position = |id: &str| arrivals.iter().position(|arrival| arrival.id == id);
    let before = position("other-1").expect("it arrived");
    assert!(before <= 6, "{before} requests were started before it");
}

/// Guards against a permit that is granted to a connection which no longer needs it, and kept from all others.
#[tokio::test]
async fn permit_is_not_granted_to_a_connection_that_does_not_need_it() {
    let cluster = cluster_with(AheadSettings {
        per_daemon: 1,
        ..Default::default()
    })
    .await;
    let endpoint = &cluster.endpoints[0];
    // Each pair is sent on one connection; its second request takes the permit, waits for it, and takes it.
    endpoint.script(&[const { Behavior::AnswerAfter(SLOW.saturating_mul(4)) }; 2]);
    let mut first = Caller::connect(&cluster).await;
    first.send(&requests("safe", 0..2)).await;
    wait_until(|| arrivals(&cluster).len() == 2).await;
    endpoint.script(&[Behavior::AnswerAfter(SLOW), Behavior::Answer]);
    let mut second = Caller::connect(&cluster).await;
    second.send(&requests("safe", 2..4)).await;
    for caller in [&mut second, &mut first] {
        for _ in 0..2 {
            assert_eq!(caller.answer().await.map(|answer| answer.status), Some(200));
        }
    }
    endpoint.script(&[const { Behavior::AnswerAfter(SLOW) }; 2]);
    let mut third = Caller::connect(&cluster).await;
    third.send(&requests("safe", 4..6)).await;
    for _ in 0..2 {
        assert_eq!(third.answer().await.map(|answer| answer.status), Some(200));
    }
    let arrivals = arrivals(&cluster);
    assert!(arrivals[5].received_at - arrivals[4].received_at < SLOW);
}

/// Guards against a request that may run only once, by a table that came since it was started ahead, being run although its
/// caller may resend it.
#[tokio::test]
async fn request_started_ahead_is_not_run_if_its_route_is_no_longer_repeatable() {
    let cluster = TestCluster::start(1).await;
    let shared = Arc::clone(cluster.daemons[0].shared());
    let started = Request::get("/once/item")
        .header("host", HOST)
        .header("bw-request-id", "r-0")
        .extension(StartedAhead)
        .body(ReceivedBody::Empty)
        .expect("a valid request");
    let answer = Arc::new(Outbound::new(shared)).handle(started).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key(RETRY_AFTER));
    assert!(arrivals(&cluster).is_empty());
}

/// Guards against endpoints that go on working for a caller that has reset its connection.
#[tokio::test]
async fn requests_of_a_caller_that_resets_are_cancelled() {
    let cluster = TestCluster::start(1).await;
    script_all(&cluster, &[const { Behavior::Hang }; 5]);
    let mut caller = Caller::connect(&cluster).await;
    caller.send(&requests("safe", 0..5)).await;
    wait_until(|| arrivals(&cluster).len() == 5).await;
    caller.stream.set_zero_linger().expect("the socket is open");
    let reset_at = Instant::now();
    drop(caller);
    wait_until(|| cluster.endpoints[0].cancelled() == 5).await;
    assert!(reset_at.elapsed() < Duration::from_millis(500));
}

/// Behaviors of the endpoints on drawn connections. None of them rejects a request, so that each of a route that may run
/// once arrives at most once.
const DRAWN_BEHAVIORS: [Behavior; 4] = [
    Behavior::Answer,
    Behavior::AnswerAfter(Duration::from_millis(2)),
    Behavior::Lose,
    Behavior::CutShort,
];

/// Sends up to six requests on a connection, reads some of the answers, and closes or resets it.
async fn send_on_drawn_connection(cluster: &TestCluster, number: usize, random: &mut Pcg64Mcg) {
    let behavior = random.random_range(0..DRAWN_BEHAVIORS.len());
    cluster.endpoints[number % 2].script(&DRAWN_BEHAVIORS[behavior..=behavior]);
    let mut caller = Caller::connect(cluster).await;
    let count = random.random_range(1..=6);
    let id = |request: usize| format!("c{number}-{request}");
    let mut text = String::new();
    for number in 0..count {
        let route = ["safe", "safe", "once"][random.random_range(0..3)];
        text += &request(route, &id(number));
    }
    caller.send(&text).await;
    for number in 0..random.random_range(0..=count) {
        let Some(answer) = caller.answer().await else {
            break;
        };
        let is_own = answer.body.ends_with(&format!("for {}", id(number)));
        assert!(answer.status != 200 || is_own, "{number}: {answer:?}");
    }
    if random.random_bool(0.3) {
        caller.stream.set_zero_linger().expect("the socket is open");
    }
}

async fn check_drawn_connections(count: usize) {
    let cluster = TestCluster::start(2).await;
    let mut random = Pcg64Mcg::seed_from_u64(11);
    for number in 0..count {
        send_on_drawn_connection(&cluster, number, &mut random).await;
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for arrival in arrivals(&cluster) {
        if arrival.target.starts_with("/once/") {
            *runs.entry(arrival.id).or_default() += 1;
        }
    }
    assert!(runs.len() > count / 4, "{} ran", runs.len());
    runs.retain(|_, count| *count > 1);
    assert!(runs.is_empty(), "ran more than once: {runs:?}");
}

/// Number of drawn connections in a normal test run.
const DRAWN_CONNECTIONS: usize = 500;

/// Guards against answers out of order, and against requests that run twice although they may run once, on connections
/// that are closed or reset at any point. The environment variable states another number of connections.
#[tokio::test]
async fn drawn_connections_keep_the_order_and_run_once() {
    let stated = std::env::var("BW_DRAWN_CONNECTIONS").ok();
    let stated = stated.map(|text| text.parse().expect("a number of connections"));
    check_drawn_connections(stated.unwrap_or(DRAWN_CONNECTIONS)).await;
}
