//! Endpoints as the daemons beside them registered them.
//!
//! Owns every start of an endpoint with its state, and decides which report is late. Relies on the
//! sequence numbers of heartbeats and the starts in the endpoints' ids.

use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Endpoints remembered; beyond it the ones that left longest ago are forgotten. Ten days at the
/// 1,000 restarts or replacements a day of `CONTRIBUTING.md`, besides 3,600 that are there.
const MAX_ENDPOINTS: usize = 13_600;

/// Endpoints, each with the revision of its last change.
///
/// Invariants: a start of an endpoint that is leaving or gone never takes work again; of one name only the latest start
/// takes work; revisions only rise.
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

    /// What is known of an endpoint.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.get(endpoint).map(|known| &known.record)
    }

    /// Endpoints that changed after a revision, in the order of their changes.
    pub fn changed_since(&self, revision: u64) -> Vec<EndpointUpdate> {
        let changed = self.by_revision.range(revision + 1..);
        let updates = changed.filter_map(|(_, endpoint)| self.endpoints.get(endpoint));
        updates.cloned().collect()
    }

    /// Takes a daemon's report on its endpoint; returns the state that is recorded.
    pub(in crate::state) fn register(&mut self, report: EndpointRecord) -> EndpointState {
        let report = self.with_start(report);
        let state = report.state;
        let endpoint = report.endpoint.clone();
        // A report that was sent twice may be decided after that of a later start.
        if self
            .starts_of(&endpoint)
            .any(|start| endpoint.is_earlier_start_of(start))
        {
            return EndpointState::Gone;
        }
        let Some(known) = self.endpoint(&endpoint) else {
            return self.admit(report);
        };
        if known.state.is_final() {
            let is_progress = state == EndpointState::Gone && known.state != state;
            let recorded = if is_progress { state } else { known.state };
            if is_progress {
                self.put(report);
            }
            return recorded;
        }
        let is_late = report.sequence < known.sequence && !state.is_final();
        if is_late {
            return known.state;
        }
        let is_update = EndpointRecord {
            sequence: known.sequence,
            cold_for: known.cold_for,
            ..report.clone()
        } != *known;
        if is_update {
            return self.admit(report);
        }
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            // Only the order of later heartbeats depends on it, so that daemons get no update of it.
            known.record.sequence = known.record.sequence.max(report.sequence);
        }
        state
    }

    /// The daemon beside an endpoint, where it is another one than the one that reports on it. A later start may be
    /// beside another daemon once the start before it takes no work.
    pub fn other_daemon_of(&self, report: &EndpointRecord) -> Option<&DaemonId> {
        let latest = self.starts_of(&report.endpoint).next_back()?;
        let known = self.endpoint(latest)?;
        let is_over = match known.state {
            EndpointState::Ready => false,
            EndpointState::Gone => true,
            EndpointState::Silent | EndpointState::Draining => {
                latest.is_earlier_start_of(&report.endpoint)
            }
        };
        (known.daemon != report.daemon && !is_over).then_some(&known.daemon)
    }

    /// Whether a report ends an endpoint that never sent its daemon a heartbeat, which a record without slots means, and of which
    /// nothing is known beside that daemon. Recorded, it would close an endpoint that has not registered yet.
    pub fn ends_unknown(&self, report: &EndpointRecord) -> bool {
        if !report.state.is_final() || report.slots > 0 {
            return false;
        }
        let mut known = self
            .starts_of(&report.endpoint)
            .filter_map(|start| self.endpoint(start));
        !known.any(|known| known.daemon == report.daemon)
    }

    /// All starts of an endpoint that are known, the earliest first.
    fn starts_of(&self, endpoint: &EndpointId) -> impl DoubleEndedIterator<Item = &EndpointId> {
        let first = endpoint.clone().started_at(None);
        let last = endpoint.clone().started_at(Some(u64::MAX));
        let starts = self.endpoints.range(first..=last);
        starts.map(|(start, _)| start)
    }

    /// A report of a planned end that names no start is of the latest start.
    fn with_start(&self, report: EndpointRecord) -> EndpointRecord {
        if !report.state.is_final() || report.endpoint.started().is_some() {
            return report;
        }
        let latest = self.starts_of(&report.endpoint).next_back().cloned();
        EndpointRecord {
            endpoint: latest.unwrap_or_else(|| report.endpoint.clone()),
            ..report
        }
    }

    /// Notes that the earlier starts of an endpoint are over.
    fn end_earlier_starts(&mut self, endpoint: &EndpointId) {
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

    /// Records a report; an endpoint that starts replaces the one before it.
    fn admit(&mut self, report: EndpointRecord) -> EndpointState {
        let state = report.state;
        self.end_earlier_starts(&report.endpoint);
        if state == EndpointState::Ready {
            self.silence(&report.daemon, Some(&report.endpoint));
        }
        self.put(report);
        self.forget_oldest();
        state
    }

    /// Notes that the daemon beside an endpoint lost contact; true if that changed a record.
    pub(in crate::state) fn silence_daemon(&mut self, daemon: &DaemonId) -> bool {
        let before = self.revision;
        self.silence(daemon, None);
        self.revision != before
    }

    fn silence(&mut self, daemon: &DaemonId, except: Option<&EndpointId>) {
        let is_concerned = |known: &&EndpointUpdate| {
            let record = &known.record;
            record.daemon == *daemon
                && record.state == EndpointState::Ready
                && Some(&record.endpoint) != except
        };
        let silent: Vec<EndpointRecord> = self
            .endpoints
            .values()
            .filter(is_concerned)
            .map(|known| known.record.clone())
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
        if let Some(before) = self.endpoints.insert(endpoint.clone(), update) {
            self.by_revision.remove(&before.revision);
        }
        self.by_revision.insert(revision, endpoint);
    }

    fn forget_oldest(&mut self) {
        if self.endpoints.len() <= MAX_ENDPOINTS {
            return;
        }
        let is_over = |endpoint: &EndpointId| {
            let record = self.endpoint(endpoint);
            record.is_none_or(|record| record.state != EndpointState::Ready)
        };
        let oldest = self.by_revision.iter().find(|(_, e)| is_over(e));
        let Some((revision, endpoint)) = oldest.map(|(r, e)| (*r, e.clone())) else {
            return;
        };
        self.by_revision.remove(&revision);
        self.endpoints.remove(&endpoint);
    }

    /// Rebuilds what follows from the rest, after a snapshot was read.
    pub(in crate::state) fn restore(&mut self) {
        let revisions = self.endpoints.iter();
        self.by_revision = revisions
            .map(|(endpoint, known)| (known.revision, endpoint.clone()))
            .collect();
    }
}
