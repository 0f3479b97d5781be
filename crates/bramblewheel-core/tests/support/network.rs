//! Engines connected by an in-memory network in virtual time, with scripted endpoints.

use super::{Daemon, at, bundle, endpoint, service, zone};
use bramblewheel_bundle::model::AdmissionPolicy;
use bramblewheel_core::action::{Action, AnswerBody};
use bramblewheel_core::context::{CallContext, CallOrigin, CallRequest};
use bramblewheel_core::event::{
    AttemptResult, DirectoryEndpoint, DirectoryUpdate, DispatchResult, Event,
};
use bramblewheel_types::{AttemptId, CallId, Outcome, ServiceName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const HOP_DELAY: Duration = Duration::from_micros(500);
/// Maximum number of events in a run.
const MAX_EVENTS: usize = 2_000_000;

/// Scripted behaviour of an endpoint for one attempt.
pub struct Plan {
    /// Services called concurrently, with fingerprints.
    pub sub_calls: Vec<(ServiceName, u64)>,
    /// Result of the dispatch.
    pub end: DispatchResult,
    /// Duration of the endpoint's own work after its sub-calls.
    pub takes: Duration,
    /// Whether the network loses the answer to the calling daemon.
    pub loses_answer: bool,
}

struct Run {
    node: usize,
    waiting: usize,
    end: DispatchResult,
    takes: Duration,
}

/// Counts of one run.
#[derive(Default)]
pub struct Counts {
    /// Attempts sent by any daemon, by call.
    pub attempts: BTreeMap<CallId, u32>,
    /// Sub-calls made by endpoints.
    pub sub_calls: u64,
    /// Attempts dispatched to endpoints.
    pub dispatched: u64,
    /// Calls that an endpoint ran at least in part.
    pub ran: BTreeSet<CallId>,
    /// Answers of all calls.
    pub answers: BTreeMap<CallId, Outcome>,
}

impl Counts {
    /// Attempts beyond the first of each call.
    pub fn extra_attempts(&self) -> u32 {
        self.attempts.values().map(|sent| sent - 1).sum()
    }
}

/// Engines, the network between them, and their endpoints.
pub struct Network<'a> {
    pub now: Timestamp,
    pub counts: Counts,
    daemons: Vec<Daemon>,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BTreeMap<(Timestamp, u64), (usize, Event)>,
    sequence: u64,
    senders: BTreeMap<AttemptId, usize>,
    contexts: BTreeMap<AttemptId, CallContext>,
    lost: BTreeMap<AttemptId, bool>,
    runs: BTreeMap<AttemptId, Run>,
    parents: BTreeMap<CallId, AttemptId>,
    behaviour: Box<dyn FnMut(&CallContext) -> Plan + 'a>,
}

impl<'a> Network<'a> {
    /// A gateway (daemon 0) and `endpoints` daemons for each service.
    pub fn new(
        services: &[&str],
        endpoints: usize,
        retry_tokens: u32,
        admission: AdmissionPolicy,
        behaviour: impl FnMut(&CallContext) -> Plan + 'a,
    ) -> Self {
        let bundle = bundle(services, retry_tokens, admission);
        let mut daemons = vec![Daemon::new("gateway", None, 1, bundle.clone())];
        let mut live = Vec::new();
        for name in services {
            for index in 0..endpoints {
                let id = format!("{name}-{index}");
                let seed = daemons.len() as u64 + 1;
                live.push(DirectoryEndpoint {
                    endpoint: endpoint(&id),
                    service: service(name),
                    zone: zone("zone-a"),
                    address: ([127, 0, 0, 1], daemons.len() as u16).into(),
                    draining: false,
                });
                daemons.push(Daemon::new(&id, Some(name), seed, bundle.clone()));
            }
        }
        let by_address = (1..daemons.len())
            .map(|index| (([127, 0, 0, 1], index as u16).into(), index))
            .collect();
        for daemon in &mut daemons {
            let update = DirectoryUpdate {
                is_complete: true,
                live: live.clone(),
                removed: Vec::new(),
            };
            daemon.handle(at(0), Event::DirectoryUpdated(update));
        }
        Self {
            now: at(0),
            counts: Counts::default(),
            daemons,
            by_address,
            queue: BTreeMap::new(),
            sequence: 0,
            senders: BTreeMap::new(),
            contexts: BTreeMap::new(),
            lost: BTreeMap::new(),
            runs: BTreeMap::new(),
            parents: BTreeMap::new(),
            behaviour: Box::new(behaviour),
        }
    }

