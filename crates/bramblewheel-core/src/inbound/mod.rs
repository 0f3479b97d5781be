//! Attempts sent by other daemons to the local endpoint: admission, queue, claim, dispatch.

mod accept;
pub(crate) mod attempt;
mod claim;
mod dispatch;
mod finish;
pub mod level;
pub mod limit;
pub mod path_level;
pub mod queue;
pub mod service_time;

use crate::event::EndpointReport;
use crate::inbound::attempt::InboundAttempt;
use crate::inbound::level::LevelController;
use crate::inbound::limit::ConcurrencyLimit;
use crate::inbound::path_level::PathLevels;
use crate::inbound::queue::AdmissionQueue;
use crate::inbound::service_time::ServiceTimes;
use crate::table::{RecentMap, Table};
use bramblewheel_types::{AttemptId, OperationKey, Timestamp};

/// Attempts remembered after their end, so that a duplicate message does not run an attempt that
/// was refused or has already run, and a late grant is released.
const MAX_REMEMBERED_ATTEMPTS: usize = 8_192;

/// Inbound attempts in progress and the state that limits them.
#[derive(Debug)]
pub(crate) struct Inbound {
    pub(crate) attempts: Table<AttemptId, InboundAttempt>,
    pub(crate) queue: AdmissionQueue,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) level: LevelController,
    pub(crate) service_times: ServiceTimes,
    pub(crate) path_levels: PathLevels,
    /// Attempts that hold a slot: claiming or running.
    pub(crate) running: u32,
    pub(crate) report: Option<(Timestamp, EndpointReport)>,
    /// Ids of recent attempts, whatever their outcome.
    pub(crate) recent_attempts: RecentMap<AttemptId, ()>,
    /// Run-once attempts aborted before the ledger answered, whose grant may still arrive.
    pub(crate) abandoned: RecentMap<AttemptId, OperationKey>,
}

impl Inbound {
    pub(crate) fn new() -> Self {
        Self {
            attempts: Table::default(),
            queue: AdmissionQueue::default(),
            limit: ConcurrencyLimit::new(1, 1),
            level: LevelController::new(),
            service_times: ServiceTimes::default(),
            path_levels: PathLevels::default(),
            running: 0,
            report: None,
            recent_attempts: RecentMap::new(MAX_REMEMBERED_ATTEMPTS),
            abandoned: RecentMap::new(MAX_REMEMBERED_ATTEMPTS),
        }
    }

    /// Calls running and queued, per 100 of the concurrency limit.
    pub(crate) fn load_percent(&self, limit: u32) -> u32 {
        let load = u64::from(self.running) + self.queue.len() as u64;
        let percent = load * 100 / u64::from(limit.max(1));
        u32::try_from(percent).unwrap_or(u32::MAX)
    }
}
