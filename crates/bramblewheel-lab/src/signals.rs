//! Signals that ask a process to stop.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// Installs the signal handlers.
///
/// # Errors
/// The operating system's error when a handler can't be installed.
pub fn stop_signals() -> io::Result<StopSignals> {
    Ok(StopSignals {
        terminate: signal(SignalKind::terminate())?,
        interrupt: signal(SignalKind::interrupt())?,
    })
}

impl StopSignals {
    /// Waits for one of the signals.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
