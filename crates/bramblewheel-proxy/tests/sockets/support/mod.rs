//! Daemons of the routed data path over sockets, with a real control replica and scripted
//! endpoints.

pub mod endpoint;
mod replica;

use self::endpoint::ScriptedEndpoint;
use self::replica::replica_settings;
use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_decisions::retry_budget::RetryBoundSettings;
use bramblewheel_decisions::table::{Route, RouteTable, ServiceSettings, Target};
use bramblewheel_decisions::tenant_quota::QuotaSettings;
use bramblewheel_decisions::tenants::{KeyDigest, Quota, Tenant};
use bramblewheel_ports::claim_address;
use bramblewheel_process::logging::silent;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::packed::PackedText;
use bramblewheel_protocol::routing::{
    EndpointRecord, EndpointState, ReplaceTable, ReplaceTableReply, StoredTable, TableDigest,
    TableVersion,
};
use bramblewheel_proxy::control::group::ControlGroup;
use bramblewheel_proxy::{Daemon, Dialect, Settings};
use bramblewheel_types::{
    DaemonId, EndpointId, Millis, RegionName, ServiceName, TenantName, ZoneName,
};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;

/// Longest wait for anything that must come to pass.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// How long callers' connections may rest.
pub const CALLER_REST: Duration = Duration::from_secs(1);
/// Longest body of a request, in bytes.
pub const LONGEST_BODY: usize = 4 << 20;
pub const HOST: &str = "shop.example";

/// A control replica, daemons and the endpoints beside them.
pub struct Mesh {
    pub control: ControlGroup,
    pub daemons: Vec<Daemon>,
    pub endpoints: Vec<ScriptedEndpoint>,
    replica: bramblewheel_control::ControlHandle,
    replica_settings: bramblewheel_control::Settings,
    _folder: TempDir,
    version: u64,
    /// Starts of endpoints after the first ones.
    starts: usize,
    tenants: String,
    log: Logger,
}

/// Addresses that nobody else is given.
fn claim_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    std::array::from_fn(|_| claim_address().expect("a port is left"))
}

