//! The control client finds a replica that answers, and reports when the outcome of a request is unknown.

use bramblewheel_ports::claim_address;
use bramblewheel_protocol::client::{AttemptFailure, ClientError, ControlClient, RequestError};
use bramblewheel_protocol::codec::MAX_CONTROL_FRAME;
use bramblewheel_protocol::control::{
    ControlReply, ControlRequest, OperationReply, ReplyBody, RequestBody, Unavailable,
};
use bramblewheel_protocol::{read_frame, request_any, write_frame};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time-out of requests that are answered; long enough never to be reached.
const LONG: Duration = Duration::from_secs(30);
/// Time-out of requests that are never answered.
const SHORT: Duration = Duration::from_millis(100);

/// How a fake replica reacts to each request.
#[derive(Clone)]
enum Behavior {
    Answer(Box<ReplyBody>),
    AnswerAnother,
    Close,
    Silent,
}

/// Starts a fake replica that applies one behavior per connection in turn; the last one repeats.
async fn replica(behaviors: Vec<Behavior>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let last = behaviors.last().expect("at least one").clone();
        let mut behaviors = behaviors.into_iter();
        while let Ok((stream, _)) = listener.accept().await {
            let behavior = behaviors.next().unwrap_or_else(|| last.clone());
            tokio::spawn(serve(stream, behavior));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, behavior: Behavior) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        let (id, body) = match &behavior {
            Behavior::Answer(body) => (request.id, ReplyBody::clone(body)),
            Behavior::AnswerAnother => (request.id + 1, ReplyBody::Done),
            Behavior::Close => return,
            Behavior::Silent => continue,
        };
        let reply = ControlReply { id, body };
        if write_frame(&mut stream, &reply, MAX_CONTROL_FRAME)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn read_request(
    stream: &mut TcpStream,
) -> Result<Option<ControlRequest>, bramblewheel_protocol::CodecError> {
    read_frame(stream, MAX_CONTROL_FRAME).await
}

/// An address without a listener.
fn unused_address() -> SocketAddr {
    claim_address().expect("no free port")
}

fn unavailable(why: Unavailable) -> Behavior {
    Behavior::Answer(Box::new(ReplyBody::Unavailable(why)))
}

fn write_request() -> RequestBody {
    RequestBody::Operations(Vec::new())
}

fn answer() -> ReplyBody {
    ReplyBody::Operations(vec![OperationReply::Granted])
}

#[tokio::test]
async fn one_connection_carries_consecutive_requests() {
    let address = replica(vec![Behavior::Answer(Box::new(answer()))]).await;
    let mut client = ControlClient::connect(address)
        .await
        .expect("replica listens");
    for _ in 0..3 {
        let reply = client.request(write_request(), LONG).await;
        assert_eq!(reply.expect("replica answers"), answer());
    }
}

#[tokio::test]
async fn a_failed_request_makes_the_connection_unusable() {
    type Expected = fn(&ClientError) -> bool;
    let cases: [(Behavior, Expected); 3] = [
        (Behavior::Silent, |e| matches!(e, ClientError::Timeout)),
        (Behavior::Close, |e| matches!(e, ClientError::Closed)),
        (Behavior::AnswerAnother, |e| {
            matches!(e, ClientError::UnexpectedReply(2))
        }),
    ];
    for (behavior, expected) in cases {
        let wait = if matches!(behavior, Behavior::Silent) {
            SHORT
        } else {
            LONG
        };
        let address = replica(vec![behavior]).await;
        let mut client = ControlClient::connect(address)
            .await
            .expect("replica listens");
        let error = client.request(write_request(), wait).await;
        let error = error.expect_err("no answer");
        assert!(expected(&error), "{error}");
        assert!(error.may_have_run());
        let again = client.request(write_request(), LONG).await;
        assert!(matches!(again, Err(ClientError::Unusable)));
    }
}

#[tokio::test]
async fn a_request_follows_leader_hints_and_falls_back_to_other_replicas() {
    let leader = replica(vec![Behavior::Answer(Box::new(answer()))]).await;
    let hinting = replica(vec![unavailable(Unavailable::NotLeader(Some(leader)))]).await;
    let no_quorum = replica(vec![unavailable(Unavailable::NoQuorum)]).await;
    let losing = replica(vec![Behavior::Close]).await;
    let lists = [
        vec![hinting],
        vec![unused_address(), no_quorum, hinting],
        vec![losing, leader],
    ];
    for addresses in lists {
        let reply = request_any(&addresses, &write_request(), LONG).await;
        assert_eq!(reply.expect("leader answers"), answer());
    }
}

#[tokio::test]
async fn a_request_is_resent_to_a_single_replica_until_it_answers() {
    let behaviors = vec![
        Behavior::Close,
        unavailable(Unavailable::Undecided),
        unavailable(Unavailable::NotLeader(None)),
        Behavior::Answer(Box::new(answer())),
    ];
    let address = replica(behaviors).await;
    let reply = request_any(&[address], &write_request(), LONG).await;
    assert_eq!(reply.expect("fourth send is answered"), answer());
}

#[tokio::test]
async fn only_a_state_changing_request_that_may_have_run_is_undecided() {
    let silent = replica(vec![Behavior::Silent]).await;
    let undecided = replica(vec![unavailable(Unavailable::Undecided)]).await;
    let no_quorum = replica(vec![unavailable(Unavailable::NoQuorum)]).await;
    let unused = unused_address();
    let cases = [
        (vec![unused], write_request(), false),
        (vec![no_quorum, unused], write_request(), false),
        (vec![silent], write_request(), true),
        (vec![undecided, unused], write_request(), true),
        (vec![silent], RequestBody::BundleStatus, false),
        (Vec::new(), write_request(), false),
    ];
    for (addresses, body, expected) in cases {
        let error = request_any(&addresses, &body, SHORT).await;
        let error = error.expect_err("no replica answers");
        let found = matches!(error, RequestError::Undecided { .. });
        assert_eq!(found, expected, "{error}");
    }
}

#[tokio::test]
async fn the_error_lists_each_replica_with_its_failure() {
    let no_quorum = replica(vec![unavailable(Unavailable::NoQuorum)]).await;
    let unused = unused_address();
    let error = request_any(&[no_quorum, unused], &RequestBody::GroupStatus, SHORT).await;
    let Err(RequestError::NotDone { last }) = error else {
        panic!("{error:?}");
    };
    let reason = |address: SocketAddr| {
        let attempt = last.iter().find(|attempt| attempt.address == address);
        &attempt.expect("replica was asked").failure
    };
    assert!(matches!(
        reason(no_quorum),
        AttemptFailure::Unavailable(Unavailable::NoQuorum)
    ));
    assert!(matches!(
        reason(unused),
        AttemptFailure::Client(ClientError::Connect(_))
    ));
}
