//! Detection of listener addresses that conflict.

use std::net::SocketAddr;

/// Finds the first address that conflicts with an earlier one; returns its key and the reason.
///
/// Port 0 conflicts with nothing, because the system assigns a free port.
pub fn address_clash(named: &[(&'static str, SocketAddr)]) -> Option<(&'static str, String)> {
    for (index, &(key, address)) in named.iter().enumerate() {
        let clash = named[..index].iter().find(|(_, a)| clashes(*a, address));
        if let Some((other, _)) = clash {
            return Some((key, format!("{address} is already used by `{other}`")));
        }
    }
    None
}

fn clashes(one: SocketAddr, other: SocketAddr) -> bool {
    let same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_host
}
