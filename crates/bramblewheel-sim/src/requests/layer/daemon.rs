//! A daemon: the real engine, driven by messages and timers as the tokio shell drives it.

use super::super::connections::{Acquired, Connections};
use super::super::content::Content;
use super::super::double::UnsafeDouble;
use super::super::endpoint::{RunKey, RunRequest};
use super::super::message::{CallerAnswer, Message, RootRequest, SendId, SessionClaim, Timer};
use super::super::places::Places;
use super::super::record::Record;
use super::super::topology::{EndpointIndex, RouteIndex, ServiceIndex, Topology, ZoneIndex};
use super::ledger_client::LedgerClient;
use super::sessions::Sessions;
use super::{Environment, Instruction, Layer, LayerOptions};
use crate::kernel::{Context, ProcessId, Purpose, Streams};
use bramblewheel_bundle::Bundle;
use bramblewheel_bundle::defaults::ROUTING;
use bramblewheel_core::action::{Action, Answer, AnswerBody};
use bramblewheel_core::context::{CallContext, CallOrigin, CallRequest};
use bramblewheel_core::engine::{Engine, EngineConfig, LocalEndpoint};
use bramblewheel_core::event::{
    AttemptResult, ClaimAnswer, DirectoryEndpoint, DirectoryUpdate, DispatchResult, Event,
    Feedback, LedgerRequest, StoredAnswer,
};
use bramblewheel_core::metrics::Metrics;
use bramblewheel_types::{AttemptId, CallId, DaemonId, Millis, NotRunReason, Outcome, Timestamp};
use rand::Rng;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long a claim is asked for; that of the daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at the endpoint's load report; that of the daemon.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between a complete drain and the end of the process; that of the daemon.
const DRAIN_LINGER: Duration = Duration::from_secs(1);
/// HTTP status of a success, as stored for run-once operations.
const STATUS_SUCCESS: u16 = 200;
/// HTTP status of an error, as stored for run-once operations.
const STATUS_ERROR: u16 = 500;

/// Attempts beyond which the double that sheds the newest refuses.
const SHED_BEYOND: usize = 4;
/// Tries of each call by the double that retries at every hop.
const TRIES_PER_HOP: u32 = 3;

/// Whose call it is.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Caller {
        process: ProcessId,
        send: SendId,
        deadline: Timestamp,
    },
    Run(RunKey),
}

/// A call in progress at its maker.
#[derive(Clone, Debug)]
struct OutCall {
    owner: Owner,
    content: Content,
    /// Token of a session that was opened with it.
    opened: Option<String>,
    session_refused: bool,
    /// For the double that retries at every hop.
    tried: u32,
    request: Option<CallRequest>,
}

/// An attempt on its way to another daemon.
#[derive(Clone, Debug)]
struct OutAttempt {
    to: ProcessId,
    context: Box<CallContext>,
    content: Content,
    /// Rises with each attempt.
    number: u64,
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
    calls: HashMap<CallId, OutCall>,
    sends: HashMap<SendId, CallId>,
    next_call: u64,
    attempts: HashMap<AttemptId, OutAttempt>,
    connections: Connections<ProcessId, AttemptId>,
    /// Start of each other process when it was last called.
    known_starts: HashMap<ProcessId, Option<u32>>,
    /// Inbound attempts that are not answered yet: who waits, and what is called.
    inbound: HashMap<AttemptId, (ProcessId, RunRequest)>,
    runs: HashMap<AttemptId, RunKey>,
    ledger: LedgerClient,
    sessions: Sessions,
    /// Bodies of the answers that came for attempts in progress.
    bodies: HashMap<AttemptId, Content>,
    double: Option<UnsafeDouble>,
    parked: Vec<(ProcessId, CallerAnswer)>,
    /// Set by a planned stop: time from its end to the next start.
    restarts_after: Option<Duration>,
}

