//! One replica's view of the requests that all daemons together admitted for each tenant.
//!
//! Each daemon reports to one replica, and the replicas forward the reports to each other. Every replica keeps the
//! latest report of every process, with its age, however the report arrived. A daemon that has gone to another replica
//! is thus counted once, and one that is not heard is known to be missing: its stated allowance is set aside for it
//! ([`report`]). Where no report of a daemon is known at all, an equal part of each quota counts as used
//! ([`FleetUsage::unaccounted`]). Each report covers the whole quota window. The
//! reports are saved from time to time ([`saved`]), since a fleet whose processes all end at once knows nothing else.

mod exchange;
mod moment;
mod report;
mod saved;

pub use exchange::{ForwardedReport, UsageReports};
pub use saved::{SAVE_INTERVAL, SavedUsage};

use super::usage_events::{MissingUsage, UsageSource};
use bramblewheel_protocol::routing::{FleetSums, RenewRequest, TenantUsage, report_lifetime};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{DaemonId, Timestamp};
use exchange::Peers;
use moment::Moment;
use report::{Contribution, Origin, Report, WINDOW};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Time from the first report of a daemon until the sums are used: by then, daemons that reported to a lost replica report here, and other
/// replicas have forwarded what they know.
const GATHERING_TIME: Duration = Duration::from_millis(600);
/// Longest time between the last report of a process and its end, or the start of the next process.
const RESTART_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a daemon may use its last allowances if it does not state that.
const DEFAULT_ALLOWANCE_LIFETIME: Duration = Duration::from_secs(5);
/// Tenants in one answer to a daemon that names none.
const MAX_TENANTS_IN_ANSWER: usize = 2_000;
/// Age above which the sums of a replica of an earlier version stand for no requests any more.
const EARLIER_SUMS_LIFETIME: Duration = Duration::from_secs(5);

/// One process of a daemon. Requests admitted by its earlier processes still count.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Process {
    daemon: DaemonId,
    incarnation: u64,
}

impl Process {
    fn of(request: &RenewRequest) -> Self {
        Self {
            daemon: request.daemon.clone(),
            incarnation: request.incarnation,
        }
    }
}

/// Use of one tenant over all daemons.
#[derive(Clone, Copy, Debug, Default)]
struct TenantSum {
    asked: u32,
    admitted: u32,
    /// Requests, in hundredths, that are set aside for daemons which are not heard.
    reserved_hundredths: u64,
}

impl TenantSum {
    fn reserved(&self) -> u32 {
        u32::try_from(self.reserved_hundredths.div_ceil(100)).unwrap_or(u32::MAX)
    }
}

/// Sums of a replica of an earlier version, which forwards no reports.
#[derive(Debug)]
struct EarlierSums {
    at: Timestamp,
    usage: Vec<TenantUsage>,
}

/// Requests that all daemons admitted for each tenant.
#[derive(Debug)]
pub struct FleetUsage {
    /// First report of a daemon to this process.
    first_report_at: Option<Timestamp>,
    /// Time since which this replica knows all reports, by itself, from an earlier process or from another replica.
    known_since: Moment,
    reports: BTreeMap<Process, Report>,
    peers: Peers,
    earlier: BTreeMap<ReplicaId, EarlierSums>,
    /// Sums as of the last refresh.
    sums: HashMap<u64, TenantSum>,
    unaccounted: f64,
    missing: Vec<MissingUsage>,
}

