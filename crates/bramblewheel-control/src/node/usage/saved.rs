//! Usage that outlives the process, for the case that all replicas and daemons end at once.

use super::moment::Moment;
use super::report::Origin;
use super::{FleetUsage, ForwardedReport};
use crate::node::Now;
use bramblewheel_protocol::routing::RenewRequest;
use bramblewheel_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between two saves.
pub const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which the `asked` of a report counts.
const ASKED_TIME: Duration = Duration::from_millis(600);

/// The reports that a replica knew at some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedUsage {
    /// The time, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// Time for which the replica had known the reports of all daemons.
    pub known_for: Millis,
    /// The reports.
    pub reports: Vec<ForwardedReport>,
}

impl FleetUsage {
    /// What is to be saved now; `None` if no daemon has reported a tenant's requests.
    pub fn saved(&self, now: Now) -> Option<SavedUsage> {
        let reports: Vec<ForwardedReport> = self.all_forwarded(now.monotonic).collect();
        let has_usage = |report: &ForwardedReport| !report.request.usage.is_empty();
        reports.iter().any(has_usage).then(|| SavedUsage {
            unix_millis: now.unix_millis,
            known_for: Millis::of(Moment::of(now.monotonic).since(self.known_since)),
            reports,
        })
    }

    /// Takes over what an earlier process of this replica saved. A wall clock that was set back since makes the reports
    /// count for longer.
    pub fn restore(&mut self, now: Now, saved: SavedUsage) {
        let elapsed = Duration::from_millis(now.unix_millis.saturating_sub(saved.unix_millis));
        let known_for = Duration::from(saved.known_for) + elapsed;
        self.known_since = Moment::of(now.monotonic).before(known_for);
        for saved in saved.reports {
            let age = Duration::from(saved.age) + elapsed;
            let request = with_unsaved(saved.request);
            self.record(Origin::Daemon, now.monotonic, age, request);
        }
    }

    pub(super) fn all_forwarded(&self, now: Timestamp) -> impl Iterator<Item = ForwardedReport> {
        let processes = self.reports.keys();
        processes.filter_map(move |process| self.forwarded(now, process))
    }
}

/// The report with the requests that its daemon may have admitted from the save to the end of the replica.
fn with_unsaved(mut request: RenewRequest) -> RenewRequest {
    let intervals = SAVE_INTERVAL.as_secs_f64() / ASKED_TIME.as_secs_f64();
    for (usage, details) in request.usage.iter_mut().zip(&mut request.details) {
        let asked = (f64::from(usage.asked) * intervals).ceil() as u32;
        let allowance = details.allowance_hundredths.div_ceil(100);
        let unsaved = asked.min(allowance.saturating_sub(usage.admitted));
        usage.admitted += unsaved;
        details.by_age[0] += unsaved;
    }
    request
}