    pub fn send(&mut self, delay: Duration, node: usize, event: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (node, event));
    }

    /// Runs until there are no events or timers left.
    pub fn run(&mut self) {
        for _ in 0..MAX_EVENTS {
            if !self.run_next() {
                return;
            }
        }
        panic!("the run did not end within {MAX_EVENTS} events");
    }

    fn run_next(&mut self) -> bool {
        let wakeup = (0..self.daemons.len())
            .filter_map(|node| Some((self.daemons[node].engine.next_wakeup()?, node)))
            .min();
        let next = self.queue.first_key_value().map(|((at, _), _)| *at);
        let (node, event) = match (next, wakeup) {
            (None, None) => return false,
            (Some(next), wakeup) if wakeup.is_none_or(|(at, _)| next <= at) => {
                self.now = self.now.max(next);
                let (_, queued) = self.queue.pop_first().expect("the queue has a first key");
                queued
            }
            (_, Some((at, node))) => {
                self.now = self.now.max(at);
                (node, Event::Tick)
            }
            (Some(_), None) => unreachable!("the second arm matches all events without wakeups"),
        };
        let actions = self.daemons[node].step(self.now, event);
        for action in actions {
            self.execute(node, action);
        }
        true
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::SendAttempt {
                address, context, ..
            } => {
                *self.counts.attempts.entry(context.call).or_default() += 1;
                self.senders.insert(context.attempt, node);
                self.contexts.insert(context.attempt, context.clone());
                let to = self.by_address[&address];
                self.send(HOP_DELAY, to, Event::InboundCall { context });
            }
            Action::Dispatch { attempt } => self.begin(node, attempt),
            Action::AnswerAttempt {
                attempt,
                answer,
                feedback,
            } => {
                let is_lost = self.lost.get(&attempt).copied().unwrap_or(false);
                let result = if is_lost {
                    AttemptResult::Lost
                } else {
                    AttemptResult::Answered {
                        outcome: answer.outcome,
                        feedback,
                    }
                };
                let to = self.senders[&attempt];
                self.send(HOP_DELAY, to, Event::AttemptEnded { attempt, result });
            }
            Action::AnswerCall { call, answer } => self.answer(call, answer.outcome, answer.body),
            Action::CancelDispatch { attempt } => {
                self.runs.remove(&attempt);
            }
            Action::CancelAttempt { .. } | Action::Ledger { .. } | Action::Drained => {}
        }
    }

    fn begin(&mut self, node: usize, attempt: AttemptId) {
        self.counts.dispatched += 1;
        let plan = (self.behaviour)(&self.contexts[&attempt]);
        let is_proved_not_run = plan.sub_calls.is_empty() && plan.end == DispatchResult::NotSent;
        if !is_proved_not_run {
            self.counts.ran.insert(self.contexts[&attempt].call);
        }
        self.lost.insert(attempt, plan.loses_answer);
        let run = Run {
            node,
            waiting: plan.sub_calls.len(),
            end: plan.end,
            takes: plan.takes,
        };
        self.runs.insert(attempt, run);
        for (to, fingerprint) in plan.sub_calls {
            self.sequence += 1;
            self.counts.sub_calls += 1;
            let call = CallId(1_000_000 + self.sequence);
            self.parents.insert(call, attempt);
            let request = CallRequest {
                service: to,
                path: "/".to_owned(),
                origin: CallOrigin::SubCall { parent: attempt },
                timeout: None,
                operation: None,
                fingerprint,
            };
            self.send(HOP_DELAY, node, Event::OutboundCall { call, request });
        }
        self.end_if_done(attempt);
    }

    fn answer(&mut self, call: CallId, outcome: Outcome, _body: AnswerBody) {
        let before = self.counts.answers.insert(call, outcome);
        assert!(before.is_none(), "call {call} was answered twice");
        let Some(parent) = self.parents.get(&call).copied() else {
            return;
        };
        if let Some(run) = self.runs.get_mut(&parent) {
            run.waiting -= 1;
            self.end_if_done(parent);
        }
    }

    fn end_if_done(&mut self, attempt: AttemptId) {
        if self.runs.get(&attempt).is_none_or(|run| run.waiting > 0) {
            return;
        }
        let run = self.runs.remove(&attempt).expect("the run was just found");
        let result = run.end;
        self.send(
            run.takes,
            run.node,
            Event::DispatchEnded { attempt, result },
        );
    }
}
