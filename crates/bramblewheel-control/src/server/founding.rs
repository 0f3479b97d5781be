//! A group that begins from founders named in the settings, without an operator.

use super::node_thread::NodeThread;
use crate::settings::Settings;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_storage::FileSystem;
use sha2::{Digest, Sha256};
use slog::Logger;
use std::net::SocketAddr;

/// Bytes of a digest that make an identity.
const IDENTITY_BYTES: usize = 8;

/// What a replica founds its group with; the same at every founder, but for `own`.
pub(super) struct Founding {
    /// This replica's identity.
    pub(super) own: u64,
    group: u64,
    voters: Vec<ReplicaAddress>,
}

/// The founding that the settings ask for, if this replica is a founder that starts for the first
/// time.
///
/// The identities follow from the addresses, so that founders need not talk before they agree. That
/// is safe only for disks that were never used, which `first_start` states: a founder that lost its
/// disk gets a random identity.
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
    /// Founds the group, unless the replica has one already. The folder of a replica that was
    /// admitted under another identity keeps that one, which is no founder's.
    pub(super) fn begin<F: FileSystem>(&self, thread: &mut NodeThread<F>, log: &Logger) {
        if let Err(reason) = thread.node.found_group(self.group, &self.voters) {
            slog::warn!(log, "no group founded"; "reason" => reason);
        }
    }
}

/// An identity that follows from addresses.
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