impl Mesh {
    /// A daemon beside each of `count` endpoints of the service `kassa`, with routes for requests
    /// that may be repeated (`/safe/`) and others (`/once/`).
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, "").await
    }

    /// Like [`start`](Self::start), with tenants as [`tenants`] reads them.
    pub async fn start_with(count: usize, tenants: &str) -> Self {
        Self::start_logging(count, tenants, silent()).await
    }

    /// Like [`start_with`](Self::start_with), with a log for the daemons.
    pub async fn start_logging(count: usize, tenants: &str, log: Logger) -> Self {
        let folder = TempDir::new().expect("a folder");
        let [peer, service, admin] = claim_addresses();
        let settings = replica_settings(folder.path(), peer, service, admin);
        let replica = bramblewheel_control::start(settings.clone(), silent()).await;
        let mut mesh = Self {
            control: ControlGroup::new(vec![service]),
            daemons: Vec::new(),
            endpoints: Vec::new(),
            replica: replica.expect("the replica starts"),
            replica_settings: settings,
            _folder: folder,
            version: 0,
            starts: 0,
            tenants: tenants.to_owned(),
            log,
        };
        mesh.replace_table().await;
        for number in 0..count {
            let daemon = mesh.start_daemon(number, service).await;
            mesh.daemons.push(daemon);
            let endpoint = ScriptedEndpoint::start(&format!("e-{number}")).await;
            mesh.endpoints.push(endpoint);
            mesh.say(number, EndpointState::Ready, 1).await;
        }
        for number in 0..count {
            mesh.until_ready(number, count).await;
        }
        mesh
    }

    pub async fn start_daemon(&self, number: usize, replica: SocketAddr) -> Daemon {
        let [outbound, inbound, metrics] = claim_addresses();
        let settings = Settings {
            name: DaemonId::new(&format!("daemon-{number}")).expect("a name"),
            region: RegionName::new("west").expect("a name"),
            identity: identity("kassa"),
            outbound,
            inbound,
            bind: None,
            metrics,
            replicas: vec![replica],
            dialect: Dialect::default(),
            retry: RetryBoundSettings {
                ratio: 0.2,
                slack: 20.0,
                window: Duration::from_secs(10),
            },
            key_revocation: Some(Duration::from_secs(5)),
            quota: QuotaSettings {
                window: Duration::from_secs(5),
                overshoot: 0.1,
                slack: 20.0,
            },
            heartbeat: Duration::from_secs(30),
            stop_grace: Duration::from_secs(4),
        };
        let read = Arc::new(|text: &[u8]| Ok(table(text)));
        let daemon = Daemon::start(settings, read, self.log.clone()).await;
        daemon.expect("the daemon starts")
    }

    /// Stops the control replica as planned and starts it again on its data folder.
    pub async fn restart_replica(&mut self) {
        self.replica.stop();
        self.replica.stopped().await.expect("a planned stop");
        self.replica_settings.formation.first_start = false;
        let replica = bramblewheel_control::start(self.replica_settings.clone(), silent()).await;
        self.replica = replica.expect("the replica starts");
    }

    /// Puts the next version of the table in force, with other tenants.
    pub async fn replace_table_with(&mut self, tenants: &str) {
        self.tenants = tenants.to_owned();
        self.replace_table().await;
    }

    /// Puts the next version of the table in force; its text is its number and the tenants.
    pub async fn replace_table(&mut self) {
        let text = format!("{} {}", self.version + 1, self.tenants).into_bytes();
        let request = ReplaceTable {
            parent: TableVersion(self.version),
            table: StoredTable {
                version: TableVersion(self.version + 1),
                digest: TableDigest([u8::try_from(self.version + 1).expect("few"); 32]),
                text: PackedText::pack(&text),
            },
        };
        let body = RequestBody::ReplaceTable(request);
        let reply = self.control.request(&body, PATIENCE).await;
        let accepted = ReplyBody::TableReplaced(ReplaceTableReply::Accepted);
        assert_eq!(reply.expect("decided"), accepted);
        self.version += 1;
    }

    /// What the endpoint beside a daemon says.
    pub fn record(&self, number: usize, state: EndpointState, sequence: u64) -> EndpointRecord {
        let settings = &self.daemons[number].shared().settings;
        EndpointRecord {
            endpoint: EndpointId::new(&format!("e-{number}")).expect("a name"),
            service: ServiceName::new("kassa").expect("a name"),
            daemon: settings.name.clone(),
            address: settings.inbound,
            endpoint_address: self.endpoints[number].address,
            zone: settings.identity.zone.clone(),
            slots: 8,
            state,
            sequence,
            cold_for: Millis(0),
        }
    }

    /// Starts another daemon with an endpoint beside it that nobody is told of; returns its number.
    pub async fn join(&mut self) -> usize {
        let number = self.daemons.len();
        let service = self.control.addresses()[0];
        let daemon = self.start_daemon(number, service).await;
        self.daemons.push(daemon);
        number
    }

    /// Another start of an endpoint that has ended, under another id; it is recorded when this returns.
    pub async fn start_again(&mut self, number: usize) {
        let start = self.starts + 1;
        self.starts = start;
        let name = format!("e-{number}-{start}");
        self.endpoints[number] = ScriptedEndpoint::start(&name).await;
        let record = EndpointRecord {
            endpoint: EndpointId::new(&name).expect("a name"),
            ..self.record(number, EndpointState::Ready, 1)
        };
        self.daemons[number].registrar().ready(record);
        let shared = self.daemons[number].shared();
        eventually(|| shared.local.is_open()).await;
    }

    /// An endpoint ends without a word and starts again under its id, at this time; returns at once.
    pub async fn restart_under_its_id(&mut self, number: usize, started: u64) {
        self.endpoints[number].end();
        self.endpoints[number] = ScriptedEndpoint::start(&format!("e-{number}")).await;
        let record = self.record(number, EndpointState::Ready, 1);
        let record = EndpointRecord {
            endpoint: record.endpoint.started_at(Some(started)),
            ..record
        };
        self.daemons[number].registrar().ready(record);
    }

    pub async fn say(&self, number: usize, state: EndpointState, sequence: u64) {
        let record = self.record(number, state, sequence);
        let registrar = self.daemons[number].registrar();
        if state == EndpointState::Ready {
            registrar.ready(record);
            return;
        }
        for _ in 0..20 {
            if registrar.end(record.clone()).await.is_ok() {
                return;
            }
        }
        panic!("not recorded");
    }

    /// Until a daemon has the table and can reach all endpoints.
    async fn until_ready(&self, number: usize, endpoints: usize) {
        let shared = self.daemons[number].shared();
        let kassa = ServiceName::new("kassa").expect("a name");
        eventually(|| {
            let known = shared.routing().directory.endpoint_count(&kassa);
            shared.is_ready() && known == endpoints && shared.local.is_open()
        })
        .await;
    }

    /// Sends a request to the daemon `number` as a caller on its machine does.
    pub async fn call(&self, number: usize, path: &str, id: &str) -> Result<Answer, hyper::Error> {
        let headers = [("bw-request-id", id), ("bw-remaining-ms", "3000")];
        self.call_with(number, path, &headers, Bytes::new()).await
    }

    pub async fn call_with(
        &self,
        number: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, hyper::Error> {
        let address = self.daemons[number].shared().settings.outbound;
        let stream = TcpStream::connect(address).await.expect("it listens");
        call_on(stream, path, headers, body).await
    }
}

