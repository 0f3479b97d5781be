//! A self-founded group of replicas, its route tables and registered endpoints.

use super::cluster::Cluster;
use bramblewheel_control::node::SparePolicy;
use bramblewheel_protocol::control::{LogPosition, Registration, ReplyBody, RequestBody};
use bramblewheel_protocol::packed::PackedText;
use bramblewheel_protocol::routing::{
    EndpointRecord, EndpointState, ReplaceTable, ReplaceTableReply, StoredTable, TableDigest,
    TableVersion, WatchReply, WatchRequest,
};
use bramblewheel_types::{DaemonId, EndpointId, Millis, RegionName, ServiceName, ZoneName};
use std::time::Duration;

pub const NO_SNAPSHOTS: u64 = 1_000_000;

/// Policy for deployments that must replace lost machines within seconds.
pub const FAST: SparePolicy = SparePolicy {
    silence: Duration::from_secs(2),
    period: Duration::ZERO,
    voters: 3,
};

/// Three founders and `spares` machines that offer themselves as spares.
pub fn founded(spares: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::founded(3, 3 + spares, seed, NO_SNAPSHOTS);
    cluster.set_spares(FAST, (3..3 + spares).collect());
    cluster.settle();
    cluster
}

pub fn table(version: u64, text: &str) -> StoredTable {
    let mut digest = [0; 32];
    for (place, byte) in text.bytes().enumerate() {
        digest[place % 32] ^= byte.wrapping_add(1);
    }
    StoredTable {
        version: TableVersion(version),
        digest: TableDigest(digest),
        text: PackedText::pack(text.as_bytes()),
    }
}

pub fn replace(parent: u64, version: u64, text: &str) -> RequestBody {
    RequestBody::ReplaceTable(ReplaceTable {
        parent: TableVersion(parent),
        table: table(version, text),
    })
}

pub fn expect_accepted(cluster: &mut Cluster, body: &RequestBody) {
    let reply = cluster.ask_leader(body);
    assert_eq!(reply, ReplyBody::TableReplaced(ReplaceTableReply::Accepted));
}

pub fn in_force(cluster: &mut Cluster) -> Option<StoredTable> {
    match cluster.ask_leader(&RequestBody::ReadTable) {
        ReplyBody::Table(table) => table,
        other => panic!("not a table: {other:?}"),
    }
}

pub fn endpoint(name: &str, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId::new(name).expect("a name"),
        service: ServiceName::new("kassa").expect("a name"),
        daemon: DaemonId::new("daemon-1").expect("a name"),
        address: ([127, 0, 0, 1], 9000).into(),
        endpoint_address: ([127, 0, 0, 1], 9001).into(),
        zone: ZoneName::new("north").expect("a name"),
        slots: 8,
        state,
        sequence,
        cold_for: Millis(0),
    }
}

pub fn register(cluster: &mut Cluster, record: EndpointRecord) -> EndpointState {
    match cluster.ask_leader(&RequestBody::RegisterEndpoint(Box::new(record))) {
        ReplyBody::EndpointRegistered(state) => state,
        other => panic!("not registered: {other:?}"),
    }
}

pub fn watch(table: u64, revision: u64, position: u64) -> RequestBody {
    RequestBody::Watch(Box::new(WatchRequest {
        registration: Registration {
            daemon: DaemonId::new("daemon-1").expect("a name"),
            incarnation: 1,
            zone: ZoneName::new("north").expect("a name"),
            region: RegionName::new("west").expect("a name"),
            endpoint: None,
        },
        table_version: TableVersion(table),
        registry_revision: revision,
        quarantine_revision: 0,
        position: LogPosition {
            index: position,
            term: 0,
        },
        wait: Millis(500),
    }))
}

pub fn watch_reply(reply: ReplyBody) -> WatchReply {
    match reply {
        ReplyBody::Watch(reply) => *reply,
        other => panic!("not a watch reply: {other:?}"),
    }
}
