//! Service times of an endpoint's own work.

use bramblewheel_sim::deployment::{RouteModel, ServiceModel};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::f64::consts::TAU;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Draws random service times.
#[derive(Debug)]
pub(super) struct WorkTimes {
    started: Instant,
    cold_start: Duration,
    cold_factor: f64,
    variable: Mutex<Variable>,
}

#[derive(Debug)]
struct Variable {
    random: Pcg64Mcg,
    factor: f64,
}

impl WorkTimes {
    pub(super) fn new(model: &ServiceModel, seed: u64) -> Self {
        Self {
            started: Instant::now(),
            cold_start: Duration::from_millis(model.cold_start_ms),
            cold_factor: model.cold_factor,
            variable: Mutex::new(Variable {
                random: Pcg64Mcg::seed_from_u64(seed),
                factor: 1.0,
            }),
        }
    }

    /// Multiplies the service times by `factor`.
    pub(super) fn set_factor(&self, factor: f64) {
        self.lock().factor = factor;
    }

    /// Service time of one request of a route, without its sub-calls; log-normally distributed.
    pub(super) fn draw(&self, route: &RouteModel) -> Duration {
        let (normal, factor) = {
            let mut variable = self.lock();
            (standard_normal(&mut variable.random), variable.factor)
        };
        let median = route.work_us as f64 / 1e6;
        let seconds =
            median * (route.work_sigma * normal).exp() * factor * self.cold_start_factor();
        Duration::from_secs_f64(seconds)
    }

    /// Factor by which work is slower after the start; decreases linearly to 1.
    fn cold_start_factor(&self) -> f64 {
        if self.cold_start.is_zero() {
            return 1.0;
        }
        let age = self.started.elapsed().as_secs_f64() / self.cold_start.as_secs_f64();
        let remaining = (1.0 - age).max(0.0);
        1.0 + (self.cold_factor - 1.0) * remaining
    }

    fn lock(&self) -> MutexGuard<'_, Variable> {
        self.variable.lock().expect("no holder of the lock panics")
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(random: &mut Pcg64Mcg) -> f64 {
    let radius: f64 = 1.0 - random.random::<f64>();
    let angle: f64 = random.random::<f64>() * TAU;
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
