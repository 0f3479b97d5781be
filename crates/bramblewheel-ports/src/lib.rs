//! Loopback addresses for listeners whose settings must name them before they are open.
//!
//! A test that asks the system for a free port, closes it and has a program open it later races
//! with every connection and listener that is opened in between. An address from here is claimed:
//! no other process that asks here is given it, and the system gives it to nobody by itself.
//!
//! Owns the claims of this process; they last as long as the process. Relies on the system's own
//! choice of ports staying above [`PORTS`]. Where a listener can be bound to port 0 and its address
//! read afterwards, that is the better way; this is for tests and the lab, not for programs of
//! users.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports that are given. Below the range from which systems take ports for outgoing connections and
/// for port 0: it begins at 32,768 on Linux (`net.ipv4.ip_local_port_range`) and higher elsewhere.
pub const PORTS: Range<u16> = 12_000..32_000;

/// Ports between the first ones that two processes with consecutive ids try, so that they seldom
/// meet. It has no divisor in common with the number of ports.
const PORTS_PER_PROCESS: u64 = 101;

/// Ports tried so far by this process.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Sockets that hold the claims. UDP, so that the TCP port itself stays free for the listener.
static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// A loopback address that nothing listens on and that is given to nobody else while this process
/// runs.
///
/// # Errors
/// [`io::ErrorKind::AddrInUse`] when each port of [`PORTS`] has been tried.
///
/// # Panics
/// When another thread panicked while it claimed a port.
pub fn claim_address() -> io::Result<SocketAddr> {
    while let Some(port) = next_port() {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let Ok(claim) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() {
            let mut claims = CLAIMS.lock().expect("nothing panics under the lock");
            claims.push(claim);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The next port that this process has not tried yet.
fn next_port() -> Option<u16> {
    let count = PORTS.end - PORTS.start;
    let is_left = |tried: u16| (tried < count).then_some(tried + 1);
    let tried = TRIED.fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_left);
    let first = u64::from(std::process::id()) * PORTS_PER_PROCESS;
    let offset = (first + u64::from(tried.ok()?)) % u64::from(count);
    Some(PORTS.start + u16::try_from(offset).expect("fewer than the ports"))
}
