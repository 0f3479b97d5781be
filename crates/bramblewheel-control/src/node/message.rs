//! Messages between replicas. All names of fields and variants are the wire.

use bramblewheel_protocol::control::{Registration, ReplicaAddress};
use bramblewheel_protocol::routing::TenantUsage;
use bramblewheel_replication::Message;
use bramblewheel_types::{BundleVersion, DaemonId};
use serde::{Deserialize, Serialize};

/// First frame of a connection between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Group of the sender, none before it has one.
    pub group: Option<u64>,
    /// The sender and where it is reached.
    pub from: ReplicaAddress,
    /// Replica that the sender means to reach; another one at the same address refuses.
    pub to: u64,
}

/// A message between two replicas of one group. Loss and duplication are allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Replication of the log.
    Replication(Box<Message>),
    /// Carries nothing: the [`Hello`] before it names the sender and its addresses.
    Announcement,
    /// To the leader: registrations that are new or changed.
    Registrations(Vec<Registration>),
    /// To the leader: daemons that polled the sender since its last such message.
    Renewals(Vec<Renewal>),
    /// To the leader: what the sender's wall clock shows, in milliseconds since the Unix epoch.
    Clock {
        /// The reading, in milliseconds since the Unix epoch.
        unix_millis: u64,
    },
    /// From a replica without a group: it may take the place of a lost one.
    SpareOffer(ReplicaAddress),
    /// To all replicas: requests that the daemons which report to the sender admitted for tenants.
    TenantUsage(Vec<TenantUsage>),
    /// To the leader: asks for a quorum-checked read.
    ReadRequest {
        /// Names the answer.
        id: u64,
    },
    /// A quorum confirmed the leader after the request came.
    ReadReply {
        /// The request.
        id: u64,
        /// The state to read from includes this entry.
        index: u64,
    },
}

/// A daemon renewed its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Bundle it has in force.
    pub bundle_version: BundleVersion,
}
