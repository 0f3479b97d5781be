//! State of the local endpoint and of the queue for its slots.
//!
//! [`LocalEndpoint`](super::LocalEndpoint) holds it under its lock. [`Incarnations`] orders the incarnations.

use super::permit::ClassEntry;
use super::{HeartbeatResult, Refusal};
use bramblewheel_decisions::admission::{
    Admission, AdmissionQueue, Arrival, QueuePosition, Ticket,
};
use bramblewheel_decisions::class_limit::{Answered, ClassLimit};
use bramblewheel_decisions::decaying_share::DecayingShare;
use bramblewheel_decisions::endpoint_crash::{CrashesByContent, UnansweredRequests};
use bramblewheel_decisions::endpoint_limit::EndpointLimit;
use bramblewheel_decisions::incarnations::{HeartbeatOrigin, Incarnations};
use bramblewheel_decisions::load_statement::NewestStatement;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::run_time::RunTimes;
use bramblewheel_decisions::running_requests::RunningRequests;
use bramblewheel_decisions::table::ServiceSettings;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Maximum number of incarnations whose last sequence number or final state is kept, to bound memory.
const MAX_INCARNATIONS: usize = 256;
/// Weight of the newest outcome in the share of failures.
const FAILURE_SMOOTHING: f64 = 0.05;
/// Silence of the current incarnation after which a heartbeat of an earlier one is accepted: two and a half heartbeat
/// periods. A heartbeat that was only delayed arrives while the current incarnation still sends its own.
const SUCCESSOR_SILENCE: Duration = Duration::from_secs(4);
/// Maximum number of classes with a limit or run times, to bound memory.
const MAX_CLASSES: usize = 512;

/// The current endpoint: the one whose heartbeat was taken last.
#[derive(Debug)]
pub(super) struct CurrentEndpoint {
    pub(super) record: EndpointRecord,
    /// Whether the control group has confirmed that the endpoint takes work.
    pub(super) is_confirmed: bool,
    /// When its last heartbeat arrived; `None` if there was none since the daemon's start or since it fell silent.
    pub(super) last_heartbeat: Option<Timestamp>,
    /// Time until which nothing is sent to it.
    pub(super) unreachable_until: Timestamp,
    /// The rate limit that it states.
    pub(super) rate_limit: EndpointLimit,
    /// Whether it has stated in an answer that it drains.
    pub(super) has_drain_notice: bool,
    /// What it stated last of its load.
    pub(super) stated_load: NewestStatement,
}

/// A call of the endpoint that found no capacity.
#[derive(Clone, Debug)]
pub(super) struct CallWithoutCapacity {
    pub(super) at: Timestamp,
    /// Service without capacity.
    pub(super) service: ServiceName,
}

/// State of the endpoint.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) current: Option<CurrentEndpoint>,
    pub(super) queue: AdmissionQueue,
    pub(super) class_limits: HashMap<RequestClass, ClassLimit>,
    /// How long the endpoint takes for the requests of each class.
    pub(super) run_times: HashMap<RequestClass, RunTimes>,
    /// Fading share of the requests that the endpoint failed.
    pub(super) failed: DecayingShare,
    /// Channels that tell the requests in the queue whether they may run, and otherwise why not.
    pub(super) waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    /// The order of the endpoint's incarnations.
    pub(super) incarnations: Incarnations,
    /// The incarnation whose heartbeat was taken last; watched by running requests.
    pub(super) newest: watch::Sender<Option<EndpointId>>,
    /// Last sequence number of each incarnation, so that a late heartbeat does not reopen it.
    pub(super) last_sequences: HashMap<EndpointId, u64>,
    /// Incarnations that another one has followed on this machine.
    pub(super) superseded: HashSet<EndpointId>,
    /// Final states of incarnations that take no more work.
    pub(super) final_states: HashMap<EndpointId, EndpointState>,
    /// Settings of the services of the route table in force.
    pub(super) services: BTreeMap<ServiceName, ServiceSettings>,
    pub(super) is_stopping: bool,
    /// Requests that run at the endpoint.
    pub(super) running: RunningRequests,
    /// The last call of the endpoint that found no capacity.
    pub(super) call_without_capacity: Option<CallWithoutCapacity>,
    /// Requests that ended without an answer.
    pub(super) unanswered: UnansweredRequests,
    /// Number of crashed incarnations by content that was running.
    pub(super) crashes_by_content: CrashesByContent,
    pub(super) crash_probe: CrashProbe,
    /// Whether the endpoint has a rate limit or takes no work, so that each request is checked right before it is sent.
    pub(super) must_check_sends: Arc<AtomicBool>,
}

