//! Loopback addresses for listeners whose address must be in the settings before they are opened.
//!
//! A test that asks the system for a free port, closes it and has a program open it later races with all
//! connections and listeners opened in between. An address from this crate is claimed instead: no other
//! process that uses this crate gets it, and the system does not assign it by itself.
//!
//! Claims last as long as the process. The crate depends on the system assigning its own ports above
//! [`PORTS`]. Where possible, bind a listener to port 0 and read its address instead. The crate is for tests
//! and the lab, not for the released programs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports that can be claimed. They are below the ephemeral range, from which systems assign ports for outgoing
/// connections and for port 0; it begins at 32,768 on Linux (`net.ipv4.ip_local_port_range`) and higher on
/// other systems.
pub const PORTS: Range<u16> = 12_000..32_000;

/// Distance between the first ports that two processes with consecutive ids try, so that they rarely try the
/// same ports. It has no common divisor with the number of ports.
const PORTS_PER_PROCESS: u64 = 101;

/// Number of ports tried so far by this process.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Sockets that hold the claims. They are UDP sockets, so that the TCP port stays free for the listener.
static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Claims a loopback address without a listener, which no other caller gets while this process runs.
///
/// # Errors
/// [`io::ErrorKind::AddrInUse`] when all of [`PORTS`] have been tried.
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
            let mut claims = CLAIMS
                .lock()
                .expect("no thread panicked while holding the lock");
            claims.push(claim);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The next port that this process has not tried yet.
fn next_port() -> Option<u16> {
    let count = PORTS.end - PORTS.start;
    let increment = |tried: u16| (tried < count).then_some(tried + 1);
    let tried = TRIED.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
    let first = u64::from(std::process::id()) * PORTS_PER_PROCESS;
    let offset = (first + u64::from(tried.ok()?)) % u64::from(count);
    Some(PORTS.start + u16::try_from(offset).expect("offset is below the number of ports"))
}