impl DaemonLayer {
    /// A daemon that starts now.
    pub(super) fn new(
        topology: &Topology,
        zone: ZoneIndex,
        endpoint: Option<EndpointIndex>,
        bundle: Arc<Bundle>,
        options: &LayerOptions,
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
        let is_tied = options.double == Some(UnsafeDouble::SessionTiedToDaemon);
        let sessions = Sessions::new(zone_name.clone(), is_tied);
        let [engine_seed, ledger_seed] = seeds(options, context);
        let config = EngineConfig {
            daemon,
            zone: zone_name,
            endpoint: local,
            seed: engine_seed,
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
            known_starts: HashMap::new(),
            inbound: HashMap::new(),
            runs: HashMap::new(),
            ledger: LedgerClient::new(options.replicas, ledger_seed),
            sessions,
            bodies: HashMap::new(),
            double: options.double,
            parked: Vec::new(),
            restarts_after: None,
        }
    }

    fn is(&self, double: UnsafeDouble) -> bool {
        self.double == Some(double)
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
                call,
                address,
                context,
                ..
            } => {
                let to = Places::process_at(address);
                self.send_attempt(environment, call, to, context);
            }
            Action::CancelAttempt { attempt } => self.cancel_attempt(environment, attempt),
            Action::AnswerCall { call, answer } => {
                self.answer_call(environment, call, &answer);
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
                    environment.record_at_endpoint(|endpoint| Record::Replied {
                        endpoint,
                        attempt,
                        outcome,
                    });
                    let message = Message::AttemptAnswer {
                        attempt,
                        outcome,
                        feedback,
                        body: self.body_of(&answer.body),
                    };
                    environment.context.send(from, message);
                }
            }
            Action::Ledger { attempt, request } => {
                self.ask_ledger(environment, attempt, request);
            }
            Action::Drained => self.linger_if_stopping(environment),
        }
    }

    fn linger_if_stopping(&mut self, environment: &mut Environment<'_, '_>) {
        if self.restarts_after.is_some() {
            environment.context.set_timer(DRAIN_LINGER, Timer::Lingered);
        }
    }

    fn ask_ledger(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        request: LedgerRequest,
    ) {
        if matches!(request, LedgerRequest::Claim { .. }) {
            environment.record_at_endpoint(|endpoint| Record::Claimed { endpoint, attempt });
            if self.is(UnsafeDouble::ClaimAfterDispatch) {
                let answer = ClaimAnswer::Granted;
                self.events
                    .push_back(Event::ClaimAnswered { attempt, answer });
            }
        }
        self.ledger.ask(environment, attempt, request);
    }

    fn body_of(&self, body: &AnswerBody) -> Option<Content> {
        match body {
            AnswerBody::FromAttempt(attempt) => self.bodies.get(attempt).copied(),
            AnswerBody::Stored(stored) => Content::decode(stored.body.as_deref()?),
            AnswerBody::None => None,
        }
    }

    fn send_attempt(
        &mut self,
        environment: &mut Environment<'_, '_>,
        call: CallId,
        to: ProcessId,
        context: CallContext,
    ) {
        let Some(content) = self.calls.get(&call).map(|call| call.content) else {
            return;
        };
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
                content,
                number: environment.counters.attempts,
                is_fresh: false,
                state: OutState::WaitsForConnection,
            },
        );
        self.drop_closed_connections(environment, to);
        let acquired = self.connections.acquire(to, limit, attempt);
        self.use_connection(environment, attempt, acquired);
    }

    /// A process that ended closed its connections; idle ones to it are not used again.
    fn drop_closed_connections(&mut self, environment: &Environment<'_, '_>, to: ProcessId) {
        let starts = environment.context.starts_of(to);
        if self.known_starts.insert(to, starts) != Some(starts) {
            self.connections.reset(&to);
        }
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
            content: out.content,
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

    fn answer_call(&mut self, environment: &mut Environment<'_, '_>, id: CallId, answer: &Answer) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if self.tries_again(&call, answer.outcome) {
            return;
        }
        let body = self.body_of(&answer.body);
        match call.owner {
            Owner::Caller {
                process,
                send,
                deadline,
            } => {
                self.sends.remove(&send);
                let answer = CallerAnswer {
                    send,
                    outcome: self.outcome_told(answer.outcome),
                    body,
                    opened: call.opened,
                    session_refused: call.session_refused,
                };
                self.answer_caller(environment, process, deadline, answer);
            }
            Owner::Run(run) => {
                self.end_sub_call(environment, run, call.content, answer.outcome, body);
            }
        }
    }

    fn outcome_told(&self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Unknown && self.is(UnsafeDouble::NotRunOnTimeout) {
            return Outcome::NotRun {
                reason: NotRunReason::Unreachable,
                retry_after: Millis(0),
            };
        }
        outcome
    }

    /// The double that retries at every hop.
    fn tries_again(&mut self, call: &OutCall, outcome: Outcome) -> bool {
        let may_try = self.is(UnsafeDouble::RetryPerHop) && call.tried < TRIES_PER_HOP;
        let Some(mut request) = call.request.clone() else {
            return false;
        };
        if !may_try || outcome == Outcome::Completed {
            return false;
        }
        // Otherwise the engine would take it for a repeat.
        request.fingerprint += 1 << 32;
        self.next_call += 1;
        let id = CallId(self.next_call);
        let again = OutCall {
            tried: call.tried + 1,
            request: Some(request.clone()),
            ..call.clone()
        };
        self.calls.insert(id, again);
        self.events
            .push_back(Event::OutboundCall { call: id, request });
        true
    }

    fn answer_caller(
        &mut self,
        environment: &mut Environment<'_, '_>,
        process: ProcessId,
        deadline: Timestamp,
        answer: CallerAnswer,
    ) {
        if self.is(UnsafeDouble::ParkedRefusals) && answer.outcome.is_not_run() {
            let number = answer.send.0;
            self.parked.push((process, answer));
            return environment
                .context
                .set_timer_at(deadline, Timer::Parked(number));
        }
        let message = Message::Answer(Box::new(answer));
        if self.is(UnsafeDouble::AnswerTwice) {
            environment.context.send(process, message.clone());
        }
        environment.context.send(process, message);
    }

    fn answer_parked(&mut self, environment: &mut Environment<'_, '_>, number: u64) {
        let position = self.parked.iter().position(|(_, a)| a.send.0 == number);
        if let Some(position) = position {
            let (process, answer) = self.parked.swap_remove(position);
            environment
                .context
                .send(process, Message::Answer(Box::new(answer)));
        }
    }

    fn end_sub_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        run: RunKey,
        content: Content,
        outcome: Outcome,
        answered: Option<Content>,
    ) {
        if let Content::SubCall { run, position } = content {
            environment.context.record(Record::SubCallTold {
                run,
                position,
                outcome,
                answered,
            });
        }
        environment.end_sub_call(run, outcome == Outcome::Completed);
    }

    fn dispatch(&mut self, environment: &mut Environment<'_, '_>, attempt: AttemptId) {
        let Some((_, request)) = self.inbound.get(&attempt) else {
            return;
        };
        if let Some(run) = environment.run(request.clone()) {
            self.runs.insert(attempt, run);
            environment.record_at_endpoint(|endpoint| Record::Dispatched { endpoint, attempt });
            return;
        }
        let result = DispatchResult::NotSent;
        self.events
            .push_back(Event::DispatchEnded { attempt, result });
    }

    fn begin_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        call: OutCall,
        request: CallRequest,
    ) {
        environment.counters.calls += 1;
        self.next_call += 1;
        let id = CallId(self.next_call);
        if let Owner::Caller { send, .. } = call.owner {
            self.sends.insert(send, id);
        }
        let keeps_request = self.is(UnsafeDouble::RetryPerHop);
        let call = OutCall {
            request: keeps_request.then(|| request.clone()),
            ..call
        };
        self.calls.insert(id, call);
        self.submit(environment, Event::OutboundCall { call: id, request });
    }

    fn request(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        root: RootRequest,
    ) {
        let now = environment.context.now();
        let (opened, is_known) = match &root.session {
            SessionClaim::None => (None, false),
            SessionClaim::Assumed => (None, true),
            SessionClaim::Open => {
                let random = environment.context.random();
                (Some(self.sessions.open(now, random)), false)
            }
            SessionClaim::Token(token) => (None, self.sessions.is_known(token)),
        };
        let call = OutCall {
            owner: Owner::Caller {
                process: from,
                send: root.send,
                deadline: now + root.timeout,
            },
            content: Content::Root(root.send),
            opened,
            session_refused: matches!(root.session, SessionClaim::Token(_)) && !is_known,
            tried: 1,
            request: None,
        };
        let route = &environment.topology.routes[root.route.0];
        let request = CallRequest {
            service: environment.topology.services[route.service.0].name.clone(),
            path: route.path.clone(),
            origin: CallOrigin::Root {
                request: root.request,
                resend: root.resend,
                caller: root.caller,
                criticality: root.criticality,
                in_session: is_known,
            },
            timeout: Some(root.timeout),
            operation: root.operation,
            fingerprint: 0,
        };
        self.begin_call(environment, call, request);
    }

    fn inbound_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        mut context: CallContext,
        remaining: Duration,
        content: Content,
    ) {
        let attempt = context.attempt;
        if self.inbound.contains_key(&attempt) {
            return;
        }
        environment.record_at_endpoint(|endpoint| Record::Offered {
            endpoint,
            attempt,
            request: context.request,
            criticality: context.criticality,
            in_session: context.in_session,
        });
        if self.is(UnsafeDouble::ShedNewest) && self.inbound.len() >= SHED_BEYOND {
            return shed(environment, from, attempt);
        }
        context.deadline = environment.context.now() + remaining;
        let request = RunRequest {
            route: route_of(environment.topology, &context),
            request: context.request,
            attempt: attempt.0,
            operation: context.operation.as_ref().map(|o| o.key.clone()),
            content,
        };
        self.inbound.insert(attempt, (from, request));
        self.submit(environment, Event::InboundCall { context });
    }

    fn report(&mut self, environment: &mut Environment<'_, '_>) {
        let now = environment.context.now();
        let Some(endpoint) = environment.endpoint.as_mut() else {
            return;
        };
        let mut report = endpoint.report(now);
        report.draining &= self.double != Some(UnsafeDouble::IgnoreDrain);
        environment
            .context
            .set_timer(REPORT_INTERVAL, Timer::Report);
        self.submit(environment, Event::LocalReport(report));
    }

    /// The attempt that an answer is for.
    fn matched(&self, from: ProcessId, stated: AttemptId) -> AttemptId {
        if !self.is(UnsafeDouble::MatchByOrder) {
            return stated;
        }
        let waiting = self.attempts.iter();
        let waiting = waiting.filter(|(_, out)| out.to == from && out.state == OutState::Sent);
        let oldest = waiting.min_by_key(|(_, out)| out.number);
        oldest.map_or(stated, |(attempt, _)| *attempt)
    }

    fn give_up(&mut self, environment: &mut Environment<'_, '_>, send: SendId) {
        let Some(call) = self.sends.remove(&send) else {
            return;
        };
        self.calls.remove(&call);
        self.submit(environment, Event::OutboundCancelled { call });
    }
}