/// A request's position in the queue and the channel that tells whether it may run.
pub(super) type WaitingPosition = (QueuePosition, oneshot::Receiver<Result<(), Refusal>>);

/// Slots of an endpoint that can be used with the connections that its service allows, since each request occupies one.
pub(super) fn usable_slots(
    services: &BTreeMap<ServiceName, ServiceSettings>,
    record: &EndpointRecord,
) -> u32 {
    let settings = services.get(&record.service);
    settings.map_or(record.slots, |settings| {
        record.slots.min(settings.max_connections)
    })
}

/// State of the crash probe that runs after connections broke.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrashProbe {
    pub(super) is_running: bool,
    pub(super) is_due: bool,
}

impl State {
    /// Incarnation of the endpoint that a heartbeat comes from.
    pub(super) fn origin(&mut self, now: Timestamp, record: &EndpointRecord) -> HeartbeatOrigin {
        let stated = &record.endpoint;
        if record.state.is_final() {
            return self.incarnations.record_final_heartbeat(now, stated);
        }
        let final_states = &self.final_states;
        let has_ended = |incarnation: &EndpointId| final_states.contains_key(incarnation);
        self.incarnations
            .record_heartbeat(now, stated, record.sequence, has_ended)
    }

    /// Makes another incarnation the current one.
    pub(super) fn set_current(&mut self, current: CurrentEndpoint) {
        self.newest
            .send_replace(Some(current.record.endpoint.clone()));
        self.current = Some(current);
        self.update_send_checks();
    }

    /// Updates whether requests must be checked right before they are sent.
    pub(super) fn update_send_checks(&self) {
        let current = self.current.as_ref();
        let is_unrestricted = current.is_some_and(|current| {
            let takes_work = current.record.state == EndpointState::Ready;
            takes_work && !current.rate_limit.is_in_force()
        });
        self.must_check_sends
            .store(!is_unrestricted, Ordering::Relaxed);
    }

    /// Counts a request in its class; returns whether the limit of the class allows it.
    pub(super) fn begin_in_class(&mut self, now: Timestamp, class_entry: ClassEntry) -> bool {
        let capacity = self.queue.capacity();
        let limits = &mut self.class_limits;
        if limits.len() >= MAX_CLASSES {
            limits.clear();
        }
        let limit = limits.entry(class_entry.class);
        let limit = limit.or_insert_with(|| ClassLimit::new(now, capacity));
        limit.begin(!class_entry.is_limited)
    }

    /// Removes a request from the count of its class and updates the limit, with its answer if it got one.
    pub(super) fn end_in_class(
        &mut self,
        now: Timestamp,
        class_entry: ClassEntry,
        answered: Option<Answered>,
    ) {
        if let Some(limit) = self.class_limits.get_mut(&class_entry.class) {
            limit.end(now, answered, class_entry.objective);
        }
    }

    /// Records how long a request of a class ran that the endpoint answered with success.
    pub(super) fn record_run_time(&mut self, now: Timestamp, class: RequestClass, time: Duration) {
        if self.run_times.len() >= MAX_CLASSES && !self.run_times.contains_key(&class) {
            self.run_times.clear();
        }
        self.run_times.entry(class).or_default().record(now, time);
    }

    /// Counts a request that the endpoint answered, or failed to.
    pub(super) fn record_outcome(&mut self, now: Timestamp, has_failed: bool) {
        self.failed.record(now, has_failed, FAILURE_SMOOTHING);
    }

    /// Tells requests in the queue that they may run.
    pub(super) fn start(&mut self, tickets: Vec<Ticket>) {
        self.decide_waiting(tickets, Ok(()));
    }

