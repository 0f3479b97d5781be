//! A trace as it is replayed, with all names resolved.

use super::expect::Expect;
use super::fault::Fault;
use super::outcome::StatedOutcome;
use crate::requests::{FlowIndex, RunDraws, ScriptedSend, SendId, Topology, ZoneIndex};
use bramblewheel_bundle::Bundle;
use bramblewheel_core::context::Operation;
use bramblewheel_types::{Criticality, OperationKey, RequestId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// A value with the text that it was read from.
#[derive(Clone, Debug)]
pub struct Embedded<T> {
    /// The text.
    pub text: String,
    /// What it says.
    pub value: Arc<T>,
}

/// What holds for the whole trace.
#[derive(Clone, Debug)]
pub struct Head {
    /// How the trace came to be, for readers.
    pub origin: String,
    /// Seed of the daemons' own draws.
    pub seed: u64,
    /// When the replay ends.
    pub ends: Timestamp,
    /// Time that callers wait beyond their deadlines.
    pub patience: Duration,
    /// Control replicas that keep the ledger; 0 for one process that stands for them.
    pub control_replicas: u32,
    /// The deployment.
    pub deployment: Embedded<Topology>,
    /// The bundle in force.
    pub bundle: Embedded<Bundle>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// What is stated beside the outcomes of single sends.
    pub expect: Expect,
}

/// A trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// What holds for the whole trace.
    pub head: Head,
    /// Requests with their stated outcomes.
    pub requests: Vec<Request>,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the original request.
    pub id: RequestId,
    /// Kind of request.
    pub flow: FlowIndex,
    /// Name of the caller.
    pub caller: String,
    /// How long the caller waits for the whole answer to a send; that of the flow if none.
    pub deadline: Option<Duration>,
    /// Class that the caller asks for; that of the bundle if none.
    pub criticality: Option<Criticality>,
    /// Whether it belongs to a session.
    pub in_session: bool,
    /// Key of a run-once operation.
    pub operation: Option<OperationKey>,
    /// Its sends, at least one, in the order of time.
    pub sends: Vec<Send>,
}

/// One send of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// When it is sent.
    pub at: Timestamp,
    /// Gateway that it is sent to.
    pub gateway: ZoneIndex,
    /// Where the caller is, if not in the zone of the gateway.
    pub from: Option<ZoneIndex>,
    /// Id under which it is sent, if not under that of the request.
    pub id: Option<RequestId>,
    /// Number of the resend under its id; counted if none.
    pub resend: Option<u32>,
    /// How long the caller waits, if not as long as the request says.
    pub deadline: Option<Duration>,
    /// Stated outcome.
    pub outcome: Option<StatedOutcome>,
    /// What the recorded run brought where nothing is stated; for readers only.
    pub recorded: Option<StatedOutcome>,
    /// What the runs for it drew.
    pub runs: Vec<RunDraws>,
}

impl Trace {
    /// Time that a caller waits for the answer to a request.
    pub fn deadline(&self, request: &Request) -> Duration {
        let flow = &self.head.deployment.value.flows[request.flow.0];
        let of_flow = Duration::from_millis(flow.model.deadline_ms);
        request.deadline.unwrap_or(of_flow)
    }

    /// Class of a request.
    pub fn criticality(&self, request: &Request) -> Criticality {
        let flow = &self.head.deployment.value.flows[request.flow.0].model;
        let route = self.head.bundle.value.resolve(&flow.service, &flow.path);
        let of_route = route.map_or_else(Criticality::default, |route| route.criticality);
        request.criticality.unwrap_or(of_route)
    }

    /// All sends with the position of their request and their position in it, in the order in
    /// which [`SendId`]s are given.
    pub fn sends(&self) -> impl Iterator<Item = (SendId, usize, usize)> {
        let requests = self.requests.iter().enumerate();
        let positions =
            requests.flat_map(|(request, r)| (0..r.sends.len()).map(move |send| (request, send)));
        positions
            .zip(0..)
            .map(|((request, send), number)| (SendId(number), request, send))
    }

    /// What the callers are to send, in the order of time.
    pub fn script(&self) -> Vec<ScriptedSend> {
        let mut script: Vec<ScriptedSend> = self
            .sends()
            .map(|(id, request, send)| self.scripted(id, request, send))
            .collect();
        script.sort_by_key(|send| send.at);
        script
    }

    fn scripted(&self, id: SendId, position: usize, number: usize) -> ScriptedSend {
        let request = &self.requests[position];
        let send = &request.sends[number];
        let under = |send: &Send| send.id.unwrap_or(request.id);
        let earlier = request.sends[..number].iter();
        let same = earlier.filter(|earlier| under(earlier) == under(send));
        let counted = u32::try_from(same.count()).unwrap_or(u32::MAX);
        let minted = request.sends[0].at.as_millis();
        ScriptedSend {
            send: id,
            person: position as u64,
            at: send.at,
            zone: send.from.unwrap_or(send.gateway),
            gateway: send.gateway,
            request: under(send),
            resend: send.resend.unwrap_or(counted),
            flow: request.flow,
            caller: request.caller.clone(),
            timeout: send.deadline.unwrap_or_else(|| self.deadline(request)),
            criticality: request.criticality,
            in_session: request.in_session,
            operation: request.operation.clone().map(|key| Operation {
                key,
                minted_at_unix_millis: minted,
            }),
        }
    }
}