/// Who runs on the machine of a daemon beside an endpoint of this service.
pub fn identity(service: &str) -> MachineIdentity {
    MachineIdentity {
        service: Some(ServiceName::new(service).expect("a name")),
        zone: ZoneName::new("north").expect("a name"),
        endpoint_address: None,
    }
}

/// Sends a request on a connection that was opened for it.
pub async fn call_on(
    stream: TcpStream,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Answer, hyper::Error> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::post(path).header("host", HOST);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).expect("a valid request");
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// An answer as a caller sees it, whole.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Waits until something holds.
pub async fn eventually(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let held = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(held.is_ok(), "did not come to pass");
}

fn table(text: &[u8]) -> RouteTable {
    let text = std::str::from_utf8(text).expect("text");
    let (version, stated) = text.split_once(' ').expect("a number and tenants");
    let kassa = ServiceName::new("kassa").expect("a name");
    let route = |name: &str, is_repeatable| Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![Target {
            service: kassa.clone(),
            weight: 1.0,
        }],
        is_repeatable,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        max_attempts: 2,
        rank: 1,
        is_public: name == "public",
    };
    let terms = ServiceSettings {
        max_connections: 100,
    };
    RouteTable {
        version: TableVersion(version.parse().expect("a number")),
        routes: vec![
            route("safe", true),
            route("once", false),
            route("public", true),
        ],
        services: [(kassa.clone(), terms)].into(),
        caller_idle_timeout: Some(CALLER_REST),
        max_body_bytes: Some(LONGEST_BODY),
        tenants: tenants(stated),
    }
}

/// Tenants from `name=key,key@rate;name=key`; keys and rate may be left out.
fn tenants(text: &str) -> Vec<Tenant> {
    let tenant = |stated: &str| {
        let (name, rest) = stated.split_once('=').expect("a name");
        let (keys, rate) = rest.split_once('@').unwrap_or((rest, ""));
        let keys = keys.split(',').filter(|key| !key.is_empty());
        let rate = (!rate.is_empty()).then(|| rate.parse().expect("a number"));
        Tenant {
            name: TenantName::new(name).expect("a name"),
            keys: keys.map(|key| KeyDigest::of(key.as_bytes())).collect(),
            rank: 0,
            quota: rate.map(|rate| Quota { rate, burst: rate }),
        }
    };
    let all = text.split(';').filter(|stated| !stated.is_empty());
    all.map(tenant).collect()
}
