//! The endpoint beside the daemon: who it is, whether it takes work, and who waits for it.
//!
//! All requests for an endpoint pass through the daemon beside it, so that this is the one place
//! where its leaving, its identity and its limit are enforced.

pub mod crash_probe;
mod permit;
mod starts;
mod state;

pub use permit::Permit;

use crate::wire::Handover;
use bramblewheel_decisions::admission::{Arrival, QueuePosition};
use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::endpoint_crash::EndpointCrash;
use bramblewheel_decisions::exemption::is_exempt_from_class_limit;
use bramblewheel_decisions::fading_share::whole_percent;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::RunningRequest;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use permit::{ClassShare, Waiting};
use starts::Origin;
use state::{Current, RefusedCall, State};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

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
pub enum HeartbeatResult {
    /// Nothing that others must know.
    Known,
    /// The control group is to record it.
    News,
    /// It is older than what is known.
    Late,
    /// It does not say when its sender started, although it did before: it is left out.
    Untold,
}

/// Requests at the endpoint that may have made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parents {
    /// The time of one ends with that of the call.
    pub has_one: bool,
    /// One has as much time left as the call, or more.
    pub may_have_one: bool,
}

/// The endpoint beside the daemon.
#[derive(Debug, Default)]
pub struct LocalEndpoint {
    state: Mutex<State>,
}

impl LocalEndpoint {
    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Takes an endpoint's word. What is final closes the endpoint at once; what is new opens it
    /// only once the control group has [confirmed](Self::confirm) it. The record gets the id by which the start is known.
    pub fn take_heartbeat(&self, now: Timestamp, record: &mut EndpointRecord) -> HeartbeatResult {
        let mut state = self.lock();
        match state.origin(now, record) {
            Origin::Newest(id) => record.endpoint = id,
            Origin::Earlier => return HeartbeatResult::Late,
            Origin::Untold => return HeartbeatResult::Untold,
        }
        let record = record.clone();
        let endpoint = record.endpoint.clone();
        let last_word = state.last_sequences.get(&endpoint).copied();
        let is_late = last_word.is_some_and(|last| record.sequence <= last);
        if is_late && !record.state.is_final() {
            return HeartbeatResult::Late;
        }
        let sequence = record.sequence.max(last_word.unwrap_or_default());
        state.remember(&endpoint, sequence);
        if record.state.is_final() {
            return state.take_final_heartbeat(record);
        }
        if state.final_states.contains_key(&endpoint) {
            return HeartbeatResult::Late;
        }
        state.take_ready_heartbeat(now, record)
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
    pub fn adopt(&self, now: Timestamp, record: &EndpointRecord) {
        let mut state = self.lock();
        if state.current.is_some() {
            return;
        }
        state.starts.adopt(now, &record.endpoint);
        state.queue.set_slots(record.slots);
        state.remember(&record.endpoint, record.sequence);
        state.set_current(Current {
            record: record.clone(),
            is_confirmed: true,
            last_word: None,
            unreachable_until: Timestamp::ZERO,
        });
    }

    /// Ends once a later start of this endpoint is heard: what runs at the earlier one is lost.
    pub async fn until_started_again(&self, endpoint: &EndpointId) {
        let mut newest = self.lock().newest.subscribe();
        let is_later = |newest: &Option<EndpointId>| {
            let newest = newest.as_ref();
            newest.is_some_and(|newest| endpoint.is_earlier_start_of(newest))
        };
        // The sender lives as long as this value.
        let _ = newest.wait_for(is_later).await;
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
    pub fn is_heard(&self) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| current.last_word.is_some())
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

    /// Refuses all new requests from now on.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.is_stopping = true;
        state.refuse_waiting();
    }

    /// Requests at the endpoint, its limit and its failures.
    pub fn load(&self, now: Timestamp) -> LoadReport {
        let state = self.lock();
        LoadReport {
            busy: state.queue.busy(),
            limit: state.queue.limit(),
            failed_percent: whole_percent(state.failed.at(now)),
        }
    }

    /// The endpoint has failed a request without an answer, or refused one that was let in.
    pub fn has_failed(&self, now: Timestamp) {
        self.lock().note_outcome(now, true);
    }

    /// Requests of a route that may run at the endpoint now, rounded down; none if it had none yet.
    pub fn class_limit(&self, class: RequestClass) -> Option<u32> {
        let state = self.lock();
        let limit = state.class_limits.get(&class)?;
        Some(limit.whole_limit())
    }

    /// Rank of the tree that a call with this much time left belongs to, if the endpoint runs a
    /// request that can have made it.
    pub fn root_rank_of_call(&self, now: Timestamp, remaining: Duration) -> Option<u32> {
        self.lock().running.root_rank_of(now + remaining)
    }

