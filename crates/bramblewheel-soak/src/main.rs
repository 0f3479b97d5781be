//! Runs the fault soak: `bramblewheel-soak --seconds 60`.

use bramblewheel_soak::fleet::{Addresses, Programs};
use bramblewheel_soak::foreign::ForeignMessages;
use bramblewheel_soak::plan::Size;
use bramblewheel_soak::run::run;
use bramblewheel_soak::scenario::{Disturbances, Scenario};
use bramblewheel_soak::suspensions::Suspensions;
use bramblewheel_soak::workload::draw::draw;
use bramblewheel_soak::workload::file::read;
use gumdrop::Options;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Exit code when a promise was broken.
const EXIT_PROMISE_BROKEN: u8 = 1;
/// Exit code when the soak could not be run.
const EXIT_NOT_RUN: u8 = 2;
/// Range of loopback networks; the low bits of the seed select one, so that soaks can run side by side.
const FIRST_NETWORK: u8 = 64;
const NETWORKS: u64 = 64;
/// Networks that can be stated; 127.0 is used by others on the machine, and 127.255 holds the broadcast address.
const VALID_NETWORKS: RangeInclusive<u8> = 1..=254;

#[derive(Debug, Options)]
struct Flags {
    /// print this help
    help: bool,
    /// seed of the faults; drawn anew without it
    #[options(no_short, meta = "N")]
    seed: Option<u64>,
    /// time in which faults strike
    #[options(no_short, meta = "N", default = "60")]
    seconds: u64,
    /// daemons
    #[options(no_short, meta = "N", default = "6")]
    daemons: usize,
    /// control replicas
    #[options(no_short, meta = "N", default = "3")]
    replicas: usize,
    /// play planned stops under the requests of a workload: a file, or 'drawn' for one of the seed
    #[options(no_short, meta = "FILE")]
    planned_stops: Option<String>,
    /// suspend one daemon after the other for LEAST-MOST milliseconds
    #[options(no_short, meta = "LEAST-MOST")]
    suspend_ms: Option<String>,
    /// suspend LEAST-MOST daemons at the same moment, until the last fault begins; with --suspend-ms
    #[options(no_short, meta = "LEAST-MOST")]
    suspend_groups: Option<String>,
    /// go on suspending groups until the last fault has ended
    #[options(no_short)]
    suspend_past_last_fault: bool,
    /// second byte of the loopback addresses, from 1 to 254; chosen by the seed without it
    #[options(no_short, meta = "N")]
    network: Option<u8>,
    /// endpoints state rate limits, and that they drain, in their answers
    #[options(no_short)]
    statements: bool,
    /// tenants with limits send requests, one far beyond its limit and one within it
    #[options(no_short)]
    tenants: bool,
    /// cut the connections to one machine after the other, which hears no end of them; leaves out the last fault
    #[options(no_short)]
    cuts: bool,
    /// end of these statements, in seconds from the begin; with --statements
    #[options(no_short, meta = "N")]
    statements_seconds: Option<u64>,
    /// program under test
    #[options(
        no_short,
        meta = "FILE",
        default = "target/release/bramblewheel-platform"
    )]
    program: PathBuf,
    /// program of the control replicas until each is started for the second time
    #[options(no_short, meta = "FILE")]
    earlier_replica_program: Option<PathBuf>,
    /// send no deregistrations of endpoints elsewhere, which earlier control replicas take
    #[options(no_short)]
    no_foreign_deregistrations: bool,
    /// where logs are kept; a temporary folder without it
    #[options(no_short, meta = "FOLDER")]
    folder: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let seed = flags.seed.unwrap_or_else(rand::random);
    let scenario = match flags.planned_stops.as_deref() {
        None if flags.no_foreign_deregistrations => Scenario::Faults(ForeignMessages::Heartbeats),
        None => Scenario::Faults(ForeignMessages::All),
        Some("drawn") => Scenario::PlannedStops(draw(seed)),
        Some(file) => match read(Path::new(file)) {
            Ok(workload) => Scenario::PlannedStops(workload),
            Err(error) => {
                eprintln!("bramblewheel-soak: {error}");
                return ExitCode::from(EXIT_NOT_RUN);
            }
        },
    };
    let suspensions = Suspensions::read(
        flags.suspend_ms.as_deref(),
        flags.suspend_groups.as_deref(),
        flags.suspend_past_last_fault,
    );
    let suspensions = match suspensions {
        Ok(suspensions) => suspensions,
        Err(error) => {
            eprintln!("bramblewheel-soak: {error}");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    if flags.statements_seconds.is_some() && !flags.statements {
        eprintln!("bramblewheel-soak: --statements-seconds needs --statements");
        return ExitCode::from(EXIT_NOT_RUN);
    }
    let disturbances = Disturbances {
        suspensions,
        has_statements: flags.statements,
        statements_until: flags.statements_seconds.map(Duration::from_secs),
        has_tenants: flags.tenants,
        has_cuts: flags.cuts,
    };
    let temporary = tempfile::tempdir();
    let folder = match (&flags.folder, &temporary) {
        (Some(folder), _) => folder.clone(),
        (None, Ok(folder)) => folder.path().to_owned(),
        (None, Err(error)) => {
            eprintln!("bramblewheel-soak: no temporary folder: {error}");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    let size = Size {
        replicas: flags.replicas,
        daemons: flags.daemons,
        length: Duration::from_secs(flags.seconds),
    };
    let offset = u8::try_from(seed % NETWORKS).expect("NETWORKS is below 256");
    let network = flags.network.unwrap_or(FIRST_NETWORK + offset);
    if !VALID_NETWORKS.contains(&network) {
        eprintln!("bramblewheel-soak: --network {network}: expected a number from 1 to 254");
        return ExitCode::from(EXIT_NOT_RUN);
    }
    let programs = Programs {
        current: flags.program,
        earlier_replica: flags.earlier_replica_program,
    };
    println!("seed {seed}, logs in {}", folder.display());
    let verdict = match run(
        seed,
        &scenario,
        disturbances,
        size,
        Addresses { network },
        &programs,
        &folder,
    )
    .await
    {
        Ok(verdict) => verdict,
        Err(error) => {
            eprintln!("bramblewheel-soak: {error}");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    println!(
        "seed {seed}: {} faults, {} foreign heartbeats, {} requests ({} served), {} changes of the configuration",
        verdict.faults, verdict.foreign, verdict.requests, verdict.served, verdict.orders
    );
    for breach in &verdict.breaches {
        println!("BROKEN {breach}");
    }
    if verdict.breaches.is_empty() {
        println!("all promises held");
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_PROMISE_BROKEN)
}
