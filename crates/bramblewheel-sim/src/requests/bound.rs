//! Upper bound on the rates that any layer can serve with the slots of a deployment.
//!
//! Solves a linear programme for the rates of whole requests by flow: no rate exceeds the offered one,
//! and no service needs more slot time than its slots provide.

use super::topology::{RouteIndex, Topology, ZoneIndex};
use super::work::log_normal_mean;

/// Values of smaller magnitude count as zero in the simplex method.
const TOLERANCE: f64 = 1e-9;

/// Capacity of a deployment whose services may be slowed down.
#[derive(Clone, Debug)]
pub struct Capacity<'a> {
    topology: &'a Topology,
    slowdown: Vec<f64>,
}

impl<'a> Capacity<'a> {
    /// Capacity at the usual speed.
    pub fn new(topology: &'a Topology) -> Self {
        Self {
            topology,
            slowdown: vec![1.0; topology.services.len()],
        }
    }

    /// The same with one service slowed by a factor.
    #[must_use]
    pub fn with_slowdown(mut self, service: usize, factor: f64) -> Self {
        self.slowdown[service] = factor;
        self
    }

    /// Returns the shortest mean response time of a route, without queueing, and adds the slot time that
    /// each service spends on it to `slot_time`; both in seconds.
    fn add_slot_time(&self, route: RouteIndex, slot_time: &mut [f64]) -> f64 {
        let route = &self.topology.routes[route.0];
        let work = log_normal_mean(route.work, route.work_sigma).as_secs_f64();
        let own = work * self.slowdown[route.service.0];
        let round_trip = self.topology.delay(ZoneIndex(0), ZoneIndex(0)) * 2;
        let calls = route.calls.iter();
        let calls =
            calls.map(|call| self.add_slot_time(*call, slot_time) + round_trip.as_secs_f64());
        let calls = if route.parallel {
            calls.fold(0.0, f64::max)
        } else {
            calls.sum()
        };
        slot_time[route.service.0] += own + calls;
        own + calls
    }

    /// Slot time that one request of a flow takes at each service, in seconds.
    pub fn slot_time(&self, flow: usize) -> Vec<f64> {
        let mut slot_time = vec![0.0; self.topology.services.len()];
        self.add_slot_time(self.topology.flows[flow].route, &mut slot_time);
        slot_time
    }

    /// Total number of slots of each service.
    fn slots(&self) -> Vec<f64> {
        let slots = |service: &super::topology::Service| {
            let endpoints = service.endpoints.iter();
            let slots = endpoints.map(|endpoint| self.topology.endpoints[endpoint.0].slots);
            f64::from(slots.sum::<u32>())
        };
        self.topology.services.iter().map(slots).collect()
    }

    /// Highest rate of the usual mix that the slots can serve, in requests per second.
    pub fn max_rate(&self) -> f64 {
        let mut per_request = vec![0.0; self.topology.services.len()];
        for (flow, spec) in self.topology.flows.iter().enumerate() {
            for (sum, time) in per_request.iter_mut().zip(self.slot_time(flow)) {
                *sum += spec.model.share * time;
            }
        }
        let rates = self.slots().into_iter().zip(per_request);
        rates
            .filter(|(_, time)| *time > 0.0)
            .map(|(slots, time)| slots / time)
            .fold(f64::INFINITY, f64::min)
    }

    /// Rates by class, in the order of `classes`, that maximise their sum weighted by `weights` when all
    /// flows of a class are admitted in equal shares.
    pub fn best_rates_by_class<C: PartialEq>(
        &self,
        rate: f64,
        flow_classes: &[C],
        classes: &[C],
        weights: &[f64],
    ) -> Vec<f64> {
        let mut times = Vec::new();
        let mut offered = Vec::new();
        for class in classes {
            let mut time = vec![0.0; self.topology.services.len()];
            let mut share = 0.0;
            for (flow, _) in flow_classes.iter().enumerate().filter(|(_, c)| *c == class) {
                let part = self.topology.flows[flow].model.share;
                share += part;
                for (sum, needed) in time.iter_mut().zip(self.slot_time(flow)) {
                    *sum += part * needed;
                }
            }
            time.iter_mut().for_each(|sum| *sum /= share);
            times.push(time);
            offered.push(rate * share);
        }
        self.maximise_rates(&times, &offered, weights)
    }

