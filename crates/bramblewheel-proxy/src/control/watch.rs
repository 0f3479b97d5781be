//! Watches a control replica for updates of the route table, the endpoints and the quarantine.
//!
//! Owns the revisions that this daemon holds. Relies on the registrar for what is recorded of the local
//! endpoint and on the decisions crate for the directory, the router and the quarantine.

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

/// How long a replica may hold a watch. A replica that is cut off answers within its lease; one
/// that is silent is noticed after this and [`SILENCE`]. Chosen, not measured.
const WAIT: Duration = Duration::from_millis(600);
/// Silence beyond the wait after which another replica is asked; chosen, not measured.
const SILENCE: Duration = Duration::from_millis(300);
/// Longest wait for a connection; chosen, not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause after a replica that could not answer; chosen, not measured.
const PAUSE: Duration = Duration::from_millis(40);

/// Reads a route table from its text, as this deployment's operators write it.
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
    has_adopted: bool,
    next: usize,
}

impl Watcher {
    /// A watcher that holds nothing yet.
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
            has_adopted: false,
            // Daemons spread over the replicas.
            next: usize::try_from(incarnation % 1_024).unwrap_or_default(),
            shared,
        }
    }

    /// Watches one replica after the other; never returns.
    pub async fn run(mut self) {
        loop {
            let addresses = self.shared.control.addresses();
            if !addresses.is_empty() {
                let address = addresses[self.next % addresses.len()];
                self.watch(address).await;
                self.next = self.next.wrapping_add(1);
            }
            sleep(PAUSE).await;
        }
    }

    /// Watches one replica for as long as it answers.
    async fn watch(&mut self, address: SocketAddr) {
        let connecting = timeout(CONNECT_TIMEOUT, ControlClient::connect(address)).await;
        let Ok(Ok(mut client)) = connecting else {
            return self.lost(address, "not reached");
        };
        loop {
            let request = WatchRequest {
                registration: self.registration.clone(),
                table_version: self.table,
                registry_revision: self.revision,
                quarantine_revision: self.shared.quarantine().revision(),
                position: self.position,
                wait: Millis::of(WAIT),
            };
            let body = RequestBody::Watch(Box::new(request));
            match client.request(body, WAIT + SILENCE).await {
                Ok(ReplyBody::Watch(reply)) => self.take(address, *reply),
                Ok(ReplyBody::Unavailable(why)) => return self.lost(address, &why.to_string()),
                Ok(_) => return self.lost(address, "unexpected answer"),
                Err(error) => return self.lost(address, &error.to_string()),
            }
        }
    }

    fn lost(&mut self, address: SocketAddr, reason: &str) {
        if self.is_connected {
            self.is_connected = false;
            slog::info!(self.shared.log, "control replica lost"; "address" => %address,
                "reason" => reason, "table" => self.table.0, "position" => self.position.index);
        }
    }

    fn take(&mut self, address: SocketAddr, reply: WatchReply) {
        if !self.is_connected {
            self.is_connected = true;
            slog::info!(self.shared.log, "control replica found"; "address" => %address,
                "position" => reply.position.index);
        }
        self.position = self.position.max(reply.position);
        self.shared.control.learn(reply.replicas);
        self.shared
            .routing()
            .retry_bound
            .set_daemon_count(reply.daemons);
        // Before the table, with which the daemon begins to send.
        if let Some(list) = &reply.quarantine {
            self.install_quarantine(list);
        }
        if let Some(table) = reply.table {
            self.install(&table);
        }
        if reply.registry_revision > self.revision {
            self.apply(&reply.endpoints);
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

    /// Puts a table in force. Versions only rise within one run of the daemon.
    fn install(&mut self, stored: &StoredTable) {
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
        self.shared.router.store(Some(Arc::new(router)));
        self.table = stored.version;
        self.shared.tenant_access().lease.install(stored.version);
        let gauge = i64::try_from(stored.version.0).unwrap_or(i64::MAX);
        self.shared.metrics.table_version.set(gauge);
        slog::info!(self.shared.log, "route table in force"; "table" => stored.version.0,
            "routes" => routes, "tenants" => tenants, "position" => self.position.index);
    }

    /// Takes over the endpoint that was beside this daemon before its start.
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

    fn apply(&mut self, endpoints: &[EndpointUpdate]) {
        let now = self.shared.clock.now();
        {
            let mut routing = self.shared.routing();
            for update in endpoints {
                routing.directory.apply(now, update);
            }
        }
        let own = &self.shared.settings.name;
        let beside = endpoints
            .iter()
            .filter(|update| update.record.daemon == *own);
        if !self.has_adopted {
            self.has_adopted = true;
            let takes_work = |update: &&EndpointUpdate| update.record.state == EndpointState::Ready;
            if let Some(update) = beside.clone().rfind(takes_work) {
                self.adopt(now, update);
            }
        }
        for update in beside {
            self.registrar.recorded(&update.record);
        }
    }
}
