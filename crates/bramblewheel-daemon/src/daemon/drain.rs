//! Waiting for a planned stop to be complete.

use crate::driver::Driver;
use slog::Logger;
use std::time::Duration;
use tokio::sync::watch;

/// Time between a complete drain and the closing of connections. Meanwhile late requests are
/// still refused with proof, instead of meeting a closed connection that proves nothing.
const DRAIN_LINGER: Duration = Duration::from_secs(1);
/// Time after which a drain that is still going on is logged, again and again.
const DRAIN_REMINDER: Duration = Duration::from_secs(60);

/// Waits until a drain was asked for and is complete, and a little longer.
pub(super) async fn wait_for_drain(
    driver: &Driver,
    mut draining: watch::Receiver<bool>,
    log: &Logger,
) {
    // The sender lives in the handle; when that is dropped, so is this task.
    let _ = draining.wait_for(|draining| *draining).await;
    let mut drained = driver.drained();
    loop {
        let complete = drained.wait_for(|drained| *drained);
        if tokio::time::timeout(DRAIN_REMINDER, complete).await.is_ok() {
            break;
        }
        slog::warn!(log, "still draining"; "reason" => "calls are in progress");
    }
    tokio::time::sleep(DRAIN_LINGER).await;
}
