//! What is known of the local endpoint, and who waits for a slot.
//!
//! Owns all of it; [`LocalEndpoint`](super::LocalEndpoint) holds it under its lock. Relies on
//! [`Incarnations`] for the order of incarnations.

use super::permit::ClassShare;
use super::{HeartbeatResult, Refusal};
use bramblewheel_decisions::admission::{
    Admission, AdmissionQueue, Arrival, QueuePosition, Ticket,
};
use bramblewheel_decisions::class_limit::{Answered, ClassLimit};
use bramblewheel_decisions::decaying_share::DecayingShare;
use bramblewheel_decisions::endpoint_crash::{CrashesByContent, UnansweredRequests};
use bramblewheel_decisions::incarnations::{HeartbeatOrigin, Incarnations};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::RunningRequests;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Incarnations of which the last sequence number and the final state are kept, so that memory is bounded. Chosen, not
/// measured.
const MAX_REMEMBERED: usize = 256;
/// Weight of the newest outcome in the share of failures. Chosen, not measured.
const FAILURE_SMOOTHING: f64 = 0.05;
/// Silence of the current incarnation after which a heartbeat of an earlier one is taken for what it says: two and
/// a half periods of heartbeats. One that was delayed on its way comes while the current one sends heartbeats.
/// Chosen, not measured.
const SUCCESSOR_SILENCE: Duration = Duration::from_secs(4);
/// Classes with a limit, so that memory is bounded. Chosen, not measured.
const MAX_CLASSES: usize = 512;

/// The endpoint whose heartbeat was taken last.
#[derive(Debug)]
pub(super) struct Current {
    pub(super) record: EndpointRecord,
    /// Whether the control group has confirmed that the endpoint takes work.
    pub(super) is_confirmed: bool,
    /// When its last heartbeat came; none since the daemon's start, or since it fell silent.
    pub(super) last_heartbeat: Option<Timestamp>,
    /// Nothing is sent to it until then.
    pub(super) unreachable_until: Timestamp,
}

/// A call of the endpoint that found no capacity.
#[derive(Clone, Debug)]
pub(super) struct CallWithoutCapacity {
    pub(super) at: Timestamp,
    /// Service that had none.
    pub(super) service: ServiceName,
}

/// What is known of the endpoint.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) current: Option<Current>,
    pub(super) queue: AdmissionQueue,
    pub(super) class_limits: HashMap<RequestClass, ClassLimit>,
    /// Share of the requests that the endpoint failed lately.
    pub(super) failed: DecayingShare,
    /// What tells the requests in the queue whether they may run.
    pub(super) waiting: HashMap<Ticket, oneshot::Sender<bool>>,
    /// The order of the endpoint's incarnations.
    pub(super) incarnations: Incarnations,
    /// The incarnation whose heartbeat was taken last.
    pub(super) newest: watch::Sender<Option<EndpointId>>,
    /// Last sequence number of each incarnation, so that a late heartbeat does not bring it back.
    pub(super) last_sequences: HashMap<EndpointId, u64>,
    /// Incarnations that were followed by another one here.
    pub(super) succeeded: HashSet<EndpointId>,
    /// Incarnations that take no work any more.
    pub(super) final_states: HashMap<EndpointId, EndpointState>,
    pub(super) is_stopping: bool,
    /// Requests that run at the endpoint.
    pub(super) running: RunningRequests,
    /// The last call of the endpoint that found no capacity.
    pub(super) call_without_capacity: Option<CallWithoutCapacity>,
    /// Requests whose answers will not come.
    pub(super) unanswered: UnansweredRequests,
    /// How many incarnations crashed under which content.
    pub(super) crashes_by_content: CrashesByContent,
    pub(super) crash_probe: CrashProbe,
}

/// The probe whether the endpoint crashed, after connections broke.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrashProbe {
    pub(super) is_under_way: bool,
    pub(super) is_due: bool,
}

impl State {
    /// Which incarnation of the endpoint a heartbeat comes from.
    pub(super) fn origin(&mut self, now: Timestamp, record: &EndpointRecord) -> HeartbeatOrigin {
        let stated = &record.endpoint;
        if record.state.is_final() {
            return self.incarnations.record_final_heartbeat(now, stated);
        }
        let final_states = &self.final_states;
        let has_ended = |start: &EndpointId| final_states.contains_key(start);
        self.incarnations
            .record_heartbeat(now, stated, record.sequence, has_ended)
    }

    /// Another incarnation is there from now on.
    pub(super) fn set_current(&mut self, current: Current) {
        self.newest
            .send_replace(Some(current.record.endpoint.clone()));
        self.current = Some(current);
    }

    /// Takes a request in among those of its class; returns whether the limit of the class allows it.
    pub(super) fn begin_in_class(&mut self, now: Timestamp, share: ClassShare) -> bool {
        let capacity = self.queue.capacity();
        let limits = &mut self.class_limits;
        if limits.len() >= MAX_CLASSES {
            limits.clear();
        }
        let limit = limits.entry(share.class);
        let limit = limit.or_insert_with(|| ClassLimit::new(now, capacity));
        limit.begin(!share.is_limited)
    }

    /// A request that was taken in among those of its class has ended, with an answer or without.
    pub(super) fn end_in_class(
        &mut self,
        now: Timestamp,
        share: ClassShare,
        answered: Option<Answered>,
    ) {
        if let Some(limit) = self.class_limits.get_mut(&share.class) {
            limit.end(now, answered, share.objective);
        }
    }

