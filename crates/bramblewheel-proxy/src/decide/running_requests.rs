//! Which request of the local endpoint a call belongs to.
//!
//! An endpoint that runs a request calls other services for it, and nothing on the call names that
//! request. What is known is the time left: a call has either all that its parent has left, or less
//! where its own kind has a shorter limit. So a parent whose time ends with the call's is taken to be
//! the one; failing that, every request that has more time left than the call may be it, and the
//! most frequent rank among those is taken.

use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::collections::btree_map::Range;
use std::time::Duration;

/// How much earlier a call's time may seem to end than its parent's: both are told in whole
/// milliseconds, rounded down, and each is read a moment after it was written.
const EARLIER: Duration = Duration::from_millis(4);
/// How much later it may seem to end: the resolution in which it is told.
const LATER: Duration = Duration::from_millis(1);

/// Names a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningId {
    deadline: Timestamp,
    number: u64,
}

/// The requests that run at the local endpoint, by the end of their time.
#[derive(Debug, Default)]
pub struct RunningRequests {
    next_number: u64,
    root_ranks: BTreeMap<RunningId, u32>,
}

impl RunningRequests {
    /// Notes that a request runs until `deadline` at the latest; `root_rank` is the rank of the
    /// request at the root of its tree.
    pub fn begin(&mut self, deadline: Timestamp, root_rank: u32) -> RunningId {
        self.next_number += 1;
        let id = RunningId {
            deadline,
            number: self.next_number,
        };
        self.root_ranks.insert(id, root_rank);
        id
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, id: RunningId) {
        self.root_ranks.remove(&id);
    }

    /// Rank of the tree that a call with this deadline most likely belongs to; none if no request
    /// runs that could have made it.
    pub fn root_rank_of(&self, deadline: Timestamp) -> Option<u32> {
        let earliest = RunningId {
            deadline: Timestamp::ZERO + deadline.since(Timestamp::ZERO + LATER),
            number: 0,
        };
        let latest = RunningId {
            deadline: deadline + EARLIER,
            number: u64::MAX,
        };
        let parents = self.root_ranks.range(earliest..=latest);
        let possible = self.root_ranks.range(latest..);
        most_frequent(parents).or_else(|| most_frequent(possible))
    }
}

/// The most frequent rank; of equally frequent ones the most important.
fn most_frequent(running: Range<'_, RunningId, u32>) -> Option<u32> {
    let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, root_rank) in running {
        *counts.entry(*root_rank).or_default() += 1;
    }
    let by_count = counts.iter().max_by(|one, other| {
        let by_rank = other.0.cmp(one.0);
        one.1.cmp(other.1).then(by_rank)
    });
    by_count.map(|(rank, _)| *rank)
}
