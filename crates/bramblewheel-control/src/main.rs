//! Entry point: reads flags and settings, runs the replica until a signal stops it.

use bramblewheel_control::Settings;
use bramblewheel_control::settings::Overrides;
use bramblewheel_process::invariants::abort_on_panic;
use bramblewheel_process::program;
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Name of the program in its messages.
const PROGRAM: &str = "bramblewheel-control";

#[derive(Debug, Options)]
struct Flags {
    /// print this help
    help: bool,
    /// settings file
    #[options(no_short, required, meta = "FILE")]
    settings: PathBuf,
    /// folder for log, snapshots and identity, in place of the file's
    #[options(no_short, meta = "FOLDER")]
    data_folder: Option<PathBuf>,
    /// address for the other replicas, in place of the file's
    #[options(no_short, meta = "ADDRESS")]
    listen_peer: Option<SocketAddr>,
    /// address for daemons and operators, in place of the file's
    #[options(no_short, meta = "ADDRESS")]
    listen_service: Option<SocketAddr>,
    /// address for health and metrics, in place of the file's
    #[options(no_short, meta = "ADDRESS")]
    listen_admin: Option<SocketAddr>,
    /// check the settings and end
    #[options(no_short)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let overrides = Overrides {
        data_folder: flags.data_folder,
        listen_peer: flags.listen_peer,
        listen_service: flags.listen_service,
        listen_admin: flags.listen_admin,
    };
    let settings = match program::settings::<Settings>(PROGRAM, &flags.settings, overrides) {
        Ok(_) if flags.check_settings => return ExitCode::SUCCESS,
        Ok(settings) => settings,
        Err(bad_settings) => return bad_settings,
    };
    abort_on_panic();
    run(settings)
}

#[tokio::main(worker_threads = 2)]
async fn run(settings: Settings) -> ExitCode {
    bramblewheel_control::run(settings).await
}
