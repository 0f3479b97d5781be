//! Sends one request, with resends, until it is settled.

use super::gateways::Gateway;
use super::load::Shared;
use super::sessions::SessionUse;
use crate::client::{CallReply, OutgoingCall, set};
use crate::journal::{CallerOutcome, Event, Failure, ReplyFromDaemon, RootSend};
use crate::lab_headers;
use bramblewheel_protocol::headers;
use bramblewheel_sim::deployment::FlowModel;
use bramblewheel_types::{Criticality, NotRunReason, OperationKey, RequestId};
use bytes::Bytes;
use http::HeaderMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Largest number of sends by one caller, including the first.
const MAX_SENDS: u32 = 4;
/// Pause before a resend when the answer gives no retry time.
const DEFAULT_PAUSE: Duration = Duration::from_millis(50);
/// Remaining time below which a request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Outcome of a send when the gateway is down.
const NOT_CONNECTED: CallerOutcome = CallerOutcome::Nothing {
    failure: Failure::NotConnected,
};

/// A flow of the deployment with the class of its route.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) model: FlowModel,
    pub(super) criticality: Criticality,
}

/// A request that is due to be sent.
#[derive(Clone, Debug)]
pub(super) struct PlannedRequest {
    pub(super) flow: Arc<Flow>,
    pub(super) request: RequestId,
    pub(super) due: Instant,
    pub(super) due_us: u64,
    /// Number of callers that send it at the same time, each through a different gateway.
    pub(super) copies: u32,
    /// Random number that selects the session; none if the request belongs to no session.
    pub(super) session_draw: Option<u32>,
}

/// State shared by all copies of one request.
struct Request {
    shared: Arc<Shared>,
    plan: PlannedRequest,
    deadline: Instant,
    operation: Option<(OperationKey, u128)>,
    /// Number of sends of all copies so far, which is the resend number of the next.
    sends: AtomicU32,
}

impl PlannedRequest {
    /// Sends the request until it is settled or its deadline has passed.
    pub(super) async fn send_all(self, shared: Arc<Shared>) {
        let model = &self.flow.model;
        let request = Arc::new(Request {
            deadline: self.due + Duration::from_millis(model.deadline_ms),
            operation: model.run_once.then(|| operation(&self)),
            sends: AtomicU32::new(0),
            shared,
            plan: self,
        });
        let mut copies = JoinSet::new();
        for copy in 0..request.plan.copies {
            copies.spawn(Arc::clone(&request).send_until_settled(copy));
        }
        while copies.join_next().await.is_some() {}
    }
}

fn operation(plan: &PlannedRequest) -> (OperationKey, u128) {
    let key = format!("{}-{}", plan.flow.model.name, plan.request);
    let key = OperationKey::new(&key).expect("names and ids are visible ASCII");
    let minted = SystemTime::now().duration_since(UNIX_EPOCH);
    (key, minted.unwrap_or_default().as_millis())
}

impl Request {
    /// Resends through the same gateway as long as it answers, because it knows the outcome of the earlier sends.
    /// Switches to the next gateway when this one does not answer or is leaving.
    async fn send_until_settled(self: Arc<Self>, copy: u32) {
        let mut gateway_number = copy;
        let mut unused_resend = None;
        for _ in 0..MAX_SENDS {
            let time_left = self.deadline.saturating_duration_since(Instant::now());
            if time_left < MIN_TIME_LEFT {
                return;
            }
            let Some(gateway) = self.shared.gateways.nth(gateway_number) else {
                return;
            };
            let resend = unused_resend.take().unwrap_or_else(|| self.next_resend());
            let reply = self.send(&gateway, resend, time_left).await;
            if reply.reply.outcome == NOT_CONNECTED {
                // Nothing was sent, so the next send reuses this resend number.
                unused_resend = Some(resend);
            }
            if should_switch_gateway(reply.reply.outcome) {
                self.shared.gateways.avoid(&gateway.name);
                gateway_number += 1;
            }
            let Some(pause) = pause_before_resend(&reply) else {
                return;
            };
            sleep(pause).await;
        }
    }

    fn next_resend(&self) -> u32 {
        self.sends.fetch_add(1, Ordering::Relaxed)
    }

