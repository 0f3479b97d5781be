//! Test support: bundles, contexts and an in-memory network of engines.

#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod network;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_bundle::Bundle;
use bramblewheel_bundle::model::{
    AdmissionPolicy, OperatorPolicy, RequestLimits, RoutePolicy, RoutingPolicy, ServicePolicy,
};
use bramblewheel_core::action::{Action, Answer};
use bramblewheel_core::context::{CallContext, CallOrigin, CallRequest, Operation};
use bramblewheel_core::engine::{Engine, EngineConfig, LocalEndpoint};
use bramblewheel_core::event::{
    AttemptResult, DirectoryEndpoint, DirectoryUpdate, DispatchResult, Event, Feedback,
    StoredAnswer,
};
use bramblewheel_types::{
    AttemptId, BundleVersion, CallId, Criticality, DaemonId, EndpointId, Millis, NotRunReason,
    OperationKey, Outcome, RequestId, ServiceName, Timestamp, ZoneName,
};
use std::sync::Arc;
use std::time::Duration;

pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);
/// Path of a route that is not repeatable.
pub const RUN_ONCE_PATH: &str = "/once";

/// Runs a property on fixed seeds, each with `size` bytes of randomness.
///
/// A seed given to arbtest runs the property once, with the size taken from the seed's lower
/// half and the generator started from its upper half; a small number is a nearly empty run.
pub fn for_seeds(
    count: u64,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Drawn<()>,
) {
    for seed in 1..=count {
        let start = seed.wrapping_mul(0x9E37_79B1) & 0xFFFF_FFFF;
        arbtest::arbtest(&mut property).seed(start << 32 | u64::from(size));
    }
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("tests use valid names")
}

pub fn endpoint(name: &str) -> EndpointId {
    EndpointId::new(name).expect("tests use valid names")
}

pub fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("tests use valid names")
}

/// A bundle for the named services with generous limits.
pub fn bundle(services: &[&str], retry_tokens: u32, admission: AdmissionPolicy) -> Bundle {
    let policy = ServicePolicy {
        criticality: Criticality::Critical,
        deadline: Millis(1_000),
        admission,
        routing: RoutingPolicy {
            spill_over_percent: 80,
            slow_start: Millis(0),
            max_ejected_percent: 50,
            max_connections: 1_024,
        },
        routes: vec![RoutePolicy {
            prefix: RUN_ONCE_PATH.to_owned(),
            criticality: None,
            deadline: None,
            repeatable: false,
        }],
    };
    Bundle {
        version: BundleVersion(1),
        deployment: "test".to_owned(),
        operators: OperatorPolicy {
            required_signatures: 1,
            keys: Default::default(),
        },
        limits: RequestLimits {
            retry_tokens,
            retry_ratio_percent: 1_000,
            max_depth: 20,
            max_free_reroutes: 2,
            operation_retention: Millis(86_400_000),
        },
        services: services
            .iter()
            .map(|name| (service(name), policy.clone()))
            .collect(),
    }
}

pub fn admission(queue_length: u32, concurrency: u32) -> AdmissionPolicy {
    AdmissionPolicy {
        queue_length,
        min_concurrency: 1,
        max_concurrency: concurrency,
        max_sessions: 100,
    }
}

/// One engine with the actions returned since they were last taken.
pub struct Daemon {
    pub engine: Engine,
    pub actions: Vec<Action>,
}

impl Daemon {
    /// A daemon of endpoint `name` of service `of`, or a gateway if `of` is `None`, with a bundle.
    pub fn new(name: &str, of: Option<&str>, seed: u64, bundle: Bundle) -> Self {
        let mut daemon = Self {
            engine: Engine::new(EngineConfig {
                daemon: DaemonId::new(name).expect("tests use valid names"),
                zone: zone("zone-a"),
                endpoint: of.map(|of| LocalEndpoint {
                    endpoint: endpoint(name),
                    service: service(of),
                }),
                seed,
                claim_timeout: CLAIM_TIMEOUT,
            }),
            actions: Vec::new(),
        };
        daemon.handle(at(0), Event::BundleInstalled(Arc::new(bundle)));
        daemon
    }

