//! A daemon: the real engine, driven by messages and timers as the tokio shell drives it.

use super::super::connections::{Acquired, Connections};
use super::super::endpoint::{RunKey, RunRequest};
use super::super::message::{Message, RootRequest, SendId, Timer};
use super::super::places::Places;
use super::super::topology::{EndpointIndex, RouteIndex, ServiceIndex, Topology, ZoneIndex};
use super::ledger_client::LedgerClient;
use super::{Environment, Layer};
use crate::kernel::{Context, ProcessId};
use bramblewheel_bundle::Bundle;
use bramblewheel_bundle::defaults::ROUTING;
use bramblewheel_core::action::Action;
use bramblewheel_core::context::{CallContext, CallOrigin, CallRequest};
use bramblewheel_core::engine::{Engine, EngineConfig, LocalEndpoint};
use bramblewheel_core::event::{
    AttemptResult, DirectoryEndpoint, DirectoryUpdate, DispatchResult, Event, StoredAnswer,
};
use bramblewheel_core::metrics::Metrics;
use bramblewheel_types::{AttemptId, CallId, DaemonId, Outcome, Timestamp};
use rand::Rng;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long a claim is asked for; that of the daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at the endpoint's load report; that of the daemon.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// HTTP status of a success, as stored for run-once operations.
const STATUS_SUCCESS: u16 = 200;
/// HTTP status of an error, as stored for run-once operations.
const STATUS_ERROR: u16 = 500;

/// Whose call it is.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Caller(ProcessId, SendId),
    Run(RunKey),
}

/// An attempt on its way to another daemon.
#[derive(Clone, Debug)]
struct OutAttempt {
    to: ProcessId,
    context: Box<CallContext>,
    /// On a new connection, a refusal proves that nothing was sent.
    is_fresh: bool,
    state: OutState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutState {
    WaitsForConnection,
    Connecting,
    Sent,
}

/// One daemon.
pub struct DaemonLayer {
    engine: Engine,
    bundle: Arc<Bundle>,
    endpoint: Option<EndpointIndex>,
    events: VecDeque<Event>,
    armed: Timestamp,
    calls: HashMap<CallId, Owner>,
    sends: HashMap<SendId, CallId>,
    next_call: u64,
    attempts: HashMap<AttemptId, OutAttempt>,
    connections: Connections<ProcessId, AttemptId>,
    /// Inbound attempts that are not answered yet: who waits, and what is called.
    inbound: HashMap<AttemptId, (ProcessId, RunRequest)>,
    runs: HashMap<AttemptId, RunKey>,
    ledger: LedgerClient,
}

impl DaemonLayer {
    /// A daemon that starts now.
    pub(super) fn new(
        topology: &Topology,
        zone: ZoneIndex,
        endpoint: Option<EndpointIndex>,
        bundle: Arc<Bundle>,
        context: &mut Context<'_, super::RequestActor>,
    ) -> Self {
        let local = endpoint.map(|index| {
            let endpoint = &topology.endpoints[index.0];
            LocalEndpoint {
                endpoint: endpoint.name.clone(),
                service: topology.services[endpoint.service.0].name.clone(),
            }
        });
        let zone_name = topology.zones[zone.0].clone();
        let name = match &local {
            Some(local) => local.endpoint.to_string(),
            None => format!("gateway-{zone_name}"),
        };
        let daemon = DaemonId::new(&name).expect("endpoint and zone names make a valid name");
        let config = EngineConfig {
            daemon,
            zone: zone_name,
            endpoint: local,
            seed: context.random().next_u64(),
            claim_timeout: CLAIM_TIMEOUT,
        };
        Self {
            engine: Engine::new(config),
            bundle,
            endpoint,
            events: VecDeque::new(),
            armed: Timestamp::NEVER,
            calls: HashMap::new(),
            sends: HashMap::new(),
            next_call: 0,
            attempts: HashMap::new(),
            connections: Connections::default(),
            inbound: HashMap::new(),
            runs: HashMap::new(),
            ledger: LedgerClient::default(),
        }
    }

