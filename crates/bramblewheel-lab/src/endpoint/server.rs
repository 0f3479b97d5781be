//! The HTTP side of an endpoint.

use super::command::EndpointChange;
use super::slots::Slot;
use super::state::{EndpointConfig, State};
use super::sub_calls::{self, Running};
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

/// Time to come back that a refusal states, in milliseconds.
const RETRY_AFTER_MS: u64 = 50;
/// Path of the load report.
const LOAD_PATH: &str = "/load";

type Answer = Response<Full<Bytes>>;

/// An endpoint that listens. Dropping it ends it at once.
#[derive(Debug)]
pub struct RunningEndpoint {
    address: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Starts an endpoint; returns once it listens. `first_number` begins the numbers of its arrivals
/// and calls, which must be unique in a run.
///
/// # Errors
/// When the address can't be listened on.
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
    let sampled = Arc::clone(&state);
    let mut stopped = stop.subscribe();
    tasks.spawn(async move {
        tokio::select! {
            () = load::sample(sampled) => {}
            _ = stopped.wait_for(|stop| *stop) => {}
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
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Carries out a change.
    pub fn change(&self, change: EndpointChange) {
        self.state.change(change);
    }

    /// A planned stop: refuses what comes and ends once what is in progress is finished.
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
    let permits = Arc::new(Semaphore::new(config.model.connections as usize));
    let connection_cost = Duration::from_micros(config.network.new_connection_us);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else { continue };
        // A connection beyond the limit is closed before a byte is read.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let (state, stop) = (Arc::clone(&state), stop.clone());
        connections.spawn(async move {
            tokio::time::sleep(connection_cost).await;
            serve(stream, state, stop).await;
            drop(permit);
        });
    }
    while connections.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, state: Arc<State>, mut stop: watch::Receiver<bool>) {
    // Without it, short answers may wait for the peer's acknowledgement.
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
        // A connection that breaks ends in an error, which concerns nobody else.
        let _ = connection.await;
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    if request.uri().path() == LOAD_PATH {
        let report = load::report(&state);
        let body = serde_json::to_vec(&report).expect("a report has a form in JSON");
        return Ok(Response::new(Full::new(Bytes::from(body))));
    }
    Ok(answer_call(state, request).await)
}

async fn answer_call(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let Some(route) = state.model.routes.iter().find(|route| route.path == path) else {
        return plain(StatusCode::NOT_FOUND, "no such path\n");
    };
    let context = match context::read(&state.model.name, path, &head.headers) {
        Ok(context) => Arc::new(context),
        Err(name) => return plain(StatusCode::BAD_REQUEST, &format!("bad header {name}\n")),
    };
    let Ok(asked) = body.collect().await else {
        return plain(StatusCode::BAD_REQUEST, "broken body\n");
    };
    let deadline = Instant::now() + Duration::from_millis(context.timeout_ms);
    let arrival = state.next_number();
    let open = OpenArrival::begin(&state, arrival, &context);
    let slot = match take_slot(&state, deadline).await {
        Ok(slot) => slot,
        Err(reason) => {
            open.refused(reason);
            return refusal(reason);
        }
    };
    let running = Running {
        arrival,
        context,
        deadline,
    };
    let done = run(&state, &running, route, slot).await;
    open.ended(!done);
    if !done {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
    }
    let body = answer::body(running.context.request, &route.path, &asked.to_bytes());
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

/// Runs a request until its deadline at the longest; whether everything was done.
async fn run(state: &Arc<State>, running: &Running, route: &RouteModel, _slot: Slot) -> bool {
    state.journal.write(Event::Ran {
        arrival: running.arrival,
    });
    let work = state.work.draw(route);
    let whole = async {
        tokio::time::sleep(work / 2).await;
        sub_calls::make(state, running, route).await?;
        tokio::time::sleep(work / 2).await;
        Ok::<(), sub_calls::SubCallFailed>(())
    };
    let ended = tokio::time::timeout_at(running.deadline, whole).await;
    matches!(ended, Ok(Ok(())))
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(text.to_owned())));
    *answer.status_mut() = status;
    answer
}

/// The proof that nothing was run.
fn refusal(reason: NotRunReason) -> Answer {
    let outcome = Outcome::NotRun {
        reason,
        retry_after: bramblewheel_types::Millis(RETRY_AFTER_MS),
    };
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
    let map = answer.headers_mut();
    set(map, headers::OUTCOME, outcome.as_str());
    set(map, headers::REASON, reason);
    set(map, headers::RETRY_AFTER_MS, RETRY_AFTER_MS);
    answer
}

/// An arrival that is neither answered nor refused yet. Dropped when the connection is closed.
struct OpenArrival {
    arrival: u64,
    journal: Journal,
    is_over: bool,
}

impl OpenArrival {
    fn begin(state: &State, arrival: u64, context: &CallContext) -> Self {
        let journal = state.journal.clone();
        let context = context.clone();
        journal.write(Event::Received { arrival, context });
        Self {
            arrival,
            journal,
            is_over: false,
        }
    }

    fn refused(mut self, reason: NotRunReason) {
        self.is_over = true;
        let arrival = self.arrival;
        self.journal.write(Event::Refused { arrival, reason });
    }

    fn ended(mut self, failed: bool) {
        self.is_over = true;
        let arrival = self.arrival;
        self.journal.write(Event::Ended { arrival, failed });
    }
}

impl Drop for OpenArrival {
    fn drop(&mut self) {
        if !self.is_over {
            let arrival = self.arrival;
            self.journal.write(Event::Cancelled { arrival });
        }
    }
}
