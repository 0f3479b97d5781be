//! Generates the settings files of the processes.

use super::plan::{PlannedEndpoint, PlannedGateway, PlannedReplica};
use bramblewheel_types::RegionName;
use std::net::SocketAddr;
use std::path::Path;

/// Addresses of a control replica, which are fixed before the start because they are in the settings of daemons and
/// other replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAddresses {
    /// Address for the other replicas.
    pub peer: SocketAddr,
    /// Address for daemons and operators.
    pub service: SocketAddr,
}

/// Settings text of a control replica.
pub fn replica(
    replica: &PlannedReplica,
    region: &RegionName,
    data: &Path,
    addresses: ReplicaAddresses,
) -> String {
    let PlannedReplica { name, zone } = replica;
    let ReplicaAddresses { peer, service } = addresses;
    format!(
        "name = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ndata_folder = {data:?}\n\
         [listen]\npeer = \"{peer}\"\nservice = \"{service}\"\nadmin = \"127.0.0.1:0\"\n"
    )
}

/// Settings that every daemon needs.
#[derive(Clone, Copy, Debug)]
pub struct DaemonSettings<'a> {
    /// Region.
    pub region: &'a RegionName,
    /// Service addresses of the control replicas.
    pub control: &'a [SocketAddr],
    /// Data folder.
    pub data: &'a Path,
}

/// Settings text of an endpoint's daemon.
pub fn daemon(
    endpoint: &PlannedEndpoint,
    address: SocketAddr,
    common: DaemonSettings<'_>,
) -> String {
    let head = head(
        &endpoint.daemon,
        endpoint.zone.as_str(),
        &quoted(&endpoint.calls),
        common,
    );
    let (name, service) = (&endpoint.name, &endpoint.service);
    format!(
        "{head}[listen]\ninbound = \"127.0.0.1:0\"\noutbound = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\n\
         [endpoint]\nname = \"{name}\"\nservice = \"{service}\"\naddress = \"{address}\"\n"
    )
}

/// Settings text of a gateway.
pub fn gateway(
    gateway: &PlannedGateway,
    session_keys: &Path,
    common: DaemonSettings<'_>,
) -> String {
    let head = head(
        &gateway.name,
        gateway.zone.as_str(),
        &quoted(&gateway.calls),
        common,
    );
    format!(
        "{head}[listen]\noutbound = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [sessions]\nkey_file = {session_keys:?}\n"
    )
}

fn head(name: &str, zone: &str, calls: &str, common: DaemonSettings<'_>) -> String {
    let DaemonSettings {
        region,
        control,
        data,
    } = common;
    let control = quoted(control);
    format!(
        "name = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ndata_folder = {data:?}\n\
         control = [{control}]\ncalls = [{calls}]\n"
    )
}

fn quoted<T: ToString>(items: &[T]) -> String {
    let quoted: Vec<_> = items
        .iter()
        .map(|i| format!("\"{}\"", i.to_string()))
        .collect();
    quoted.join(", ")
}
