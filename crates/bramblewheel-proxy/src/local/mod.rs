//! The endpoint beside the daemon: which incarnation is there, whether it takes work, and who waits for a slot.
//!
//! All requests for an endpoint pass through the daemon beside it, so that this is the one place
//! where its draining, its identity and its limits are enforced.
//!
//! Owns the state of the local endpoint, under one lock: the last heartbeats, the queue, the limits of classes,
//! what runs and what got no answer. [`bramblewheel_decisions::incarnations`] orders the endpoint's incarnations,
//! `admission` gives slots as [`Permit`]s, [`crash_probe`] finds out whether the endpoint crashed. Relies on
//! heartbeats of the endpoint and on what the control group confirms.

mod admission;
pub mod crash_probe;
mod permit;
mod state;

pub use permit::Permit;

use arc_swap::ArcSwap;
use bramblewheel_decisions::decaying_share::whole_percent;
use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::endpoint_crash::EndpointCrash;
use bramblewheel_decisions::incarnations::HeartbeatOrigin;
use bramblewheel_decisions::machine_identity::{IdentityMismatch, MachineIdentity};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use state::{CallWithoutCapacity, Current, State};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Pause after the endpoint could not be reached, in which nothing is sent to it.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

/// Why a request may not go to the endpoint; it got nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No slot came free in time.
    Full,
    /// The endpoint is not there, is draining, or the daemon stops.
    Leaving,
    /// The endpoint could not be reached a moment ago.
    Unreachable,
}

/// What comes of an endpoint's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatResult {
    /// Nothing that others must know.
    Known,
    /// The control group is to record what it says.
    Changed,
    /// It is older than what is known, or of an incarnation that another one followed.
    Late,
    /// It does not say when its sender started, although its sender did before: it is left out.
    WithoutStart,
    /// It does not agree with the machine's settings: it is left out.
    OfAnotherMachine(IdentityMismatch),
}

impl HeartbeatResult {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Changed => "changed",
            Self::Late => "late",
            Self::WithoutStart => "missing-start",
            Self::OfAnotherMachine(mismatch) => mismatch.as_str(),
        }
    }
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
#[derive(Debug)]
pub struct LocalEndpoint {
    /// Changed only under the lock of the state, so that a record is checked and taken under one identity.
    identity: ArcSwap<MachineIdentity>,
    state: Mutex<State>,
}

impl LocalEndpoint {
    /// The endpoint of a machine, before its first heartbeat.
    pub fn new(identity: MachineIdentity) -> Self {
        Self {
            identity: ArcSwap::from_pointee(identity),
            state: Mutex::default(),
        }
    }

    /// Who runs on the machine, as its settings say now.
    pub fn identity(&self) -> Arc<MachineIdentity> {
        self.identity.load_full()
    }

