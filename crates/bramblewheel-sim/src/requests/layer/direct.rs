//! Calls without bramblewheel: random routing, a fixed number of attempts and a fixed time-out.
//!
//! Calls carry no deadline and are not cancelled: an endpoint finds out that its caller has
//! disconnected only when it writes the answer.

use super::super::connections::{Acquired, Connections};
use super::super::content::Content;
use super::super::endpoint::{RunKey, RunRequest};
use super::super::message::{CallerAnswer, Message, RootRequest, SendId, Timer};
use super::super::slab::{Key, Slab};
use super::super::topology::RouteIndex;
use super::{Environment, Layer};
use crate::kernel::ProcessId;
use bramblewheel_types::{OperationKey, Outcome, RequestId};
use rand::RngExt;
use std::collections::HashMap;
use std::time::Duration;

/// Key of a call at the calling machine.
pub type OutCallKey = Key<OutCall>;

/// Settings of the direct layer.
#[derive(Clone, Copy, Debug)]
pub struct DirectSettings {
    max_attempts: u32,
    attempt_timeout: Duration,
}

impl DirectSettings {
    /// One attempt, with a time-out that is a common default.
    pub const NONE: Self = Self {
        max_attempts: 1,
        attempt_timeout: Duration::from_secs(5),
    };
    /// Three attempts with a time-out of 1 s each.
    pub const NAIVE: Self = Self {
        max_attempts: 3,
        attempt_timeout: Duration::from_secs(1),
    };
}

/// Origin of a call.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Caller(ProcessId, SendId),
    Run(RunKey),
}

/// An outbound call in progress.
#[derive(Debug)]
pub struct OutCall {
    owner: Owner,
    route: RouteIndex,
    request: RequestId,
    operation: Option<OperationKey>,
    content: Content,
    attempt_number: u32,
    to: ProcessId,
}

/// The process that waits for a run of the local endpoint.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Caller(ProcessId, SendId),
    Host(ProcessId, OutCallKey, u32),
}

/// One machine's part of the direct layer.
#[derive(Debug)]
pub struct DirectLayer {
    settings: DirectSettings,
    calls: Slab<OutCall>,
    origins: HashMap<u64, Origin>,
    runs: u64,
    connections: Connections<ProcessId, ()>,
}

impl DirectLayer {
    /// Creates the layer without calls.
    pub fn new(settings: DirectSettings) -> Self {
        Self {
            settings,
            calls: Slab::default(),
            origins: HashMap::new(),
            runs: 0,
            connections: Connections::default(),
        }
    }

    fn begin_call(&mut self, environment: &mut Environment<'_, '_>, call: OutCall) {
        environment.counters.calls += 1;
        let key = self.calls.insert(call);
        self.start_attempt(environment, key);
    }

    fn start_attempt(&mut self, environment: &mut Environment<'_, '_>, key: OutCallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        environment.counters.attempts += 1;
        call.attempt_number += 1;
        let service = environment.topology.routes[call.route.0].service;
        let endpoints = &environment.topology.services[service.0].endpoints;
        let position = environment
            .context
            .random()
            .random_range(0..endpoints.len());
        call.to = environment.layout.host(endpoints[position]);
        let attempt_number = call.attempt_number;
        let timeout = Timer::DirectTimeout(key, attempt_number);
        environment
            .context
            .set_timer(self.settings.attempt_timeout, timeout);
        let acquired = self.connections.acquire(call.to, u32::MAX, ());
        if acquired == Acquired::Reused {
            return self.send(environment, key, attempt_number);
        }
        let connect_time = environment.topology.connect_time();
        let connected = Timer::DirectConnected(key, attempt_number);
        environment.context.set_timer(connect_time, connected);
    }

    fn send(
        &mut self,
        environment: &mut Environment<'_, '_>,
        key: OutCallKey,
        attempt_number: u32,
    ) {
        let Some(call) = self
            .calls
            .get(key)
            .filter(|call| call.attempt_number == attempt_number)
        else {
            return;
        };
        let request = RunRequest {
            route: call.route,
            request: call.request,
            attempt: 0,
            operation: call.operation.clone(),
            content: call.content,
        };
        let message = Message::DirectCall {
            call: key,
            attempt_number,
            request,
        };
        environment.context.send(call.to, message);
    }

