//! Runs a replica as a process.

use super::start::start;
use crate::logging;
use crate::settings::Settings;
use slog::Logger;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a replica until the process receives SIGTERM or Ctrl-C. Returns the process's exit code. Other
/// programs may call this to run a replica.
pub async fn run(settings: Settings) -> ExitCode {
    let log = logging::logger(settings.log.level.into());
    match run_until_signal(settings, log).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bramblewheel-control: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_signal(
    settings: Settings,
    log: Logger,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let stop_signal = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    };
    let mut stop_signal = std::pin::pin!(stop_signal);
    // The start waits while the disk is full.
    let mut handle = tokio::select! {
        started = start(settings, log.clone()) => started?,
        () = &mut stop_signal => return Ok(()),
    };
    tokio::select! {
        ended = handle.stopped() => return Ok(ended?),
        () = stop_signal => {}
    }
    slog::info!(log, "stopping"; "reason" => "signal");
    handle.stop();
    Ok(handle.stopped().await?)
}
