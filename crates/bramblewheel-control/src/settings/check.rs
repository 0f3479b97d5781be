//! Rules that the types of the settings can't express.

use super::{Settings, TimingSettings};
use std::net::SocketAddr;

/// Heartbeats that must fit into an election timeout: a follower's proof of a quorum takes three,
/// and one may be lost.
const LEAST_HEARTBEATS_PER_ELECTION: u64 = 4;

impl Settings {
    /// The first fault that the types can't express: key and reason.
    pub(super) fn fault(&self) -> Option<(&'static str, String)> {
        self.address_fault()
            .or_else(|| self.timing_fault())
            .or_else(|| self.admin_fault())
    }

    fn address_fault(&self) -> Option<(&'static str, String)> {
        let named = [
            ("peer", self.listen.peer),
            ("service", self.listen.service),
            ("admin", self.listen.admin),
        ];
        for (index, &(key, address)) in named.iter().enumerate() {
            let clash = named[..index].iter().find(|(_, a)| clashes(*a, address));
            if let Some((other, _)) = clash {
                return Some((key, format!("{address} is already used by `{other}`")));
            }
        }
        let given_out = named[..2].iter().find(|(_, a)| a.ip().is_unspecified());
        given_out.map(|(key, address)| {
            let reason = format!("{address} can't be given to others: name one address");
            (*key, reason)
        })
    }

    fn admin_fault(&self) -> Option<(&'static str, String)> {
        let above_zero = [
            ("connections", self.admin.connections as u64),
            ("header_timeout_ms", self.admin.header_timeout_ms),
        ];
        let zero = above_zero.iter().find(|(_, value)| *value == 0);
        zero.map(|(key, _)| (*key, "must be above zero".to_owned()))
    }

    fn timing_fault(&self) -> Option<(&'static str, String)> {
        let TimingSettings {
            heartbeat_ms,
            election_ms,
            daemon_lease_ms,
        } = self.timing;
        if heartbeat_ms == 0 {
            return Some(("heartbeat_ms", "must be above zero".to_owned()));
        }
        if self.storage.snapshot_interval == 0 {
            return Some(("snapshot_interval", "must be above zero".to_owned()));
        }
        let least = heartbeat_ms.saturating_mul(LEAST_HEARTBEATS_PER_ELECTION);
        if election_ms < least {
            let reason = format!(
                "{election_ms} is below {LEAST_HEARTBEATS_PER_ELECTION} heartbeats ({least})"
            );
            return Some(("election_ms", reason));
        }
        // A leader must have lost its office before it could judge daemons by what it missed.
        let least = election_ms.saturating_mul(2);
        if daemon_lease_ms < least {
            let reason = format!("{daemon_lease_ms} is below two election timeouts ({least})");
            return Some(("daemon_lease_ms", reason));
        }
        None
    }
}

fn clashes(one: SocketAddr, other: SocketAddr) -> bool {
    let same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_host
}
