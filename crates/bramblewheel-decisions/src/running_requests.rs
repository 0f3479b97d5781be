//! Running requests: which request of the local endpoint made a call.
//!
//! Rule: a request whose time ends with the call's is taken to be its parent; failing that, every request that has
//! more time left than the call may be it. Of these the most frequent rank is taken, and the retried share of the
//! class that has most.
//!
//! Inputs: the deadline of a call (as it came to this daemon, in whole ms); the requests that the local endpoint
//! runs, with deadline, root rank, class and retried share (0 to 1).
//!
//! Reason: an endpoint that runs a request calls other services for it, and nothing on the call names that request.
//! What is known is the time left: a call has either all that its parent has left, or less where its own kind has a
//! shorter limit. A wrong inference costs order in a queue, or precision of the bound on retries.
//!
//! Owns the running requests by their deadline. Relies on the caller for time and to say when a request ends.
//!
//! Seen in: `root_rank` of the log line `request ended`; `has_parent` and `may_have_parent` of `request while
//! stopping`; metric `bramblewheel_repeated_runs` (runs with a retried share).

use crate::request_class::RequestClass;
use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::collections::btree_map::Range;
use std::time::Duration;

/// How much earlier a call's time may seem to end than its parent's: both are sent in whole
/// milliseconds, rounded down, and each is read a moment after it was written. Chosen, not measured.
const SEEMS_EARLIER: Duration = Duration::from_millis(4);
/// How much later it may seem to end: the resolution in which it is sent.
const SEEMS_LATER: Duration = Duration::from_millis(1);

/// Names a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningId {
    deadline: Timestamp,
    number: u64,
}

/// What is known of a request that runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningRequest {
    /// Rank of the request at the root of its tree.
    pub root_rank: u32,
    /// Its class.
    pub class: RequestClass,
    /// Its retried share, between 0 and 1.
    pub retried_share: f64,
}

/// Sum and number of the retried shares of one class.
#[derive(Clone, Copy, Debug, Default)]
struct MeanShare {
    total: f64,
    count: f64,
}

/// The requests that run at the local endpoint, by the end of their time.
#[derive(Debug, Default)]
pub struct RunningRequests {
    next_number: u64,
    running: BTreeMap<RunningId, RunningRequest>,
}

impl RunningRequests {
    /// Records that a request runs until `deadline` at the latest.
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

    /// Rank of the tree that a call with this deadline most likely belongs to; none if no request
    /// runs that could have made it.
    pub fn root_rank_of(&self, deadline: Timestamp) -> Option<u32> {
        let parents = most_frequent(self.parents(deadline));
        parents.or_else(|| most_frequent(self.possible_parents(deadline)))
    }

    /// Retried share, 0 to 1, of a call with this deadline: the largest that the requests
    /// allow which may have made it, since nothing shows which class makes which calls.
    ///
    /// Of a class, what runs now counts and not a mean of its last runs: with a mean over some ten runs the calls of
    /// retried runs counted seconds late, and the bound broke in 4 of 6,000 drawn trees in place of 1.
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

    /// Whether a request runs whose time ends with that of a call.
    pub fn has_parent(&self, deadline: Timestamp) -> bool {
        self.parents(deadline).next().is_some()
    }

    /// Whether a request runs that has as much time left as a call, or more.
    pub fn may_have_parent(&self, deadline: Timestamp) -> bool {
        self.has_parent(deadline) || self.possible_parents(deadline).next().is_some()
    }

    /// Requests whose time ends with that of a call.
    fn parents(&self, deadline: Timestamp) -> Range<'_, RunningId, RunningRequest> {
        let earliest = RunningId {
            deadline: Timestamp::ZERO + deadline.since(Timestamp::ZERO + SEEMS_LATER),
            number: 0,
        };
        self.running.range(earliest..=latest(deadline))
    }

    /// Requests that have more time left than a call.
    fn possible_parents(&self, deadline: Timestamp) -> Range<'_, RunningId, RunningRequest> {
        self.running.range(latest(deadline)..)
    }
}

/// The last of the requests whose time ends with that of a call.
fn latest(deadline: Timestamp) -> RunningId {
    RunningId {
        deadline: deadline + SEEMS_EARLIER,
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