    /// Whether the endpoint runs a request whose time ends with a call's of this deadline, and whether it runs one that has as
    /// much time left or more.
    pub fn parents_of_call(&self, deadline: Timestamp) -> Parents {
        let running = &self.lock().running;
        Parents {
            has_one: running.has_parent(deadline),
            may_have_one: running.may_have_parent(deadline),
        }
    }

    /// Part to which a call with this much time left is made by a run that is repeated.
    pub fn retried_share_of_call(&self, now: Timestamp, remaining: Duration) -> f64 {
        self.lock().running.retried_share_of(now + remaining)
    }

    /// A connection broke under a request; returns whether nobody is finding out yet if the endpoint ended.
    pub fn begin_probe(&self) -> bool {
        let look = &mut self.lock().look;
        look.is_due = true;
        !std::mem::replace(&mut look.is_under_way, true)
    }

    /// Whether a connection broke since the last look; if not, the looking is over.
    pub fn is_probe_due(&self) -> bool {
        let look = &mut self.lock().look;
        let is_due = std::mem::take(&mut look.is_due);
        look.is_under_way = is_due;
        is_due
    }

    /// The endpoint has ended without a word: what it was running, if that was not taken yet.
    pub fn take_end(&self, endpoint: &EndpointId) -> Option<EndpointCrash> {
        self.lock().unanswered.take_end(endpoint)
    }

    /// Counts an end here; returns the contents under which most starts ended, with their number.
    pub fn count_end(&self, end: &EndpointCrash) -> Vec<(ContentDigest, u32)> {
        self.lock().ends_by_content.record(end)
    }

    /// Notes that a call of the endpoint found no room, for `short` being short of it.
    pub fn note_call_without_capacity(&self, now: Timestamp, short: ServiceName) {
        self.lock().refused_call = Some(RefusedCall { at: now, short });
    }

    /// Waits for a slot at the endpoint, until `until` at the latest.
    ///
    /// # Errors
    /// [`Refusal`]; the endpoint got nothing.
    pub async fn admit(
        self: &Arc<Self>,
        clock: Clock,
        handover: &Handover,
        is_likely_nested: bool,
        until: Timestamp,
    ) -> Result<Permit, Refusal> {
        let share = ClassShare {
            class: handover.class,
            objective: handover.objective,
            is_limited: !is_exempt_from_class_limit(handover.rank, is_likely_nested),
        };
        let begun = clock.now();
        let entered = self.enter(clock.now(), handover, share, until)?;
        if let Some((position, admission)) = entered.waiting {
            let mut waiting = Waiting {
                local: self,
                clock,
                class: share,
                position,
                is_over: false,
            };
            let admitted = clock.timeout_at(until, admission).await;
            let Ok(admitted) = admitted else {
                return Err(Refusal::Full);
            };
            waiting.is_over = true;
            if !matches!(admitted, Ok(true)) {
                self.lock().end_in_class(clock.now(), share, None);
                return Err(Refusal::Full);
            }
        }
        Ok(self.permit(clock, handover, share, begun, entered.address))
    }

    /// Takes a request in at the endpoint: it runs or waits.
    fn enter(
        &self,
        now: Timestamp,
        handover: &Handover,
        share: ClassShare,
        until: Timestamp,
    ) -> Result<Entered, Refusal> {
        let mut state = self.lock();
        if let Some(refusal) = state.refusal(&handover.endpoint, now) {
            return Err(refusal);
        }
        if !state.begin_in_class(now, share) {
            return Err(Refusal::Full);
        }
        let current = state.current.as_ref().ok_or(Refusal::Leaving)?;
        let address = current.record.endpoint_address;
        let entered = state.enter(Arrival {
            rank: handover.root_rank,
            due: now + handover.remaining,
            until,
        });
        if entered.is_err() {
            state.end_in_class(now, share, None);
        }
        let waiting = entered?;
        Ok(Entered { address, waiting })
    }

    /// The slot of a request that runs from now on.
    fn permit(
        self: &Arc<Self>,
        clock: Clock,
        handover: &Handover,
        class: ClassShare,
        begun: Timestamp,
        address: SocketAddr,
    ) -> Permit {
        let request = RunningRequest {
            root_rank: handover.root_rank,
            class: handover.class,
            retried_share: handover.retried_share,
        };
        let running = &mut self.lock().running;
        Permit {
            local: Arc::clone(self),
            clock,
            class,
            begun,
            answered: None,
            running: running.begin(begun + handover.remaining, request),
            address,
            endpoint: handover.endpoint.clone(),
            content: handover.content,
            is_sent: false,
        }
    }
}

/// A request that was taken in at the endpoint.
struct Entered {
    /// Where the endpoint listens.
    address: SocketAddr,
    /// Its position in the queue and what tells whether it may run; none where it runs at once.
    waiting: Option<(QueuePosition, oneshot::Receiver<bool>)>,
}
