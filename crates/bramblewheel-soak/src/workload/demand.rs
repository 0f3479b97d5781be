//! Computes how much of its endpoints' capacity a workload uses.

use super::{RequestKind, Workload};
use std::time::Duration;

/// Mean share of slots in use above which a workload with long tails fills all of them from time to time.
const SATURATION_SHARE: f64 = 0.7;

impl Workload {
    /// Whether the usual load fills all slots of a service, at least from time to time.
    pub fn fills_slots(&self) -> bool {
        (0..self.services).any(|service| self.slots_in_use(service) > SATURATION_SHARE)
    }

    /// Mean share of a service's slots that is in use if nothing is refused; above 1 if the load exceeds the capacity.
    ///
    /// Assumes that each daemon has the same callers and each service the same number of endpoints.
    pub fn slots_in_use(&self, service: usize) -> f64 {
        let kinds = self.kinds.iter().filter(|kind| kind.per_second > 0.0);
        let busy_seconds = kinds.map(|kind| kind.per_second * self.busy_seconds_at(service, kind));
        #[expect(clippy::cast_precision_loss, reason = "a few services")]
        let services = self.services as f64;
        busy_seconds.sum::<f64>() * services / f64::from(self.slots)
    }

    /// Slot time that one request of a kind with all its calls takes at a service, in seconds.
    fn busy_seconds_at(&self, service: usize, kind: &RequestKind) -> f64 {
        let own = if kind.service == service {
            self.mean_seconds(kind)
        } else {
            0.0
        };
        let in_calls = kind.calls.iter().filter_map(|calls| {
            let called = self.kind(&calls.kind)?;
            Some(f64::from(calls.times) * self.busy_seconds_at(service, called))
        });
        own + in_calls.sum::<f64>()
    }

    /// Mean time that one request of a kind takes at its endpoint, in seconds.
    fn mean_seconds(&self, kind: &RequestKind) -> f64 {
        let work = kind.work_ms.mean() / 1_000.0;
        let calls = kind.calls.iter().filter_map(|calls| {
            let one = self.mean_seconds(self.kind(&calls.kind)?);
            Some(if calls.together {
                one
            } else {
                one * f64::from(calls.times)
            })
        });
        let time_limit = Duration::from_millis(kind.timeout_ms).as_secs_f64();
        (work + calls.sum::<f64>()).min(time_limit)
    }
}
