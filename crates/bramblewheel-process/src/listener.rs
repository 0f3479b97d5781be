//! Opening of listeners, with an error that says which one failed.
//!
//! Owns nothing. Who serves a listener, and what it does above its cap, is the program's own matter.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;

/// A listener can't be opened.
#[derive(Debug, Error)]
#[error("listener {listener} at {address}: {error}")]
pub struct BindError {
    /// Which listener, by its key in the settings.
    pub listener: &'static str,
    /// Its address.
    pub address: SocketAddr,
    /// What the operating system says.
    pub error: io::Error,
}

/// Opens a listener; returns it with the address that it got, which differs from the one asked for
/// when that has port 0.
///
/// # Errors
/// [`BindError`] when the address can't be had.
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