    /// Handles the end of an attempt; `reusable` states whether its connection can be used again.
    fn attempt_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        key: OutCallKey,
        attempt_number: u32,
        body: Option<Content>,
        reusable: bool,
    ) {
        let Some(call) = self
            .calls
            .get(key)
            .filter(|call| call.attempt_number == attempt_number)
        else {
            return;
        };
        self.connections.release(&call.to, reusable);
        if body.is_none() && attempt_number < self.settings.max_attempts {
            return self.start_attempt(environment, key);
        }
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        match call.owner {
            Owner::Caller(process, send) => {
                answer_caller(environment, process, send, body);
            }
            Owner::Run(run) => environment.end_sub_call(run, body.is_some()),
        }
    }

    fn run_locally(
        &mut self,
        environment: &mut Environment<'_, '_>,
        origin: Origin,
        mut request: RunRequest,
    ) {
        self.runs += 1;
        request.attempt = self.runs;
        self.origins.insert(self.runs, origin);
        if environment.run(request).is_none() {
            self.answer_origin(environment, self.runs, None);
        }
    }

    fn answer_origin(
        &mut self,
        environment: &mut Environment<'_, '_>,
        run: u64,
        body: Option<Content>,
    ) {
        match self.origins.remove(&run) {
            Some(Origin::Caller(process, send)) => {
                answer_caller(environment, process, send, body);
            }
            Some(Origin::Host(process, call, attempt_number)) => {
                let message = Message::DirectAnswer {
                    call,
                    attempt_number,
                    body,
                };
                environment.context.send(process, message);
            }
            None => {}
        }
    }

    fn handle_request(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        root: RootRequest,
    ) {
        let operation = root.operation.map(|operation| operation.key);
        if environment.endpoint.is_some() {
            environment.counters.calls += 1;
            environment.counters.attempts += 1;
            let request = RunRequest {
                route: root.route,
                request: root.request,
                attempt: 0,
                operation,
                content: Content::Root(root.send),
            };
            return self.run_locally(environment, Origin::Caller(from, root.send), request);
        }
        let call = OutCall {
            owner: Owner::Caller(from, root.send),
            route: root.route,
            request: root.request,
            operation,
            content: Content::Root(root.send),
            attempt_number: 0,
            to: from,
        };
        self.begin_call(environment, call);
    }
}

fn answer_caller(
    environment: &mut Environment<'_, '_>,
    process: ProcessId,
    send: SendId,
    body: Option<Content>,
) {
    let outcome = if body.is_some() {
        Outcome::Completed
    } else {
        Outcome::Failed
    };
    let answer = CallerAnswer {
        send,
        outcome,
        body,
        session_token: None,
        session_refused: false,
    };
    environment
        .context
        .send(process, Message::Answer(Box::new(answer)));
}

impl Layer for DirectLayer {
    fn start(&mut self, _environment: &mut Environment<'_, '_>) {}

    fn receive(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        message: Message,
    ) {
        match message {
            Message::Request(root) => self.handle_request(environment, from, *root),
            Message::DirectCall {
                call,
                attempt_number,
                request,
            } => self.run_locally(
                environment,
                Origin::Host(from, call, attempt_number),
                request,
            ),
            Message::DirectAnswer {
                call,
                attempt_number,
                body,
            } => {
                self.attempt_ended(environment, call, attempt_number, body, true);
            }
            _ => {}
        }
    }

    fn timer(&mut self, environment: &mut Environment<'_, '_>, timer: Timer) {
        match timer {
            Timer::DirectConnected(call, attempt_number) => {
                self.send(environment, call, attempt_number)
            }
            Timer::DirectTimeout(call, attempt_number) => {
                self.attempt_ended(environment, call, attempt_number, None, false);
            }
            _ => {}
        }
    }

    fn undelivered(
        &mut self,
        environment: &mut Environment<'_, '_>,
        _to: ProcessId,
        message: Message,
    ) {
        if let Message::DirectCall {
            call,
            attempt_number,
            ..
        } = message
        {
            self.attempt_ended(environment, call, attempt_number, None, false);
        }
    }

    fn sub_call(&mut self, environment: &mut Environment<'_, '_>, run: RunKey, position: usize) {
        let Some(parent) = environment.endpoint.as_ref().and_then(|e| e.run(run)) else {
            return;
        };
        let content = Content::SubCall {
            run: parent.id,
            position: position as u32,
        };
        let route = environment.topology.routes[parent.request.route.0].calls[position];
        let call = OutCall {
            owner: Owner::Run(run),
            route,
            request: parent.request.request,
            operation: None,
            content,
            attempt_number: 0,
            to: environment.context.process(),
        };
        self.begin_call(environment, call);
    }

    fn run_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        _run: RunKey,
        request: &RunRequest,
        is_success: bool,
    ) {
        let body = is_success.then_some(request.content);
        self.answer_origin(environment, request.attempt, body);
    }
}
