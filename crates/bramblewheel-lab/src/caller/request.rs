//! One request, from its first send to its last.

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

/// Most sends by one caller, the first included.
const MAX_SENDS: u32 = 4;
/// Pause before a resend after an answer that names no time.
const PAUSE: Duration = Duration::from_millis(50);
/// Time left below which nothing is sent again.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// What a caller sees of a gateway that is down.
const NOT_SENT: CallerOutcome = CallerOutcome::Nothing {
    failure: Failure::NotConnected,
};

/// A kind of request.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) model: FlowModel,
    pub(super) criticality: Criticality,
}

/// A request that is due.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) flow: Arc<Flow>,
    pub(super) request: RequestId,
    pub(super) due: Instant,
    pub(super) due_us: u64,
    /// Callers that send it at the same time, each through another gateway.
    pub(super) copies: u32,
    /// Picks the session; none if the request belongs to none.
    pub(super) session_draw: Option<u32>,
}

/// What the copies of one request share.
struct Request {
    shared: Arc<Shared>,
    plan: Plan,
    deadline: Instant,
    operation: Option<(OperationKey, u128)>,
    /// Sends so far, of all copies: the resend number of the next.
    sends: AtomicU32,
}

impl Plan {
    /// Sends the request until it is settled or its deadline has passed.
    pub(super) async fn carry_out(self, shared: Arc<Shared>) {
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

fn operation(plan: &Plan) -> (OperationKey, u128) {
    let key = format!("{}-{}", plan.flow.model.name, plan.request);
    let key = OperationKey::new(&key).expect("names and ids are visible ASCII");
    let minted = SystemTime::now().duration_since(UNIX_EPOCH);
    (key, minted.unwrap_or_default().as_millis())
}

impl Request {
    /// Stays with a gateway that answers: it remembers what became of the earlier sends. Goes on
    /// to the next when it is silent or leaving.
    async fn send_until_settled(self: Arc<Self>, copy: u32) {
        let mut gateway_number = copy;
        let mut unsent = None;
        for _ in 0..MAX_SENDS {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if left < MIN_TIME_LEFT {
                return;
            }
            let Some(gateway) = self.shared.gateways.nth(gateway_number) else {
                return;
            };
            let resend = unsent.take().unwrap_or_else(|| self.next_resend());
            let reply = self.send(&gateway, resend, left).await;
            if reply.reply.outcome == NOT_SENT {
                // Nothing left this caller, so that the next try is no resend.
                unsent = Some(resend);
            }
            if leads_elsewhere(reply.reply.outcome) {
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

    async fn send(&self, gateway: &Gateway, resend: u32, left: Duration) -> CallReply {
        let session = match self.plan.session_draw {
            Some(draw) => self.shared.sessions.pick(draw),
            None => SessionUse::None,
        };
        let send = self.shared.next_number();
        let sent = self.describe(send, resend, gateway, left, &session);
        let call = self.outgoing(&sent, gateway, left, &session);
        let journal = &self.shared.journal;
        journal.write(Event::Sent(sent));
        let guard = UnansweredSend {
            shared: &self.shared,
            send,
            is_over: false,
        };
        let reply = self.shared.client.call(&call).await;
        guard.ended(reply.reply);
        if let (SessionUse::Open(index), Some(token)) = (session, &reply.session) {
            self.shared.sessions.opened(index, token.clone());
        }
        reply
    }

    fn describe(
        &self,
        send: u64,
        resend: u32,
        gateway: &Gateway,
        left: Duration,
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
            timeout_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
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

/// When to send again; none when the request is settled or sending again is of no use.
fn pause_before_resend(reply: &CallReply) -> Option<Duration> {
    match reply.reply.outcome {
        CallerOutcome::Completed | CallerOutcome::Failed => None,
        CallerOutcome::NotRun { reason } if is_lasting(reason) => None,
        CallerOutcome::NotRun { .. } | CallerOutcome::Unknown | CallerOutcome::Nothing { .. } => {
            Some(reply.retry_after.unwrap_or(PAUSE))
        }
    }
}

/// Whether another gateway may do better.
fn leads_elsewhere(outcome: CallerOutcome) -> bool {
    match outcome {
        CallerOutcome::Nothing { .. } => true,
        CallerOutcome::NotRun { reason } => {
            matches!(reason, NotRunReason::Draining | NotRunReason::NotReady)
        }
        CallerOutcome::Completed | CallerOutcome::Failed | CallerOutcome::Unknown => false,
    }
}

/// Whether the same request would be refused again.
fn is_lasting(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::InvalidRequest | NotRunReason::OperationExpired | NotRunReason::TooDeep
    )
}

/// A send that is not answered yet; the caller's own end is written down as a lost answer.
struct UnansweredSend<'a> {
    shared: &'a Shared,
    send: u64,
    is_over: bool,
}

impl UnansweredSend<'_> {
    fn ended(mut self, reply: ReplyFromDaemon) {
        self.is_over = true;
        let send = self.send;
        self.shared.journal.write(Event::SendEnded { send, reply });
    }
}

impl Drop for UnansweredSend<'_> {
    fn drop(&mut self) {
        if self.is_over {
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
