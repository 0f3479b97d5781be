//! Options of the sockets between the project's own processes.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection is given up. A machine that
/// lost power or is cut off sends nothing; without this, its connections hang for minutes.
/// Chosen, not measured.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Silence after which an idle connection is probed, and the time between probes. Chosen, not measured.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which an idle connection is given up; chosen, not measured.
const PROBES: u32 = 2;

/// Sets the options that all long-lived connections need: no delay of small messages, and a quick
/// end when the other side is gone.
///
/// # Errors
/// Error of the operating system.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Connects and sets the options of [`tune`].
///
/// # Errors
/// Error of the operating system, or [`io::ErrorKind::TimedOut`] after `longest`.
pub async fn connect(address: SocketAddr, longest: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(longest, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune(&stream)?;
    Ok(stream)
}
