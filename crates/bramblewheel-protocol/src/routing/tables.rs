//! Route tables and their replacement.
//!
//! A route table is an unsigned configuration for groups whose settings allow it. The replicas
//! keep its text as the operator sent it and decide only by the order of versions; the operator's
//! interface checks the text before it is sent here.

use crate::packed::PackedText;
use serde::{Deserialize, Serialize};

/// Version of a route table; 0 is that of no table.
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
    /// Strictly rising, chosen by the operators.
    pub version: TableVersion,
    /// Digest of `text`.
    pub digest: TableDigest,
    /// What the operator sent, byte for byte.
    pub text: PackedText,
}

/// An operator replaces the route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceTable {
    /// Version that the new table builds on; 0 for the first.
    pub parent: TableVersion,
    /// The new table.
    pub table: StoredTable,
}

/// Answer to a replacement of the route table. Only `Accepted` means that it is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceTableReply {
    /// Committed, now or at an earlier send of the same table.
    Accepted,
    /// Another version is in force than the one it builds on.
    ParentMismatch {
        /// Version in force.
        current: TableVersion,
    },
    /// Its version is not above the one in force.
    Outdated {
        /// Version in force.
        current: TableVersion,
    },
}
