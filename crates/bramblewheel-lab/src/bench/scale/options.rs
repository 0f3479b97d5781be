//! Arguments of `bench scale`.

use super::measure::PhasePlan;
use crate::error::CommandError;
use gumdrop::Options;
use std::path::PathBuf;
use std::time::Duration;

/// Arguments of `bench scale`.
#[derive(Debug, Options)]
#[options(help = "\
Runs three real control replicas and fleets of hollow daemons in one process, and measures
processor time, memory and traffic of the replicas and the daemons: at rest, under changes of the
bundle, restarts, the loss of a zone, of a region and of the leader. Then claims run-once
operations through such a group, and fills a ledger. Prints key=value lines.")]
pub struct ScaleOptions {
    /// print help
    pub help: bool,
    /// what to measure: fleets, claims, ledger
    #[options(no_short, meta = "PART,...", default = "fleets,claims,ledger")]
    pub parts: String,
    /// numbers of daemons, one fleet after the other
    #[options(no_short, meta = "N,N,...", default = "100,300,1000,3600")]
    pub daemons: String,
    /// seed of the call graph
    #[options(no_short, meta = "SEED", default = "1")]
    pub seed: u64,
    /// seconds at rest
    #[options(no_short, meta = "SECONDS", default = "15")]
    pub idle: u64,
    /// bundles published for each fleet
    #[options(no_short, meta = "N", default = "5")]
    pub changes: usize,
    /// least time between two publishes, in milliseconds
    #[options(no_short, meta = "MS", default = "3000")]
    pub change_interval: u64,
    /// daemons restarted in each fleet
    #[options(no_short, meta = "N", default = "50")]
    pub restarts: usize,
    /// time between two restarts, in milliseconds
    #[options(no_short, meta = "MS", default = "200")]
    pub restart_interval: u64,
    /// seconds of each load of claims
    #[options(no_short, meta = "SECONDS", default = "3")]
    pub claims: u64,
    /// operations in the ledger for the last load of claims; 0 leaves it out
    #[options(no_short, meta = "N", default = "1000000")]
    pub kept: u64,
    /// let hollow daemons take over bundles that one of them has decoded and checked: the machine
    /// is then no bottleneck that a fleet has not, and the time to in force is that of the replicas
    #[options(no_short)]
    pub shared_checks: bool,
    /// leave out the losses of zones, regions and the leader
    #[options(no_short)]
    pub no_losses: bool,
    /// folder for the tables and plots
    #[options(no_short, meta = "FOLDER")]
    pub report: Option<PathBuf>,
}

/// What the bench can measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Replicas under fleets of hollow daemons.
    Fleets,
    /// Claims a second.
    Claims,
    /// Keeping operations.
    Ledger,
}

impl ScaleOptions {
    /// What to measure, in order.
    ///
    /// # Errors
    /// [`CommandError::BadInput`] for an unknown name.
    pub fn parts(&self) -> Result<Vec<Part>, CommandError> {
        let parse = |text: &str| match text.trim() {
            "fleets" => Ok(Part::Fleets),
            "claims" => Ok(Part::Claims),
            "ledger" => Ok(Part::Ledger),
            _ => Err(CommandError::BadInput(format!(
                "--parts: `{text}` is none of fleets, claims, ledger"
            ))),
        };
        self.parts.split(',').map(parse).collect()
    }

    /// Sizes of the fleets.
    ///
    /// # Errors
    /// [`CommandError::BadInput`] for a text that is not a list of numbers above zero.
    pub fn sizes(&self) -> Result<Vec<usize>, CommandError> {
        let parse = |text: &str| match text.trim().parse::<usize>() {
            Ok(size) if size > 0 => Ok(size),
            _ => Err(CommandError::BadInput(format!(
                "--daemons: `{text}` is not a number above zero"
            ))),
        };
        self.daemons.split(',').map(parse).collect()
    }

    /// Length and rates of the phases.
    pub fn plan(&self) -> PhasePlan {
        PhasePlan {
            idle: Duration::from_secs(self.idle),
            changes: self.changes,
            change_interval: Duration::from_millis(self.change_interval),
            restarts: self.restarts,
            restart_interval: Duration::from_millis(self.restart_interval),
            shares_checks: self.shared_checks,
            with_losses: !self.no_losses,
        }
    }
}
