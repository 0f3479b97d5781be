//! Calls that an endpoint makes through its own daemon while it runs a request.

use super::state::State;
use crate::client::{CallReply, OutgoingCall, set};
use crate::journal::{CallContext, CallerOutcome, Event, Failure, ReplyFromDaemon, SubCallEnd};
use crate::lab_headers;
use bramblewheel_protocol::headers;
use bramblewheel_sim::deployment::{RouteModel, SubCallModel};
use bytes::Bytes;
use http::HeaderMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A sub-call did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SubCallFailed;

/// The request for which sub-calls are made.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) arrival: u64,
    pub(super) context: Arc<CallContext>,
    pub(super) deadline: Instant,
}

/// Makes all sub-calls of a route; the first failure cancels the others.
pub(super) async fn make_all(
    state: &Arc<State>,
    running: &RunningRequest,
    route: &RouteModel,
) -> Result<(), SubCallFailed> {
    let calls = route.calls.iter().enumerate();
    let calls = calls.flat_map(|(index, call)| (0..call.count).map(move |n| (index, n, call)));
    if !route.parallel {
        for (index, number, call) in calls {
            let body = call_body(running, index, number);
            make_one(Arc::clone(state), running.clone(), call.clone(), body).await?;
        }
        return Ok(());
    }
    // Dropping the set, as when the request is cancelled, aborts its calls.
    let mut parallel_calls = JoinSet::new();
    for (index, number, call) in calls {
        let body = call_body(running, index, number);
        parallel_calls.spawn(make_one(
            Arc::clone(state),
            running.clone(),
            call.clone(),
            body,
        ));
    }
    while let Some(ended) = parallel_calls.join_next().await {
        ended.map_err(|_| SubCallFailed)??;
    }
    Ok(())
}

/// Body of a sub-call. It differs between the sub-calls of a request, because an equal one would count as a repeat.
fn call_body(running: &RunningRequest, index: usize, number: u32) -> Bytes {
    Bytes::from(format!("{}/{index}/{number}", running.context.path))
}

async fn make_one(
    state: Arc<State>,
    running: RunningRequest,
    model: SubCallModel,
    body: Bytes,
) -> Result<(), SubCallFailed> {
    let call = state.next_number();
    let reply = match outgoing(&state, &running, &model, call, body) {
        Some(outgoing) => state.client.call(&outgoing).await.reply,
        None => not_connected().reply,
    };
    state.journal.write(Event::SubCall(SubCallEnd {
        arrival: running.arrival,
        call,
        service: model.service,
        criticality: running.context.criticality,
        reply,
    }));
    match reply.outcome {
        CallerOutcome::Completed => Ok(()),
        _ => Err(SubCallFailed),
    }
}

fn outgoing(
    state: &State,
    running: &RunningRequest,
    model: &SubCallModel,
    call: u64,
    body: Bytes,
) -> Option<OutgoingCall> {
    let context = &running.context;
    let timeout = running.deadline.saturating_duration_since(Instant::now());
    let mut map = HeaderMap::new();
    set(&mut map, headers::SERVICE, &model.service);
    set(&mut map, headers::PARENT, context.attempt);
    set(&mut map, headers::TIMEOUT_MS, timeout.as_millis());
    set(&mut map, lab_headers::SEND, context.send);
    set(&mut map, lab_headers::CALL, call);
    set(&mut map, lab_headers::DEPTH, context.depth + 1);
    Some(OutgoingCall {
        daemon: state.daemon()?,
        path: model.path.clone(),
        headers: map,
        body,
        request: context.request,
        timeout,
    })
}

/// Reply to a sub-call that is made before the daemon's address is known.
fn not_connected() -> CallReply {
    let failure = Failure::NotConnected;
    CallReply {
        reply: ReplyFromDaemon {
            outcome: CallerOutcome::Nothing { failure },
            status: None,
            own_whole: None,
        },
        retry_after: Some(Duration::ZERO),
        session: None,
    }
}
