//! Tells whether a process handles the signals that the soak sends it. A process that was just started does not yet.

use rustix::process::Signal;
use std::fs;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a started process to set up its signal handlers.
const SETUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks for that.
const CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Waits until a process handles the signals of planned stops and reloads, for [`SETUP_TIMEOUT`] at most.
pub(crate) async fn wait_for(process: u32) {
    let begun = Instant::now();
    while begun.elapsed() < SETUP_TIMEOUT && !has_signal_handlers(process) {
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

/// Whether a process handles the signals of planned stops and reloads; false if that can't be read.
fn has_signal_handlers(process: u32) -> bool {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let caught = status
        .lines()
        .find_map(|line| line.strip_prefix("SigCgt:"))
        .and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    let is_caught = |signal: Signal| {
        let bit = 1_u64 << (signal.as_raw() - 1);
        caught.is_some_and(|mask| mask & bit != 0)
    };
    is_caught(Signal::TERM) && is_caught(Signal::HUP)
}
