//! Runs a whole deployment on loopback: starts it, loads it, stops it and checks the journals.

use crate::check::{CheckLimits, History, check_all};
use crate::deployments::{Deployments, Example};
use crate::error::CommandError;
use crate::fleet::error::FleetError;
use crate::fleet::folder::RunFolder;
use crate::fleet::plan::Plan;
use crate::fleet::running::{Fleet, Load};
use crate::fleet::script::{self, Script};
use crate::fleet::steps::StepRunner;
use crate::fleet::summary::Summary;
use crate::journal::read_folder;
use crate::runtime::block_on;
use crate::signals;
use crate::trace;
use bramblewheel_sim::deployment::Deployment;
use gumdrop::Options;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time after which a leaving endpoint must receive no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Arguments of `fleet`.
#[derive(Debug, Options)]
#[options(help = "\
Starts a whole deployment on loopback, loads it, stops it and checks the journals.
Prints key=value lines; every checker must pass, and every flow must have been served.")]
pub struct FleetOptions {
    /// print help
    pub help: bool,
    /// deployment: torgnett or museum
    #[options(free, required, help = "deployment: torgnett or museum")]
    pub deployment: String,
    /// time for which the callers send, in place of the script's
    #[options(no_short, meta = "N")]
    pub seconds: Option<f64>,
    /// requests a second over all callers, in place of the script's
    #[options(no_short, meta = "N")]
    pub rate: Option<f64>,
    /// fault script
    #[options(no_short, meta = "FILE")]
    pub script: Option<PathBuf>,
    /// write what is printed to a file as well
    #[options(no_short, meta = "FILE")]
    pub report: Option<PathBuf>,
    /// empty folder for data, logs and journals, which stay there
    #[options(no_short, meta = "FOLDER")]
    pub keep: Option<PathBuf>,
    /// record the run as a trace for `bramblewheel replay`, see docs/TRACES.md
    #[options(no_short, meta = "FILE")]
    pub record: Option<PathBuf>,
    /// run nothing, but check the journals that an earlier run kept in this folder
    #[options(no_short, meta = "FOLDER")]
    pub recheck: Option<PathBuf>,
    /// seed of arrivals and of the choice of targets
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
}

/// Default load without a script: 10 seconds, no faults.
fn default_script() -> Script {
    Script {
        duration: Duration::from_secs(10),
        rate: 100.0,
        double_share: 0.1,
        steps: Vec::new(),
    }
}

/// Runs a fleet.
///
/// # Errors
/// [`CommandError::CheckFailed`] when a checker found a violation or too little was served,
/// [`CommandError::RunFailed`] when the run could not be carried out.
pub fn run(options: FleetOptions) -> Result<(), CommandError> {
    let example = Deployments::example(&options.deployment)?;
    if let Some(folder) = &options.recheck {
        let deployment = example.deployment();
        let journal = folder.join("journal");
        let (summary, text) = check(example, &deployment, &journal, String::new())?;
        report(&summary, &text, &options)?;
        return record(example, &journal, &options);
    }
    let script = load_script(&options)?;
    let folder = RunFolder::new(options.keep.as_deref())?;
    let deployment = example.deployment();
    block_on(async {
        let (mut folder, outcome) =
            run_fleet(example, &deployment, &script, &options, folder).await?;
        let summary = match outcome {
            Ok(text) => check(example, &deployment, &folder.journal(), text),
            Err(error) => Err(error.into()),
        };
        let passed = summary
            .and_then(|(summary, text)| report(&summary, &text, &options))
            .and_then(|()| record(example, &folder.journal(), &options));
        if passed.is_err() {
            folder.keep();
            eprintln!("bramblewheel-lab: see {}", folder.path().display());
        }
        passed
    })
}

fn load_script(options: &FleetOptions) -> Result<Script, CommandError> {
    let mut script = match &options.script {
        Some(file) => {
            let text = fs::read_to_string(file).map_err(|error| CommandError::file(file, error))?;
            script::parse(&file.display().to_string(), &text)
                .map_err(|error| CommandError::BadInput(error.to_string()))?
        }
        None => default_script(),
    };
    let is_positive = |number: f64| number.is_finite() && number > 0.0;
    if let Some(seconds) = options.seconds {
        if !is_positive(seconds) {
            return Err(CommandError::BadInput(
                "--seconds: must be above zero".to_owned(),
            ));
        }
        script.duration = Duration::from_secs_f64(seconds);
    }
    if let Some(rate) = options.rate {
        if !is_positive(rate) {
            return Err(CommandError::BadInput(
                "--rate: must be above zero".to_owned(),
            ));
        }
        script.rate = rate;
    }
    Ok(script)
}

