//! The order to listeners and connections to end.

use tokio::sync::watch;

/// Ends once the listeners are told to stop.
pub async fn told_to_stop(stop: &mut watch::Receiver<bool>) {
    // The sender lives as long as the listeners; when it is gone, so is the daemon.
    let _ = stop.wait_for(|stop| *stop).await;
}