    fn submit(&mut self, environment: &mut Environment<'_, '_>, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = environment.context.now();
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(environment, action);
            }
        }
        self.arm(environment);
    }

    fn arm(&mut self, environment: &mut Environment<'_, '_>) {
        let due = self.engine.next_wakeup().unwrap_or(Timestamp::NEVER);
        if due < self.armed {
            self.armed = due;
            environment.context.set_timer_at(due, Timer::Tick);
        }
    }

    fn carry_out(&mut self, environment: &mut Environment<'_, '_>, action: Action) {
        match action {
            Action::SendAttempt {
                address, context, ..
            } => self.send_attempt(environment, Places::process_at(address), context),
            Action::CancelAttempt { attempt } => self.cancel_attempt(environment, attempt),
            Action::AnswerCall { call, answer } => {
                self.answer_call(environment, call, answer.outcome);
            }
            Action::Dispatch { attempt } => self.dispatch(environment, attempt),
            Action::CancelDispatch { attempt } => {
                if let Some(run) = self.runs.remove(&attempt) {
                    environment.cancel_run(run);
                }
            }
            Action::AnswerAttempt {
                attempt,
                answer,
                feedback,
            } => {
                if let Some((from, _)) = self.inbound.remove(&attempt) {
                    let outcome = answer.outcome;
                    let message = Message::AttemptAnswer {
                        attempt,
                        outcome,
                        feedback,
                    };
                    environment.context.send(from, message);
                }
            }
            Action::Ledger { attempt, request } => self.ledger.ask(environment, attempt, request),
            Action::Drained => {}
        }
    }

    fn send_attempt(
        &mut self,
        environment: &mut Environment<'_, '_>,
        to: ProcessId,
        context: CallContext,
    ) {
        environment.counters.attempts += 1;
        let attempt = context.attempt;
        let limit = self
            .bundle
            .service(&context.service)
            .map_or(ROUTING.max_connections, |s| s.routing.max_connections);
        self.attempts.insert(
            attempt,
            OutAttempt {
                to,
                context: Box::new(context),
                is_fresh: false,
                state: OutState::WaitsForConnection,
            },
        );
        let acquired = self.connections.acquire(to, limit, attempt);
        self.use_connection(environment, attempt, acquired);
    }

    fn use_connection(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        acquired: Acquired,
    ) {
        let Some(out) = self.attempts.get_mut(&attempt) else {
            return;
        };
        match acquired {
            Acquired::Waits => {}
            Acquired::Opened => {
                out.is_fresh = true;
                out.state = OutState::Connecting;
                let connect_time = environment.topology.connect_time();
                let timer = Timer::Connected(attempt);
                environment.context.set_timer(connect_time, timer);
            }
            Acquired::Reused => self.write_attempt(environment, attempt),
        }
    }

    fn write_attempt(&mut self, environment: &mut Environment<'_, '_>, attempt: AttemptId) {
        let now = environment.context.now();
        let Some(out) = self.attempts.get_mut(&attempt) else {
            return;
        };
        out.state = OutState::Sent;
        let message = Message::Attempt {
            context: out.context.clone(),
            remaining: out.context.deadline.since(now),
        };
        environment.context.send(out.to, message);
    }

    fn release(&mut self, environment: &mut Environment<'_, '_>, to: ProcessId, reusable: bool) {
        if let Some((next, acquired)) = self.connections.release(&to, reusable) {
            self.use_connection(environment, next, acquired);
        }
    }

    fn cancel_attempt(&mut self, environment: &mut Environment<'_, '_>, attempt: AttemptId) {
        let Some(out) = self.attempts.remove(&attempt) else {
            return;
        };
        if out.state == OutState::WaitsForConnection {
            self.connections.give_up(&out.to, &attempt);
            return;
        }
        if out.state == OutState::Sent {
            let message = Message::AttemptCancelled(attempt);
            environment.context.send(out.to, message);
        }
        self.release(environment, out.to, false);
    }

    fn attempt_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let Some(out) = self.attempts.remove(&attempt) else {
            return;
        };
        let is_answered = matches!(result, AttemptResult::Answered { .. });
        self.release(environment, out.to, is_answered);
        self.submit(environment, Event::AttemptEnded { attempt, result });
    }

    fn answer_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        call: CallId,
        outcome: Outcome,
    ) {
        match self.calls.remove(&call) {
            Some(Owner::Caller(process, send)) => {
                self.sends.remove(&send);
                let message = Message::Answer(send, outcome);
                environment.context.send(process, message);
            }
            Some(Owner::Run(run)) => {
                environment.end_sub_call(run, outcome == Outcome::Completed);
            }
            None => {}
        }
    }

    fn dispatch(&mut self, environment: &mut Environment<'_, '_>, attempt: AttemptId) {
        let Some((_, request)) = self.inbound.get(&attempt) else {
            return;
        };
        if let Some(run) = environment.run(request.clone()) {
            self.runs.insert(attempt, run);
            return;
        }
        let result = DispatchResult::NotSent;
        self.events
            .push_back(Event::DispatchEnded { attempt, result });
    }

    fn begin_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        owner: Owner,
        request: CallRequest,
    ) -> CallId {
        environment.counters.calls += 1;
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, owner);
        if let Owner::Caller(_, send) = owner {
            self.sends.insert(send, call);
        }
        self.submit(environment, Event::OutboundCall { call, request });
        call
    }

    fn request(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        root: RootRequest,
    ) {
        let route = &environment.topology.routes[root.route.0];
        let request = CallRequest {
            service: environment.topology.services[route.service.0].name.clone(),
            path: route.path.clone(),
            origin: CallOrigin::Root {
                request: root.request,
                resend: root.resend,
                caller: root.caller,
                criticality: None,
                in_session: root.in_session,
            },
            timeout: Some(root.timeout),
            operation: root.operation,
            fingerprint: 0,
        };
        self.begin_call(environment, Owner::Caller(from, root.send), request);
    }

    fn inbound_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        mut context: CallContext,
        remaining: Duration,
    ) {
        let attempt = context.attempt;
        if self.inbound.contains_key(&attempt) {
            return;
        }
        context.deadline = environment.context.now() + remaining;
        let request = RunRequest {
            route: route_of(environment.topology, &context),
            request: context.request,
            attempt: attempt.0,
            operation: context.operation.as_ref().map(|o| o.key.clone()),
        };
        self.inbound.insert(attempt, (from, request));
        self.submit(environment, Event::InboundCall { context });
    }

    fn report(&mut self, environment: &mut Environment<'_, '_>) {
        let now = environment.context.now();
        let Some(endpoint) = environment.endpoint.as_mut() else {
            return;
        };
        let report = endpoint.report(now);
        environment
            .context
            .set_timer(REPORT_INTERVAL, Timer::Report);
        self.submit(environment, Event::LocalReport(report));
    }

    fn give_up(&mut self, environment: &mut Environment<'_, '_>, send: SendId) {
        let Some(call) = self.sends.remove(&send) else {
            return;
        };
        self.calls.remove(&call);
        self.submit(environment, Event::OutboundCancelled { call });
    }
}