/// Runs the processes. Returns the folder in any case, with the first line of the report or the error that ended
/// the run.
async fn run_fleet(
    example: &Example,
    deployment: &Deployment,
    script: &Script,
    options: &FleetOptions,
    folder: RunFolder,
) -> Result<(RunFolder, Result<String, FleetError>), CommandError> {
    let mut stop_signals = signals::stop_signals()?;
    let plan = Plan::new(deployment);
    let fleet = Fleet::new(example.name, deployment.region.clone(), plan, folder)?;
    let outcome = tokio::select! {
        outcome = drive(&fleet, example, script, options) => outcome,
        () = stop_signals.wait() => Err(FleetError::Interrupted),
    };
    fleet.kill_all().await;
    Ok((fleet.into_folder(), outcome))
}

async fn drive(
    fleet: &Fleet,
    example: &Example,
    script: &Script,
    options: &FleetOptions,
) -> Result<String, FleetError> {
    let rollout = fleet.start_all(example).await?;
    let load = Load {
        rate: script.rate,
        double_share: script.double_share,
        seed: options.seed,
    };
    fleet.start_callers(load).await?;
    StepRunner::new(fleet, script, options.seed).run().await?;
    fleet.stop_all().await?;
    let name = options.script.as_deref().and_then(Path::file_stem);
    let name = name.map_or("none".into(), |name| name.to_string_lossy());
    Ok(format!(
        "deployment={} script={name} seconds={} rate={} seed={} processes={} rollout_ms={}\n",
        example.name,
        script.duration.as_secs_f64(),
        script.rate,
        options.seed,
        fleet.plan.process_count(),
        rollout.all_daemons_ms,
    ))
}

fn check(
    example: &Example,
    deployment: &Deployment,
    journal: &Path,
    head: String,
) -> Result<(Summary, String), CommandError> {
    let records = read_folder(journal).map_err(FleetError::from)?;
    let limits = CheckLimits {
        retry_tokens: example.bundle(1).limits.retry_tokens,
        leaving_bound: LEAVING_BOUND,
    };
    let findings = check_all(&records, limits);
    let flows: Vec<String> = deployment
        .flows
        .iter()
        .map(|flow| flow.name.clone())
        .collect();
    let summary = Summary::new(&History::new(&records), &flows, findings);
    let text = head + &summary.text();
    Ok((summary, text))
}

fn report(summary: &Summary, text: &str, options: &FleetOptions) -> Result<(), CommandError> {
    print!("{text}");
    if let Some(file) = &options.report {
        fs::write(file, text).map_err(|error| CommandError::file(file, error))?;
    }
    if summary.passed() {
        return Ok(());
    }
    Err(CommandError::CheckFailed("a check failed".to_owned()))
}

/// Writes the trace of a run whose checks have passed, if `--record` is given.
fn record(example: &Example, journal: &Path, options: &FleetOptions) -> Result<(), CommandError> {
    let Some(file) = &options.record else {
        return Ok(());
    };
    let records = read_folder(journal).map_err(FleetError::from)?;
    let command = command_line(options);
    let recorded = trace::record(example, &records, &command, options.seed)?;
    fs::write(file, recorded.text).map_err(|error| CommandError::file(file, error))?;
    println!(
        "trace={} sends_stated={} sends_noted={}",
        file.display(),
        recorded.stated,
        recorded.noted
    );
    Ok(())
}

/// The command line that a trace was recorded with; stored in the trace as information.
fn command_line(options: &FleetOptions) -> String {
    let mut command = format!("bramblewheel-lab fleet {}", options.deployment);
    if let Some(script) = &options.script {
        let name = script.file_name().unwrap_or_default();
        command += &format!(" --script {}", name.to_string_lossy());
    }
    if let Some(seconds) = options.seconds {
        command += &format!(" --seconds {seconds}");
    }
    if let Some(rate) = options.rate {
        command += &format!(" --rate {rate}");
    }
    command + &format!(" --seed {}", options.seed)
}
