//! Ratio budgets limit retries to a share of first attempts, per caller and per called service.
//!
//! Tokens bound the retries of one request; the ratio bounds the retries of all requests together
//! when everything fails at once.

use crate::table::RecentMap;
use bramblewheel_types::ServiceName;

/// Retries that may be made in a burst if there were no recent ones.
const BURST: f64 = 10.0;
/// Capacity of the map of caller budgets.
const MAX_CALLERS: usize = 4_096;
/// Capacity of the map of service budgets.
const MAX_SERVICES: usize = 1_024;

/// A token bucket filled by first attempts and drained by retries.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    retries: f64,
}

impl Bucket {
    fn full() -> Self {
        Self { retries: BURST }
    }

    fn deposit(&mut self, ratio_percent: u32) {
        self.retries = (self.retries + f64::from(ratio_percent) / 100.0).min(BURST);
    }

    fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }
}

/// Budgets per caller and per called service.
#[derive(Debug)]
pub(crate) struct RatioBudgets {
    callers: RecentMap<String, Bucket>,
    services: RecentMap<ServiceName, Bucket>,
}

impl RatioBudgets {
    pub(crate) fn new() -> Self {
        Self {
            callers: RecentMap::new(MAX_CALLERS),
            services: RecentMap::new(MAX_SERVICES),
        }
    }

    /// Records a first attempt.
    pub(crate) fn record_first_attempt(
        &mut self,
        caller: &String,
        service: &ServiceName,
        ratio_percent: u32,
    ) {
        self.callers
            .get_or_insert_with(caller, Bucket::full)
            .deposit(ratio_percent);
        self.services
            .get_or_insert_with(service, Bucket::full)
            .deposit(ratio_percent);
    }

    /// Takes one retry from both budgets; returns false and takes nothing if either is empty.
    pub(crate) fn withdraw(&mut self, caller: &String, service: &ServiceName) -> bool {
        let of_caller = self.callers.get_or_insert_with(caller, Bucket::full);
        let of_service = self.services.get_or_insert_with(service, Bucket::full);
        if !of_caller.has_retry() || !of_service.has_retry() {
            return false;
        }
        of_caller.retries -= 1.0;
        of_service.retries -= 1.0;
        true
    }
}
