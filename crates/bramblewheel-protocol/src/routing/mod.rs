//! Messages between daemons or operators and the control replicas about route tables, registered
//! endpoints, request contents and tenants' quotas.
//!
//! Names of fields and variants are part of the wire format; those of tables, endpoints and contents are
//! also part of the stored format.

mod contents;
mod endpoints;
mod tables;
mod tenants;
mod watches;

pub use contents::{ContentReport, QUARANTINE_TIME, QuarantineList, WatchedContent};
pub use endpoints::{EndpointRecord, EndpointState, EndpointUpdate};
pub use tables::{ReplaceTable, ReplaceTableReply, StoredTable, TableDigest, TableVersion};
pub use tenants::{
    AGES, AdmissionDetails, FleetSums, RenewReply, RenewRequest, TenantUsage, UsageReport,
    renewal_interval, report_lifetime, sums_lifetime,
};
pub use watches::{WatchReply, WatchRequest};
