//! The daemon process: runtime, signals and exit.

use crate::settings::Settings;
use crate::{StartError, daemon, logging};
use bramblewheel_process::invariants::abort_on_panic;
use std::io;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// Worker threads of the runtime; `docs/design/11-latency.md` explains the number.
const WORKER_THREADS: usize = 4;

/// The daemon process failed; the message is one line.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The daemon can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The runtime or the signal handlers can't be set up.
    #[error("process: {0}")]
    Runtime(#[from] io::Error),
}

/// Runs a daemon until a signal stops it and its drain is complete.
///
/// # Errors
/// [`ProcessError`] when the daemon can't start.
pub fn run(settings: Settings) -> Result<(), ProcessError> {
    abort_on_panic();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run_until_stopped(settings))
}

async fn run_until_stopped(settings: Settings) -> Result<(), ProcessError> {
    let log = logging::logger(settings.log.level.into());
    let mut terminate = signal(SignalKind::terminate())?;
    let mut handle = daemon::run(settings, log.clone()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    slog::info!(log, "stopping"; "reason" => "signal");
    handle.drain();
    loop {
        tokio::select! {
            () = handle.stopped() => return Ok(()),
            _ = terminate.recv() => {
                slog::warn!(log, "still draining"; "reason" => "calls are in progress");
            }
        }
    }
}
