//! Entry point: reads flags and settings and runs the daemon until it is stopped.

use bramblewheel_daemon::settings::Overrides;
use bramblewheel_daemon::{Settings, process};
use bramblewheel_process::program;
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Name of the program in its messages.
const PROGRAM: &str = "bramblewheel-daemon";

#[derive(Debug, Options)]
struct Flags {
    /// print this help
    help: bool,
    /// settings file
    #[options(no_short, required, meta = "FILE")]
    settings: PathBuf,
    /// folder for the bundle in force, in place of the file's
    #[options(no_short, meta = "FOLDER")]
    data_folder: Option<PathBuf>,
    /// address for calls from other daemons, in place of the file's
    #[options(no_short, meta = "ADDRESS")]
    listen_inbound: Option<SocketAddr>,
    /// address for calls from applications, in place of the file's
    #[options(no_short, meta = "ADDRESS")]
    listen_outbound: Option<SocketAddr>,
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
        listen_inbound: flags.listen_inbound,
        listen_outbound: flags.listen_outbound,
        listen_admin: flags.listen_admin,
    };
    let settings = match program::settings::<Settings>(PROGRAM, &flags.settings, overrides) {
        Ok(_) if flags.check_settings => return ExitCode::SUCCESS,
        Ok(settings) => settings,
        Err(bad_settings) => return bad_settings,
    };
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}
