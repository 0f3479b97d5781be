//! Stop signal for listeners and connections.

use tokio::sync::watch;

/// Waits until the listeners are requested to stop.
pub async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    // The sender lives as long as the listeners; if it is dropped, the daemon has ended.
    let _ = stop.wait_for(|stop| *stop).await;
}
