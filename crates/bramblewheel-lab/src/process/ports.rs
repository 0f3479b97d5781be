//! Ports for listeners that a settings file must name before they are open.

use rand::RngExt;
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::Mutex;

/// Below the range from which systems give ports to outgoing connections, so that a listener
/// that is closed for a while finds its port still free.
const PORTS: Range<u16> = 12_000..32_000;
/// Tries before giving up.
const MAX_TRIES: usize = 1000;

static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A loopback address that nothing listens on, and that was not given before.
///
/// # Errors
/// [`io::ErrorKind::AddrInUse`] when none was found.
pub fn free_port() -> io::Result<SocketAddr> {
    let mut given = GIVEN.lock().expect("nothing panics under the lock");
    let mut random = rand::rng();
    for _ in 0..MAX_TRIES {
        let port = random.random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if !given.contains(&port) && TcpListener::bind(address).is_ok() {
            given.insert(port);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
