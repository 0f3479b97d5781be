//! What is known of the local endpoint, and who waits for it.

use super::permit::ClassShare;
use super::starts::{Origin, Starts};
use super::{HeartbeatResult, Refusal};
use bramblewheel_decisions::admission::{
    Admission, AdmissionQueue, Arrival, QueuePosition, Ticket,
};
use bramblewheel_decisions::class_limit::{Answered, ClassLimit};
use bramblewheel_decisions::endpoint_crash::{CrashesByContent, UnansweredRequests};
use bramblewheel_decisions::fading_share::FadingShare;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::RunningRequests;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Starts of endpoints whose last word is remembered.
const MAX_REMEMBERED: usize = 256;
/// Weight of the newest outcome in the share of failures.
const FAILURE_SMOOTHING: f64 = 0.05;
/// Silence of the current start of the endpoint after which a word of an earlier one is taken for what it
/// says: two and a half heartbeats. A word that was held up on its way comes while the new one is heard.
const SUCCESSOR_SILENCE: Duration = Duration::from_secs(4);
/// Routes whose times are known.
const MAX_ROUTES: usize = 512;

/// The endpoint that was heard last.
#[derive(Debug)]
pub(super) struct Current {
    pub(super) record: EndpointRecord,
    /// Whether the control group has confirmed that the endpoint takes work.
    pub(super) is_confirmed: bool,
    pub(super) last_word: Option<Timestamp>,
    pub(super) unreachable_until: Timestamp,
}

/// A call of the endpoint that found no room.
#[derive(Clone, Debug)]
pub(super) struct RefusedCall {
    pub(super) at: Timestamp,
    /// Service that was short.
    pub(super) short: ServiceName,
}

/// What is known of the endpoint.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) current: Option<Current>,
    pub(super) queue: AdmissionQueue,
    pub(super) class_limits: HashMap<RequestClass, ClassLimit>,
    /// Share of the requests that the endpoint failed lately.
    pub(super) failed: FadingShare,
    pub(super) waiting: HashMap<Ticket, oneshot::Sender<bool>>,
    /// The newest start of each endpoint.
    pub(super) starts: Starts,
    /// The start that was heard last.
    pub(super) newest: watch::Sender<Option<EndpointId>>,
    /// Last word of each start, so that a late one does not bring it back.
    pub(super) last_sequences: HashMap<EndpointId, u64>,
    /// Starts that were followed by another one here.
    pub(super) succeeded: HashSet<EndpointId>,
    /// Starts that take no work any more.
    pub(super) final_states: HashMap<EndpointId, EndpointState>,
    pub(super) is_stopping: bool,
    /// Requests that run at the endpoint.
    pub(super) running: RunningRequests,
    /// The last call of the endpoint that found no room.
    pub(super) refused_call: Option<RefusedCall>,
    /// Requests whose answers will not come.
    pub(super) unanswered: UnansweredRequests,
    /// How many starts ended under which content.
    pub(super) ends_by_content: CrashesByContent,
    pub(super) look: Look,
}

/// The look for the end of the endpoint, after connections broke.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Look {
    pub(super) is_under_way: bool,
    pub(super) is_due: bool,
}

impl State {
    /// Which start of the endpoint a word comes from.
    pub(super) fn origin(&mut self, now: Timestamp, record: &EndpointRecord) -> Origin {
        let said = &record.endpoint;
        if record.state.is_final() {
            return self.starts.take_final_heartbeat(now, said);
        }
        let final_states = &self.final_states;
        let has_ended = |start: &EndpointId| final_states.contains_key(start);
        self.starts
            .take_heartbeat(now, said, record.sequence, has_ended)
    }

    pub(super) fn set_current(&mut self, current: Current) {
        self.newest
            .send_replace(Some(current.record.endpoint.clone()));
        self.current = Some(current);
    }

    /// Takes a request in among those of its route.
    pub(super) fn begin_in_class(&mut self, now: Timestamp, share: ClassShare) -> bool {
        let capacity = self.queue.held();
        let limits = &mut self.class_limits;
        if limits.len() >= MAX_ROUTES {
            limits.clear();
        }
        let limit = limits.entry(share.class);
        let limit = limit.or_insert_with(|| ClassLimit::new(now, capacity));
        limit.begin(!share.is_limited)
    }

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

    pub(super) fn start(&mut self, tickets: Vec<Ticket>) {
        self.tell(tickets, true);
    }

    pub(super) fn tell(&mut self, tickets: Vec<Ticket>, may_run: bool) {
        for ticket in tickets {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // One that went away gives its place back by itself.
                let _ = waiting.send(may_run);
            }
        }
    }

    pub(super) fn refuse_waiting(&mut self) {
        let waiting = self.queue.refuse_all();
        self.tell(waiting, false);
    }

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
        let place = match self.queue.arrive(arrival) {
            Admission::Run => return Ok(None),
            Admission::Refuse => return Err(Refusal::Full),
            Admission::Wait(place) => place,
            Admission::WaitInsteadOf(place, displaced) => {
                self.tell(vec![displaced], false);
                place
            }
        };
        let (tell, told) = oneshot::channel();
        self.waiting.insert(place.ticket, tell);
        Ok(Some((place, told)))
    }

    /// The endpoint says that it leaves or has left.
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
        HeartbeatResult::News
    }

    pub(super) fn take_ready_heartbeat(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
    ) -> HeartbeatResult {
        if let Some(current) = &mut self.current
            && current.record.endpoint == record.endpoint
        {
            current.last_word = Some(now);
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
                HeartbeatResult::News
            };
        }
        if self.is_late_predecessor(now, &record.endpoint) {
            return HeartbeatResult::Late;
        }
        self.refuse_waiting();
        self.failed = FadingShare::default();
        self.queue.set_slots(record.slots);
        self.note_succession(&record.endpoint);
        self.set_current(Current {
            record,
            is_confirmed: false,
            last_word: Some(now),
            unreachable_until: Timestamp::ZERO,
        });
        HeartbeatResult::News
    }

    /// Whether a word comes from a start that another one has followed which is still heard.
    fn is_late_predecessor(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let last_word = current.last_word;
        let is_heard = last_word.is_some_and(|last| now.since(last) < SUCCESSOR_SILENCE);
        is_heard && self.succeeded.contains(endpoint)
    }

    /// Notes that a start follows the current one.
    fn note_succession(&mut self, endpoint: &EndpointId) {
        if self.succeeded.len() >= MAX_REMEMBERED {
            self.succeeded.clear();
        }
        if let Some(current) = &self.current {
            self.succeeded.insert(current.record.endpoint.clone());
        }
        self.succeeded.remove(endpoint);
    }

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
