//! The route table in force and the digests of all accepted tables.
//!
//! Decides by versions and digests alone and never reads the text of a table.

use bramblewheel_protocol::routing::{
    ReplaceTable, ReplaceTableReply, StoredTable, TableDigest, TableVersion,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The route table in force, and the digests of all tables ever accepted.
///
/// Invariants: the version in force only rises; of two tables with the same parent version at most
/// one is accepted; an accepted table is accepted again when it is resent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    current: Option<StoredTable>,
    /// Every accepted table, 32 bytes each, so that a resent table is always recognised.
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

    /// Reply to a replacement, if no later entry can change it.
    pub fn final_reply(&self, request: &ReplaceTable) -> Option<ReplaceTableReply> {
        let was_accepted = self.taken.get(&request.table.version) == Some(&request.table.digest);
        was_accepted.then_some(ReplaceTableReply::Accepted)
    }

    /// Accepts a table, or returns the reason for refusing it.
    pub(in crate::state) fn replace(&mut self, request: ReplaceTable) -> ReplaceTableReply {
        if let Some(reply) = self.final_reply(&request) {
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
