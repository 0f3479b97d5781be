//! Opening of listeners, with an error that names the listener that failed.
//!
//! The programs themselves serve the listeners and limit their connections.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;

/// A listener can't be opened.
#[derive(Debug, Error)]
#[error("listener {listener} at {address}: {error}")]
pub struct BindError {
    /// Key of the listener in the settings.
    pub listener: &'static str,
    /// Its address.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub error: io::Error,
}

/// Opens a listener; returns it with its actual address, which differs from the requested one if that
/// has port 0.
///
/// # Errors
/// [`BindError`] when the address can't be bound.
pub async fn bind(
    listener: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), BindError> {
    let failed = |error| BindError {
        listener,
        address,
        error,
    };
    let socket = TcpListener::bind(address).await.map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    Ok((socket, bound))
}