/// The route that a context names; it was made from this topology.
fn route_of(topology: &Topology, context: &CallContext) -> RouteIndex {
    let service = topology.service_index(&context.service);
    let position = topology
        .routes
        .iter()
        .position(|route| Some(route.service) == service && route.path == context.path);
    RouteIndex(position.expect("contexts name routes of the deployment"))
}

/// The services that a daemon calls: those its endpoint calls, or all for a gateway.
fn called_services(topology: &Topology, endpoint: Option<EndpointIndex>) -> Vec<ServiceIndex> {
    match endpoint {
        Some(index) => {
            let service = topology.endpoints[index.0].service;
            topology.services[service.0].callees.clone()
        }
        None => (0..topology.services.len()).map(ServiceIndex).collect(),
    }
}

fn directory(topology: &Topology, places: Places, called: &[ServiceIndex]) -> DirectoryUpdate {
    let mut live = Vec::new();
    for service in called {
        let service = &topology.services[service.0];
        live.extend(service.endpoints.iter().map(|index| {
            let endpoint = &topology.endpoints[index.0];
            DirectoryEndpoint {
                endpoint: endpoint.name.clone(),
                service: service.name.clone(),
                zone: topology.zones[endpoint.zone.0].clone(),
                address: Places::address(places.host(*index)),
                draining: false,
            }
        }));
    }
    DirectoryUpdate {
        is_complete: true,
        live,
        removed: Vec::new(),
    }
}

