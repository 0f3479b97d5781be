//! Goodput and recovery under a surge: no layer, a naive layer and bramblewheel in one run of the
//! simulator.

mod csv;
mod plot;
mod summary;
mod table;
mod trials;

use crate::deployments::Deployments;
use crate::error::CommandError;
use crate::sim::SeedRange;
use bramblewheel_sim::requests::Topology;
use bramblewheel_sim::requests::overload::Subject;
use gumdrop::Options;
use std::path::PathBuf;
use std::sync::Arc;

/// Arguments of `bench overload`.
#[derive(Debug, Options)]
pub struct OverloadOptions {
    /// print help
    pub help: bool,
    /// torgnett or museum
    #[options(free, required)]
    pub deployment: String,
    /// seeds from A on, up to and without B
    #[options(no_short, meta = "A..B", default = "1..6")]
    pub seeds: SeedRange,
    /// factors on the demand during the surge, with commas; the first one is plotted
    #[options(no_short, meta = "LIST", default = "2,1,3,5,10")]
    pub surges: Surges,
    /// seeds used for the factors after the first
    #[options(no_short, meta = "COUNT", default = "3")]
    pub sweep_seeds: usize,
    /// folder for CSV and SVG files
    #[options(no_short, meta = "DIR")]
    pub report: Option<PathBuf>,
    /// threads; by default one for each core
    #[options(no_short, meta = "COUNT")]
    pub threads: Option<usize>,
}

/// Factors on the demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Surges(Vec<f64>);

impl std::str::FromStr for Surges {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let factor = |word: &str| match word.trim().parse::<f64>() {
            Ok(factor) if (0.1..=100.0).contains(&factor) => Ok(factor),
            _ => Err(format!("`{word}` is no factor between 0.1 and 100")),
        };
        let factors: Result<Vec<f64>, String> = text.split(',').map(factor).collect();
        factors.map(Self)
    }
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when the deployment is unknown or a file can't be written.
pub fn run(options: OverloadOptions) -> Result<(), CommandError> {
    let example = Deployments::example(&options.deployment)?;
    let subject = Subject {
        topology: Arc::new(Topology::new(&example.deployment())),
        bundle: Arc::new(example.bundle(1)),
    };
    let threads = options.threads.unwrap_or_else(available_threads);
    let seeds: Vec<u64> = (options.seeds.first..options.seeds.end).collect();
    let trials = trials::plan(&options.surges.0, &seeds, options.sweep_seeds);
    let results = trials::run_all(&subject, &trials, threads);
    table::print_head(example.name, &subject);
    for (position, surge) in options.surges.0.iter().enumerate() {
        let summaries = summary::summaries(&subject, &results, *surge);
        table::print_surge(&subject, *surge, &summaries);
        if let (0, Some(folder)) = (position, &options.report) {
            std::fs::create_dir_all(folder).map_err(|error| CommandError::file(folder, error))?;
            csv::write(folder, example.name, *surge, &results)?;
            plot::write(folder, example.name, &subject, *surge, &results)?;
        }
    }
    for surge in &options.surges.0 {
        let summaries = summary::summaries(&subject, &results, *surge);
        table::print_lines(example.name, *surge, &summaries);
    }
    Ok(())
}

fn available_threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
