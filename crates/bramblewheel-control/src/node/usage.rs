//! Requests that all daemons together admitted for each tenant, as one replica knows them.
//!
//! A daemon reports to one replica, and replicas send each other the sums of their reports. Every replica
//! so knows the sums of all, and the loss of one, be it the leader, leaves the daemons of the others
//! undisturbed. Each report counts what its daemon admitted within the whole window: it needs no earlier one.
//! Kept in memory only.

use bramblewheel_protocol::routing::{RenewRequest, TenantUsage};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{DaemonId, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time for which the report of an ended run of a daemon counts: as long as the longest window of a
/// quota, in which what it admitted may run.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Age of a report from which on its daemon counts as asked for nothing; chosen, not measured.
const RATE_LIFETIME: Duration = Duration::from_secs(1);
/// Age from which on the sums of another replica don't count: its daemons report elsewhere by then.
/// Chosen, not measured.
const REPLICA_LIFETIME: Duration = Duration::from_secs(1);
/// Time from a replica's first report until it knows the sums: daemons that reported to another one
/// report here by then, and all other replicas have sent their sums. Chosen, not measured.
const COMPLETE_AFTER: Duration = Duration::from_millis(600);

/// One run of a daemon's process: what an earlier run admitted still counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reporter {
    daemon: DaemonId,
    incarnation: u64,
}

impl Reporter {
    fn of(request: &RenewRequest) -> Self {
        Self {
            daemon: request.daemon.clone(),
            incarnation: request.incarnation,
        }
    }
}

/// Latest report of one daemon, or of one replica for its daemons.
#[derive(Debug)]
struct Report {
    at: Timestamp,
    usage: Vec<TenantUsage>,
}

type Sums = HashMap<u64, TenantUsage>;

/// Requests that all daemons admitted for each tenant.
#[derive(Debug, Default)]
pub struct FleetUsage {
    reports: BTreeMap<Reporter, Report>,
    replicas: BTreeMap<ReplicaId, Report>,
    /// Sums over the daemons that report here, as sent last.
    own: Sums,
    begun: Option<Timestamp>,
}

impl FleetUsage {
    /// Takes a daemon's report.
    pub fn report(&mut self, now: Timestamp, request: &RenewRequest) {
        self.begun.get_or_insert(now);
        let report = Report {
            at: now,
            usage: request.usage.clone(),
        };
        self.reports.insert(Reporter::of(request), report);
    }

    /// Forgets the report of a daemon that is sent to another replica.
    pub fn forget(&mut self, request: &RenewRequest) {
        self.reports.remove(&Reporter::of(request));
    }

    /// Takes the sums of another replica.
    pub fn report_of_replica(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        usage: Vec<TenantUsage>,
    ) {
        self.replicas.insert(replica, Report { at: now, usage });
    }

    /// Sums over the daemons that report here, for the other replicas; none where nobody reports.
    pub fn sums_to_report(&mut self, now: Timestamp) -> Option<Vec<TenantUsage>> {
        if self.reports.is_empty() {
            return None;
        }
        self.sum_up(now);
        Some(self.own.values().copied().collect())
    }

    /// Sums over all daemons for the tenants of a report; none while not every daemon can have reported.
    pub fn sums_for(&self, now: Timestamp, asked: &[TenantUsage]) -> Option<Vec<TenantUsage>> {
        if now.since(self.begun?) < COMPLETE_AFTER {
            return None;
        }
        let mut sums: Sums = asked
            .iter()
            .map(|own| (own.tenant, empty(own.tenant)))
            .collect();
        let add = |sums: &mut Sums, usage: &TenantUsage| {
            if let Some(sum) = sums.get_mut(&usage.tenant) {
                sum.add(usage);
            }
        };
        for usage in self.own.values() {
            add(&mut sums, usage);
        }
        let is_there = |report: &&Report| now.since(report.at) <= REPLICA_LIFETIME;
        for report in self.replicas.values().filter(is_there) {
            for usage in &report.usage {
                add(&mut sums, usage);
            }
        }
        Some(sums.into_values().collect())
    }

    fn sum_up(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, report| now.since(report.at) <= REPORT_LIFETIME);
        self.own.clear();
        for report in self.reports.values() {
            let is_silent = now.since(report.at) > RATE_LIFETIME;
            for usage in &report.usage {
                let mut counted = *usage;
                if is_silent {
                    counted.asked = 0;
                }
                let sum = self.own.entry(usage.tenant);
                sum.or_insert_with(|| empty(usage.tenant)).add(&counted);
            }
        }
    }
}

fn empty(tenant: u64) -> TenantUsage {
    TenantUsage {
        tenant,
        ..TenantUsage::default()
    }
}
