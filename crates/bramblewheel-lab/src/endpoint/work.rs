//! How long an endpoint's own work takes.

use bramblewheel_sim::deployment::{RouteModel, ServiceModel};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::f64::consts::TAU;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Draws service times.
#[derive(Debug)]
pub(super) struct WorkTimes {
    started: Instant,
    cold_start: Duration,
    cold_factor: f64,
    varying: Mutex<Varying>,
}

#[derive(Debug)]
struct Varying {
    random: Pcg64Mcg,
    factor: f64,
}

impl WorkTimes {
    pub(super) fn new(model: &ServiceModel, seed: u64) -> Self {
        Self {
            started: Instant::now(),
            cold_start: Duration::from_millis(model.cold_start_ms),
            cold_factor: model.cold_factor,
            varying: Mutex::new(Varying {
                random: Pcg64Mcg::seed_from_u64(seed),
                factor: 1.0,
            }),
        }
    }

    /// Makes work take `factor` times as long as usual.
    pub(super) fn set_factor(&self, factor: f64) {
        self.lock().factor = factor;
    }

    /// Time for one request of a route, without its sub-calls.
    pub(super) fn draw(&self, route: &RouteModel) -> Duration {
        let (normal, factor) = {
            let mut varying = self.lock();
            (standard_normal(&mut varying.random), varying.factor)
        };
        let median = route.work_us as f64 / 1e6;
        let seconds = median * (route.work_sigma * normal).exp() * factor * self.coldness();
        Duration::from_secs_f64(seconds)
    }

    /// Slow-down after the start; falls in a straight line to 1.
    fn coldness(&self) -> f64 {
        if self.cold_start.is_zero() {
            return 1.0;
        }
        let age = self.started.elapsed().as_secs_f64() / self.cold_start.as_secs_f64();
        let rest = (1.0 - age).max(0.0);
        1.0 + (self.cold_factor - 1.0) * rest
    }

    fn lock(&self) -> MutexGuard<'_, Varying> {
        self.varying.lock().expect("nothing panics under the lock")
    }
}

/// A draw from the standard normal distribution, by Box and Muller.
fn standard_normal(random: &mut Pcg64Mcg) -> f64 {
    let radius: f64 = 1.0 - random.random::<f64>();
    let angle: f64 = random.random::<f64>() * TAU;
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
