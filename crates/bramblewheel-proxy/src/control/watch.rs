//! Watches a control replica for updates of the route table, the endpoints and the quarantine.
//!
//! Tracks the versions that this daemon holds, and passes records of the local endpoint to the registrar.

use crate::control::registrar::Registrar;
use crate::shared::Shared;
use bramblewheel_decisions::table::{RouteTable, Router};
use bramblewheel_protocol::ControlClient;
use bramblewheel_protocol::control::{LogPosition, Registration, ReplyBody, RequestBody};
use bramblewheel_protocol::routing::{
    EndpointState, EndpointUpdate, QuarantineList, StoredTable, TableVersion, WatchReply,
    WatchRequest,
};
use bramblewheel_types::{Millis, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a replica may hold a watch request open. A replica without a quorum answers within its lease; a silent
/// one is detected after this time plus [`ANSWER_MARGIN`].
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// Time beyond [`WATCH_WAIT`] after which an unanswered watch request fails and another replica is tried.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time-out of connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause after a replica could not answer.
const PAUSE: Duration = Duration::from_millis(40);

/// Parses a route table in the format of this deployment's operators.
pub type ReadTable = Arc<dyn Fn(&[u8]) -> Result<RouteTable, String> + Send + Sync>;

/// Keeps a daemon's routes and endpoints up to date.
pub struct Watcher {
    shared: Arc<Shared>,
    registrar: Arc<Registrar>,
    read_table: ReadTable,
    registration: Registration,
    position: LogPosition,
    table: TableVersion,
    revision: u64,
    is_connected: bool,
    has_tried_to_adopt: bool,
    next_replica: usize,
}

impl Watcher {
    /// Creates a watcher that holds no versions yet; the first replica is chosen by the incarnation.
    pub fn new(
        shared: Arc<Shared>,
        registrar: Arc<Registrar>,
        read_table: ReadTable,
        incarnation: u64,
    ) -> Self {
        let settings = &shared.settings;
        let registration = Registration {
            daemon: settings.name.clone(),
            incarnation,
            zone: settings.identity.zone.clone(),
            region: settings.region.clone(),
            endpoint: None,
        };
        Self {
            registration,
            registrar,
            read_table,
            position: LogPosition::default(),
            table: TableVersion::default(),
            revision: 0,
            is_connected: false,
            has_tried_to_adopt: false,
            // Spreads the daemons over the replicas.
            next_replica: usize::try_from(incarnation % 1_024).unwrap_or_default(),
            shared,
        }
    }

    /// Watches one replica after the other; never returns.
    pub async fn run(mut self) {
        loop {
            let addresses = self.shared.control.addresses();
            if !addresses.is_empty() {
                let address = addresses[self.next_replica % addresses.len()];
                self.watch(address).await;
                self.next_replica = self.next_replica.wrapping_add(1);
            }
            sleep(PAUSE).await;
        }
    }

    /// Watches one replica until it fails to answer.
    async fn watch(&mut self, address: SocketAddr) {
        let connecting = timeout(CONNECT_TIMEOUT, ControlClient::connect(address)).await;
        let Ok(Ok(mut client)) = connecting else {
            return self.log_lost(address, "not reached");
        };
        loop {
            let request = WatchRequest {
                registration: self.registration.clone(),
                table_version: self.table,
                registry_revision: self.revision,
                quarantine_revision: self.shared.quarantine().revision(),
                position: self.position,
                wait: Millis::of(WATCH_WAIT),
            };
            let body = RequestBody::Watch(Box::new(request));
            match client.request(body, WATCH_WAIT + ANSWER_MARGIN).await {
                Ok(ReplyBody::Watch(reply)) => self.apply_reply(address, *reply),
                Ok(ReplyBody::Unavailable(err)) => return self.log_lost(address, &err.to_string()),
                Ok(_) => return self.log_lost(address, "unexpected answer"),
                Err(error) => return self.log_lost(address, &error.to_string()),
            }
        }
    }

    fn log_lost(&mut self, address: SocketAddr, reason: &str) {
        if self.is_connected {
            self.is_connected = false;
            slog::info!(self.shared.log, "control replica lost"; "address" => %address,
                "reason" => reason, "table" => self.table.0, "position" => self.position.index);
        }
    }

    fn apply_reply(&mut self, address: SocketAddr, reply: WatchReply) {
        if !self.is_connected {
            self.is_connected = true;
            slog::info!(self.shared.log, "control replica connected"; "address" => %address,
                "position" => reply.position.index);
        }
        self.position = self.position.max(reply.position);
        self.shared.control.set_members(reply.replicas);
        self.shared
            .routing()
            .retry_bound
            .set_daemon_count(reply.daemons);
        // The quarantine comes before the table, since the daemon starts to send requests once it has a table.
        if let Some(list) = &reply.quarantine {
            self.install_quarantine(list);
        }
        if let Some(table) = reply.table {
            self.install_table(&table);
        }
        if reply.registry_revision > self.revision {
            self.apply_endpoints(&reply.endpoints);
            self.revision = reply.registry_revision;
        }
    }

    fn install_quarantine(&self, list: &QuarantineList) {
        let now = self.shared.clock.now();
        let mut quarantine = self.shared.quarantine();
        let succeeded = quarantine.install(now, list);
        let quarantined = quarantine.quarantined();
        drop(quarantine);
        let gauge = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.shared.metrics.quarantined_contents.set(gauge);
        slog::info!(self.shared.log, "quarantine in force"; "revision" => list.revision,
            "watched" => list.contents.len(), "quarantined" => quarantined,
            "ended_well_here" => succeeded.len(), "position" => self.position.index);
        self.shared.reporter.succeeded(succeeded);
    }

    /// Puts a table in force. Versions never decrease while the daemon runs.
    fn install_table(&mut self, stored: &StoredTable) {
        if stored.version <= self.table {
            return;
        }
        let text = stored.text.unpack().map_err(|error| error.to_string());
        let table = match text.and_then(|text| (self.read_table)(&text)) {
            Ok(table) => table,
            Err(error) => {
                slog::error!(self.shared.log, "route table can't be read";
                    "table" => stored.version.0, "error" => error);
                return;
            }
        };
        let routes = table.routes.len();
        let tenants = table.tenants.len();
        let router = Router::new(table, self.registration.incarnation);
        let now = self.shared.clock.now();
        let services = router.services().clone();
        self.shared.local.set_services(now, services);
        self.shared.router.store(Some(Arc::new(router)));
        self.table = stored.version;
        self.shared.tenant_access().lease.install(stored.version);
        let gauge = i64::try_from(stored.version.0).unwrap_or(i64::MAX);
        self.shared.metrics.table_version.set(gauge);
        slog::info!(self.shared.log, "route table in force"; "table" => stored.version.0,
            "routes" => routes, "tenants" => tenants, "position" => self.position.index);
    }

    /// Adopts the endpoint that was beside this daemon before its restart.
    fn adopt(&self, now: Timestamp, update: &EndpointUpdate) {
        let record = &update.record;
        match self.shared.local.adopt(now, record) {
            Ok(()) => {
                slog::info!(self.shared.log, "endpoint adopted"; "sequence" => record.sequence,
                    "endpoint" => %record.endpoint, "service" => %record.service,
                    "revision" => update.revision);
            }
            Err(mismatch) => {
                self.shared.metrics.identity_mismatch(mismatch);
                slog::warn!(self.shared.log, "endpoint not adopted"; "differs" => mismatch.as_str(),
                    "endpoint" => %record.endpoint, "service" => %record.service,
                    "revision" => update.revision);
            }
        }
    }

    fn apply_endpoints(&mut self, endpoints: &[EndpointUpdate]) {
        let now = self.shared.clock.now();
        {
            let mut routing = self.shared.routing();
            for update in endpoints {
                routing.directory.apply(now, update);
            }
        }
        let own = &self.shared.settings.name;
        let local_updates = endpoints
            .iter()
            .filter(|update| update.record.daemon == *own);
        if !self.has_tried_to_adopt {
            self.has_tried_to_adopt = true;
            let takes_work = |update: &&EndpointUpdate| update.record.state == EndpointState::Ready;
            if let Some(update) = local_updates.clone().rfind(takes_work) {
                self.adopt(now, update);
            }
        }
        for update in local_updates {
            self.registrar.apply_recorded(&update.record);
        }
    }
}
