//! TCP options of the connections between the project's own processes.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection is closed. A machine that lost power
/// or its network sends nothing; without this time-out, its connections would hang for minutes.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle time after which a connection is probed, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which an idle connection is closed.
const MAX_PROBES: u32 = 2;

/// Sets the options that all long-lived connections need: no delay of small messages, and a quick
/// close when the peer is no longer reachable.
///
/// # Errors
/// Error of the operating system.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Connects and sets the options as [`set_options`] does.
///
/// # Errors
/// Error of the operating system, or [`io::ErrorKind::TimedOut`] after `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}
