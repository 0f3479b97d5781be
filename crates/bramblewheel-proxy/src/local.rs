//! The endpoint beside the daemon: who it is, whether it takes work, and who waits for it.
//!
//! All requests for an endpoint pass through the daemon beside it, so that this is the one place
//! where its leaving, its identity and its limit are enforced.

use crate::decide::admission::{Admission, AdmissionQueue, Arrival, Place, Ticket};
use crate::decide::directory::LoadReport;
use crate::decide::route_limit::{Answered, RouteLimit};
use crate::wire::Handover;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Starts of endpoints whose last word is remembered.
const MAX_REMEMBERED: usize = 256;
/// Routes whose times are known.
const MAX_ROUTES: usize = 512;
/// Rank that is not limited by its time: whatever else is there is shed first.
const MOST_IMPORTANT: u32 = 0;
/// Pause after the endpoint could not be reached, in which it is not tried again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

/// Why a request may not go to the endpoint; it got nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No slot came free in time.
    Full,
    /// The endpoint is not there or takes no work.
    Leaving,
    /// The endpoint could not be reached a moment ago.
    Unreachable,
}

/// What comes of an endpoint's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing that others must know.
    Known,
    /// The control group is to record it.
    News,
    /// It is older than what is known.
    Late,
}

#[derive(Debug)]
struct Current {
    record: EndpointRecord,
    /// Whether the control group has confirmed that the endpoint takes work.
    is_confirmed: bool,
    last_word: Option<Timestamp>,
    unreachable_until: Timestamp,
}

#[derive(Debug, Default)]
struct State {
    current: Option<Current>,
    queue: AdmissionQueue,
    route_limits: HashMap<u64, RouteLimit>,
    waiting: HashMap<Ticket, oneshot::Sender<bool>>,
    /// Last word of each start, so that a late one does not bring it back.
    last_words: HashMap<EndpointId, u64>,
    /// Starts that take no work any more.
    final_states: HashMap<EndpointId, EndpointState>,
    is_stopping: bool,
}

/// The endpoint beside the daemon.
#[derive(Debug, Default)]
pub struct LocalEndpoint {
    state: Mutex<State>,
}

/// A place at the endpoint; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    local: Arc<LocalEndpoint>,
    clock: bramblewheel_process::clock::Clock,
    route: RouteShare,
    begun: Timestamp,
    answered: Option<Answered>,
    /// Where the endpoint listens.
    pub address: SocketAddr,
}

/// A place among the requests of one route.
#[derive(Clone, Copy, Debug)]
struct RouteShare {
    route: u64,
    objective: Duration,
    is_limited: bool,
}

impl Permit {
    /// The endpoint's answer has come.
    pub fn answered(&mut self, has_failed: bool) {
        let time = self.clock.now().since(self.begun);
        self.answered = Some(Answered { time, has_failed });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.local.lock();
        state.end_route(now, self.route, self.answered);
        let started = state.queue.finish(now);
        state.start(started);
    }
}

/// A request that waits for a place; leaves the queue when dropped.
struct Waiting<'a> {
    local: &'a LocalEndpoint,
    clock: bramblewheel_process::clock::Clock,
    route: RouteShare,
    place: Place,
    is_over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let now = self.clock.now();
        let mut state = self.local.lock();
        state.end_route(now, self.route, None);
        let has_waited = state.queue.leave(&self.place);
        let was_told = state.waiting.remove(&self.place.ticket).is_none();
        // A place that was given at the last moment is given back.
        if !has_waited && was_told {
            let started = state.queue.finish(now);
            state.start(started);
        }
    }
}

impl State {
    /// Takes a request in among those of its route.
    fn begin_route(&mut self, now: Timestamp, share: RouteShare) -> bool {
        let capacity = self.queue.held();
        let limits = &mut self.route_limits;
        if limits.len() >= MAX_ROUTES {
            limits.clear();
        }
        let limit = limits.entry(share.route);
        let limit = limit.or_insert_with(|| RouteLimit::new(now, capacity));
        limit.begin(!share.is_limited)
    }

    fn end_route(&mut self, now: Timestamp, share: RouteShare, answered: Option<Answered>) {
        if let Some(limit) = self.route_limits.get_mut(&share.route) {
            limit.end(now, answered, share.objective);
        }
    }

