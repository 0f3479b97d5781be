//! Callers of one zone that send what a script says and never resend on their own.

use super::actor::RequestActor;
use super::message::{CallerAnswer, Message, RootRequest, SendId, SessionClaim, Timer};
use super::process_layout::ProcessLayout;
use super::record::Record;
use super::topology::{FlowIndex, Topology, ZoneIndex};
use crate::kernel::{Context, ProcessId};
use bramblewheel_core::context::Operation;
use bramblewheel_types::{Criticality, Outcome, RequestId, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// One send of a request at a given time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedSend {
    /// This send.
    pub send: SendId,
    /// The person whose request is sent.
    pub person: u64,
    /// Time of the send.
    pub at: Timestamp,
    /// Zone of the caller.
    pub zone: ZoneIndex,
    /// Zone of the gateway that receives the send.
    pub gateway: ZoneIndex,
    /// Id of the original request.
    pub request: RequestId,
    /// Number of resends so far under the same id.
    pub resend: u32,
    /// Flow of the request.
    pub flow: FlowIndex,
    /// Name of the caller.
    pub caller: String,
    /// Time that the caller allows for the whole answer.
    pub timeout: Duration,
    /// Class that the caller requests; the bundle's class if `None`.
    pub criticality: Option<Criticality>,
    /// Whether the request belongs to a session.
    pub in_session: bool,
    /// Set if the request must not run twice.
    pub operation: Option<Operation>,
}

#[derive(Debug)]
struct OpenSend {
    to: ProcessId,
    position: usize,
}

/// Callers of one zone that follow a script.
#[derive(Debug)]
pub struct ScriptedCallers {
    layout: ProcessLayout,
    topology: Arc<Topology>,
    patience: Duration,
    script: Vec<ScriptedSend>,
    open: HashMap<SendId, OpenSend>,
    answered_sends: BTreeMap<SendId, Outcome>,
}

impl ScriptedCallers {
    /// Creates callers with their sends; each waits for `patience` beyond its deadline.
    pub fn new(topology: Arc<Topology>, patience: Duration, script: Vec<ScriptedSend>) -> Self {
        Self {
            layout: ProcessLayout::new(&topology),
            topology,
            patience,
            script,
            open: HashMap::new(),
            answered_sends: BTreeMap::new(),
        }
    }

    pub(super) fn start(&mut self, context: &mut Context<'_, RequestActor>) {
        for (position, send) in self.script.iter().enumerate() {
            context.set_timer_at(send.at, Timer::Resend(position as u64));
        }
    }

    pub(super) fn timer(&mut self, context: &mut Context<'_, RequestActor>, timer: Timer) {
        match timer {
            Timer::Resend(position) => self.send(context, position),
            Timer::SendTimeout(send) => self.give_up(context, send),
            _ => {}
        }
    }

    fn send(&mut self, context: &mut Context<'_, RequestActor>, position: u64) {
        let position = usize::try_from(position).expect("a script fits into memory");
        let scripted = &self.script[position];
        let send = scripted.send;
        let to = self.layout.gateway(scripted.gateway);
        let request = RootRequest {
            send,
            request: scripted.request,
            resend: scripted.resend,
            flow: scripted.flow,
            route: self.topology.flows[scripted.flow.0].route,
            caller: scripted.caller.clone(),
            timeout: scripted.timeout,
            criticality: scripted.criticality,
            session: match scripted.in_session {
                true => SessionClaim::Assumed,
                false => SessionClaim::None,
            },
            operation: scripted.operation.clone(),
        };
        context.record(Record::Sent {
            send,
            person: scripted.person,
            to,
            flow: request.flow,
            caller: request.caller.clone(),
            in_session: scripted.in_session,
            has_token: false,
            request: request.request,
            resend: request.resend,
            operation: request.operation.as_ref().map(|o| o.key.clone()),
        });
        context.send(to, Message::Request(Box::new(request)));
        context.set_timer(scripted.timeout + self.patience, Timer::SendTimeout(send));
        self.open.insert(send, OpenSend { to, position });
    }

    pub(super) fn receive(&mut self, context: &mut Context<'_, RequestActor>, message: Message) {
        if let Message::Answer(answer) = message {
            self.handle_answer(context, *answer);
        }
    }

    fn handle_answer(&mut self, context: &mut Context<'_, RequestActor>, answer: CallerAnswer) {
        let CallerAnswer { send, outcome, .. } = answer;
        let Some(open) = self.open.remove(&send) else {
            if self.answered_sends.contains_key(&send) {
                context.record(Record::ToldAgain { send });
            }
            return;
        };
        self.answered_sends.insert(send, outcome);
        let scripted = &self.script[open.position];
        context.record(Record::Told {
            send,
            answered: answer.body,
            request: scripted.request,
            resend: scripted.resend,
            operation: scripted.operation.as_ref().map(|o| o.key.clone()),
            outcome,
        });
    }

    pub(super) fn undelivered(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        message: Message,
    ) {
        if let Message::Request(request) = message
            && self.open.remove(&request.send).is_some()
        {
            let send = request.send;
            context.record(Record::NotReached { send });
        }
    }

    fn give_up(&mut self, context: &mut Context<'_, RequestActor>, send: SendId) {
        let Some(open) = self.open.remove(&send) else {
            return;
        };
        let scripted = &self.script[open.position];
        context.record(Record::GaveUp {
            send,
            request: scripted.request,
            resend: scripted.resend,
            operation: scripted.operation.as_ref().map(|o| o.key.clone()),
        });
        context.send(open.to, Message::CallerDisconnected(send));
    }
}
