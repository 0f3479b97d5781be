//! Waits for the drain of a planned stop.

use crate::driver::Driver;
use slog::Logger;
use std::time::Duration;
use tokio::sync::watch;

/// Time between the end of the drain and the closing of connections. Late requests in this time
/// are refused with a not-run proof; a closed connection would prove nothing.
const DRAIN_LINGER: Duration = Duration::from_secs(1);
/// Interval at which an unfinished drain is logged.
const DRAIN_REMINDER: Duration = Duration::from_secs(60);

/// Waits until a drain was requested and is complete, and then for `DRAIN_LINGER`.
pub(super) async fn wait_for_drain(
    driver: &Driver,
    mut draining: watch::Receiver<bool>,
    log: &Logger,
) {
    // The sender belongs to the handle; when the handle is dropped, this task is dropped too.
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
