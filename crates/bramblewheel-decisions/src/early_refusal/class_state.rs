//! State of one class at a caller's daemon: the capacity that its requests find, and the services that they need.
//!
//! It has one refused part for each reason; [`RefusedPart`] defines how they change.

use super::CapacityFound;
use super::refused_part::{AT_SERVICE, DOWNSTREAM, FOR_OTHERS, RefusedPart};
use bramblewheel_types::{ServiceName, Timestamp};
use std::time::Duration;

/// Longest time step by which one record changes a refused part.
const MAX_STEP: Duration = Duration::from_millis(250);
/// Time after the last record from which the refused parts fall on their own.
const RECORD_LIFETIME: Duration = Duration::from_millis(500);

/// State of one class.
#[derive(Clone, Debug)]
pub(super) struct ClassState {
    /// Refused because the service itself has no capacity.
    at_service: RefusedPart,
    /// Refused because a service downstream has none.
    downstream: RefusedPart,
    /// Part refused of less important classes, so that this one finds capacity.
    for_others: RefusedPart,
    /// Downstream service that was last found without capacity.
    short_downstream: Option<ServiceName>,
    /// Rank of the requests; 0 is the most important.
    rank: u32,
    /// Service that the requests are sent to.
    target: Option<ServiceName>,
    /// When the last request that was sent ended.
    recorded: Timestamp,
}

impl ClassState {
    /// A class without records; it has the least important rank until
    /// [`set_rank_and_target`](Self::set_rank_and_target) is called.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            at_service: RefusedPart::new(&AT_SERVICE),
            downstream: RefusedPart::new(&DOWNSTREAM),
            for_others: RefusedPart::new(&FOR_OTHERS),
            short_downstream: None,
            rank: u32::MAX,
            target: None,
            recorded: now,
        }
    }

    /// Sets the rank of the requests and the service that they are sent to.
    pub(super) fn set_rank_and_target(&mut self, rank: u32, target: &ServiceName) {
        self.rank = rank;
        if self.target.as_ref() != Some(target) {
            self.target = Some(target.clone());
        }
    }

    /// The downstream service, if its shortage weighs more than that of the class's own service.
    pub(super) fn dominant_downstream(&self) -> Option<&ServiceName> {
        let is_dominant = self.downstream.last() > self.at_service.last();
        self.short_downstream.as_ref().filter(|_| is_dominant)
    }

    /// Whether refusing requests of `other`, a less important class, would relieve the shortage that this class sees.
    pub(super) fn is_relieved_by(&self, other: &Self) -> bool {
        self.rank < other.rank && self.short_service().is_some_and(|short| other.needs(short))
    }

    /// The service whose shortage this class sees, as of the last record.
    fn short_service(&self) -> Option<&ServiceName> {
        let downstream = self.downstream.without_capacity(self.recorded);
        let at_service = self.at_service.without_capacity(self.recorded);
        let short_downstream = self.short_downstream.as_ref();
        let short_downstream = short_downstream.filter(|_| downstream >= at_service);
        short_downstream.or(self.target.as_ref())
    }

    fn needs(&self, service: &ServiceName) -> bool {
        self.short_downstream.as_ref() == Some(service) || self.target.as_ref() == Some(service)
    }

    /// Part of the class's requests to be refused now, because of their own outcomes.
    pub(super) fn refused_part(&self, now: Timestamp) -> f64 {
        let idle = self.idle(now);
        let at_service = self.at_service.after(idle);
        at_service.max(self.downstream.after(idle))
    }

    /// Part of less important classes that need the same service to be refused now.
    pub(super) fn part_for_others(&self, now: Timestamp) -> f64 {
        self.for_others.after(self.idle(now))
    }

    /// Time for which the refused parts have been falling on their own.
    fn idle(&self, now: Timestamp) -> Duration {
        now.since(self.recorded).saturating_sub(RECORD_LIFETIME)
    }

    /// Records the capacity found by a request that was sent.
    pub(super) fn record(&mut self, now: Timestamp, found: &CapacityFound) {
        let idle = self.idle(now);
        let step = now.since(self.recorded).min(MAX_STEP);
        let none_at_service = *found == CapacityFound::NoneAtService;
        let none_downstream = matches!(found, CapacityFound::NoneDownstream(_));
        if let CapacityFound::NoneDownstream(service) = found {
            self.short_downstream = Some(service.clone());
        }
        self.at_service.record(now, none_at_service, idle, step);
        self.downstream.record(now, none_downstream, idle, step);
        let is_short = none_at_service || none_downstream;
        self.for_others.record(now, is_short, idle, step);
        self.recorded = now;
    }
}
