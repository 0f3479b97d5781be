//! The endpoint beside the daemon: its current incarnation, whether it takes work, and the queue for its slots.
//!
//! All requests for an endpoint pass through the daemon beside it, so that its draining, identity and limits are
//! enforced here only.
//!
//! The state is under one lock: last heartbeats, queue, limits of classes, running and unanswered requests. It
//! follows the endpoint's heartbeats and the confirmations of the control group.
//! [`bramblewheel_decisions::incarnations`] orders the endpoint's incarnations, `admission` gives slots as
//! [`Permit`]s, and [`crash_probe`] detects crashes.

mod admission;
pub mod crash_probe;
mod permit;
mod state;
mod statements;

pub use permit::{AnsweredRequest, Permit};
pub use statements::StatementChange;

use arc_swap::ArcSwap;
use bramblewheel_decisions::admission::Displacement;
use bramblewheel_decisions::decaying_share::whole_percent;
use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::endpoint_crash::EndpointCrash;
use bramblewheel_decisions::endpoint_limit::{EndpointLimit, RateRefusal};
use bramblewheel_decisions::incarnations::HeartbeatOrigin;
use bramblewheel_decisions::load_statement::NewestStatement;
use bramblewheel_decisions::machine_identity::{IdentityMismatch, MachineIdentity};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::table::ServiceSettings;
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use http::HeaderValue;
use state::{CallWithoutCapacity, CurrentEndpoint, State, usable_slots};
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time after a failed connection to the endpoint during which nothing is sent to it.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

/// Why a request is not sent to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// No slot became free in time.
    Full,
    /// Another request took its place in the queue.
    Displaced(Displacement),
    /// The endpoint's rate limit is used up.
    RateLimited(RateRefusal),
    /// The endpoint is missing or draining, or the daemon is stopping.
    Leaving,
    /// A recent connection to the endpoint failed.
    Unreachable,
    /// The request could no longer end in time.
    OutOfTime,
}

/// Result of taking an endpoint's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatResult {
    /// It contains nothing new.
    Known,
    /// It contains a change that the control group must record.
    Changed,
    /// It is older than the known state, or comes from an incarnation that another one has followed.
    Late,
    /// It lacks the start time of its sender, which earlier heartbeats stated; it is ignored.
    MissingStart,
    /// It does not agree with the machine's settings; it is ignored.
    Mismatch(IdentityMismatch),
}

impl HeartbeatResult {
    /// Value in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Changed => "changed",
            Self::Late => "late",
            Self::MissingStart => "missing-start",
            Self::Mismatch(mismatch) => mismatch.as_str(),
        }
    }
}

/// Whether requests at the endpoint may have made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parents {
    /// One of them has the same deadline as the call.
    pub has_parent: bool,
    /// One of them has the same deadline as the call or a later one.
    pub may_have_parent: bool,
}

/// The endpoint beside the daemon.
#[derive(Debug)]
pub struct LocalEndpoint {
    /// Changed only under the lock of `state`, so that a record is checked and taken under the same identity.
    identity: ArcSwap<MachineIdentity>,
    state: Mutex<State>,
    /// Whether the state must be asked right before a request is sent.
    must_check_sends: Arc<AtomicBool>,
}

impl LocalEndpoint {
    /// Creates the endpoint of a machine, before its first heartbeat.
    pub fn new(identity: MachineIdentity) -> Self {
        let state = State::default();
        Self {
            identity: ArcSwap::from_pointee(identity),
            must_check_sends: Arc::clone(&state.must_check_sends),
            state: Mutex::new(state),
        }
    }

    /// Identity of the machine's endpoint according to the current settings.
    pub fn identity(&self) -> Arc<MachineIdentity> {
        self.identity.load_full()
    }

    /// Applies the identity from changed settings. An endpoint that does not agree with it takes no work from now on;
    /// its record is returned as silent, to be sent to the control group.
    pub fn set_identity(&self, identity: MachineIdentity) -> Option<EndpointRecord> {
        let mut state = self.lock();
        let is_other = |current: &mut CurrentEndpoint| identity.check(&current.record).is_err();
        let displaced = state.current.take_if(is_other);
        if displaced.is_some() {
            state.refuse_waiting();
        }
        self.identity.store(Arc::new(identity));
        displaced.map(|displaced| EndpointRecord {
            state: displaced.record.state.max(EndpointState::Silent),
            ..displaced.record
        })
    }

