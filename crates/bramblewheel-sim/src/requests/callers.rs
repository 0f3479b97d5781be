//! Callers of one zone: an open loop of new requests, with aggressive resends.

use super::actor::RequestActor;
use super::layer::LayerKind;
use super::load::{CallerBehaviour, LoadProfile, flow_at};
use super::message::{CallerAnswer, Message, RootRequest, SendId, SessionClaim, Timer};
use super::process_layout::ProcessLayout;
use super::record::Record;
use super::topology::{FlowIndex, Topology, ZoneIndex};
use super::work::next_arrival;
use crate::kernel::{Context, ProcessId};
use bramblewheel_core::context::Operation;
use bramblewheel_types::{OperationKey, Outcome, RequestId, Timestamp};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Low bits of a send's or request's number, which count within one zone; the high bits are the zone.
const NUMBER_BITS: u32 = 40;

/// Result of one request of a person.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestResult {
    /// Flow of the request.
    pub flow: FlowIndex,
    /// When it was first sent.
    pub began: Timestamp,
    /// When the whole answer arrived, if it did.
    pub completed: Option<Timestamp>,
    /// Number of sends.
    pub sends: u32,
    /// Request id of the send that was answered in full, or of the last one.
    pub request: RequestId,
}

impl RequestResult {
    /// Whether the whole answer arrived within the deadline.
    pub fn is_good(&self, topology: &Topology) -> bool {
        let deadline = Duration::from_millis(topology.flows[self.flow.0].model.deadline_ms);
        self.completed
            .is_some_and(|at| at.since(self.began) <= deadline)
    }
}

#[derive(Debug)]
struct Person {
    result: RequestResult,
    caller: String,
    has_id: bool,
    in_session: bool,
    /// Position among the zone's sessions, if sessions have tokens.
    session: Option<usize>,
    operation: Option<Operation>,
    resend: u32,
    /// Whether no connection could be opened for the last send.
    is_unsent: bool,
    /// Destination of the last send.
    last_destination: Option<ProcessId>,
}

#[derive(Debug)]
struct OpenSend {
    person: u64,
    to: ProcessId,
    request: RequestId,
    resend: u32,
}

/// The callers of one zone.
#[derive(Debug)]
pub struct Callers {
    topology: Arc<Topology>,
    layout: ProcessLayout,
    zone: ZoneIndex,
    layer: LayerKind,
    load: LoadProfile,
    behaviour: CallerBehaviour,
    people: BTreeMap<u64, Person>,
    sends: HashMap<SendId, OpenSend>,
    answered_sends: HashSet<SendId>,
    /// Tokens of the zone's sessions; `None` until a session is opened.
    sessions: Vec<Option<String>>,
    last_number: u64,
    results: Vec<RequestResult>,
}

impl Callers {
    /// Callers of a zone; `load` is the load of all zones together.
    pub fn new(
        topology: Arc<Topology>,
        zone: ZoneIndex,
        layer: LayerKind,
        load: LoadProfile,
        behaviour: CallerBehaviour,
    ) -> Self {
        Self {
            layout: ProcessLayout::new(&topology),
            topology,
            zone,
            layer,
            load,
            behaviour,
            people: BTreeMap::new(),
            sends: HashMap::new(),
            answered_sends: HashSet::new(),
            sessions: vec![None; behaviour.sessions_per_zone as usize],
            last_number: (zone.0 as u64) << NUMBER_BITS,
            results: Vec::new(),
        }
    }

    /// Results of finished requests, and the results so far of those in progress.
    pub fn results(&self) -> impl Iterator<Item = &RequestResult> {
        let open = self.people.values().map(|person| &person.result);
        self.results.iter().chain(open)
    }

    /// Number of requests in progress.
    pub fn open(&self) -> usize {
        self.people.len()
    }

    pub(super) fn start(&mut self, context: &mut Context<'_, RequestActor>) {
        self.schedule_arrival(context);
    }

    fn schedule_arrival(&mut self, context: &mut Context<'_, RequestActor>) {
        let rate = self.load.peak_rate() / self.topology.zones.len() as f64;
        let wait = next_arrival(rate, context.random());
        context.set_timer(wait, Timer::Arrival);
    }

