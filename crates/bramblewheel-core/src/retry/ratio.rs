//! Ratio budgets: retries stay below a share of first tries, per caller and called service.
//!
//! Tokens bound what one request may cause; the ratio bounds what all requests together may
//! add when everything fails at once.

use crate::table::RecentMap;
use bramblewheel_types::ServiceName;

/// Retries that may be made at once when there were no recent ones.
const BURST: f64 = 10.0;
/// Callers whose budget is remembered.
const MAX_CALLERS: usize = 4_096;
/// Called services whose budget is remembered.
const MAX_SERVICES: usize = 1_024;

/// A bucket filled by first tries and emptied by retries.
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

    /// Counts a first try.
    pub(crate) fn record_first_try(
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

    /// Takes one retry from both budgets; false, and nothing taken, if either is empty.
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
