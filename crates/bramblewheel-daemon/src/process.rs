//! A daemon as a whole process: its runtime, its signals, its end.

use crate::settings::Settings;
use crate::{StartError, daemon, logging};
use bramblewheel_process::invariants::abort_on_panic;
use std::io;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// Threads that carry the calls. `docs/design/11-latency.md` says why four.
const WORKER_THREADS: usize = 4;

/// A daemon's process can't go on; the text is one line.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The daemon can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The runtime or the signal handlers can't be set up.
    #[error("process: {0}")]
    Runtime(#[from] io::Error),
}

/// Runs a daemon until a signal has stopped it and its drain is complete.
///
/// # Errors
/// [`ProcessError`] when it can't start.
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
