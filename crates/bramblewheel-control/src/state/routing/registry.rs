//! Registry of endpoints, as registered by their daemons.
//!
//! Keeps every start of an endpoint with its state. Sequence numbers of heartbeats and the start times in
//! endpoint ids show which reports are late.

use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Endpoints kept; above it the one whose record changed longest ago and that takes no work is forgotten.
/// Covers ten days at 1,000 restarts or replacements a day, plus 3,600 running endpoints.
const MAX_ENDPOINTS: usize = 13_600;

/// Endpoints, each with the revision of its last change.
///
/// Invariants: a start that is draining or gone never takes work again; of all starts of one endpoint only the
/// latest takes work; revisions only rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    revision: u64,
    endpoints: BTreeMap<EndpointId, EndpointUpdate>,
    #[serde(skip)]
    by_revision: BTreeMap<u64, EndpointId>,
}

impl Registry {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Record of an endpoint.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.get(endpoint).map(|update| &update.record)
    }

    /// Endpoints that changed after a revision, in the order of their changes.
    pub fn changed_since(&self, revision: u64) -> Vec<EndpointUpdate> {
        let changed = self.by_revision.range(revision + 1..);
        let updates = changed.filter_map(|(_, endpoint)| self.endpoints.get(endpoint));
        updates.cloned().collect()
    }

    /// Applies a daemon's report on its endpoint. Returns the recorded state.
    pub(in crate::state) fn register(&mut self, report: EndpointRecord) -> EndpointState {
        let report = self.with_latest_start(report);
        let state = report.state;
        let endpoint = report.endpoint.clone();
        // A duplicate report may be applied after the report of a later start.
        if self
            .starts_of(&endpoint)
            .any(|start| endpoint.is_earlier_start_of(start))
        {
            return EndpointState::Gone;
        }
        let Some(current) = self.endpoint(&endpoint) else {
            return self.record(report);
        };
        if current.state.is_final() {
            let is_now_gone = state == EndpointState::Gone && current.state != state;
            let recorded_state = if is_now_gone { state } else { current.state };
            if is_now_gone {
                self.put(report);
            }
            return recorded_state;
        }
        let is_late = report.sequence < current.sequence && !state.is_final();
        if is_late {
            return current.state;
        }
        let is_update = EndpointRecord {
            sequence: current.sequence,
            cold_for: current.cold_for,
            ..report.clone()
        } != *current;
        if is_update {
            return self.record(report);
        }
        if let Some(update) = self.endpoints.get_mut(&endpoint) {
            // The sequence number only serves to order later heartbeats, so daemons need no update on it.
            update.record.sequence = update.record.sequence.max(report.sequence);
        }
        state
    }

    /// The daemon that holds an endpoint, if it is not the one that reports on it. A later start may register with
    /// another daemon once the previous start takes no work.
    pub fn conflicting_daemon(&self, report: &EndpointRecord) -> Option<&DaemonId> {
        let latest = self.starts_of(&report.endpoint).next_back()?;
        let current = self.endpoint(latest)?;
        let is_over = match current.state {
            EndpointState::Ready => false,
            EndpointState::Gone => true,
            EndpointState::Silent | EndpointState::Draining => {
                latest.is_earlier_start_of(&report.endpoint)
            }
        };
        (current.daemon != report.daemon && !is_over).then_some(&current.daemon)
    }

    /// Whether a report ends an endpoint that never registered with the reporting daemon. A record without slots
    /// means that the endpoint never sent that daemon a heartbeat. If such a report were recorded, it would bar an
    /// endpoint that has not registered yet.
    pub fn ends_unregistered(&self, report: &EndpointRecord) -> bool {
        if !report.state.is_final() || report.slots > 0 {
            return false;
        }
        let mut records = self
            .starts_of(&report.endpoint)
            .filter_map(|start| self.endpoint(start));
        !records.any(|record| record.daemon == report.daemon)
    }

    /// All recorded starts of an endpoint, earliest first.
    fn starts_of(&self, endpoint: &EndpointId) -> impl DoubleEndedIterator<Item = &EndpointId> {
        let first = endpoint.clone().started_at(None);
        let last = endpoint.clone().started_at(Some(u64::MAX));
        let starts = self.endpoints.range(first..=last);
        starts.map(|(start, _)| start)
    }

    /// Fills in the latest start if a report of a planned stop names no start.
    fn with_latest_start(&self, report: EndpointRecord) -> EndpointRecord {
        if !report.state.is_final() || report.endpoint.started().is_some() {
            return report;
        }
        let latest = self.starts_of(&report.endpoint).next_back().cloned();
        EndpointRecord {
            endpoint: latest.unwrap_or_else(|| report.endpoint.clone()),
            ..report
        }
    }

    /// Marks all earlier starts of an endpoint as gone.
    fn mark_earlier_starts_gone(&mut self, endpoint: &EndpointId) {
        let earlier = self.starts_of(endpoint);
        let earlier = earlier.filter(|start| start.is_earlier_start_of(endpoint));
        let earlier: Vec<EndpointRecord> =
            earlier.filter_map(|s| self.endpoint(s)).cloned().collect();
        for record in earlier {
            if record.state != EndpointState::Gone {
                self.put(EndpointRecord {
                    state: EndpointState::Gone,
                    ..record
                });
            }
        }
    }

    /// Records a report. Earlier starts of the endpoint become gone; if the endpoint is ready, other endpoints of
    /// its daemon become silent.
    fn record(&mut self, report: EndpointRecord) -> EndpointState {
        let state = report.state;
        self.mark_earlier_starts_gone(&report.endpoint);
        if state == EndpointState::Ready {
            self.mark_silent(&report.daemon, Some(&report.endpoint));
        }
        self.put(report);
        self.forget_oldest();
        state
    }

    /// Marks the endpoints of a daemon that lost contact as silent. Returns true if that changed a record.
    pub(in crate::state) fn mark_endpoints_silent(&mut self, daemon: &DaemonId) -> bool {
        let before = self.revision;
        self.mark_silent(daemon, None);
        self.revision != before
    }

    fn mark_silent(&mut self, daemon: &DaemonId, except: Option<&EndpointId>) {
        let is_affected = |update: &&EndpointUpdate| {
            let record = &update.record;
            record.daemon == *daemon
                && record.state == EndpointState::Ready
                && Some(&record.endpoint) != except
        };
        let silent: Vec<EndpointRecord> = self
            .endpoints
            .values()
            .filter(is_affected)
            .map(|update| update.record.clone())
            .collect();
        for record in silent {
            self.put(EndpointRecord {
                state: EndpointState::Silent,
                ..record
            });
        }
    }

    fn put(&mut self, record: EndpointRecord) {
        self.revision += 1;
        let revision = self.revision;
        let endpoint = record.endpoint.clone();
        let update = EndpointUpdate { record, revision };
        if let Some(previous) = self.endpoints.insert(endpoint.clone(), update) {
            self.by_revision.remove(&previous.revision);
        }
        self.by_revision.insert(revision, endpoint);
    }

    fn forget_oldest(&mut self) {
        if self.endpoints.len() <= MAX_ENDPOINTS {
            return;
        }
        let is_not_ready = |endpoint: &EndpointId| {
            let record = self.endpoint(endpoint);
            record.is_none_or(|record| record.state != EndpointState::Ready)
        };
        let oldest = self.by_revision.iter().find(|(_, e)| is_not_ready(e));
        let Some((revision, endpoint)) = oldest.map(|(r, e)| (*r, e.clone())) else {
            return;
        };
        self.by_revision.remove(&revision);
        self.endpoints.remove(&endpoint);
    }

    /// Rebuilds the index by revision after the state was deserialized.
    pub(in crate::state) fn rebuild_index(&mut self) {
        let revisions = self.endpoints.iter();
        self.by_revision = revisions
            .map(|(endpoint, update)| (update.revision, endpoint.clone()))
            .collect();
    }
}