    async fn send(&self, gateway: &Gateway, resend: u32, time_left: Duration) -> CallReply {
        let session = match self.plan.session_draw {
            Some(draw) => self.shared.sessions.pick(draw),
            None => SessionUse::None,
        };
        let send = self.shared.next_number();
        let sent = self.describe(send, resend, gateway, time_left, &session);
        let call = self.outgoing(&sent, gateway, time_left, &session);
        let journal = &self.shared.journal;
        journal.write(Event::Sent(sent));
        let guard = UnansweredSend {
            shared: &self.shared,
            send,
            has_ended: false,
        };
        let reply = self.shared.client.call(&call).await;
        guard.ended(reply.reply);
        if let (SessionUse::Open(index), Some(token)) = (session, &reply.session) {
            self.shared.sessions.store_token(index, token.clone());
        }
        reply
    }

    fn describe(
        &self,
        send: u64,
        resend: u32,
        gateway: &Gateway,
        time_left: Duration,
        session: &SessionUse,
    ) -> RootSend {
        let flow = &self.plan.flow;
        let session = match session {
            SessionUse::Token(index, _) => Some(*index as u64),
            SessionUse::None | SessionUse::Open(_) => None,
        };
        RootSend {
            send,
            request: self.plan.request,
            resend,
            flow: flow.model.name.clone(),
            service: flow.model.service.clone(),
            criticality: flow.criticality,
            operation: self.operation.as_ref().map(|(key, _)| key.clone()),
            session,
            gateway: gateway.name.clone(),
            timeout_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
            due_us: self.plan.due_us,
        }
    }

    fn outgoing(
        &self,
        sent: &RootSend,
        gateway: &Gateway,
        timeout: Duration,
        session: &SessionUse,
    ) -> OutgoingCall {
        let mut map = HeaderMap::new();
        set(&mut map, headers::SERVICE, &sent.service);
        set(&mut map, headers::REQUEST_ID, sent.request);
        set(&mut map, headers::RESEND, sent.resend);
        set(&mut map, headers::CALLER, &self.shared.name);
        set(&mut map, headers::TIMEOUT_MS, sent.timeout_ms);
        set(&mut map, lab_headers::SEND, sent.send);
        set(&mut map, lab_headers::CALL, sent.send);
        set(&mut map, lab_headers::DEPTH, 1);
        if let Some((key, minted_ms)) = &self.operation {
            set(&mut map, headers::OPERATION_KEY, key);
            set(&mut map, headers::OPERATION_MINTED, minted_ms);
        }
        match session {
            SessionUse::None => {}
            SessionUse::Open(_) => set(&mut map, headers::SESSION, headers::SESSION_OPEN),
            SessionUse::Token(_, token) => set(&mut map, headers::SESSION, token),
        }
        OutgoingCall {
            daemon: gateway.address,
            path: self.plan.flow.model.path.clone(),
            headers: map,
            body: Bytes::from(format!("flow={}", sent.flow)),
            request: sent.request,
            timeout,
        }
    }
}

/// Pause before the next send; none when the request is settled or would be refused again.
fn pause_before_resend(reply: &CallReply) -> Option<Duration> {
    match reply.reply.outcome {
        CallerOutcome::Completed | CallerOutcome::Failed => None,
        CallerOutcome::NotRun { reason } if is_permanent(reason) => None,
        CallerOutcome::NotRun { .. } | CallerOutcome::Unknown | CallerOutcome::Nothing { .. } => {
            Some(reply.retry_after.unwrap_or(DEFAULT_PAUSE))
        }
    }
}

/// Whether the next send should go to another gateway.
fn should_switch_gateway(outcome: CallerOutcome) -> bool {
    match outcome {
        CallerOutcome::Nothing { .. } => true,
        CallerOutcome::NotRun { reason } => {
            matches!(reason, NotRunReason::Draining | NotRunReason::NotReady)
        }
        CallerOutcome::Completed | CallerOutcome::Failed | CallerOutcome::Unknown => false,
    }
}

/// Whether the same request would be refused again.
fn is_permanent(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::InvalidRequest | NotRunReason::OperationExpired | NotRunReason::TooDeep
    )
}

/// A send that is not answered yet. If it is dropped before, the journal records that no answer came.
struct UnansweredSend<'a> {
    shared: &'a Shared,
    send: u64,
    has_ended: bool,
}

impl UnansweredSend<'_> {
    fn ended(mut self, reply: ReplyFromDaemon) {
        self.has_ended = true;
        let send = self.send;
        self.shared.journal.write(Event::SendEnded { send, reply });
    }
}

impl Drop for UnansweredSend<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let failure = Failure::Silent;
        let reply = ReplyFromDaemon {
            outcome: CallerOutcome::Nothing { failure },
            status: None,
            own_whole: None,
        };
        let send = self.send;
        self.shared.journal.write(Event::SendEnded { send, reply });
    }
}
