//! The route table in force and the digests of those before it.
//!
//! Owns both; decides by versions and digests alone and never reads a table's text.

use bramblewheel_protocol::routing::{
    ReplaceTable, ReplaceTableReply, StoredTable, TableDigest, TableVersion,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The route table in force, and which tables were ever taken.
///
/// Invariants: the version in force only rises; of two tables that build on one version at most
/// one is taken; a table that was taken is never refused when it is sent again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    current: Option<StoredTable>,
    /// Every table taken; 32 bytes for each, so that a resend is known for ever.
    taken: BTreeMap<TableVersion, TableDigest>,
}

impl Tables {
    /// Table in force.
    pub fn current(&self) -> Option<&StoredTable> {
        self.current.as_ref()
    }

    /// Version in force; 0 if there is none.
    pub fn version(&self) -> TableVersion {
        self.current
            .as_ref()
            .map(|table| table.version)
            .unwrap_or_default()
    }

    /// The table in force, if it is newer than `version`.
    pub fn newer_than(&self, version: TableVersion) -> Option<&StoredTable> {
        self.current
            .as_ref()
            .filter(|table| table.version > version)
    }

    /// The answer to a replacement, if no later entry can change it.
    pub fn settled(&self, request: &ReplaceTable) -> Option<ReplaceTableReply> {
        let was_taken = self.taken.get(&request.table.version) == Some(&request.table.digest);
        was_taken.then_some(ReplaceTableReply::Accepted)
    }

    /// Takes a table, or answers why not.
    pub(in crate::state) fn replace(&mut self, request: ReplaceTable) -> ReplaceTableReply {
        if let Some(reply) = self.settled(&request) {
            return reply;
        }
        let current = self.version();
        if request.parent != current {
            return ReplaceTableReply::ParentMismatch { current };
        }
        if request.table.version <= current {
            return ReplaceTableReply::Outdated { current };
        }
        self.taken
            .insert(request.table.version, request.table.digest);
        self.current = Some(request.table);
        ReplaceTableReply::Accepted
    }
}