    /// Takes over who runs on the machine from changed settings. An endpoint that does not agree with them takes no work
    /// from now on; returns its record as silent, for the control group.
    pub fn set_identity(&self, identity: MachineIdentity) -> Option<EndpointRecord> {
        let mut state = self.lock();
        let is_other = |current: &mut Current| identity.check(&current.record).is_err();
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

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Takes an endpoint's heartbeat. What is final closes the endpoint at once; what is new opens it only once the
    /// control group has [confirmed](Self::confirm) it. The record gets the id by which the incarnation is known.
    ///
    /// One that does not agree with the machine's settings is left out before anything is kept of it: its id, start,
    /// sequence number and state say nothing of the endpoint that runs here.
    pub fn take_heartbeat(&self, now: Timestamp, record: &mut EndpointRecord) -> HeartbeatResult {
        let mut state = self.lock();
        if let Err(mismatch) = self.identity.load().check(record) {
            return HeartbeatResult::OfAnotherMachine(mismatch);
        }
        match state.origin(now, record) {
            HeartbeatOrigin::Newest(id) => record.endpoint = id,
            HeartbeatOrigin::Earlier => return HeartbeatResult::Late,
            HeartbeatOrigin::Unknown => return HeartbeatResult::WithoutStart,
        }
        let record = record.clone();
        let endpoint = record.endpoint.clone();
        let last_sequence = state.last_sequences.get(&endpoint).copied();
        let is_late = last_sequence.is_some_and(|last| record.sequence <= last);
        if is_late && !record.state.is_final() {
            return HeartbeatResult::Late;
        }
        let sequence = record.sequence.max(last_sequence.unwrap_or_default());
        state.remember(&endpoint, sequence);
        if record.state.is_final() {
            return state.take_final_heartbeat(record);
        }
        if state.final_states.contains_key(&endpoint) {
            return HeartbeatResult::Late;
        }
        state.take_ready_heartbeat(now, record)
    }

    /// Takes what the control group has recorded of an endpoint; returns whether the endpoint takes work.
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

    /// Takes over, at the start of the daemon, the endpoint that it stood beside before. What the control group has recorded
    /// may be of an endpoint that was here earlier, or of none that ever was.
    ///
    /// # Errors
    /// [`IdentityMismatch`] when the record does not agree with the machine's settings; nothing is taken over.
    pub fn adopt(&self, now: Timestamp, record: &EndpointRecord) -> Result<(), IdentityMismatch> {
        let mut state = self.lock();
        self.identity.load().check(record)?;
        if state.current.is_some() {
            return Ok(());
        }
        state.incarnations.adopt(now, &record.endpoint);
        state.queue.set_slots(record.slots);
        state.remember(&record.endpoint, record.sequence);
        state.set_current(Current {
            record: record.clone(),
            is_confirmed: true,
            last_heartbeat: None,
            unreachable_until: Timestamp::ZERO,
        });
        Ok(())
    }

    /// Ends with the first heartbeat of a later incarnation of this endpoint: what runs at the earlier one is lost.
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

    /// The record of the endpoint as silent, if it takes work but has sent no heartbeat for `silence`; it takes no
    /// work from now on.
    pub fn silent(&self, now: Timestamp, silence: Duration) -> Option<EndpointRecord> {
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
        let silent = EndpointRecord {
            state: EndpointState::Silent,
            ..current.record.clone()
        };
        state.refuse_waiting();
        Some(silent)
    }

    /// Whether the endpoint has sent a heartbeat since this daemon started or the endpoint fell silent.
    pub fn has_sent_heartbeat(&self) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| current.last_heartbeat.is_some())
    }

    /// Whether the endpoint takes work, as the control group has confirmed.
    pub fn is_open(&self) -> bool {
        let state = self.lock();
        let current = state.current.as_ref();
        current.is_some_and(|current| {
            current.is_confirmed && current.record.state == EndpointState::Ready
        })
    }

    /// The endpoint, as its last heartbeat says.
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

    /// Counts a request that the endpoint has failed without an answer.
    pub fn note_failure(&self, now: Timestamp) {
        self.lock().note_outcome(now, true);
    }

    /// Requests of a class that may run at the endpoint now, rounded down; none if it had none yet.
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

    /// Whether the endpoint runs a request whose time ends with a call's of this deadline, and whether it runs one
    /// that has as much time left or more.
    pub fn parents_of_call(&self, deadline: Timestamp) -> Parents {
        let running = &self.lock().running;
        Parents {
            has_one: running.has_parent(deadline),
            may_have_one: running.may_have_parent(deadline),
        }
    }

    /// Part of a call with this much time left, 0 to 1, that counts as a retry because the run that makes it was itself
    /// retried.
    pub fn retried_share_of_call(&self, now: Timestamp, remaining: Duration) -> f64 {
        self.lock().running.retried_share_of(now + remaining)
    }

    /// A connection broke under a request; returns whether no probe is under way yet.
    pub fn begin_probe(&self) -> bool {
        let probe = &mut self.lock().crash_probe;
        probe.is_due = true;
        !std::mem::replace(&mut probe.is_under_way, true)
    }

    /// Whether a connection broke since the last probe; if not, probing is over.
    pub fn is_probe_due(&self) -> bool {
        let probe = &mut self.lock().crash_probe;
        let is_due = std::mem::take(&mut probe.is_due);
        probe.is_under_way = is_due;
        is_due
    }

    /// The endpoint has crashed: what it was running, if that was not taken yet.
    pub fn take_crash(&self, endpoint: &EndpointId) -> Option<EndpointCrash> {
        self.lock().unanswered.take_crash(endpoint)
    }

    /// Counts a crash here; returns the contents under which most incarnations crashed, with the number of crashes.
    pub fn count_crash(&self, crash: &EndpointCrash) -> Vec<(ContentDigest, u32)> {
        self.lock().crashes_by_content.record(crash)
    }

    /// Notes that a call of the endpoint found no capacity at this service.
    pub fn note_call_without_capacity(&self, now: Timestamp, service: ServiceName) {
        self.lock().call_without_capacity = Some(CallWithoutCapacity { at: now, service });
    }
}