impl FleetUsage {
    /// Knows nothing of what happened before `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            first_report_at: None,
            known_since: Moment::of(now),
            reports: BTreeMap::new(),
            peers: Peers::new(now),
            earlier: BTreeMap::new(),
            sums: HashMap::new(),
            unaccounted: 1.0,
            missing: Vec::new(),
        }
    }

    /// Records a daemon's report.
    pub fn report(&mut self, now: Timestamp, request: &RenewRequest) {
        self.first_report_at.get_or_insert(now);
        self.record(Origin::Daemon, now, Duration::ZERO, request.clone());
    }

    fn record(&mut self, origin: Origin, now: Timestamp, age: Duration, request: RenewRequest) {
        let process = Process::of(&request);
        let known = self.reports.get(&process);
        let Some(report) = Report::new(origin, now, age, request, known) else {
            return;
        };
        self.peers.note_update(process.clone(), origin);
        self.reports.insert(process, report);
    }

    /// Records the sums of a replica of an earlier version.
    pub fn report_from_earlier(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        usage: Vec<TenantUsage>,
    ) {
        self.earlier.insert(replica, EarlierSums { at: now, usage });
    }

    /// Sums over the daemons that report here, for replicas of earlier versions.
    pub fn own_sums(&self, now: Timestamp) -> Vec<TenantUsage> {
        let mut sums = HashMap::new();
        let own = self.reports.values();
        for report in own.filter(|report| report.origin == Origin::Daemon) {
            let contribution = Contribution::Reported;
            add_report(&mut sums, report, now, contribution);
        }
        sums.iter().map(usage_of).collect()
    }

    /// Recomputes the sums. `registered` are the daemons that the group knows.
    pub fn refresh<'a>(&mut self, now: Timestamp, registered: impl Iterator<Item = &'a DaemonId>) {
        self.reports.retain(|_, report| !report.is_over(now));
        let registered: BTreeSet<&DaemonId> = registered.collect();
        let silent_after = self.silent_after(&registered);
        self.sums.clear();
        self.missing.clear();
        let latest = latest_processes(&self.reports);
        for (process, report) in &self.reports {
            let is_latest = latest.get(&process.daemon) == Some(&process);
            let contribution = report.contribution(now, is_latest, silent_after);
            add_report(&mut self.sums, report, now, contribution);
            if contribution == Contribution::Reserved {
                self.missing.push(MissingUsage {
                    source: UsageSource::Daemon(process.daemon.clone()),
                    age: Some(report.age(now)),
                });
            }
        }
        self.add_earlier_sums(now);
        self.unaccounted = self.unaccounted_part(now, &registered, silent_after);
        if self.sums.is_empty() {
            // No tenant sends requests, and without tenants in the table daemons report seldom.
            self.missing.clear();
        }
    }

    fn silent_after(&self, registered: &BTreeSet<&DaemonId>) -> Duration {
        let daemons = registered.len().max(self.reports.len());
        report_lifetime(u32::try_from(daemons).unwrap_or(u32::MAX))
    }

    fn add_earlier_sums(&mut self, now: Timestamp) {
        self.earlier
            .retain(|_, sums| now.since(sums.at) <= EARLIER_SUMS_LIFETIME);
        for (replica, sums) in &self.earlier {
            let age = now.since(sums.at);
            if age > RESTART_MARGIN {
                self.missing.push(MissingUsage {
                    source: UsageSource::Replica(*replica),
                    age: Some(age),
                });
            }
            for usage in &sums.usage {
                let sum = self.sums.entry(usage.tenant).or_default();
                sum.asked = sum.asked.saturating_add(usage.asked);
                sum.admitted = sum.admitted.saturating_add(usage.admitted);
            }
        }
    }

    /// Part of each quota that daemons may have used without a report that this replica knows: an equal part for each
    /// daemon that it knows nothing of, and for each whose earlier process ended before this replica knew of it.
    fn unaccounted_part(
        &mut self,
        now: Timestamp,
        registered: &BTreeSet<&DaemonId>,
        silent_after: Duration,
    ) -> f64 {
        let known_for = Moment::of(now).since(self.known_since);
        let mut processes: BTreeMap<&DaemonId, Vec<&Report>> = BTreeMap::new();
        for daemon in registered {
            processes.entry(daemon).or_default();
        }
        for (process, report) in &self.reports {
            processes.entry(&process.daemon).or_default().push(report);
        }
        let mut unaccounted = 0.0;
        for (daemon, reports) in &processes {
            let part = match reports.as_slice() {
                [] => {
                    let part = 1.0 - fraction_after(known_for, DEFAULT_ALLOWANCE_LIFETIME);
                    if part > 0.0 {
                        self.missing.push(MissingUsage {
                            source: UsageSource::Daemon((*daemon).clone()),
                            age: None,
                        });
                    }
                    part
                }
                [only] => only.unaccounted_part(now, known_for, silent_after),
                _ => 0.0,
            };
            unaccounted += part;
        }
        unaccounted / (processes.len().max(1) as f64)
    }

    /// Sums for the tenants of a report, or for all tenants if it names none; `None` until the other replicas and the
    /// daemons have had time to report.
    pub fn sums_for(&self, now: Timestamp, report: &[TenantUsage]) -> Option<FleetSums> {
        if now.since(self.first_report_at?) < GATHERING_TIME {
            return None;
        }
        let sums: Vec<(u64, TenantSum)> = if report.is_empty() {
            let all = self.sums.iter().take(MAX_TENANTS_IN_ANSWER);
            all.map(|(tenant, sum)| (*tenant, *sum)).collect()
        } else {
            let tenants = report.iter().map(|usage| usage.tenant);
            let sum = |tenant| self.sums.get(&tenant).copied().unwrap_or_default();
            tenants.map(|tenant| (tenant, sum(tenant))).collect()
        };
        let reserved = sums.iter().filter(|(_, sum)| sum.reserved() > 0);
        Some(FleetSums {
            usage: sums
                .iter()
                .map(|(tenant, sum)| usage_of((tenant, sum)))
                .collect(),
            reserved: reserved
                .map(|(tenant, sum)| TenantUsage {
                    tenant: *tenant,
                    asked: 0,
                    admitted: sum.reserved(),
                })
                .collect(),
            unaccounted: self.unaccounted,
            silent_daemons: u32::try_from(self.missing.len()).unwrap_or(u32::MAX),
        })
    }

    /// Contributions that the sums lack, as of the last refresh.
    pub fn missing(&self) -> &[MissingUsage] {
        &self.missing
    }
}

/// The process of each daemon that started last.
fn latest_processes(reports: &BTreeMap<Process, Report>) -> BTreeMap<&DaemonId, &Process> {
    let mut latest: BTreeMap<&DaemonId, (&Process, Moment)> = BTreeMap::new();
    for (process, report) in reports {
        let started = report.started();
        let known = latest.entry(&process.daemon).or_insert((process, started));
        if known.1 < started {
            *known = (process, started);
        }
    }
    let latest = latest.into_iter();
    latest
        .map(|(daemon, (process, _))| (daemon, process))
        .collect()
}

/// How far `time` is into the window that begins at `begin`: 0 before it, 1 after it.
fn fraction_after(time: Duration, begin: Duration) -> f64 {
    let into = time.saturating_sub(begin).as_secs_f64();
    (into / WINDOW.as_secs_f64()).min(1.0)
}

fn usage_of((tenant, sum): (&u64, &TenantSum)) -> TenantUsage {
    TenantUsage {
        tenant: *tenant,
        asked: sum.asked,
        admitted: sum.admitted.saturating_add(sum.reserved()),
    }
}

fn add_report(
    sums: &mut HashMap<u64, TenantSum>,
    report: &Report,
    now: Timestamp,
    contribution: Contribution,
) {
    for (tenant, added) in report.tenants(now, contribution) {
        let sum = sums.entry(tenant).or_default();
        sum.asked = sum.asked.saturating_add(added.asked);
        sum.admitted = sum.admitted.saturating_add(added.admitted);
        sum.reserved_hundredths += added.reserved_hundredths;
    }
}