    /// Applies the settings of the services of a route table, which bound the connections to the endpoint.
    pub fn set_services(&self, now: Timestamp, services: BTreeMap<ServiceName, ServiceSettings>) {
        let mut state = self.lock();
        state.services = services;
        let Some(current) = &state.current else {
            return;
        };
        let slots = usable_slots(&state.services, &current.record);
        state.queue.set_slots(slots);
        let started = state.queue.start_waiting(now);
        state.start(started);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Takes an endpoint's heartbeat. A final state closes the endpoint at once; a new incarnation opens only once
    /// the control group has [confirmed](Self::confirm) it. The record gets the id by which the incarnation is known.
    ///
    /// A heartbeat that does not agree with the machine's settings is ignored before any of it is stored, since its
    /// id, start, sequence number and state are not those of the endpoint that runs here.
    pub fn take_heartbeat(&self, now: Timestamp, record: &mut EndpointRecord) -> HeartbeatResult {
        let mut state = self.lock();
        if let Err(mismatch) = self.identity.load().check(record) {
            return HeartbeatResult::Mismatch(mismatch);
        }
        match state.origin(now, record) {
            HeartbeatOrigin::Newest(id) => record.endpoint = id,
            HeartbeatOrigin::Earlier => return HeartbeatResult::Late,
            HeartbeatOrigin::Unknown => return HeartbeatResult::MissingStart,
        }
        let record = record.clone();
        let endpoint = record.endpoint.clone();
        let last_sequence = state.last_sequences.get(&endpoint).copied();
        let is_late = last_sequence.is_some_and(|last| record.sequence <= last);
        if is_late && !record.state.is_final() {
            return HeartbeatResult::Late;
        }
        let sequence = record.sequence.max(last_sequence.unwrap_or_default());
        state.record_sequence(&endpoint, sequence);
        if record.state.is_final() {
            return state.take_final_heartbeat(record);
        }
        if state.final_states.contains_key(&endpoint) {
            return HeartbeatResult::Late;
        }
        state.take_ready_heartbeat(now, record)
    }

    /// Takes the state that the control group has recorded for an endpoint; returns whether the endpoint takes work.
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

    /// Adopts, at the start of the daemon, the endpoint that was beside it before the restart. The record of the
    /// control group may describe an endpoint that ran here earlier, or one that never did.
    ///
    /// # Errors
    /// [`IdentityMismatch`] if the record does not agree with the machine's settings; nothing is adopted.
    pub fn adopt(&self, now: Timestamp, record: &EndpointRecord) -> Result<(), IdentityMismatch> {
        let mut state = self.lock();
        self.identity.load().check(record)?;
        if state.current.is_some() {
            return Ok(());
        }
        state.incarnations.adopt(now, &record.endpoint);
        let slots = usable_slots(&state.services, record);
        state.queue.set_slots(slots);
        state.record_sequence(&record.endpoint, record.sequence);
        state.set_current(CurrentEndpoint {
            record: record.clone(),
            is_confirmed: true,
            last_heartbeat: None,
            unreachable_until: Timestamp::ZERO,
            rate_limit: EndpointLimit::default(),
            has_drain_notice: false,
            stated_load: NewestStatement::default(),
        });
        Ok(())
    }

    /// Returns after the first heartbeat of a later incarnation of this endpoint; what runs at the earlier one is
    /// lost.
    pub async fn until_later_start(&self, endpoint: &EndpointId) {
        let mut newest = self.lock().newest.subscribe();
        let is_later = |newest: &Option<EndpointId>| {
            let newest = newest.as_ref();
            newest.is_some_and(|newest| endpoint.is_earlier_start_of(newest))
        };
        // The sender lives as long as this value.
        let _ = newest.wait_for(is_later).await;
    }

    /// Removes the endpoint after another one has answered at its address.
    pub fn record_replaced(&self, endpoint: &EndpointId) {
        let mut state = self.lock();
        let is_current = |current: &mut CurrentEndpoint| current.record.endpoint == *endpoint;
        if state.current.take_if(is_current).is_some() {
            state.refuse_waiting();
        }
    }

    /// Records that the endpoint could not be reached.
    pub fn record_unreachable(&self, now: Timestamp) {
        if let Some(current) = &mut self.lock().current {
            current.unreachable_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// Closes the endpoint if it takes work but has sent no heartbeat for `silence`; returns its record as silent.
    pub fn close_if_silent(&self, now: Timestamp, silence: Duration) -> Option<EndpointRecord> {
        let mut state = self.lock();
        let current = state.current.as_mut()?;
        let last = *current.last_heartbeat.get_or_insert(now);
        let is_silent = current.is_confirmed
            && current.record.state == EndpointState::Ready
            && now.since(last) > silence;
        if !is_silent {
            return None;
        }
        current.is_confirmed = false;
        current.last_heartbeat = None;
        let silent_record = EndpointRecord {
            state: EndpointState::Silent,
            ..current.record.clone()
        };
        state.refuse_waiting();
        Some(silent_record)
    }

    /// Whether the endpoint has sent a heartbeat since this daemon started or since the endpoint last fell silent.
    pub fn has_sent_heartbeat(&self) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| current.last_heartbeat.is_some())
    }

    /// Whether the endpoint takes work and the control group has confirmed it.
    pub fn is_open(&self) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| {
            current.is_confirmed && current.record.state == EndpointState::Ready
        })
    }

    /// The record from the endpoint's last heartbeat.
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

    /// Load report: requests at the endpoint, its limit and its share of failures.
    pub fn load(&self, now: Timestamp) -> LoadReport {
        let state = self.lock();
        LoadReport {
            busy: state.queue.busy(),
            limit: state.queue.limit(),
            failed_percent: whole_percent(state.failed.at(now)),
        }
    }

    /// Counts a request that the endpoint failed without answering.
    pub fn record_failure(&self, now: Timestamp) {
        self.lock().record_outcome(now, true);
    }

    /// Number of requests of a class that may run at the endpoint now, rounded down; `None` before the first request
    /// of the class.
    pub fn class_limit(&self, class: RequestClass) -> Option<u32> {
        let state = self.lock();
        let limit = state.class_limits.get(&class)?;
        Some(limit.whole_limit())
    }

    /// Usual time that the endpoint takes for a request of a class; `None` if too few ran recently.
    pub fn usual_run_time(&self, now: Timestamp, class: RequestClass) -> Option<Duration> {
        let state = self.lock();
        state.run_times.get(&class)?.usual(now)
    }

    /// Rank at the root of the call tree of a call with this remaining time, if the endpoint runs a request that may
    /// have made it.
    pub fn root_rank_of_call(&self, now: Timestamp, remaining: Duration) -> Option<u32> {
        self.lock().running.root_rank_of(now + remaining)
    }

    /// Name of the tenant of the call tree of a call with this remaining time, as far as it is known.
    pub fn tenant_of_call(&self, now: Timestamp, remaining: Duration) -> Option<HeaderValue> {
        self.lock().running.tenant_of(now + remaining).cloned()
    }

    /// Whether the endpoint runs requests that may have made a call with this deadline.
    pub fn parents_of_call(&self, deadline: Timestamp) -> Parents {
        let running = &self.lock().running;
        Parents {
            has_parent: running.has_parent(deadline),
            may_have_parent: running.may_have_parent(deadline),
        }
    }

    /// Share of a call with this remaining time, 0 to 1, that counts as a retry because the run that makes it was
    /// itself retried.
    pub fn retried_share_of_call(&self, now: Timestamp, remaining: Duration) -> f64 {
        self.lock().running.retried_share_of(now + remaining)
    }

    /// Requests a probe after a connection broke during a request; returns whether the caller must run it because
    /// none is running yet.
    pub fn begin_probe(&self) -> bool {
        let probe = &mut self.lock().crash_probe;
        probe.is_due = true;
        !std::mem::replace(&mut probe.is_running, true)
    }

    /// Whether a connection broke since the last probe, so that another one is needed; if not, probing ends.
    pub fn take_probe_due(&self) -> bool {
        let probe = &mut self.lock().crash_probe;
        let is_due = std::mem::take(&mut probe.is_due);
        probe.is_running = is_due;
        is_due
    }

    /// Takes the requests that were running when the endpoint crashed; `None` if they were taken already.
    pub fn take_crash(&self, endpoint: &EndpointId) -> Option<EndpointCrash> {
        self.lock().unanswered.take_crash(endpoint)
    }

    /// Counts a crash on this machine; returns the contents that were running in most crashes, with the number of
    /// crashes.
    pub fn count_crash(&self, crash: &EndpointCrash) -> Vec<(ContentDigest, u32)> {
        self.lock().crashes_by_content.record(crash)
    }

    /// Records that a call of the endpoint found no capacity at this service.
    pub fn record_call_without_capacity(&self, now: Timestamp, service: ServiceName) {
        self.lock().call_without_capacity = Some(CallWithoutCapacity { at: now, service });
    }
}
