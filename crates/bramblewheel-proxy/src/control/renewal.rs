//! Renews the lease on the route table, and exchanges the use of tenants' quotas.
//!
//! Owns the order in which replicas are asked. Relies on the decisions crate for the lease and the quotas.

use crate::shared::Shared;
use bramblewheel_decisions::tenants::TenantDirectory;
use bramblewheel_protocol::ControlClient;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::{RenewReply, RenewRequest, TenantUsage};
use bramblewheel_types::{Millis, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two renewals: a tenant that asks for eight times its usual is held to its quota after
/// two of them, within which it uses less than what the window has left.
const INTERVAL: Duration = Duration::from_millis(250);
/// The interval grows by this for each daemon, beyond those that fit [`INTERVAL`]: the replicas' work
/// does not grow with the daemons from there on. Chosen, not measured.
const INTERVAL_PER_DAEMON: Duration = Duration::from_micros(1_700);
/// Longest interval: a lease must outlast the loss of some renewals; chosen, not measured.
const LONGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval where the table has no tenants: only the lease is kept ready for the first that come.
/// Chosen, not measured.
const INTERVAL_WITHOUT_TENANTS: Duration = Duration::from_secs(1);
/// Longest wait for an answer; replicas gather renewals for less than a tenth of a second.
/// Chosen, not measured.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a connection; chosen, not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause after a replica that could not answer; chosen, not measured.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a renewal failed.
struct Failed(String);

/// Renews the lease on the route table of one daemon.
pub struct Renewer {
    shared: Arc<Shared>,
    incarnation: u64,
    next: usize,
    had_lease: bool,
    daemons: u32,
}

impl Renewer {
    /// A renewer that knows no replica to ask first.
    pub fn new(shared: Arc<Shared>, incarnation: u64) -> Self {
        Self {
            shared,
            incarnation,
            // Daemons spread over the replicas.
            next: usize::try_from(incarnation % 1_024).unwrap_or_default(),
            had_lease: false,
            daemons: 0,
        }
    }

    /// Renews for as long as the daemon runs; never returns.
    pub async fn run(mut self) {
        loop {
            let addresses = self.shared.control.addresses();
            if !addresses.is_empty() {
                let address = addresses[self.next % addresses.len()];
                let Failed(reason) = self.renew_at(address).await;
                slog::info!(self.shared.log, "lease not renewed"; "address" => %address,
                    "reason" => reason, "left_ms" => self.left_millis());
                self.next = self.next.wrapping_add(1);
            }
            self.note_lease();
            sleep(PAUSE).await;
        }
    }

    /// Renews at one replica for as long as it answers; returns why it does not any more.
    async fn renew_at(&mut self, address: SocketAddr) -> Failed {
        let connecting = timeout(CONNECT_TIMEOUT, ControlClient::connect(address)).await;
        let mut client = match connecting {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => return Failed(error.to_string()),
            Err(_) => return Failed("not reached".to_owned()),
        };
        loop {
            let asked_at = self.shared.clock.now();
            let usage = self.shared.tenant_access().quotas.usage(asked_at);
            let request = RenewRequest {
                daemon: self.shared.settings.name.clone(),
                incarnation: self.incarnation,
                usage: usage.clone(),
            };
            let body = RequestBody::Renew(Box::new(request));
            let reply = match client.request(body, ANSWER_TIMEOUT).await {
                Ok(ReplyBody::Renewed(reply)) => reply,
                Ok(ReplyBody::Unavailable(why)) => return Failed(why.to_string()),
                Ok(_) => return Failed("unexpected answer".to_owned()),
                Err(error) => return Failed(error.to_string()),
            };
            self.take(asked_at, &usage, &reply);
            self.note_lease();
            let spent = self.shared.clock.now().since(asked_at);
            sleep(self.interval().saturating_sub(spent)).await;
        }
    }

    fn take(&mut self, asked_at: Timestamp, usage: &[TenantUsage], reply: &RenewReply) {
        self.daemons = reply.daemons;
        let now = self.shared.clock.now();
        let mut access = self.shared.tenant_access();
        access.lease.confirm(asked_at, reply.table_version);
        if let Some(sums) = &reply.sums {
            access.quotas.set_daemon_count(reply.daemons);
            access.quotas.record_sums(now, usage, sums);
        }
    }

    fn interval(&self) -> Duration {
        let router = self.shared.router.load();
        let tenants = router.as_ref().map(|router| router.tenants());
        if !tenants.is_some_and(TenantDirectory::has_tenants) {
            return INTERVAL_WITHOUT_TENANTS;
        }
        let shared_out = INTERVAL_PER_DAEMON * self.daemons;
        shared_out.clamp(INTERVAL, LONGEST_INTERVAL)
    }

    /// Logs when the lease is lost and when it is back.
    fn note_lease(&mut self) {
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
