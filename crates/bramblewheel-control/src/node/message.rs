//! Messages between replicas. Names of fields and variants are part of the wire format.

use super::usage::UsageReports;
use bramblewheel_protocol::control::{Registration, ReplicaAddress};
use bramblewheel_protocol::routing::TenantUsage;
use bramblewheel_replication::Message;
use bramblewheel_types::{BundleVersion, DaemonId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First frame of a connection between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Group of the sender; `None` while it has no group.
    pub group: Option<u64>,
    /// The sender and its addresses.
    pub from: ReplicaAddress,
    /// Replica that the sender wants to reach; any other replica at the same address refuses.
    pub to: u64,
    /// Whether the sender reads [`PeerMessage::UsageReports`]; earlier versions do not state it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub reads_usage_reports: bool,
    /// Whether the sender reads acknowledgements, one byte each; the receiver sends some only then. Earlier versions do
    /// not state it, and take any byte for the end of the connection.
    #[serde(default, skip_serializing_if = "is_false")]
    pub reads_acknowledgements: bool,
}

// serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(value: &bool) -> bool {
    !value
}

/// A message between two replicas of one group. Messages may be lost or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Log replication.
    Replication(Box<Message>),
    /// Empty; sent so that the connection's [`Hello`] reports the sender's addresses.
    Announcement,
    /// To the leader: new or changed registrations.
    Registrations(Vec<Registration>),
    /// To the leader: daemons that polled the sender since its last such message.
    Renewals(Vec<Renewal>),
    /// To the leader: the sender's wall-clock time.
    Clock {
        /// The reading, in milliseconds since the Unix epoch.
        unix_millis: u64,
    },
    /// From a replica that is in no group: it may replace a lost one.
    SpareOffer(SpareOffer),
    /// To replicas of earlier versions: sums of the requests admitted for tenants by the daemons that report to the
    /// sender.
    TenantUsage(Vec<TenantUsage>),
    /// Reports of daemons on the requests that they admitted for tenants.
    UsageReports(Box<UsageReports>),
    /// To the leader: request for a quorum-checked read.
    ReadRequest {
        /// Id by which the reply is matched.
        id: u64,
    },
    /// A quorum confirmed the leader after the read request arrived.
    ReadReply {
        /// Id of the request.
        id: u64,
        /// Entry that the state must include before it is read.
        index: u64,
    },
}

/// A replica offers itself as a spare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpareOffer {
    /// Its identity.
    pub replica: u64,
    /// Its name from the settings.
    pub name: String,
    /// Its address for messages from other replicas.
    pub peer: SocketAddr,
    /// Its address for daemons and operators.
    pub service: SocketAddr,
    /// What it read of the group before; absent in offers of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub basis: Option<OfferBasis>,
}

/// Status of a group, as read by a spare before its offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferBasis {
    /// The group.
    pub group: Option<u64>,
    /// Last entry that the member which was asked had applied.
    pub applied_index: u64,
}

impl SpareOffer {
    /// Offer of the replica with this address.
    pub fn new(address: ReplicaAddress, basis: OfferBasis) -> Self {
        Self {
            replica: address.replica,
            name: address.name,
            peer: address.peer,
            service: address.service,
            basis: Some(basis),
        }
    }

    /// Identity, name and addresses of the replica.
    pub fn into_address(self) -> ReplicaAddress {
        ReplicaAddress {
            replica: self.replica,
            name: self.name,
            peer: self.peer,
            service: self.service,
        }
    }
}

/// A daemon renewed its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Version of the bundle it has in force.
    pub bundle_version: BundleVersion,
}
