//! HTTP server of an endpoint.

use super::command::EndpointChange;
use super::slots::Slot;
use super::state::{EndpointConfig, State};
use super::sub_calls::{self, RunningRequest};
use super::{context, load};
use crate::answer;
use crate::client::set;
use crate::journal::{CallContext, Event, Journal};
use bramblewheel_protocol::headers;
use bramblewheel_sim::deployment::RouteModel;
use bramblewheel_types::{NotRunReason, Outcome};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time after which a refused request may be retried, as stated in the refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 50;
/// Path of the load report.
const LOAD_PATH: &str = "/load";

type Answer = Response<Full<Bytes>>;

/// An endpoint that is listening. Dropping it aborts all its tasks.
#[derive(Debug)]
pub struct RunningEndpoint {
    address: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Starts an endpoint; returns once it listens. `first_number` is the first number of its arrivals and calls, which
/// must be unique in a run.
///
/// # Errors
/// The operating system's error when the address can't be bound.
pub async fn start(
    config: &EndpointConfig,
    first_number: u64,
    journal: Journal,
) -> io::Result<RunningEndpoint> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let state = Arc::new(State::new(config, first_number, journal));
    let stop = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(
        listener,
        Arc::clone(&state),
        config.clone(),
        stop.subscribe(),
    ));
    let sampled_state = Arc::clone(&state);
    let mut stop_receiver = stop.subscribe();
    tasks.spawn(async move {
        tokio::select! {
            () = load::sample(sampled_state) => {}
            _ = stop_receiver.wait_for(|stop| *stop) => {}
        }
    });
    Ok(RunningEndpoint {
        address,
        state,
        stop,
        tasks,
    })
}

impl RunningEndpoint {
    /// Address of its listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies a change.
    pub fn change(&self, change: EndpointChange) {
        self.state.change(change);
    }

    /// Planned stop: refuses new requests and returns when those in progress have ended.
    pub async fn stop(mut self) {
        self.state.change(EndpointChange::Leave);
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn accept(
    listener: TcpListener,
    state: Arc<State>,
    config: EndpointConfig,
    mut stop: watch::Receiver<bool>,
) {
    let free_connections = Arc::new(Semaphore::new(config.model.connections as usize));
    let connection_setup = Duration::from_micros(config.network.new_connection_us);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else { continue };
        // A connection above the limit is closed before anything is read from it.
        let Ok(permit) = Arc::clone(&free_connections).try_acquire_owned() else {
            continue;
        };
        let (state, stop) = (Arc::clone(&state), stop.clone());
        connections.spawn(async move {
            tokio::time::sleep(connection_setup).await;
            serve(stream, state, stop).await;
            drop(permit);
        });
    }
    while connections.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, state: Arc<State>, mut stop: watch::Receiver<bool>) {
    // With Nagle's algorithm, short answers may be delayed until the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle(Arc::clone(&state), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // The error of a broken connection concerns this connection only.
        let _ = connection.await;
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    if request.uri().path() == LOAD_PATH {
        let report = load::report(&state);
        let body = serde_json::to_vec(&report).expect("a load report can be serialized as JSON");
        return Ok(Response::new(Full::new(Bytes::from(body))));
    }
    Ok(answer_request(state, request).await)
}

async fn answer_request(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let Some(route) = state.model.routes.iter().find(|route| route.path == path) else {
        return plain_answer(StatusCode::NOT_FOUND, "no such path\n");
    };
    let context = match context::read(&state.model.name, path, &head.headers) {
        Ok(context) => Arc::new(context),
        Err(name) => return plain_answer(StatusCode::BAD_REQUEST, &format!("bad header {name}\n")),
    };
    let Ok(request_body) = body.collect().await else {
        return plain_answer(StatusCode::BAD_REQUEST, "broken body\n");
    };
    let deadline = Instant::now() + Duration::from_millis(context.timeout_ms);
    let arrival = state.next_number();
    let guard = ArrivalGuard::begin(&state, arrival, &context);
    let slot = match take_slot(&state, deadline).await {
        Ok(slot) => slot,
        Err(reason) => {
            guard.refused(reason);
            return refusal(reason);
        }
    };
    let running = RunningRequest {
        arrival,
        context,
        deadline,
    };
    let is_complete = run(&state, &running, route, slot).await;
    guard.ended(!is_complete);
    if !is_complete {
        return plain_answer(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
    }
    let body = answer::body(
        running.context.request,
        &route.path,
        &request_body.to_bytes(),
    );
    Response::new(Full::new(Bytes::from(body)))
}

async fn take_slot(state: &State, deadline: Instant) -> Result<Slot, NotRunReason> {
    if state.is_leaving() {
        return Err(NotRunReason::Draining);
    }
    match tokio::time::timeout_at(deadline, state.slots.take()).await {
        Ok(Ok(slot)) => Ok(slot),
        Ok(Err(_full)) => Err(NotRunReason::Overloaded),
        Err(_) => Err(NotRunReason::DeadlineExceeded),
    }
}

/// Runs a request until its deadline at the latest. Returns whether all work and sub-calls were completed.
async fn run(
    state: &Arc<State>,
    running: &RunningRequest,
    route: &RouteModel,
    _slot: Slot,
) -> bool {
    state.journal.write(Event::Ran {
        arrival: running.arrival,
    });
    let work = state.work.draw(route);
    let work_and_calls = async {
        tokio::time::sleep(work / 2).await;
        sub_calls::make_all(state, running, route).await?;
        tokio::time::sleep(work / 2).await;
        Ok::<(), sub_calls::SubCallFailed>(())
    };
    let ended = tokio::time::timeout_at(running.deadline, work_and_calls).await;
    matches!(ended, Ok(Ok(())))
}

fn plain_answer(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(text.to_owned())));
    *answer.status_mut() = status;
    answer
}

/// Answer that states that the request was not run.
fn refusal(reason: NotRunReason) -> Answer {
    let outcome = Outcome::NotRun {
        reason,
        retry_after: bramblewheel_types::Millis(RETRY_AFTER_MS),
    };
    let mut answer = plain_answer(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
    let map = answer.headers_mut();
    set(map, headers::OUTCOME, outcome.as_str());
    set(map, headers::REASON, reason);
    set(map, headers::RETRY_AFTER_MS, RETRY_AFTER_MS);
    answer
}

/// An arrival that is neither answered nor refused yet. If it is dropped before, because the connection was closed,
/// the journal records a cancellation.
struct ArrivalGuard {
    arrival: u64,
    journal: Journal,
    has_ended: bool,
}

impl ArrivalGuard {
    fn begin(state: &State, arrival: u64, context: &CallContext) -> Self {
        let journal = state.journal.clone();
        let context = context.clone();
        journal.write(Event::Received { arrival, context });
        Self {
            arrival,
            journal,
            has_ended: false,
        }
    }

    fn refused(mut self, reason: NotRunReason) {
        self.has_ended = true;
        let arrival = self.arrival;
        self.journal.write(Event::Refused { arrival, reason });
    }

    fn ended(mut self, failed: bool) {
        self.has_ended = true;
        let arrival = self.arrival;
        self.journal.write(Event::Ended { arrival, failed });
    }
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            let arrival = self.arrival;
            self.journal.write(Event::Cancelled { arrival });
        }
    }
}
