//! Measurement windows in alternation: one directly to the endpoint, one through the daemons.

use crate::bench::latency::load::{Load, Measurement, send};
use crate::bench::latency::topology::Topology;
use crate::bench::latency::usage::{Machine, Usage, usage};
use crate::error::CommandError;
use std::time::Duration;

/// Length of the uncounted windows that warm up connections and adaptive limits.
const WARM_UP: Duration = Duration::from_secs(1);

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rates to measure, in calls per second.
    pub rates: Vec<u32>,
    /// Number of alternations per rate.
    pub alternations: usize,
    /// Length of one window.
    pub window: Duration,
    /// Largest number of requests in progress.
    pub connections: usize,
    /// Seed of the arrival times; each alternation derives its own, which its two windows share.
    pub seed: u64,
}

/// One direct window and one through the daemons.
#[derive(Debug)]
pub struct Alternation {
    /// Window directly to the endpoint.
    pub direct: Measurement,
    /// Window through the gateway and the endpoint's daemon.
    pub proxied: Measurement,
    /// Resources that both daemons used in the window through them.
    pub daemons: Usage,
    /// Processor utilization of the whole machine over both windows, in per cent.
    pub machine_busy_percent: f64,
}

/// Measures one rate. Alternations with odd numbers begin with the window through the daemons.
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
    send(load(topology.endpoint_address(), WARM_UP, plan.seed))?;
    send(load(topology.gateway_address(), WARM_UP, plan.seed))?;
    let alternation = |number: usize| {
        let seed = plan.seed.wrapping_add(number as u64);
        let machine = Machine::now()?;
        let direct = || send(load(topology.endpoint_address(), plan.window, seed));
        let proxied = || {
            let before = daemon_usage(topology)?;
            let measurement = send(load(topology.gateway_address(), plan.window, seed))?;
            Ok::<_, CommandError>((measurement, daemon_usage(topology)? - before))
        };
        let (direct, (proxied, daemons)) = if number.is_multiple_of(2) {
            let direct = direct()?;
            (direct, proxied()?)
        } else {
            let proxied = proxied()?;
            (direct()?, proxied)
        };
        Ok(Alternation {
            direct,
            proxied,
            daemons,
            machine_busy_percent: Machine::now()?.busy_percent_since(machine),
        })
    };
    (0..plan.alternations).map(alternation).collect()
}

fn daemon_usage(topology: &Topology) -> Result<Usage, CommandError> {
    let pids = topology.daemon_pids().into_iter();
    pids.map(usage)
        .try_fold(Usage::default(), |sum, used| Ok(sum + used?))
}