    fn start(&mut self, tickets: Vec<Ticket>) {
        self.tell(tickets, true);
    }

    fn tell(&mut self, tickets: Vec<Ticket>, may_run: bool) {
        for ticket in tickets {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // One that went away gives its place back by itself.
                let _ = waiting.send(may_run);
            }
        }
    }

    fn refuse_waiting(&mut self) {
        let waiting = self.queue.refuse_all();
        self.tell(waiting, false);
    }

    fn refusal(&self, endpoint: &EndpointId, now: Timestamp) -> Option<Refusal> {
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

    fn remember(&mut self, endpoint: &EndpointId, sequence: u64) {
        if self.last_words.len() >= MAX_REMEMBERED {
            self.last_words.clear();
        }
        self.last_words.insert(endpoint.clone(), sequence);
    }
}

impl LocalEndpoint {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a panic under the lock ends the process, so the lock is never poisoned")
    }

    /// Takes an endpoint's word. What is final closes the endpoint at once; what is new opens it
    /// only once the control group has [confirmed](Self::confirm) it.
    pub fn hear(&self, now: Timestamp, record: EndpointRecord) -> Heard {
        let mut state = self.lock();
        let endpoint = record.endpoint.clone();
        let last_word = state.last_words.get(&endpoint).copied();
        let is_late = last_word.is_some_and(|last| record.sequence <= last);
        if is_late && !record.state.is_final() {
            return Heard::Late;
        }
        let sequence = record.sequence.max(last_word.unwrap_or_default());
        state.remember(&endpoint, sequence);
        if record.state.is_final() {
            return state.hear_end(record);
        }
        if state.final_states.contains_key(&endpoint) {
            return Heard::Late;
        }
        state.hear_ready(now, record)
    }

    /// Takes what the control group says of an endpoint; returns whether it takes work.
    pub fn confirm(&self, endpoint: &EndpointId, recorded: EndpointState) -> bool {
        let mut state = self.lock();
        if recorded.is_final() {
            state.close(endpoint, recorded);
            return false;
        }
        let Some(current) = &mut state.current else {
            return false;
        };
        if current.record.endpoint == *endpoint && recorded == EndpointState::Ready {
            current.is_confirmed = true;
            return true;
        }
        false
    }

    /// Takes over, at the start of the daemon, the endpoint that it stood beside before.
    pub fn adopt(&self, record: &EndpointRecord) {
        let mut state = self.lock();
        if state.current.is_some() {
            return;
        }
        state.queue.set_slots(record.slots);
        state.remember(&record.endpoint, record.sequence);
        state.current = Some(Current {
            record: record.clone(),
            is_confirmed: true,
            last_word: None,
            unreachable_until: Timestamp::ZERO,
        });
    }

    /// Another endpoint answered at the address: the one that was there is gone.
    pub fn was_replaced(&self, endpoint: &EndpointId) {
        let mut state = self.lock();
        let is_current = |current: &mut Current| current.record.endpoint == *endpoint;
        if state.current.take_if(is_current).is_some() {
            state.refuse_waiting();
        }
    }

    /// The endpoint could not be reached.
    pub fn was_unreachable(&self, now: Timestamp) {
        if let Some(current) = &mut self.lock().current {
            current.unreachable_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// The endpoint that takes work but has not been heard for `silence`.
    pub fn silent(&self, now: Timestamp, silence: Duration) -> Option<EndpointRecord> {
        let mut state = self.lock();
        let current = state.current.as_mut()?;
        let last = *current.last_word.get_or_insert(now);
        let is_silent = current.is_confirmed
            && current.record.state == EndpointState::Ready
            && now.since(last) > silence;
        if !is_silent {
            return None;
        }
        current.is_confirmed = false;
        current.last_word = None;
        let silent = EndpointRecord {
            state: EndpointState::Silent,
            ..current.record.clone()
        };
        state.refuse_waiting();
        Some(silent)
    }

    /// Whether the endpoint was heard since this daemon started, and takes work.
    pub fn is_heard(&self, now: Timestamp) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| current.last_word.is_some_and(|at| at <= now))
    }

    /// Whether the endpoint takes work, as the control group has confirmed.
    pub fn is_open(&self) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| {
            current.is_confirmed && current.record.state == EndpointState::Ready
        })
    }

    /// The endpoint that takes work, as it was heard last.
    pub fn record(&self) -> Option<EndpointRecord> {
        let state = self.lock();
        state.current.as_ref().map(|current| current.record.clone())
    }

    /// Whether the control group has recorded that an endpoint takes no more work.
    pub fn is_recorded_final(&self, endpoint: &EndpointId, wanted: EndpointState) -> bool {
        let state = self.lock();
        let recorded = state.final_states.get(endpoint);
        recorded.is_some_and(|recorded| *recorded >= wanted)
    }

    /// Refuses all new requests from now on.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.is_stopping = true;
        state.refuse_waiting();
    }

    /// Requests at the endpoint and its limit.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            busy: state.queue.busy(),
            limit: state.queue.limit(),
        }
    }

    /// Waits for a place at the endpoint, until `until` at the latest.
    ///
    /// # Errors
    /// [`Refusal`]; the endpoint got nothing.
    pub async fn admit(
        self: &Arc<Self>,
        clock: bramblewheel_process::clock::Clock,
        handover: &Handover,
        until: Instant,
    ) -> Result<Permit, Refusal> {
        let route = RouteShare {
            route: handover.route,
            objective: handover.objective,
            is_limited: handover.rank > MOST_IMPORTANT,
        };
        let begun = clock.now();
        let wait = until.saturating_duration_since(Instant::now());
        let (address, waiting) = {
            let now = clock.now();
            let mut state = self.lock();
            if let Some(refusal) = state.refusal(&handover.endpoint, now) {
                return Err(refusal);
            }
            if !state.begin_route(now, route) {
                return Err(Refusal::Full);
            }
            let current = state.current.as_ref().ok_or(Refusal::Leaving)?;
            let address = current.record.endpoint_address;
            let entered = state.enter(Arrival {
                rank: handover.rank,
                due: now + handover.objective,
                until: now + wait,
            });
            if entered.is_err() {
                state.end_route(now, route, None);
            }
            (address, entered?)
        };
        let permit = || Permit {
            local: Arc::clone(self),
            clock,
            route,
            begun,
            answered: None,
            address,
        };
        let Some((place, told)) = waiting else {
            return Ok(permit());
        };
        let mut waiting = Waiting {
            local: self,
            clock,
            route,
            place,
            is_over: false,
        };
        match tokio::time::timeout_at(until, told).await {
            Ok(Ok(true)) => {
                waiting.is_over = true;
                Ok(permit())
            }
            Ok(_) => {
                waiting.is_over = true;
                self.lock().end_route(clock.now(), route, None);
                Err(Refusal::Full)
            }
            Err(_) => Err(Refusal::Full),
        }
    }
}

