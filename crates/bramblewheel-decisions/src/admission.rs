//! Admission at the endpoint: how many requests run there, and in which order others wait.
//!
//! Rule: a request runs if a slot is free and no other request waits. Otherwise it waits, ordered by importance and, at
//! the same rank, by fair shares of the tenants ([`crate::fair_share`]); without tenants by due time. If the queue is
//! full, it displaces a waiting request of a less important rank or, at the same rank, of a tenant with at least two
//! more waiting requests; else it is refused.
//!
//! Inputs: the endpoint's slots (from its heartbeat); for each request its rank (0 is the most important; that of the
//! root of its call tree), its tenant (of the root as well) if known, when its answer is due, and until when it may wait.
//!
//! Reason: a call deep in a call tree must not be refused lightly, since much has run for it already. Many requests may
//! therefore wait, and the class limits ([`crate::class_limit`]) refuse requests at the top of the trees instead.
//!
//! State: the counts and the queue. The caller reports when a request has ended or stopped waiting.
//!
//! Observability: metrics `bramblewheel_inbound` (result `full`) and `bramblewheel_displaced` (by rank or by tenant); log
//! line `not admitted` (`rank`, `root_rank`, `tenant`, `displaced_by`, `busy`, `limit`, `reason`).

use crate::fair_share::FairOrder;
use bramblewheel_types::Timestamp;
use std::time::Duration;

pub use crate::fair_share::{QueuePosition, TenantKey, Ticket};

/// Part of an endpoint's slots that is used, 0 to 1: some endpoints slow down when nearly full.
const USED_SLOTS: f64 = 0.94;
/// Requests that may wait per used slot. The mean net value of 15 whole days was 0.505 with 4, 0.489 with 1.5. The net
/// value is the value of the requests answered in time, as a part of the attainable, less the cost of resources and of
/// refusals; 1 is the best.
const WAITING_PER_SLOT: f64 = 4.0;
/// Least number of requests that may wait, which matters for endpoints with a single slot.
const MIN_QUEUE_LENGTH: usize = 2;
/// Part of the latency objective, 0 to 1, that a request may wait. The mean net value of 15 whole days was 0.505
/// with 0.6, 0.494 with 0.3.
const WAITING_PART_OF_OBJECTIVE: f64 = 0.6;
/// The wait takes at most the time left divided by this.
const WAITING_DIVISOR_OF_TIME_LEFT: u32 = 2;

/// A request that arrives at the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Rank; 0 is the most important.
    pub rank: u32,
    /// Its tenant, or that of the request which made it; `None` if there is none or it is not known.
    pub tenant: Option<TenantKey>,
    /// When its answer is due.
    pub due: Timestamp,
    /// Latest time until which it may wait.
    pub until: Timestamp,
}

/// Why a waiting request is displaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Displacement {
    /// By a request of a more important rank.
    ByRank,
    /// By a request of the same rank, of a tenant with fewer waiting requests.
    ByTenant,
}

impl Displacement {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ByRank => "rank",
            Self::ByTenant => "tenant",
        }
    }
}

/// What to do with a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits at this queue position.
    Wait(QueuePosition),
    /// It waits instead of another one, which is refused.
    WaitInsteadOf(QueuePosition, Ticket, Displacement),
    /// It is refused.
    Refuse,
}

/// Requests that run and wait at one endpoint.
///
/// Invariant: no request is refused because of a full queue while a less important one waits.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    limit: u32,
    running: u32,
    waiting: FairOrder,
}

impl AdmissionQueue {
    /// Sets how many requests the endpoint can run at one time; a part of them is used, at least one.
    pub fn set_slots(&mut self, slots: u32) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number that fits is one that fits"
        )]
        let used = (f64::from(slots) * USED_SLOTS) as u32;
        self.limit = used.max(1);
    }

    /// Requests that may run at one time.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that may run and wait together.
    pub fn capacity(&self) -> u32 {
        let waiting = u32::try_from(self.queue_length()).unwrap_or(u32::MAX);
        self.limit.saturating_add(waiting)
    }

    /// Requests that run and wait.
    pub fn busy(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Decides on a request that arrived.
    pub fn arrive(&mut self, arrival: Arrival) -> Admission {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            self.waiting.charge(arrival.rank, arrival.tenant);
            return Admission::Run;
        }
        if self.waiting.len() < self.queue_length() {
            return Admission::Wait(self.enqueue(arrival));
        }
        let displaced = self.waiting.displaceable(arrival.rank, arrival.tenant);
        let Some(displaced) = displaced else {
            return Admission::Refuse;
        };
        self.waiting.remove(&displaced);
        let displacement = if displaced.rank > arrival.rank {
            Displacement::ByRank
        } else {
            Displacement::ByTenant
        };
        Admission::WaitInsteadOf(self.enqueue(arrival), displaced.ticket, displacement)
    }

    /// Requests that may wait.
    fn queue_length(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number that fits is one that fits"
        )]
        let waiting = (f64::from(self.limit) * WAITING_PER_SLOT) as usize;
        waiting.max(MIN_QUEUE_LENGTH)
    }

    fn enqueue(&mut self, arrival: Arrival) -> QueuePosition {
        self.waiting
            .push(arrival.rank, arrival.tenant, arrival.due, arrival.until)
    }

    /// Records that a running request has ended; returns those that run now in its place.
    pub fn finish(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.start_waiting(now)
    }

    /// Starts the first waiting requests that may still wait. Those whose waiting time is over are dropped
    /// here; their tasks notice the time-out on their own.
    pub fn start_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limit {
            let Some(ticket) = self.waiting.start_next(now) else {
                break;
            };
            self.running += 1;
            started.push(ticket);
        }
        started
    }

    /// Removes a request that stopped waiting; false if it already runs or was refused.
    pub fn leave(&mut self, position: &QueuePosition) -> bool {
        self.waiting.remove(position)
    }

    /// Refuses all waiting requests, for instance when the endpoint drains.
    pub fn refuse_all(&mut self) -> Vec<Ticket> {
        self.waiting.take_all()
    }
}

/// Longest wait of a request for a slot, from its objective and the time left. After it, a refusal that the caller can
/// act on is worth more than a longer wait.
pub fn longest_wait(objective: Duration, left: Duration) -> Duration {
    let by_objective = objective.mul_f64(WAITING_PART_OF_OBJECTIVE);
    by_objective.min(left / WAITING_DIVISOR_OF_TIME_LEFT)
}
