//! Goodput over time and time to recover.

use super::simulation::RequestSimulation;
use bramblewheel_types::{Criticality, Timestamp};
use std::time::Duration;

/// Length of a time bucket.
pub const BUCKET: Duration = Duration::from_millis(100);
/// Share of its earlier level that goodput must reach again.
const RECOVERED_SHARE: f64 = 0.95;
/// Time for which goodput must stay at that level.
const RECOVERED_FOR: Duration = Duration::from_secs(10);
const CLASS_COUNT: usize = Criticality::ALL.len();

/// A span of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Start.
    pub begins: Timestamp,
    /// End, exclusive.
    pub ends: Timestamp,
}

impl Window {
    /// Whether a time lies in the window.
    pub fn contains(&self, at: Timestamp) -> bool {
        at >= self.begins && at < self.ends
    }

    /// Length in seconds.
    pub fn seconds(&self) -> f64 {
        self.ends.since(self.begins).as_secs_f64()
    }
}

/// Requests of one time bucket, by rank of their class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Requests first sent in this bucket.
    pub offered: [u32; CLASS_COUNT],
    /// The offered requests that were answered whole within their deadline, in this bucket or later.
    pub good: [u32; CLASS_COUNT],
    /// Whole answers within the deadline that arrived in this bucket.
    pub answered: [u32; CLASS_COUNT],
    /// Sends of the requests first sent in this bucket.
    pub sends: u32,
}

/// Goodput of one run over time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Measurement {
    /// Buckets in order of time, from virtual time zero.
    pub buckets: Vec<Bucket>,
}

/// Measures a finished run; requests first sent after `until` are left out.
pub fn measure(run: &RequestSimulation, classes: &[Criticality], until: Timestamp) -> Measurement {
    let count = bucket_of(until);
    let mut buckets = vec![Bucket::default(); count];
    let topology = run.topology();
    for result in run.results() {
        let class = classes[result.flow.0].rank();
        let Some(bucket) = buckets.get_mut(bucket_of(result.began)) else {
            continue;
        };
        bucket.offered[class] += 1;
        bucket.sends += result.sends;
        if !result.is_good(topology) {
            continue;
        }
        bucket.good[class] += 1;
        let answered = result.completed.map_or(count, bucket_of);
        if let Some(bucket) = buckets.get_mut(answered) {
            bucket.answered[class] += 1;
        }
    }
    Measurement { buckets }
}

fn bucket_of(at: Timestamp) -> usize {
    (at.as_millis() / BUCKET.as_millis() as u64) as usize
}

impl Measurement {
    fn within(&self, window: Window) -> &[Bucket] {
        let last = bucket_of(window.ends).min(self.buckets.len());
        &self.buckets[bucket_of(window.begins).min(last)..last]
    }

    /// Whole answers per second that arrived within their deadline in a window.
    pub fn goodput(&self, window: Window) -> f64 {
        let answered = self.within(window).iter().flat_map(|b| b.answered);
        f64::from(answered.sum::<u32>()) / window.seconds()
    }

    /// Share of the requests of a class first sent in a window that were answered whole in time; `None`
    /// if there were no requests.
    pub fn good_share(&self, window: Window, class: Criticality) -> Option<f64> {
        let rank = class.rank();
        let buckets = self.within(window);
        let offered: u32 = buckets.iter().map(|b| b.offered[rank]).sum();
        let good: u32 = buckets.iter().map(|b| b.good[rank]).sum();
        (offered > 0).then(|| f64::from(good) / f64::from(offered))
    }

    /// Sends per request first sent in a window.
    pub fn sends_per_request(&self, window: Window) -> f64 {
        let buckets = self.within(window);
        let offered: u32 = buckets.iter().flat_map(|b| b.offered).sum();
        let sends: u32 = buckets.iter().map(|b| b.sends).sum();
        f64::from(sends) / f64::from(offered.max(1))
    }

    /// Time from the end of the cause until goodput returns to at least 95% of its earlier level and stays
    /// there for 10 s; `None` if it does not.
    ///
    /// Goodput is measured relative to the requests first sent in the same bucket, so that random
    /// fluctuation of arrivals does not count as a drop.
    pub fn recovery_time(&self, before: Window, cause_ends: Timestamp) -> Option<Duration> {
        let level = share(self.within(before));
        let needed = (RECOVERED_FOR.as_millis() / BUCKET.as_millis()) as usize;
        let after = &self.buckets[bucket_of(cause_ends).min(self.buckets.len())..];
        let mut run = 0;
        for (index, bucket) in after.iter().enumerate() {
            let is_back = share(std::slice::from_ref(bucket)) >= level * RECOVERED_SHARE;
            run = if is_back { run + 1 } else { 0 };
            if run == needed {
                let first = u32::try_from(index + 1 - needed).ok()?;
                return Some(BUCKET * first);
            }
        }
        None
    }
}

fn share(buckets: &[Bucket]) -> f64 {
    let offered: u32 = buckets.iter().flat_map(|bucket| bucket.offered).sum();
    let good: u32 = buckets.iter().flat_map(|bucket| bucket.good).sum();
    if offered == 0 {
        return 1.0;
    }
    f64::from(good) / f64::from(offered)
}