impl State {
    /// Takes a request in; one that must wait gets its ticket.
    fn enter(
        &mut self,
        arrival: Arrival,
    ) -> Result<Option<(Place, oneshot::Receiver<bool>)>, Refusal> {
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
    fn hear_end(&mut self, record: EndpointRecord) -> Heard {
        let wanted = record.state;
        let recorded = self.final_states.get(&record.endpoint);
        if recorded.is_some_and(|recorded| *recorded >= wanted) {
            return Heard::Known;
        }
        if let Some(current) = &mut self.current
            && current.record.endpoint == record.endpoint
        {
            current.record.state = wanted;
            self.refuse_waiting();
        }
        Heard::News
    }

    fn hear_ready(&mut self, now: Timestamp, record: EndpointRecord) -> Heard {
        if let Some(current) = &mut self.current
            && current.record.endpoint == record.endpoint
        {
            current.last_word = Some(now);
            if current.record.state != EndpointState::Ready {
                return Heard::Late;
            }
            let is_same = current.record.slots == record.slots
                && current.record.endpoint_address == record.endpoint_address;
            let is_known = is_same && current.is_confirmed;
            let slots = record.slots;
            current.record = record;
            self.queue.set_slots(slots);
            return if is_known { Heard::Known } else { Heard::News };
        }
        self.refuse_waiting();
        self.queue.set_slots(record.slots);
        self.current = Some(Current {
            record,
            is_confirmed: false,
            last_word: Some(now),
            unreachable_until: Timestamp::ZERO,
        });
        Heard::News
    }

    fn close(&mut self, endpoint: &EndpointId, recorded: EndpointState) {
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
