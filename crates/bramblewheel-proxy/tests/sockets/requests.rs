//! Requests over sockets: outcomes that hold whatever the endpoint does.

use crate::support::endpoint::Act;
use crate::support::{Mesh, eventually};
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName};
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

fn arrivals(mesh: &Mesh) -> usize {
    let endpoints = mesh.endpoints.iter();
    endpoints.map(|endpoint| endpoint.arrivals().len()).sum()
}

/// What the next request meets, wherever it goes.
fn script(mesh: &Mesh, acts: &[Act]) {
    for endpoint in &mesh.endpoints {
        endpoint.script(acts);
    }
}

#[tokio::test]
async fn an_answer_comes_back_unchanged_from_either_side() {
    let mesh = Mesh::start(2).await;
    for number in 0..10 {
        let id = format!("r-{number}");
        let answer = mesh
            .call(number % 2, "/safe/item", &id)
            .await
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        let proof = answer.headers.get("bw-proof").expect("a proof");
        let proof = proof.to_str().expect("text");
        assert_eq!(answer.body, Bytes::from(format!("by {proof} for {id}")));
    }
    let all: Vec<_> = mesh.endpoints.iter().flat_map(|e| e.arrivals()).collect();
    for arrival in &all {
        assert_eq!(arrival.headers["bw-caller-service"], "kassa");
        let left: u64 = arrival.headers["bw-remaining-ms"]
            .parse()
            .expect("a number");
        assert!(left <= 2_000, "the route's time-out bounds it");
    }
    for (number, endpoint) in mesh.endpoints.iter().enumerate() {
        for arrival in endpoint.arrivals() {
            assert_eq!(
                arrival.headers["bw-expected-endpoint"],
                format!("e-{number}")
            );
        }
    }
}

