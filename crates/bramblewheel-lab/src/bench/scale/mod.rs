//! Work of daemons and replicas at the size to come: real replicas, hollow daemons.

mod bundles;
mod claims;
mod deployment;
mod fit;
mod group;
mod hollow;
mod measure;
mod options;
mod real_daemon;
mod report;
mod usage;

#[cfg(test)]
mod tests;

pub use options::ScaleOptions;

use crate::error::CommandError;
use deployment::Deployment;
use measure::measure;
use options::Part;
use std::time::Duration;

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(options: ScaleOptions) -> Result<(), CommandError> {
    // The calling thread starts the processes and lives on: they are tied to it.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    report::print_head(&options);
    for part in options.parts()? {
        match part {
            Part::Fleets => runtime.block_on(run_fleets(&options))?,
            Part::Claims => runtime.block_on(run_claims(&options))?,
            Part::Ledger => claims::print_kept(&claims::measure_kept()?),
        }
    }
    Ok(())
}

async fn run_claims(options: &ScaleOptions) -> Result<(), CommandError> {
    let folder = tempfile::tempdir()?;
    let length = Duration::from_secs(options.claims);
    claims::measure_claims(folder.path(), length, options.kept, options.seed).await
}

async fn run_fleets(options: &ScaleOptions) -> Result<(), CommandError> {
    let sizes = options.sizes()?;
    let mut all = Vec::new();
    for daemons in sizes {
        let folder = tempfile::tempdir()?;
        let deployment = Deployment::generate(daemons, options.seed);
        let figures = measure(deployment, &options.plan(), folder.path()).await?;
        report::print_size(&figures);
        all.push(figures);
    }
    report::print_slopes(&all);
    if let Some(folder) = &options.report {
        report::write(folder, &all)?;
    }
    Ok(())
}
