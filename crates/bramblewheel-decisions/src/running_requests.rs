//! Running requests: infers which request of the local endpoint made a call.
//!
//! Rule: a running request with the call's deadline is taken to be its parent; if there is none, every running request
//! with a later deadline may be. Of these candidates the most frequent rank is used, and the retried share of the class
//! with the largest one. The tenant is that of more than half of the requests with the call's deadline or, if there are
//! none, the one that all requests with a later deadline share; else it is unknown.
//!
//! Inputs: the deadline of a call (as received by this daemon, in whole ms); the requests that the local endpoint runs,
//! with deadline, root rank, tenant, class and retried share (0 to 1).
//!
//! Reason: an endpoint that runs a request calls other services for it, and nothing on a call names the parent. Only
//! the time left is known: a call has either all the time that its parent has left, or less if its own route has a
//! shorter time-out. A wrong inference affects only the order in a queue or the precision of the retry bound.
//! The most frequent tenant would be the largest one too often, and calls of others would be delayed with its own.
//!
//! State: the running requests by deadline.
//!
//! Observability: `root_rank` of the log line `request ended`; `has_parent` and `may_have_parent` of `request while
//! stopping`; metric `bramblewheel_repeated_runs` (runs with a retried share).

use crate::request_class::RequestClass;
use bramblewheel_types::Timestamp;
use http::HeaderValue;
use std::collections::BTreeMap;
use std::collections::btree_map::Range;
use std::time::Duration;

/// How much earlier a call's deadline may appear than its parent's: both are sent in whole milliseconds, rounded down,
/// and each is read a moment after it was written.
const MAX_EARLIER: Duration = Duration::from_millis(4);
/// How much later a call's deadline may appear: the resolution in which it is sent.
const MAX_LATER: Duration = Duration::from_millis(1);

/// Identifies a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningId {
    deadline: Timestamp,
    number: u64,
}

/// A request that the local endpoint runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRequest {
    /// Rank of the request at the root of its call tree.
    pub root_rank: u32,
    /// Name of the tenant of the request at the root of its call tree, if known.
    pub tenant: Option<HeaderValue>,
    /// Its class.
    pub class: RequestClass,
    /// Its retried share, 0 to 1.
    pub retried_share: f64,
}

/// Sum and number of the retried shares of one class, for their mean.
#[derive(Clone, Copy, Debug, Default)]
struct MeanShare {
    total: f64,
    count: f64,
}

/// The requests that run at the local endpoint, by deadline.
#[derive(Debug, Default)]
pub struct RunningRequests {
    next_number: u64,
    running: BTreeMap<RunningId, RunningRequest>,
}

impl RunningRequests {
    /// Records that a request runs, at the latest until `deadline`.
    pub fn begin(&mut self, deadline: Timestamp, request: RunningRequest) -> RunningId {
        self.next_number += 1;
        let id = RunningId {
            deadline,
            number: self.next_number,
        };
        self.running.insert(id, request);
        id
    }

    /// Records that a request has ended.
    pub fn end(&mut self, id: RunningId) {
        self.running.remove(&id);
    }

    /// Root rank of the call tree that a call with this deadline most likely belongs to; none if no running request
    /// could have made it.
    pub fn root_rank_of(&self, deadline: Timestamp) -> Option<u32> {
        let parents = most_frequent(self.parents(deadline));
        parents.or_else(|| most_frequent(self.possible_parents(deadline)))
    }

    /// Name of the tenant of the call tree that a call with this deadline belongs to, as far as it is known.
    pub fn tenant_of(&self, deadline: Timestamp) -> Option<&HeaderValue> {
        if self.has_parent(deadline) {
            return majority_tenant(self.parents(deadline));
        }
        let mut candidates = self.possible_parents(deadline);
        let (_, first) = candidates.next()?;
        let is_shared = candidates.all(|(_, request)| request.tenant == first.tenant);
        first.tenant.as_ref().filter(|_| is_shared)
    }

    /// Retried share, 0 to 1, of a call with this deadline: the largest among the requests that may have made it, since
    /// nothing shows which class makes which calls.
    ///
    /// Only the requests of a class that run now count, not a mean over its last runs: with a mean over about ten runs
    /// the calls of retried runs were counted seconds late, and the bound was exceeded in 4 of 6,000 random call trees
    /// instead of 1.
    pub fn retried_share_of(&self, deadline: Timestamp) -> f64 {
        let parents = self
            .parents(deadline)
            .map(|(_, parent)| parent.retried_share);
        if let Some(largest) = parents.reduce(f64::max) {
            return largest;
        }
        let mut by_class: BTreeMap<RequestClass, MeanShare> = BTreeMap::new();
        for (_, request) in self.possible_parents(deadline) {
            let mean = by_class.entry(request.class).or_default();
            mean.total += request.retried_share;
            mean.count += 1.0;
        }
        let shares = by_class.values().map(|mean| mean.total / mean.count);
        shares.fold(0.0, f64::max)
    }

    /// Whether a request with the call's deadline runs.
    pub fn has_parent(&self, deadline: Timestamp) -> bool {
        self.parents(deadline).next().is_some()
    }

    /// Whether a request with the call's deadline or a later one runs.
    pub fn may_have_parent(&self, deadline: Timestamp) -> bool {
        self.has_parent(deadline) || self.possible_parents(deadline).next().is_some()
    }

    /// Requests with the call's deadline.
    fn parents(&self, deadline: Timestamp) -> Range<'_, RunningId, RunningRequest> {
        let earliest = RunningId {
            deadline: Timestamp::ZERO + deadline.since(Timestamp::ZERO + MAX_LATER),
            number: 0,
        };
        self.running.range(earliest..=last_id_at(deadline))
    }

    /// Requests with a later deadline than the call's.
    fn possible_parents(&self, deadline: Timestamp) -> Range<'_, RunningId, RunningRequest> {
        self.running.range(last_id_at(deadline)..)
    }
}

/// Upper end of the ids of requests with the call's deadline.
fn last_id_at(deadline: Timestamp) -> RunningId {
    RunningId {
        deadline: deadline + MAX_EARLIER,
        number: u64::MAX,
    }
}

/// The most frequent rank; of equally frequent ones the most important.
fn most_frequent(running: Range<'_, RunningId, RunningRequest>) -> Option<u32> {
    let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, request) in running {
        *counts.entry(request.root_rank).or_default() += 1;
    }
    let by_count = counts.iter().max_by(|one, other| {
        let by_rank = other.0.cmp(one.0);
        one.1.cmp(other.1).then(by_rank)
    });
    by_count.map(|(rank, _)| *rank)
}

/// The tenant of more than half of the requests.
fn majority_tenant(running: Range<'_, RunningId, RunningRequest>) -> Option<&HeaderValue> {
    let total = running.clone().count();
    let is_majority = |tenant: &HeaderValue| {
        let own = running.clone();
        let own = own.filter(|(_, request)| request.tenant.as_ref() == Some(tenant));
        own.count() * 2 > total
    };
    let mut tenants = running
        .clone()
        .filter_map(|(_, request)| request.tenant.as_ref());
    tenants.find(|tenant| is_majority(tenant))
}