    /// Rates by flow that maximise their sum weighted by `weights` when `rate` requests per second are
    /// offered in the usual mix. With weights that differ by large factors, the most important flows are
    /// served first.
    pub fn best_rates(&self, rate: f64, weights: &[f64]) -> Vec<f64> {
        let flows = self.topology.flows.iter();
        let offered: Vec<f64> = flows.map(|flow| rate * flow.model.share).collect();
        let times: Vec<Vec<f64>> = (0..offered.len()).map(|f| self.slot_time(f)).collect();
        self.maximise_rates(&times, &offered, weights)
    }

    fn maximise_rates(&self, times: &[Vec<f64>], offered: &[f64], weights: &[f64]) -> Vec<f64> {
        let mut limits = Vec::new();
        for (service, slots) in self.slots().into_iter().enumerate() {
            let row = times.iter().map(|time| time[service]).collect();
            limits.push((row, slots));
        }
        for (number, rate) in offered.iter().enumerate() {
            let mut row = vec![0.0; offered.len()];
            row[number] = 1.0;
            limits.push((row, *rate));
        }
        maximise(weights, &limits)
    }
}

/// Maximises `gains * x` for `x >= 0` and `row * x <= limit`, where all limits are at least 0. Uses the
/// tableau simplex method with Bland's rule, which guarantees termination.
pub fn maximise(gains: &[f64], limits: &[(Vec<f64>, f64)]) -> Vec<f64> {
    let variables = gains.len();
    let columns = variables + limits.len();
    let mut tableau: Vec<Vec<f64>> = Vec::new();
    for (number, (row, limit)) in limits.iter().enumerate() {
        let mut line = row.clone();
        line.resize(columns, 0.0);
        line[variables + number] = 1.0;
        line.push(*limit);
        tableau.push(line);
    }
    let mut cost: Vec<f64> = gains.iter().map(|gain| -gain).collect();
    cost.resize(columns + 1, 0.0);
    let mut basis: Vec<usize> = (variables..columns).collect();
    while let Some(entering) = cost[..columns].iter().position(|c| *c < -TOLERANCE) {
        let Some(leaving) = leaving_row(&tableau, &basis, entering) else {
            break;
        };
        pivot(&mut tableau, &mut cost, leaving, entering);
        basis[leaving] = entering;
    }
    let mut solution = vec![0.0; variables];
    for (line, variable) in tableau.iter().zip(&basis) {
        if *variable < variables {
            solution[*variable] = line[columns];
        }
    }
    solution
}

/// The row whose limit is reached first as the entering variable grows.
fn leaving_row(tableau: &[Vec<f64>], basis: &[usize], entering: usize) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (row, line) in tableau.iter().enumerate() {
        if line[entering] <= TOLERANCE {
            continue;
        }
        let ratio = line[line.len() - 1] / line[entering];
        let is_better = best.is_none_or(|(least, at)| {
            let is_tie = (ratio - least).abs() <= TOLERANCE;
            ratio < least - TOLERANCE || (is_tie && basis[row] < basis[at])
        });
        if is_better {
            best = Some((ratio, row));
        }
    }
    best.map(|(_, row)| row)
}

fn pivot(tableau: &mut [Vec<f64>], cost: &mut [f64], leaving: usize, entering: usize) {
    let divisor = tableau[leaving][entering];
    for value in &mut tableau[leaving] {
        *value /= divisor;
    }
    let pivot_row = tableau[leaving].clone();
    let clear = |line: &mut [f64]| {
        let factor = line[entering];
        for (value, pivot_value) in line.iter_mut().zip(&pivot_row) {
            *value -= factor * pivot_value;
        }
    };
    for (row, line) in tableau.iter_mut().enumerate() {
        if row != leaving {
            clear(line);
        }
    }
    clear(cost);
}
