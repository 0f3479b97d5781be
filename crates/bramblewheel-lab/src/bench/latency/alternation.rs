//! Windows in alternation: one straight to the endpoint, one through the daemons.

use crate::bench::latency::load::{Load, Measured, send};
use crate::bench::latency::topology::Topology;
use crate::bench::latency::usage::{Machine, Usage, usage};
use crate::error::CommandError;
use std::time::Duration;

/// Length of the windows that warm up connections and limits, and are not counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Calls per second.
    pub rates: Vec<u32>,
    /// Alternations at each rate.
    pub alternations: usize,
    /// Length of one window.
    pub window: Duration,
    /// Requests that may be under way at once.
    pub connections: usize,
    /// Seed of the arrival times; each alternation has its own, shared by its two windows.
    pub seed: u64,
}

/// One direct window and one through the daemons.
#[derive(Debug)]
pub struct Alternation {
    /// Straight to the endpoint.
    pub direct: Measured,
    /// Through the gateway and the endpoint's daemon.
    pub through: Measured,
    /// What both daemons used in the window through them.
    pub daemons: Usage,
    /// How busy the whole machine was in both windows, in per cent.
    pub machine_busy_percent: f64,
}

/// Measures one rate. Odd alternations begin with the window through the daemons.
///
/// # Errors
/// [`CommandError::RunFailed`] when a call or a process fails.
pub fn measure(
    topology: &Topology,
    plan: &Plan,
    rate: u32,
) -> Result<Vec<Alternation>, CommandError> {
    let load = |target, window, seed| Load {
        target,
        rate,
        window,
        connections: plan.connections,
        seed,
    };
    send(load(topology.direct(), WARM_UP, plan.seed))?;
    send(load(topology.through(), WARM_UP, plan.seed))?;
    let alternation = |number: usize| {
        let seed = plan.seed.wrapping_add(number as u64);
        let machine = Machine::now()?;
        let direct = || send(load(topology.direct(), plan.window, seed));
        let through = || {
            let before = usage_of_daemons(topology)?;
            let measured = send(load(topology.through(), plan.window, seed))?;
            Ok::<_, CommandError>((measured, usage_of_daemons(topology)? - before))
        };
        let (direct, (through, daemons)) = if number.is_multiple_of(2) {
            let direct = direct()?;
            (direct, through()?)
        } else {
            let through = through()?;
            (direct()?, through)
        };
        Ok(Alternation {
            direct,
            through,
            daemons,
            machine_busy_percent: Machine::now()?.busy_percent_since(machine),
        })
    };
    (0..plan.alternations).map(alternation).collect()
}

fn usage_of_daemons(topology: &Topology) -> Result<Usage, CommandError> {
    let pids = topology.daemon_pids().into_iter();
    pids.map(usage)
        .try_fold(Usage::default(), |sum, used| Ok(sum + used?))
}