impl Layer for DaemonLayer {
    fn start(&mut self, environment: &mut Environment<'_, '_>) {
        let bundle = Arc::clone(&self.bundle);
        self.submit(environment, Event::BundleInstalled(bundle));
        let called = called_services(environment.topology, self.endpoint);
        let update = directory(environment.topology, environment.places, &called);
        self.submit(environment, Event::DirectoryUpdated(update));
        self.report(environment);
    }

    fn receive(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        message: Message,
    ) {
        match message {
            Message::Request(root) => self.request(environment, from, *root),
            Message::GiveUp(send) => self.give_up(environment, send),
            Message::Attempt { context, remaining } => {
                self.inbound_call(environment, from, *context, remaining);
            }
            Message::AttemptAnswer {
                attempt,
                outcome,
                feedback,
            } => {
                let result = AttemptResult::Answered { outcome, feedback };
                self.attempt_ended(environment, attempt, result);
            }
            Message::AttemptCancelled(attempt) if self.inbound.contains_key(&attempt) => {
                self.submit(environment, Event::InboundCancelled { attempt });
            }
            Message::LedgerAnswer {
                attempt,
                key,
                answer,
            } => {
                let is_awaited = self.ledger.answered(attempt, &key, answer.is_some());
                if let (true, Some(answer)) = (is_awaited, answer) {
                    self.submit(environment, Event::ClaimAnswered { attempt, answer });
                }
            }
            _ => {}
        }
    }

    fn timer(&mut self, environment: &mut Environment<'_, '_>, timer: Timer) {
        match timer {
            Timer::Tick if environment.context.now() >= self.armed => {
                self.armed = Timestamp::NEVER;
                self.submit(environment, Event::Tick);
            }
            Timer::Report => self.report(environment),
            Timer::Connected(attempt) => self.write_attempt(environment, attempt),
            Timer::RepeatLedger => self.ledger.repeat(environment),
            _ => {}
        }
    }

    fn undelivered(
        &mut self,
        environment: &mut Environment<'_, '_>,
        to: ProcessId,
        message: Message,
    ) {
        let Message::Attempt { context, .. } = message else {
            return;
        };
        self.connections.reset(&to);
        let attempt = context.attempt;
        let is_fresh = self.attempts.get(&attempt).is_some_and(|out| out.is_fresh);
        let result = if is_fresh {
            AttemptResult::NotSent
        } else {
            AttemptResult::Lost
        };
        self.attempt_ended(environment, attempt, result);
    }

    fn sub_call(&mut self, environment: &mut Environment<'_, '_>, run: RunKey, position: usize) {
        let Some(parent) = environment.endpoint.as_ref().and_then(|e| e.run(run)) else {
            return;
        };
        let attempt = AttemptId(parent.request.attempt);
        let route = environment.topology.routes[parent.request.route.0].calls[position];
        let route = &environment.topology.routes[route.0];
        let request = CallRequest {
            service: environment.topology.services[route.service.0].name.clone(),
            path: route.path.clone(),
            origin: CallOrigin::SubCall { parent: attempt },
            timeout: None,
            operation: None,
            fingerprint: position as u64,
        };
        self.begin_call(environment, Owner::Run(run), request);
    }

    fn run_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        _run: RunKey,
        request: &RunRequest,
        is_success: bool,
    ) {
        let attempt = AttemptId(request.attempt);
        self.runs.remove(&attempt);
        let status = if is_success {
            STATUS_SUCCESS
        } else {
            STATUS_ERROR
        };
        let result = DispatchResult::Answered {
            failed: !is_success,
            stored: StoredAnswer { status, body: None },
        };
        self.submit(environment, Event::DispatchEnded { attempt, result });
    }

    fn drain(&mut self, environment: &mut Environment<'_, '_>) {
        self.submit(environment, Event::DrainRequested);
    }

    fn metrics(&self) -> Option<Metrics> {
        Some(self.engine.metrics())
    }
}
