//! Founds a group from the founders named in the settings, without an operator.

use super::node_thread::NodeThread;
use crate::settings::Settings;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_storage::FileSystem;
use sha2::{Digest, Sha256};
use slog::Logger;
use std::net::SocketAddr;

/// Bytes of a digest that are used as an identity.
const IDENTITY_BYTES: usize = 8;

/// Parameters with which a replica founds its group. All but `own` are equal at every founder.
pub(super) struct Founding {
    /// This replica's identity.
    pub(super) own: u64,
    group: u64,
    voters: Vec<ReplicaAddress>,
}

/// Founding parameters according to the settings, if this replica is a founder that starts for the
/// first time.
///
/// The identities are derived from the addresses, so that founders agree on them without exchanging
/// messages. This is safe only for disks that were never used, as stated by `first_start`; a founder
/// that lost its disk gets a random identity.
pub(super) fn founding(settings: &Settings) -> Option<Founding> {
    let formation = &settings.formation;
    let own = settings.listen.peer;
    if !formation.first_start || !formation.founders.contains(&own) {
        return None;
    }
    let mut founders = formation.founders.clone();
    founders.sort_unstable();
    let service_port = settings.listen.service.port();
    let voters = founders.iter().map(|founder| ReplicaAddress {
        replica: identity("replica", std::slice::from_ref(founder)),
        name: format!("founder-{founder}"),
        peer: *founder,
        service: SocketAddr::new(founder.ip(), service_port),
    });
    Some(Founding {
        own: identity("replica", &[own]),
        group: identity("group", &founders),
        voters: voters.collect(),
    })
}

impl Founding {
    /// Founds the group, unless the replica already belongs to one. A replica whose data folder holds an
    /// identity that is not a founder's keeps it and founds no group.
    pub(super) fn begin<F: FileSystem>(&self, thread: &mut NodeThread<F>, log: &Logger) {
        if let Err(reason) = thread.node.found_group(self.group, &self.voters) {
            slog::warn!(log, "no group founded"; "reason" => reason);
        }
    }
}

/// Derives an identity from addresses.
fn identity(purpose: &str, addresses: &[SocketAddr]) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(purpose);
    for address in addresses {
        hasher.update(format!("/{address}"));
    }
    let digest = hasher.finalize();
    let mut bytes = [0; IDENTITY_BYTES];
    bytes.copy_from_slice(&digest[..IDENTITY_BYTES]);
    u64::from_be_bytes(bytes)
}