    pub(super) fn timer(&mut self, context: &mut Context<'_, RequestActor>, timer: Timer) {
        match timer {
            Timer::Arrival => {
                // Arrivals are drawn at the peak rate and thinned to the current rate.
                let now = context.virtual_now();
                let share = self.load.rate(now) / self.load.peak_rate();
                if context.random().random_bool(share) {
                    self.begin_request(context);
                }
                if now < self.load.ends {
                    self.schedule_arrival(context);
                }
            }
            Timer::Resend(person) => self.send(context, person),
            Timer::SendTimeout(send) => self.give_up(context, send),
            _ => {}
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn begin_request(&mut self, context: &mut Context<'_, RequestActor>) {
        let number = self.next_number();
        let now = context.virtual_now();
        let sessions = self.sessions.len();
        let random = context.random();
        let flow = flow_at(&self.topology, random.random());
        let model = &self.topology.flows[flow].model;
        let caller = random.random_range(0..self.behaviour.callers_per_zone);
        let operation = model.run_once.then(|| Operation {
            key: OperationKey::new(&format!("operation-{number:x}"))
                .expect("a short text of visible ASCII characters is a valid operation key"),
            minted_at_unix_millis: now.as_millis(),
        });
        let in_session = random.random_bool(model.in_session);
        let has_token = in_session && sessions > 0;
        let person = Person {
            result: RequestResult {
                flow: FlowIndex(flow),
                began: now,
                completed: None,
                sends: 0,
                request: draw_id(random),
            },
            caller: format!("caller-{}-{caller}", self.zone.0),
            has_id: random.random_bool(self.behaviour.with_id),
            in_session,
            session: has_token.then(|| random.random_range(0..sessions)),
            operation,
            resend: 0,
            is_unsent: false,
            last_destination: None,
        };
        self.people.insert(number, person);
        self.send(context, number);
    }

    fn send(&mut self, context: &mut Context<'_, RequestActor>, number: u64) {
        let send = SendId(self.next_number());
        let Some(person) = self.people.get_mut(&number) else {
            return;
        };
        person.result.sends += 1;
        let is_resend = person.result.sends > 1;
        if std::mem::take(&mut person.is_unsent) {
            // The last send reached no process, so this one does not count as a resend.
        } else if is_resend && person.has_id {
            person.resend += 1;
        } else if is_resend {
            person.result.request = draw_id(context.random());
        }
        let flow = &self.topology.flows[person.result.flow.0];
        let timeout = Duration::from_millis(flow.model.deadline_ms);
        let request = RootRequest {
            send,
            request: person.result.request,
            resend: person.resend,
            flow: person.result.flow,
            route: flow.route,
            caller: person.caller.clone(),
            timeout,
            criticality: None,
            session: session_claim(&self.sessions, person),
            operation: person.operation.clone(),
        };
        let in_session = person.in_session;
        let last_destination = person.last_destination;
        let open = OpenSend {
            person: number,
            to: self.destination(context, request.flow, last_destination),
            request: request.request,
            resend: request.resend,
        };
        context.record(Record::Sent {
            send,
            person: number,
            to: open.to,
            flow: request.flow,
            caller: request.caller.clone(),
            in_session,
            has_token: matches!(request.session, SessionClaim::Token(_)),
            request: request.request,
            resend: request.resend,
            operation: request.operation.as_ref().map(|o| o.key.clone()),
        });
        context.send(open.to, Message::Request(Box::new(request)));
        if let Some(person) = self.people.get_mut(&number) {
            person.last_destination = Some(open.to);
        }
        context.set_timer(timeout + self.behaviour.patience, Timer::SendTimeout(send));
        self.sends.insert(send, open);
    }

    /// A gateway, or a random endpoint of the service if there is no layer.
    fn destination(
        &self,
        context: &mut Context<'_, RequestActor>,
        flow: FlowIndex,
        last_destination: Option<ProcessId>,
    ) -> ProcessId {
        if self.layer.has_gateways() {
            let roams = self.behaviour.roams && self.topology.zones.len() > 1;
            return match last_destination {
                Some(last_destination) if roams => {
                    self.gateway_of_another_zone(context, last_destination)
                }
                _ => self.layout.gateway(self.zone),
            };
        }
        let route = self.topology.flows[flow.0].route;
        let service = self.topology.routes[route.0].service;
        let endpoints = &self.topology.services[service.0].endpoints;
        let position = context.random().random_range(0..endpoints.len());
        self.layout.host(endpoints[position])
    }

    fn gateway_of_another_zone(
        &self,
        context: &mut Context<'_, RequestActor>,
        last_destination: ProcessId,
    ) -> ProcessId {
        let zones = (0..self.topology.zones.len()).map(ZoneIndex);
        let gateways = zones.map(|zone| self.layout.gateway(zone));
        let others: Vec<ProcessId> = gateways
            .filter(|gateway| *gateway != last_destination)
            .collect();
        others[context.random().random_range(0..others.len())]
    }

    pub(super) fn receive(&mut self, context: &mut Context<'_, RequestActor>, message: Message) {
        if let Message::Answer(answer) = message {
            self.handle_answer(context, *answer);
        }
    }

    pub(super) fn undelivered(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        message: Message,
    ) {
        if let Message::Request(request) = message {
            self.connection_failed(context, request.send);
        }
    }

    fn handle_answer(&mut self, context: &mut Context<'_, RequestActor>, answer: CallerAnswer) {
        let CallerAnswer { send, outcome, .. } = answer;
        let Some(open) = self.sends.remove(&send) else {
            if self.answered_sends.contains(&send) {
                context.record(Record::ToldAgain { send });
            }
            return;
        };
        self.answered_sends.insert(send);
        let Some(person) = self.people.get_mut(&open.person) else {
            return;
        };
        if let (Some(session), Some(token)) = (person.session, answer.session_token) {
            self.sessions[session].get_or_insert(token);
        }
        if answer.session_refused {
            context.record(Record::SessionRefused { send });
        }
        context.record(Record::Told {
            send,
            answered: answer.body,
            request: open.request,
            resend: open.resend,
            operation: person.operation.as_ref().map(|o| o.key.clone()),
            outcome,
        });
        if outcome == Outcome::Completed {
            person.result.completed = Some(context.virtual_now());
            return self.finish(open.person);
        }
        self.schedule_resend(context, open.person);
    }

    fn connection_failed(&mut self, context: &mut Context<'_, RequestActor>, send: SendId) {
        let Some(open) = self.sends.remove(&send) else {
            return;
        };
        context.record(Record::NotReached { send });
        if let Some(person) = self.people.get_mut(&open.person) {
            person.is_unsent = true;
        }
        self.schedule_resend(context, open.person);
    }

    fn give_up(&mut self, context: &mut Context<'_, RequestActor>, send: SendId) {
        let Some(open) = self.sends.remove(&send) else {
            return;
        };
        let Some(person) = self.people.get(&open.person) else {
            return;
        };
        context.record(Record::GaveUp {
            send,
            request: open.request,
            resend: open.resend,
            operation: person.operation.as_ref().map(|o| o.key.clone()),
        });
        context.send(open.to, Message::CallerDisconnected(send));
        self.schedule_resend(context, open.person);
    }

    fn schedule_resend(&mut self, context: &mut Context<'_, RequestActor>, number: u64) {
        let is_last = self
            .people
            .get(&number)
            .is_some_and(|person| person.result.sends >= self.behaviour.max_sends);
        if is_last {
            return self.finish(number);
        }
        let spread = context.random().random_range(1.0..2.0);
        let pause = self.behaviour.pause.mul_f64(spread);
        context.set_timer(pause, Timer::Resend(number));
    }

    fn finish(&mut self, number: u64) {
        if let Some(person) = self.people.remove(&number) {
            self.results.push(person.result);
        }
    }
}

fn session_claim(sessions: &[Option<String>], person: &Person) -> SessionClaim {
    match person.session {
        Some(session) => match &sessions[session] {
            Some(token) => SessionClaim::Token(token.clone()),
            None => SessionClaim::Open,
        },
        None if person.in_session => SessionClaim::Assumed,
        None => SessionClaim::None,
    }
}

fn draw_id(random: &mut impl Rng) -> RequestId {
    RequestId(u128::from(random.next_u64()) << 64 | u128::from(random.next_u64()))
}
