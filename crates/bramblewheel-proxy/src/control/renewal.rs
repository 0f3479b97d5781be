//! Renews the lease on the route table and exchanges the use of tenants' quotas with the control replicas.

use crate::shared::Shared;
use bramblewheel_decisions::tenants::TenantDirectory;
use bramblewheel_protocol::ControlClient;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::{
    FleetSums, RenewReply, RenewRequest, UsageReport, renewal_interval,
};
use bramblewheel_types::{Millis, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval while the table has no tenants. The lease is renewed nevertheless, so that it is valid when the first
/// tenants are added.
const INTERVAL_WITHOUT_TENANTS: Duration = Duration::from_secs(1);
/// Divisor of the interval while a replica that has just started has no sums yet.
const INTERVAL_DIVISOR_WITHOUT_SUMS: u32 = 3;
/// Divisor of the interval before which no renewal comes early.
const EARLY_RENEWAL_DIVISOR: u32 = 3;
/// Time-out of an answer; replicas batch renewals for less than 100 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out of connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause after a replica could not answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a renewal failed.
struct RenewalError(String);

/// Renews the lease on the route table of one daemon.
pub struct Renewer {
    shared: Arc<Shared>,
    incarnation: u64,
    next_replica: usize,
    had_lease: bool,
    daemons: u32,
    /// Whether the last answer held sums.
    has_sums: bool,
}

impl Renewer {
    /// Creates a renewer; the first replica is chosen by the incarnation.
    pub fn new(shared: Arc<Shared>, incarnation: u64) -> Self {
        Self {
            shared,
            incarnation,
            // Spreads the daemons over the replicas.
            next_replica: usize::try_from(incarnation % 1_024).unwrap_or_default(),
            had_lease: false,
            daemons: 0,
            has_sums: false,
        }
    }

    /// Renews the lease periodically; never returns.
    pub async fn run(mut self) {
        loop {
            let addresses = self.shared.control.addresses();
            if !addresses.is_empty() {
                let address = addresses[self.next_replica % addresses.len()];
                let RenewalError(reason) = self.renew_at(address).await;
                slog::info!(self.shared.log, "lease not renewed"; "address" => %address,
                    "reason" => reason, "left_ms" => self.left_millis());
                self.next_replica = self.next_replica.wrapping_add(1);
            }
            self.update_lease_state();
            sleep(PAUSE).await;
        }
    }

    /// Renews at one replica until that fails; returns the reason.
    async fn renew_at(&mut self, address: SocketAddr) -> RenewalError {
        let connecting = timeout(CONNECT_TIMEOUT, ControlClient::connect(address)).await;
        let mut client = match connecting {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => return RenewalError(error.to_string()),
            Err(_) => return RenewalError("not reached".to_owned()),
        };
        loop {
            let sent_at = self.shared.clock.now();
            let report = self.shared.tenant_access().quotas.report(sent_at);
            let request = self.request(sent_at, report.clone());
            let body = RequestBody::Renew(Box::new(request));
            let reply = match client.request(body, ANSWER_TIMEOUT).await {
                Ok(ReplyBody::Renewed(reply)) => reply,
                Ok(ReplyBody::Unavailable(reason)) => return RenewalError(reason.to_string()),
                Ok(_) => return RenewalError("unexpected answer".to_owned()),
                Err(error) => return RenewalError(error.to_string()),
            };
            self.apply_reply(sent_at, &report, &reply);
            self.update_lease_state();
            self.pause(sent_at).await;
        }
    }

    /// Waits for the time of the next renewal, which comes earlier if a tenant that is new here sends requests.
    async fn pause(&self, sent_at: Timestamp) {
        let elapsed = self.shared.clock.now().since(sent_at);
        let interval = self.interval().saturating_sub(elapsed);
        let early = async {
            sleep(interval / EARLY_RENEWAL_DIVISOR).await;
            self.shared.new_tenant.notified().await;
        };
        tokio::select! {
            () = sleep(interval) => {}
            () = early => {}
        }
    }

    fn request(&self, now: Timestamp, report: UsageReport) -> RenewRequest {
        let settings = &self.shared.settings;
        RenewRequest {
            daemon: settings.name.clone(),
            incarnation: self.incarnation,
            usage: report.usage,
            details: report.details,
            uses_equal_parts: report.uses_equal_parts,
            uptime: Some(Millis::of(now.since(self.shared.started))),
            allowance_lifetime: Some(Millis::of(settings.quota.allowance_lifetime)),
        }
    }

    fn apply_reply(&mut self, sent_at: Timestamp, report: &UsageReport, reply: &RenewReply) {
        self.daemons = reply.daemons;
        self.has_sums = reply.sums.is_some();
        let now = self.shared.clock.now();
        let mut access = self.shared.tenant_access();
        access.lease.confirm(sent_at, reply.table_version);
        access.quotas.set_daemon_count(reply.daemons);
        if let Some(sums) = reply.fleet_sums() {
            access.quotas.record_sums(now, sent_at, report, &sums);
            drop(access);
            self.report_tenants(&sums);
        }
    }

    /// Updates the metrics of tenants and logs those beyond their limits.
    fn report_tenants(&self, sums: &FleetSums) {
        let now = self.shared.clock.now();
        let Some(router) = self.shared.router.load_full() else {
            return;
        };
        for sum in &sums.usage {
            let tenant = router.tenants().by_number(sum.tenant);
            let limited = tenant.and_then(|tenant| Some((tenant, tenant.quota?)));
            let Some((tenant, quota)) = limited else {
                continue;
            };
            let settings = self.shared.settings.quota;
            let permitted = settings.permitted(quota);
            self.shared
                .metrics
                .set_tenant_use(&tenant.name, sum.admitted, permitted);
            if f64::from(sum.admitted) <= permitted + settings.margin(quota) {
                continue;
            }
            let lines = &self.shared.tenant_lines;
            if let Some(without_line) = lines.count(now, "tenant beyond its limit") {
                let reserved = sums.reserved.iter().find(|r| r.tenant == sum.tenant);
                slog::warn!(self.shared.log, "tenant beyond its limit"; "without_line" => without_line,
                    "reserved" => reserved.map_or(0, |reserved| reserved.admitted),
                    "unaccounted" => format_args!("{:.3}", sums.unaccounted),
                    "let_in" => sum.admitted, "permitted" => permitted, "rate" => quota.rate,
                    "burst" => quota.burst, "table" => router.version().0, "tenant" => %tenant.name);
            }
        }
    }

    fn interval(&self) -> Duration {
        let router = self.shared.router.load();
        let tenants = router.as_ref().map(|router| router.tenants());
        if !tenants.is_some_and(TenantDirectory::has_tenants) {
            return INTERVAL_WITHOUT_TENANTS;
        }
        let interval = renewal_interval(self.daemons);
        if self.has_sums {
            interval
        } else {
            interval / INTERVAL_DIVISOR_WITHOUT_SUMS
        }
    }

    /// Logs a lost or regained lease and updates its metric.
    fn update_lease_state(&mut self) {
        let now = self.shared.clock.now();
        let has_lease = self.shared.tenant_access().lease.is_valid(now);
        if has_lease == self.had_lease {
            return;
        }
        self.had_lease = has_lease;
        self.shared.metrics.has_lease.set(i64::from(has_lease));
        let router = self.shared.router.load();
        let table = router.as_ref().map(|router| router.version().0);
        if has_lease {
            slog::info!(self.shared.log, "lease on table begins"; "table" => table,
                "left_ms" => self.left_millis());
        } else {
            slog::warn!(self.shared.log, "lease on table is over"; "table" => table,
                "reason" => "no quorum of control replicas has confirmed it in time");
        }
    }

    fn left_millis(&self) -> Option<u64> {
        let now = self.shared.clock.now();
        let left = self.shared.tenant_access().lease.remaining(now);
        left.map(|left| Millis::of(left).0)
    }
}
