//! Messages on route tables, registered endpoints, contents of requests and tenants' quotas, between
//! daemons or operators and the control replicas.
//!
//! A module for each subject, re-exported here. All names of fields and variants are the wire, and
//! those of tables, endpoints and contents also the stored form.

mod contents;
mod endpoints;
mod tables;
mod tenants;
mod watches;

pub use contents::{ContentReport, QUARANTINE_TIME, QuarantineList, WatchedContent};
pub use endpoints::{EndpointRecord, EndpointState, EndpointUpdate};
pub use tables::{ReplaceTable, ReplaceTableReply, StoredTable, TableDigest, TableVersion};
pub use tenants::{RenewReply, RenewRequest, TenantUsage};
pub use watches::{WatchReply, WatchRequest};
