//! Test support: in-process daemons, a simulated endpoint and control replica, a raw HTTP client.

#![allow(dead_code, reason = "each test program uses its own part")]

pub mod client;
pub mod control;
pub mod peer;

use bramblewheel_bundle::{Bundle, OperatorKey, canonical, digest, parse};
use bramblewheel_daemon::settings::Overrides;
use bramblewheel_daemon::{DaemonHandle, Settings, StartError, logging};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::control::{BundleSignature, DirectoryEntry, SignedBundle};
use bramblewheel_types::{EndpointId, ServiceName, ZoneName};
use control::FakeControl;
use peer::FakePeer;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::timeout;

/// Time-out of every wait; reached only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest body that the daemons under test buffer, in bytes.
pub const BODY_LIMIT: usize = 8192;

/// Waits for an event; panics if it does not occur in time.
pub async fn expect_in_time<T>(what: &str, event: impl Future<Output = T>) -> T {
    timeout(WAIT_TIMEOUT, event)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

pub fn operator() -> OperatorKey {
    OperatorKey::from_secret("operator", &[7; 32]).expect("valid name")
}

/// A bundle with the service `stock`, whose route `/pay` runs at most once.
pub fn bundle(version: u64) -> Bundle {
    let key = operator().public_key_hex();
    let text = format!(
        "version = {version}\ndeployment = \"trial\"\n\
         [operators]\nrequired_signatures = 1\n\
         [[operators.key]]\nname = \"operator\"\npublic_key = \"{key}\"\n\
         [[service]]\nname = \"stock\"\ndeadline_ms = 60000\n\
         [[service.route]]\nprefix = \"/pay\"\nrepeatable = false\n\
         [[service.route]]\nprefix = \"/quick\"\ndeadline_ms = 600\n\
         [[service.route]]\nprefix = \"/hasty-pay\"\ndeadline_ms = 600\nrepeatable = false\n"
    );
    parse("trial.toml", &text).expect("the text is a valid bundle")
}

pub fn signed(version: u64) -> SignedBundle {
    let bundle = bundle(version);
    let bytes = canonical::encode(&bundle);
    let digest = digest::digest(&bytes);
    SignedBundle {
        version: bundle.version,
        digest,
        bytes,
        signatures: vec![BundleSignature {
            operator: "operator".to_owned(),
            signature: operator().sign(digest).to_vec(),
        }],
        expected_parent: None,
    }
}

pub fn entry(address: SocketAddr) -> DirectoryEntry {
    DirectoryEntry {
        endpoint: EndpointId::new("stock-1").expect("valid name"),
        service: ServiceName::new("stock").expect("valid name"),
        zone: ZoneName::new("hall-a").expect("valid name"),
        address,
        draining: false,
    }
}

/// Starts a daemon on free ports; without an endpoint it is a gateway.
pub async fn start(control: SocketAddr, endpoint: Option<SocketAddr>, data: &Path) -> DaemonHandle {
    bramblewheel_daemon::run(settings(control, endpoint, data), logging::silent())
        .await
        .expect("free ports and a writable folder")
}

/// Tries to start a gateway.
pub async fn try_start(control: SocketAddr, data: &Path) -> Result<DaemonHandle, StartError> {
    bramblewheel_daemon::run(settings(control, None, data), logging::silent()).await
}

fn settings(control: SocketAddr, endpoint: Option<SocketAddr>, data: &Path) -> Settings {
    let name = endpoint.map_or("gateway-1", |_| "stock-1");
    let inbound = endpoint.map_or("", |_| "inbound = \"127.0.0.1:0\"\n");
    let section = endpoint.map_or(String::new(), |address| {
        format!("[endpoint]\nname = \"stock-1\"\nservice = \"stock\"\naddress = \"{address}\"\n")
    });
    let text = format!(
        "name = \"{name}\"\nzone = \"hall-a\"\nregion = \"north\"\ndata_folder = {data:?}\n\
         control = [\"{control}\"]\ncalls = [\"stock\"]\n\
         [listen]\n{inbound}outbound = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n{section}\
         [limits]\nbody_bytes = {BODY_LIMIT}\nconnections = 8\nheader_timeout_ms = 500\n\
         body_timeout_ms = 1000\n"
    );
    Settings::parse(Path::new("trial.toml"), &text, Overrides::default())
        .expect("the text is valid settings")
}

/// A gateway and the daemon of a simulated endpoint, both with bundle 1 in force.
pub struct Pair {
    pub control: FakeControl,
    pub gateway: DaemonHandle,
    pub sidecar: DaemonHandle,
    pub endpoint: FakePeer,
    folder: TempDir,
}

impl Pair {
    pub async fn start() -> Self {
        let folder = TempDir::new().expect("a temporary folder");
        let mut control = FakeControl::start(signed(1)).await;
        let endpoint = FakePeer::start().await;
        let address = control.address();
        let sidecar_folder = folder.path().join("sidecar");
        let sidecar = start(address, Some(endpoint.address()), &sidecar_folder).await;
        let inbound = sidecar.addresses().inbound.expect("an inbound listener");
        control.set_directory(vec![entry(inbound)]);
        let gateway = start(address, None, &folder.path().join("gateway")).await;
        control.until_applied("stock-1").await;
        control.until_applied("gateway-1").await;
        Self {
            control,
            gateway,
            sidecar,
            endpoint,
            folder,
        }
    }

    /// Address for external callers.
    pub fn entry(&self) -> SocketAddr {
        self.gateway.addresses().outbound
    }
}

/// A gateway whose directory lists a raw peer as the daemon of `stock`.
pub async fn gateway_to(peer: &FakePeer, folder: &TempDir) -> (FakeControl, DaemonHandle) {
    let mut control = FakeControl::start(signed(1)).await;
    control.set_directory(vec![entry(peer.address())]);
    let gateway = start(control.address(), None, folder.path()).await;
    control.until_applied("gateway-1").await;
    (control, gateway)
}
