//! Random distributions of the models: service times and inter-arrival times.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Draws from the standard normal distribution (Box-Muller).
fn standard_normal(random: &mut impl Rng) -> f64 {
    let radius: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    let angle: f64 = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

/// Draws a log-normal duration with the given median.
pub fn log_normal(median: Duration, sigma: f64, random: &mut impl Rng) -> Duration {
    if sigma == 0.0 {
        return median;
    }
    median.mul_f64((sigma * standard_normal(random)).exp())
}

/// Mean of a log-normal duration with the given median.
pub fn log_normal_mean(median: Duration, sigma: f64) -> Duration {
    median.mul_f64((sigma * sigma / 2.0).exp())
}

/// Draws the time to the next arrival of a Poisson process of `rate` per second.
pub fn next_arrival(rate: f64, random: &mut impl Rng) -> Duration {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