    /// Counts a request that the endpoint answered, or failed to.
    pub(super) fn note_outcome(&mut self, now: Timestamp, has_failed: bool) {
        self.failed.record(now, has_failed, FAILURE_SMOOTHING);
    }

    /// Lets requests in the queue run.
    pub(super) fn start(&mut self, tickets: Vec<Ticket>) {
        self.decide_waiting(tickets, true);
    }

    /// Tells requests in the queue whether they may run.
    fn decide_waiting(&mut self, tickets: Vec<Ticket>, may_run: bool) {
        for ticket in tickets {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // One that went away gives its slot back by itself.
                let _ = waiting.send(may_run);
            }
        }
    }

    /// Refuses all requests in the queue.
    pub(super) fn refuse_waiting(&mut self) {
        let waiting = self.queue.refuse_all();
        self.decide_waiting(waiting, false);
    }

    /// Why a request for this incarnation may not go to the endpoint now, whatever its slots.
    pub(super) fn refusal(&self, endpoint: &EndpointId, now: Timestamp) -> Option<Refusal> {
        if self.is_stopping {
            return Some(Refusal::Leaving);
        }
        let Some(current) = &self.current else {
            return Some(Refusal::Leaving);
        };
        let takes_work = current.is_confirmed && current.record.state == EndpointState::Ready;
        if current.record.endpoint != *endpoint || !takes_work {
            return Some(Refusal::Leaving);
        }
        (now < current.unreachable_until).then_some(Refusal::Unreachable)
    }

    /// Keeps the last sequence number of an incarnation.
    pub(super) fn remember(&mut self, endpoint: &EndpointId, sequence: u64) {
        if self.last_sequences.len() >= MAX_REMEMBERED {
            self.last_sequences.clear();
        }
        self.last_sequences.insert(endpoint.clone(), sequence);
    }
}

impl State {
    /// Takes a request in; one that must wait gets its ticket.
    pub(super) fn enter(
        &mut self,
        arrival: Arrival,
    ) -> Result<Option<(QueuePosition, oneshot::Receiver<bool>)>, Refusal> {
        let position = match self.queue.arrive(arrival) {
            Admission::Run => return Ok(None),
            Admission::Refuse => return Err(Refusal::Full),
            Admission::Wait(position) => position,
            Admission::WaitInsteadOf(position, displaced) => {
                self.decide_waiting(vec![displaced], false);
                position
            }
        };
        let (sender, admission) = oneshot::channel();
        self.waiting.insert(position.ticket, sender);
        Ok(Some((position, admission)))
    }

    /// Takes a heartbeat that says that the endpoint is draining or gone.
    pub(super) fn take_final_heartbeat(&mut self, record: EndpointRecord) -> HeartbeatResult {
        let wanted = record.state;
        let recorded = self.final_states.get(&record.endpoint);
        if recorded.is_some_and(|recorded| *recorded >= wanted) {
            return HeartbeatResult::Known;
        }
        if let Some(current) = &mut self.current
            && current.record.endpoint == record.endpoint
        {
            current.record.state = wanted;
            self.refuse_waiting();
        }
        HeartbeatResult::Changed
    }

    /// Takes a heartbeat that says that the endpoint takes work.
    pub(super) fn take_ready_heartbeat(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
    ) -> HeartbeatResult {
        if let Some(current) = &mut self.current
            && current.record.endpoint == record.endpoint
        {
            current.last_heartbeat = Some(now);
            if current.record.state != EndpointState::Ready {
                return HeartbeatResult::Late;
            }
            let is_same = current.record.slots == record.slots
                && current.record.endpoint_address == record.endpoint_address;
            let is_known = is_same && current.is_confirmed;
            let slots = record.slots;
            current.record = record;
            self.queue.set_slots(slots);
            return if is_known {
                HeartbeatResult::Known
            } else {
                HeartbeatResult::Changed
            };
        }
        if self.is_late_predecessor(now, &record.endpoint) {
            return HeartbeatResult::Late;
        }
        self.refuse_waiting();
        self.failed = DecayingShare::default();
        self.queue.set_slots(record.slots);
        self.note_succession(&record.endpoint);
        self.set_current(Current {
            record,
            is_confirmed: false,
            last_heartbeat: Some(now),
            unreachable_until: Timestamp::ZERO,
        });
        HeartbeatResult::Changed
    }

    /// Whether a heartbeat comes from an incarnation that another one has followed which still sends heartbeats.
    fn is_late_predecessor(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let last_heartbeat = current.last_heartbeat;
        let is_alive = last_heartbeat.is_some_and(|last| now.since(last) < SUCCESSOR_SILENCE);
        is_alive && self.succeeded.contains(endpoint)
    }

    /// Notes that an incarnation follows the current one.
    fn note_succession(&mut self, endpoint: &EndpointId) {
        if self.succeeded.len() >= MAX_REMEMBERED {
            self.succeeded.clear();
        }
        if let Some(current) = &self.current {
            self.succeeded.insert(current.record.endpoint.clone());
        }
        self.succeeded.remove(endpoint);
    }

    /// An incarnation takes no work any more.
    pub(super) fn close(&mut self, endpoint: &EndpointId, recorded: EndpointState) {
        if self.final_states.len() >= MAX_REMEMBERED {
            self.final_states.clear();
        }
        self.final_states.insert(endpoint.clone(), recorded);
        if let Some(current) = &mut self.current
            && current.record.endpoint == *endpoint
        {
            current.record.state = recorded;
            self.refuse_waiting();
        }
    }
}
