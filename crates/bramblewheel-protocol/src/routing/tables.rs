//! Route tables and their replacement.
//!
//! A route table is an unsigned configuration for groups whose settings allow it. The replicas
//! store its text as the operator sent it and check only the order of versions; the operator's
//! interface validates the text before it sends it.

use crate::packed::PackedText;
use serde::{Deserialize, Serialize};

/// Version of a route table; 0 means no table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion(pub u64);

/// SHA-256 of a route table's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest(pub [u8; 32]);

/// One version of the route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// Version, set by the operators; strictly increasing.
    pub version: TableVersion,
    /// Digest of `text`.
    pub digest: TableDigest,
    /// Text as the operator sent it, byte for byte.
    pub text: PackedText,
}

/// Request of an operator to replace the route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceTable {
    /// Version that the new table is based on; 0 for the first.
    pub parent: TableVersion,
    /// The new table.
    pub table: StoredTable,
}

/// Answer to a replacement of the route table. Only `Accepted` means that the table is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceTableReply {
    /// Committed by this request or by an earlier send of the same table.
    Accepted,
    /// The version in force is not the one that the table is based on.
    ParentMismatch {
        /// Version in force.
        current: TableVersion,
    },
    /// The version is not above the one in force.
    Outdated {
        /// Version in force.
        current: TableVersion,
    },
}