    /// Tells requests in the queue whether they may run.
    fn decide_waiting(&mut self, tickets: Vec<Ticket>, decision: Result<(), Refusal>) {
        for ticket in tickets {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // A cancelled request releases its slot when it is dropped.
                let _ = waiting.send(decision);
            }
        }
    }

    /// Refuses all requests in the queue.
    pub(super) fn refuse_waiting(&mut self) {
        let waiting = self.queue.refuse_all();
        self.decide_waiting(waiting, Err(Refusal::Full));
    }

    /// Why a request for this incarnation can't be sent to the endpoint now, apart from its slots; `None` if it can.
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

    /// Stores the last sequence number of an incarnation.
    pub(super) fn record_sequence(&mut self, endpoint: &EndpointId, sequence: u64) {
        if self.last_sequences.len() >= MAX_INCARNATIONS {
            self.last_sequences.clear();
        }
        self.last_sequences.insert(endpoint.clone(), sequence);
    }
}

impl State {
    /// Adds a request to the queue; returns its position if it must wait, `None` if it runs at once.
    pub(super) fn enter_queue(
        &mut self,
        arrival: Arrival,
    ) -> Result<Option<WaitingPosition>, Refusal> {
        let position = match self.queue.arrive(arrival) {
            Admission::Run => return Ok(None),
            Admission::Refuse => return Err(Refusal::Full),
            Admission::Wait(position) => position,
            Admission::WaitInsteadOf(position, displaced, displacement) => {
                let refusal = Refusal::Displaced(displacement);
                self.decide_waiting(vec![displaced], Err(refusal));
                position
            }
        };
        let (sender, admission) = oneshot::channel();
        self.waiting.insert(position.ticket, sender);
        Ok(Some((position, admission)))
    }

    /// Takes a heartbeat with a final state: draining or gone.
    pub(super) fn take_final_heartbeat(&mut self, record: EndpointRecord) -> HeartbeatResult {
        let final_state = record.state;
        let recorded = self.final_states.get(&record.endpoint);
        if recorded.is_some_and(|recorded| *recorded >= final_state) {
            return HeartbeatResult::Known;
        }
        if let Some(current) = &mut self.current
            && current.record.endpoint == record.endpoint
        {
            current.record.state = final_state;
            self.refuse_waiting();
            self.update_send_checks();
        }
        HeartbeatResult::Changed
    }

    /// Takes a heartbeat of an endpoint that takes work.
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
            let slots = usable_slots(&self.services, &record);
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
        self.run_times.clear();
        self.queue.set_slots(usable_slots(&self.services, &record));
        self.record_succession(&record.endpoint);
        self.set_current(CurrentEndpoint {
            record,
            is_confirmed: false,
            last_heartbeat: Some(now),
            unreachable_until: Timestamp::ZERO,
            rate_limit: EndpointLimit::default(),
            has_drain_notice: false,
            stated_load: NewestStatement::default(),
        });
        HeartbeatResult::Changed
    }

    /// Whether a heartbeat comes from an incarnation that another one has followed, and that one still sends
    /// heartbeats.
    fn is_late_predecessor(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let last_heartbeat = current.last_heartbeat;
        let is_alive = last_heartbeat.is_some_and(|last| now.since(last) < SUCCESSOR_SILENCE);
        is_alive && self.superseded.contains(endpoint)
    }

    /// Records that an incarnation follows the current one.
    fn record_succession(&mut self, endpoint: &EndpointId) {
        if self.superseded.len() >= MAX_INCARNATIONS {
            self.superseded.clear();
        }
        if let Some(current) = &self.current {
            self.superseded.insert(current.record.endpoint.clone());
        }
        self.superseded.remove(endpoint);
    }

    /// Records the final state of an incarnation, which takes no more work.
    pub(super) fn close(&mut self, endpoint: &EndpointId, recorded: EndpointState) {
        if self.final_states.len() >= MAX_INCARNATIONS {
            self.final_states.clear();
        }
        self.final_states.insert(endpoint.clone(), recorded);
        if let Some(current) = &mut self.current
            && current.record.endpoint == *endpoint
        {
            current.record.state = recorded;
            self.refuse_waiting();
            self.update_send_checks();
        }
    }
}
