//! A trace with all names resolved, ready for replay.

use super::expect::Expect;
use super::fault::Fault;
use super::outcome::StatedOutcome;
use crate::requests::{FlowIndex, RunDraws, ScriptedSend, SendId, Topology, ZoneIndex};
use bramblewheel_bundle::Bundle;
use bramblewheel_core::context::Operation;
use bramblewheel_types::{Criticality, OperationKey, RequestId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// A parsed value with its source text.
#[derive(Clone, Debug)]
pub struct Embedded<T> {
    /// Source text.
    pub text: String,
    /// Parsed value.
    pub value: Arc<T>,
}

/// Settings, faults and expectations of a whole trace.
#[derive(Clone, Debug)]
pub struct Head {
    /// Origin of the trace, as text for readers.
    pub origin: String,
    /// Seed of the daemons' random draws.
    pub seed: u64,
    /// Virtual time at which the replay ends.
    pub ends: Timestamp,
    /// Time that callers wait after their deadlines.
    pub patience: Duration,
    /// Number of control replicas that keep the ledger; 0 for a single process in their place.
    pub control_replicas: u32,
    /// The deployment.
    pub deployment: Embedded<Topology>,
    /// The bundle in force.
    pub bundle: Embedded<Bundle>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Expectations beyond the outcomes of single sends.
    pub expect: Expect,
}

/// A trace, ready for replay.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Settings, faults and expectations.
    pub head: Head,
    /// Requests with their stated outcomes.
    pub requests: Vec<Request>,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Request id of the first send.
    pub id: RequestId,
    /// Flow, the kind of request.
    pub flow: FlowIndex,
    /// Name of the caller.
    pub caller: String,
    /// Time that the caller waits for the whole answer to a send; defaults to the deadline of the flow.
    pub deadline: Option<Duration>,
    /// Class that the caller asks for; defaults to the class in the bundle.
    pub criticality: Option<Criticality>,
    /// Whether it belongs to a session.
    pub in_session: bool,
    /// Key of a run-once operation.
    pub operation: Option<OperationKey>,
    /// Sends ordered by time; at least one.
    pub sends: Vec<Send>,
}

/// One send of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Virtual time at which it is sent.
    pub at: Timestamp,
    /// Zone of the gateway that it is sent to.
    pub gateway: ZoneIndex,
    /// Zone of the caller if it differs from the gateway's.
    pub from: Option<ZoneIndex>,
    /// Request id of this send if it differs from the request's.
    pub id: Option<RequestId>,
    /// Number of the resend with the same id; `None` if it is to be counted.
    pub resend: Option<u32>,
    /// Time that the caller waits if it differs from the request's deadline.
    pub deadline: Option<Duration>,
    /// Stated outcome.
    pub outcome: Option<StatedOutcome>,
    /// Outcome in the recorded run where none is stated; for readers only.
    pub recorded: Option<StatedOutcome>,
    /// Random draws of the runs that this send causes.
    pub runs: Vec<RunDraws>,
}

impl Trace {
    /// Time that a caller waits for the answer to a request.
    pub fn deadline(&self, request: &Request) -> Duration {
        let flow = &self.head.deployment.value.flows[request.flow.0];
        let flow_deadline = Duration::from_millis(flow.model.deadline_ms);
        request.deadline.unwrap_or(flow_deadline)
    }

    /// Class of a request.
    pub fn criticality(&self, request: &Request) -> Criticality {
        let flow = &self.head.deployment.value.flows[request.flow.0].model;
        let route = self.head.bundle.value.resolve(&flow.service, &flow.path);
        let route_criticality = route.map_or_else(Criticality::default, |route| route.criticality);
        request.criticality.unwrap_or(route_criticality)
    }

    /// All sends in order of their [`SendId`]s: id, position of the request, position of the send in the request.
    pub fn sends(&self) -> impl Iterator<Item = (SendId, usize, usize)> {
        let requests = self.requests.iter().enumerate();
        let positions =
            requests.flat_map(|(request, r)| (0..r.sends.len()).map(move |send| (request, send)));
        positions
            .zip(0..)
            .map(|((request, send), number)| (SendId(number), request, send))
    }

    /// The sends of all callers, ordered by time.
    pub fn script(&self) -> Vec<ScriptedSend> {
        let mut script: Vec<ScriptedSend> = self
            .sends()
            .map(|(id, request, send)| self.scripted_send(id, request, send))
            .collect();
        script.sort_by_key(|send| send.at);
        script
    }

    fn scripted_send(&self, id: SendId, position: usize, number: usize) -> ScriptedSend {
        let request = &self.requests[position];
        let send = &request.sends[number];
        let id_of = |send: &Send| send.id.unwrap_or(request.id);
        let earlier = request.sends[..number].iter();
        let same_id = earlier.filter(|earlier| id_of(earlier) == id_of(send));
        let counted = u32::try_from(same_id.count()).unwrap_or(u32::MAX);
        let minted_at = request.sends[0].at.as_millis();
        ScriptedSend {
            send: id,
            person: position as u64,
            at: send.at,
            zone: send.from.unwrap_or(send.gateway),
            gateway: send.gateway,
            request: id_of(send),
            resend: send.resend.unwrap_or(counted),
            flow: request.flow,
            caller: request.caller.clone(),
            timeout: send.deadline.unwrap_or_else(|| self.deadline(request)),
            criticality: request.criticality,
            in_session: request.in_session,
            operation: request.operation.clone().map(|key| Operation {
                key,
                minted_at_unix_millis: minted_at,
            }),
        }
    }
}