/// Refuses an attempt for overload, without the engine.
fn shed(environment: &mut Environment<'_, '_>, to: ProcessId, attempt: AttemptId) {
    let outcome = Outcome::NotRun {
        reason: NotRunReason::Overloaded,
        retry_after: Millis(0),
    };
    environment.record_at_endpoint(|endpoint| Record::Replied {
        endpoint,
        attempt,
        outcome,
    });
    let message = Message::AttemptAnswer {
        attempt,
        outcome,
        feedback: Feedback::default(),
        body: None,
    };
    environment.context.send(to, message);
}

/// Seeds of a daemon's engine and of its ledger client.
fn seeds(options: &LayerOptions, context: &mut Context<'_, super::RequestActor>) -> [u64; 2] {
    let Some(seed) = options.seed else {
        return [context.random().next_u64(), context.random().next_u64()];
    };
    let start = Purpose::Other(context.starts());
    let of_start = Streams::new(seed).stream(start).next_u64();
    let process = Purpose::Process(context.process().0);
    let mut random = Streams::new(of_start).stream(process);
    [random.next_u64(), random.next_u64()]
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
            Message::Attempt {
                context,
                remaining,
                content,
            } => self.inbound_call(environment, from, *context, remaining, content),
            Message::AttemptAnswer {
                attempt,
                outcome,
                feedback,
                body,
            } => {
                let attempt = self.matched(from, attempt);
                let result = AttemptResult::Answered { outcome, feedback };
                if let (Some(body), true) = (body, self.attempts.contains_key(&attempt)) {
                    self.bodies.insert(attempt, body);
                }
                self.attempt_ended(environment, attempt, result);
                self.bodies.remove(&attempt);
            }
            Message::AttemptCancelled(attempt) if self.inbound.contains_key(&attempt) => {
                environment.record_at_endpoint(|endpoint| Record::Withdrawn { endpoint, attempt });
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
            Message::ControlReply(reply) => {
                let answered = self.ledger.replied(environment, *reply);
                if let Some((attempt, answer)) = answered {
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
            Timer::Lingered => environment.context.exit(self.restarts_after),
            Timer::Parked(number) => self.answer_parked(environment, number),
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
        let request = context.request;
        environment
            .context
            .record(Record::ConnectionRefused { request });
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
        let content = Content::SubCall {
            run: parent.id,
            position: position as u32,
        };
        let route = environment.topology.routes[parent.request.route.0].calls[position];
        let route = &environment.topology.routes[route.0];
        let request = CallRequest {
            service: environment.topology.services[route.service.0].name.clone(),
            path: route.path.clone(),
            origin: CallOrigin::SubCall { parent: attempt },
            timeout: None,
            operation: None,
            fingerprint: content.fingerprint(),
        };
        let call = OutCall {
            owner: Owner::Run(run),
            content,
            opened: None,
            session_refused: false,
            tried: 1,
            request: None,
        };
        self.begin_call(environment, call, request);
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
            stored: StoredAnswer {
                status,
                body: Some(request.content.encode()),
            },
        };
        self.bodies.insert(attempt, request.content);
        self.submit(environment, Event::DispatchEnded { attempt, result });
        self.bodies.remove(&attempt);
    }

    fn instruct(&mut self, environment: &mut Environment<'_, '_>, instruction: Instruction) {
        match instruction {
            Instruction::Install(bundle) => {
                self.bundle = Arc::clone(&bundle);
                self.submit(environment, Event::BundleInstalled(bundle));
            }
            Instruction::Directory(update) => {
                self.submit(environment, Event::DirectoryUpdated(update));
            }
            Instruction::SignSessionsWith(number) => self.sessions.sign_with(number),
            Instruction::StopPlanned { down } => {
                if self.is(UnsafeDouble::StopWithoutDrain) {
                    return environment.context.exit(Some(down));
                }
                self.restarts_after = Some(down);
                self.submit(environment, Event::DrainRequested);
            }
        }
    }

    fn drain(&mut self, environment: &mut Environment<'_, '_>) {
        self.submit(environment, Event::DrainRequested);
    }

    fn metrics(&self) -> Option<Metrics> {
        Some(self.engine.metrics())
    }
}
