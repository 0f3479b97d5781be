//! Measures the latency that the daemons add to a call.
//!
//! A caller sends the same open-loop load directly to an endpoint and through a gateway and the endpoint's daemon, in
//! alternation, so that other activity of the machine affects both equally. Latency counts from the time at which a
//! request was due, not from the time at which it could be sent. Daemons and endpoint are separate processes on
//! loopback.

mod alternation;
mod endpoint;
mod load;
mod report;
mod schedule;
#[cfg(test)]
mod tests;
mod topology;
mod usage;

use crate::error::CommandError;
use alternation::Plan;
use gumdrop::Options;
use std::time::Duration;

/// Arguments of `bench latency`.
#[derive(Debug, Options)]
pub struct LatencyOptions {
    /// print help
    pub help: bool,
    /// calls per second, comma-separated; each rate is measured on its own
    #[options(no_short, default = "1000,5000,10000", meta = "RATES")]
    pub rates: String,
    /// alternations of a direct window and one through the daemons, at each rate
    #[options(no_short, default = "7", meta = "COUNT")]
    pub alternations: usize,
    /// length of one window in seconds
    #[options(no_short, default = "2", meta = "SECONDS")]
    pub window: u64,
    /// work of the endpoint for each request, in microseconds
    #[options(no_short, default = "20", meta = "MICROSECONDS")]
    pub service_time: u64,
    /// requests that may be under way at once
    #[options(no_short, default = "64", meta = "COUNT")]
    pub connections: usize,
    /// seed of the arrival times
    #[options(no_short, default = "1", meta = "SEED")]
    pub seed: u64,
    /// (used by the bench itself) be the endpoint
    #[options(no_short)]
    pub be_endpoint: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when the command line is wrong, a process can't be started or a call fails.
pub fn run(options: LatencyOptions) -> Result<(), CommandError> {
    let service_time = Duration::from_micros(options.service_time);
    if options.be_endpoint {
        return endpoint::serve(service_time);
    }
    let plan = Plan {
        rates: parse_rates(&options.rates)?,
        alternations: options.alternations.max(1),
        window: Duration::from_secs(options.window.max(1)),
        connections: options.connections.max(1),
        seed: options.seed,
    };
    let topology = topology::Topology::start(service_time)?;
    for &rate in &plan.rates {
        let alternations = alternation::measure(&topology, &plan, rate)?;
        for (number, alternation) in alternations.iter().enumerate() {
            println!("{}", report::alternation_line(rate, number, alternation));
        }
        print!("{}", report::summary(rate, &alternations));
    }
    Ok(())
}

fn parse_rates(text: &str) -> Result<Vec<u32>, CommandError> {
    let parsed = text.split(',').map(|rate| rate.trim().parse::<u32>());
    let rates = parsed.collect::<Result<Vec<_>, _>>();
    match rates {
        Ok(rates) if rates.iter().all(|rate| *rate > 0) => Ok(rates),
        _ => Err(CommandError::BadInput(format!(
            "--rates: expected numbers above zero, separated by commas, got `{text}`"
        ))),
    }
}
