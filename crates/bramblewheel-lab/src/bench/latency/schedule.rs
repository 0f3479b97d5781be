//! Due times of requests: independent arrivals at a given mean rate.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Due times of a Poisson process relative to the start of a window, in order.
///
/// Requests of independent callers arrive like this, in bursts and not evenly.
pub fn arrivals(seed: u64, rate: u32, window: Duration) -> Vec<Duration> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut due = Vec::with_capacity((f64::from(rate) * window.as_secs_f64()) as usize);
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random();
        at -= (1.0 - uniform).ln() / f64::from(rate);
        if at >= window.as_secs_f64() {
            return due;
        }
        due.push(Duration::from_secs_f64(at));
    }
}