    pub fn handle(&mut self, now: Timestamp, event: Event) {
        self.engine.handle(now, event, &mut self.actions);
    }

    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles one event and returns only the resulting actions.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.handle(now, event);
        self.take()
    }

    pub fn add_endpoints(&mut self, names: &[&str], of: &str) {
        let live = (0..names.len())
            .map(|index| DirectoryEndpoint {
                endpoint: endpoint(names[index]),
                service: service(of),
                zone: zone("zone-a"),
                address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
                draining: false,
            })
            .collect();
        let update = DirectoryUpdate {
            live,
            ..Default::default()
        };
        self.handle(at(0), Event::DirectoryUpdated(update));
    }
}

pub fn root_call(id: u64, to: &str, path: &str, operation: Option<Operation>) -> Event {
    let origin = CallOrigin::Root {
        request: RequestId(u128::from(id)),
        resend: 0,
        caller: "caller".to_owned(),
        criticality: None,
        in_session: false,
    };
    outbound(id, to, path, origin, operation)
}

pub fn sub_call(id: u64, to: &str, parent: AttemptId, fingerprint: u64) -> Event {
    let Event::OutboundCall { call, mut request } =
        outbound(id, to, "/", CallOrigin::SubCall { parent }, None)
    else {
        unreachable!("outbound makes outbound calls");
    };
    request.fingerprint = fingerprint;
    Event::OutboundCall { call, request }
}

fn outbound(
    id: u64,
    to: &str,
    path: &str,
    origin: CallOrigin,
    operation: Option<Operation>,
) -> Event {
    Event::OutboundCall {
        call: CallId(id),
        request: CallRequest {
            service: service(to),
            path: path.to_owned(),
            origin,
            timeout: None,
            operation,
            fingerprint: id,
        },
    }
}

pub fn operation(key: &str) -> Operation {
    Operation {
        key: OperationKey::new(key).expect("tests use valid keys"),
        minted_at_unix_millis: 1,
    }
}

/// Context of an attempt at service `a` with a deadline of one second from the start.
pub fn context(id: u64, criticality: Criticality, operation: Option<Operation>) -> CallContext {
    let path = if operation.is_some() {
        RUN_ONCE_PATH
    } else {
        "/"
    };
    CallContext {
        request: RequestId(u128::from(id)),
        call: CallId(id),
        attempt: AttemptId(id),
        service: service("a"),
        path: path.to_owned(),
        criticality,
        deadline: at(1_000),
        retry_tokens: 4,
        depth: 1,
        in_session: false,
        operation,
        may_have_run: false,
        bundle_version: BundleVersion(1),
    }
}

pub fn inbound(id: u64, criticality: Criticality, operation: Option<Operation>) -> Event {
    Event::InboundCall {
        context: context(id, criticality, operation),
    }
}

pub fn answered(outcome: Outcome) -> AttemptResult {
    AttemptResult::Answered {
        outcome,
        feedback: Feedback::default(),
    }
}

pub fn refused(reason: NotRunReason) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after: Millis(10),
    }
}

pub fn succeeded() -> DispatchResult {
    DispatchResult::Answered {
        failed: false,
        stored: StoredAnswer::default(),
    }
}

/// The first attempt sent by the actions.
pub fn sent(actions: &[Action]) -> Option<(AttemptId, EndpointId)> {
    actions.iter().find_map(|action| match action {
        Action::SendAttempt {
            context, endpoint, ..
        } => Some((context.attempt, endpoint.clone())),
        _ => None,
    })
}

/// The first answer to a call among the actions.
pub fn call_answer(actions: &[Action]) -> Option<&Answer> {
    actions.iter().find_map(|action| match action {
        Action::AnswerCall { answer, .. } => Some(answer),
        _ => None,
    })
}

/// The answer to an inbound attempt among the actions.
pub fn attempt_answer(actions: &[Action], id: u64) -> Option<(&Answer, &Feedback)> {
    actions.iter().find_map(|action| match action {
        Action::AnswerAttempt {
            attempt,
            answer,
            feedback,
        } if *attempt == AttemptId(id) => Some((answer, feedback)),
        _ => None,
    })
}

/// Whether the actions dispatch the attempt to the local endpoint.
pub fn dispatches(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Dispatch {
        attempt: AttemptId(id),
    })
}

/// Reason of a not-run outcome.
pub fn reason(outcome: Outcome) -> Option<NotRunReason> {
    match outcome {
        Outcome::NotRun { reason, .. } => Some(reason),
        _ => None,
    }
}
