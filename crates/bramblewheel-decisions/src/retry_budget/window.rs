//! Counts the sends to one service over a sliding window, in buckets.
//!
//! First sends, which earn retries, are counted over at most the window's length, and what uses up the bound over at
//! least that length, so that the resolution of the buckets never loosens the bound.

use bramblewheel_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Buckets in a window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Sends by how they count towards the bound.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    /// First sends, less their retried shares.
    pub(super) first_sends: f64,
    /// Sends after an earlier one that reached an endpoint, or may have.
    pub(super) retries: f64,
    /// Retried shares of first sends.
    pub(super) calls_of_retried_runs: f64,
    /// First sends that are likely nested calls.
    pub(super) nested: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begun: Timestamp,
    counts: Counts,
}

/// Buckets of one service, oldest first.
#[derive(Debug, Default)]
pub(super) struct Window {
    buckets: VecDeque<Bucket>,
}

impl Window {
    /// The counts of the current bucket, in a window of this length.
    pub(super) fn current(&mut self, now: Timestamp, length: Duration) -> &mut Counts {
        self.drop_old(now, length);
        let bucket_length = length / BUCKETS_PER_WINDOW;
        let is_current = |bucket: &Bucket| now.since(bucket.begun) < bucket_length;
        if !self.buckets.back().is_some_and(is_current) {
            let counts = Counts::default();
            self.buckets.push_back(Bucket { begun: now, counts });
        }
        let current = self.buckets.back_mut();
        &mut current
            .expect("a bucket was pushed if there was none")
            .counts
    }

    /// The sums over the window of this length that ends now.
    pub(super) fn sum(&mut self, now: Timestamp, length: Duration) -> Counts {
        self.drop_old(now, length);
        let mut total = Counts::default();
        for Bucket { begun, counts } in &self.buckets {
            if now.since(*begun) <= length {
                total.first_sends += counts.first_sends;
            }
            total.retries += counts.retries;
            total.calls_of_retried_runs += counts.calls_of_retried_runs;
            total.nested += counts.nested;
        }
        total
    }

    /// Drops the buckets that lie wholly before the window.
    fn drop_old(&mut self, now: Timestamp, length: Duration) {
        let longest = length + length / BUCKETS_PER_WINDOW;
        let is_old = |bucket: &Bucket| now.since(bucket.begun) > longest;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
    }
}