#[tokio::test]
async fn headers_of_this_layer_can_not_be_set_from_outside() {
    let mesh = Mesh::start(1).await;
    let headers = [
        ("bw-request-id", "r-1"),
        ("bw-caller-service", "somebody"),
        ("bw-expected-endpoint", "e-9"),
        ("bw-rank", "0"),
        ("x-own", "kept"),
    ];
    let answer = mesh.call_with(0, "/safe/", &headers, Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    let arrival = &mesh.endpoints[0].arrivals()[0];
    assert_eq!(arrival.headers["bw-caller-service"], "kassa");
    assert_eq!(arrival.headers["bw-expected-endpoint"], "e-0");
    assert_eq!(arrival.headers["x-own"], "kept");
}

#[tokio::test]
async fn without_a_route_or_an_id_nothing_is_sent() {
    let mesh = Mesh::start(1).await;
    let answer = mesh.call(0, "/other/", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let answer = mesh.call_with(0, "/safe/", &[], Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::BAD_REQUEST);
    assert_eq!(arrivals(&mesh), 0);
}

/// Whatever may have run is not sent again where it may run only once, and is not told as not run.
#[tokio::test]
async fn what_may_run_only_once_is_sent_once() {
    for act in [Act::Lose, Act::CutShort, Act::AnswerAnother, Act::NoProof] {
        let mesh = Mesh::start(2).await;
        script(&mesh, std::slice::from_ref(&act));
        let answer = mesh.call(0, "/once/pay", "r-1").await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{act:?}");
        assert!(!answer.headers.contains_key("retry-after"), "{act:?}");
        assert_eq!(arrivals(&mesh), 1, "{act:?}");
    }
}

#[tokio::test]
async fn what_may_be_repeated_is_sent_to_another_endpoint() {
    for act in [Act::Lose, Act::CutShort, Act::AnswerAnother, Act::NoProof] {
        let mesh = Mesh::start(2).await;
        mesh.endpoints[0].script(std::slice::from_ref(&act));
        mesh.endpoints[1].script(&[]);
        for number in 0..4 {
            let id = format!("r-{number}");
            let answer = mesh.call(0, "/safe/item", &id).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{act:?}");
            assert!(answer.body.ends_with(id.as_bytes()), "{act:?}");
        }
    }
}

/// No more endpoints than the route allows, even if all of them fail.
#[tokio::test]
async fn attempts_are_bounded_by_the_route() {
    let mesh = Mesh::start(3).await;
    script(&mesh, &[Act::Lose]);
    let answer = mesh.call(0, "/safe/item", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(arrivals(&mesh), 2);
}

/// A proof that it did not run lets even what may run only once go elsewhere.
#[tokio::test]
async fn a_refusal_with_proof_is_sent_elsewhere_or_told_as_not_run() {
    let mesh = Mesh::start(2).await;
    script(&mesh, &[Act::NotRun]);
    let answer = mesh.call(0, "/once/pay", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let after = answer
        .headers
        .get("retry-after")
        .expect("when to come back");
    let after: f64 = after.to_str().expect("text").parse().expect("seconds");
    assert!(after > 0.0 && after < 1.0);
    assert_eq!(arrivals(&mesh), 2);
    let answer = mesh.call(0, "/once/pay", "r-2").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn an_error_of_the_endpoint_is_passed_on() {
    let mesh = Mesh::start(2).await;
    script(&mesh, &[Act::Fail]);
    let answer = mesh.call(0, "/once/pay", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.body, Bytes::from_static(b"failed"));
    assert!(answer.headers.contains_key("bw-proof"));
    assert_eq!(arrivals(&mesh), 1);
}

/// An error of one endpoint is not the last word where the request may be repeated; the second error
/// is.
#[tokio::test]
async fn a_failed_request_that_may_be_repeated_is_sent_elsewhere_once() {
    let mesh = Mesh::start(3).await;
    mesh.endpoints[0].script(&[Act::Fail]);
    let answer = mesh.call(0, "/safe/item", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let mesh = Mesh::start(3).await;
    script(&mesh, &[Act::Fail]);
    let answer = mesh.call(0, "/safe/item", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.headers.contains_key("bw-proof"));
    assert_eq!(arrivals(&mesh), 2);
}

/// The second answer to one request is never given to the next.
/// All calls of the request would be made again, of which one has just found no room.
#[tokio::test]
async fn a_request_that_failed_for_want_of_room_below_is_not_sent_elsewhere() {
    let mesh = Mesh::start(2).await;
    for daemon in &mesh.daemons {
        let shared = daemon.shared();
        // Ahead of the clock, so that it is recent whenever the answer comes.
        let at = shared.clock.now() + Duration::from_secs(60);
        let short = ServiceName::new("deep").expect("a name");
        shared.local.note_call_without_capacity(at, short);
    }
    script(&mesh, &[Act::Fail]);
    let answer = mesh.call(0, "/safe/item", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(arrivals(&mesh), 1);
}

#[tokio::test]
async fn a_surplus_answer_reaches_nobody() {
    let mesh = Mesh::start(1).await;
    for number in 0..20 {
        mesh.endpoints[0].script(&[Act::AnswerTwice]);
        let id = format!("r-{number}");
        let answer = mesh.call(0, "/safe/item", &id).await.expect("an answer");
        if answer.status == StatusCode::OK {
            assert!(answer.body.ends_with(id.as_bytes()), "{answer:?}");
        }
    }
}

#[tokio::test]
async fn an_endpoint_that_was_replaced_gets_nothing_more() {
    let mesh = Mesh::start(1).await;
    mesh.endpoints[0].script(&[Act::OtherEndpoint]);
    let answer = mesh.call(0, "/once/pay", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let answer = mesh.call(0, "/once/pay", "r-2").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(arrivals(&mesh), 1);
}

/// Long bodies pass both ways, and one that breaks is never whole for the caller.
#[tokio::test]
async fn long_bodies_are_passed_on() {
    const LONG: usize = 3 * 1024 * 1024;
    let mesh = Mesh::start(2).await;
    script(&mesh, &[Act::Long(LONG)]);
    let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "30000")];
    let body = Bytes::from(vec![b'y'; LONG]);
    let answer = mesh.call_with(0, "/once/", &headers, body).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (StatusCode::OK, LONG));
    let all: Vec<_> = mesh.endpoints.iter().flat_map(|e| e.arrivals()).collect();
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].body_bytes, LONG);
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work() {
    let mesh = Mesh::start(2).await;
    script(&mesh, &[Act::Hang]);
    {
        let call = mesh.call(0, "/safe/item", "r-1");
        let mut call = Box::pin(call);
        let arrived = eventually(|| arrivals(&mesh) == 1);
        tokio::select! {
            answer = &mut call => panic!("no answer was due: {answer:?}"),
            () = arrived => {}
        }
    }
    eventually(|| mesh.endpoints.iter().map(|e| e.cancelled()).sum::<usize>() == 1).await;
    assert_eq!(arrivals(&mesh), 1);
}

/// The answer at the route's time-out says that the request may have run.
#[tokio::test]
async fn a_request_that_hangs_is_answered_at_its_time_out() {
    let mesh = Mesh::start(1).await;
    script(&mesh, &[Act::Hang]);
    let answer = mesh.call(0, "/safe/item", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
}

/// Once its leaving is acknowledged, an endpoint gets nothing, whatever late words come.
#[tokio::test]
async fn an_endpoint_that_leaves_gets_nothing_after_the_acknowledgement() {
    let mesh = Mesh::start(2).await;
    mesh.say(0, EndpointState::Draining, 5).await;
    mesh.say(0, EndpointState::Ready, 3).await;
    mesh.say(0, EndpointState::Ready, 9).await;
    for number in 0..10 {
        let id = format!("r-{number}");
        let answer = mesh.call(0, "/once/pay", &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(mesh.endpoints[0].arrivals().len(), 0);
    assert_eq!(mesh.endpoints[1].arrivals().len(), 10);
}

#[tokio::test]
async fn a_new_table_reaches_the_daemons_without_a_restart() {
    let mut mesh = Mesh::start(1).await;
    for _ in 0..5 {
        mesh.replace_table().await;
    }
    let shared = mesh.daemons[0].shared();
    eventually(|| {
        shared
            .router
            .load()
            .as_ref()
            .is_some_and(|r| r.version().0 == 6)
    })
    .await;
}

/// A machine that is frozen or cut off takes requests and says nothing: what may run only once must
/// not be sent there.
#[tokio::test]
async fn a_daemon_that_says_nothing_gets_no_request() {
    let mesh = Mesh::start(1).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let silent = silent.expect("a free port");
    let record = EndpointRecord {
        endpoint: EndpointId::new("e-silent").expect("a name"),
        daemon: DaemonId::new("daemon-silent").expect("a name"),
        address: silent.local_addr().expect("bound"),
        ..mesh.record(0, EndpointState::Ready, 1)
    };
    let body = RequestBody::RegisterEndpoint(Box::new(record));
    let reply = mesh.control.request(&body, crate::support::PATIENCE).await;
    let ready = ReplyBody::EndpointRegistered(EndpointState::Ready);
    assert_eq!(reply.expect("decided"), ready);
    let shared = mesh.daemons[0].shared();
    let kassa = ServiceName::new("kassa").expect("a name");
    eventually(|| shared.routing().directory.endpoint_count(&kassa) == 2).await;
    for number in 0..12 {
        let path = if number % 2 == 0 {
            "/once/pay"
        } else {
            "/safe/item"
        };
        let id = format!("r-{number}");
        let answer = mesh.call(0, path, &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{number}");
    }
}

/// A caller's connection that rests for longer than the table allows is closed, one in use is not.
#[tokio::test]
async fn connections_that_rest_too_long_are_closed() {
    let mesh = Mesh::start(1).await;
    let address = mesh.daemons[0].shared().settings.outbound;
    let mut resting = TcpStream::connect(address).await.expect("it listens");
    mesh.endpoints[0].script(&[Act::Hang]);
    let answer = mesh.call(0, "/safe/item", "r-1").await.expect("an answer");
    // The request took longer than a connection may rest.
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let closed = tokio::time::timeout(crate::support::PATIENCE, resting.read(&mut [0])).await;
    assert_eq!(closed.expect("closed").ok(), Some(0));
}

/// The work of a whole tree is lost with a call that is rejected, so that one endpoint that rejects some of
/// what it gets is sent it again; no further endpoints are.
#[tokio::test]
async fn a_call_that_endpoints_reject_is_sent_to_the_same_ones_again() {
    let mesh = Mesh::start_with(3, "stall=kmgjqnirth5mgjy5rcpi").await;
    // Each of them allows some repeats; not many, since the daemon has just started.
    for number in 0..240 {
        let id = format!("before-{number}");
        mesh.call(0, "/public/", &id).await.expect("an answer");
    }
    let before = arrivals(&mesh);
    let counts = |mesh: &Mesh| {
        mesh.endpoints
            .iter()
            .map(|e| e.arrivals().len())
            .collect::<Vec<_>>()
    };
    let counts_before = counts(&mesh);
    script(&mesh, &[Act::NotRun, Act::NotRun]);
    // On a public route without a key: a call of an endpoint.
    let answer = mesh.call(0, "/public/", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let counts = counts(&mesh);
    let met = counts
        .iter()
        .zip(&counts_before)
        .filter(|(now, then)| now > then);
    assert_eq!(met.count(), 2, "no more endpoints than the route allows");
    assert!(arrivals(&mesh) > before + 2);
}
