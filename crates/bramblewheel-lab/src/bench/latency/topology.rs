//! Processes of the benchmark: an endpoint, its daemon, a gateway and a control replica.

use crate::bench::latency::load;
use crate::error::CommandError;
use crate::fleet::folder::RunFolder;
use crate::fleet::group;
use crate::fleet::plan::PlannedReplica;
use crate::fleet::settings::{self, ReplicaAddresses};
use crate::process::{LogEvent, claim_address, parse as parse_log};
use crate::runtime::block_on;
use bramblewheel_bundle::{OperatorKey, canonical, digest, parse};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use bramblewheel_types::{RegionName, ZoneName};
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Name of the called service.
pub const SERVICE: &str = "answers";
/// Time-out for the start of all processes.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Zone of all processes.
const ZONE: &str = "zone-a";
const REGION: &str = "region-a";

/// The running processes, which are killed when this is dropped.
#[derive(Debug)]
pub struct Topology {
    endpoint_address: SocketAddr,
    gateway_address: SocketAddr,
    endpoint_daemon: Process,
    gateway: Process,
    _endpoint: Process,
    _control: Process,
    _folder: RunFolder,
}

impl Topology {
    /// Starts all processes and waits until a call through the gateway succeeds.
    ///
    /// # Errors
    /// [`CommandError`] when a process can't be started or no call succeeds in time.
    pub fn start(service_time: Duration) -> Result<Self, CommandError> {
        let folder = RunFolder::new(None)?;
        let (control, control_address) = start_control(&folder)?;
        let (endpoint, endpoint_address) = start_endpoint(service_time)?;
        let daemon = |name: &str, sections: &str| {
            let settings = daemon_settings(name, &folder, control_address, sections);
            start_daemon(name, &folder, &settings)
        };
        let (endpoint_daemon, _) =
            daemon("answers-1", &endpoint_daemon_sections(endpoint_address))?;
        let (gateway, gateway_address) = daemon("gateway-1", "")?;
        wait_for_successful_call(gateway_address)?;
        Ok(Self {
            endpoint_address,
            gateway_address,
            endpoint_daemon,
            gateway,
            _endpoint: endpoint,
            _control: control,
            _folder: folder,
        })
    }

    /// Address of the endpoint itself.
    pub fn endpoint_address(&self) -> SocketAddr {
        self.endpoint_address
    }

    /// Address of the gateway.
    pub fn gateway_address(&self) -> SocketAddr {
        self.gateway_address
    }

    /// Process ids of the gateway and the endpoint's daemon, whose resource usage is measured.
    pub fn daemon_pids(&self) -> [u32; 2] {
        [self.gateway.0.id(), self.endpoint_daemon.0.id()]
    }
}

/// A process that is killed when this is dropped. It also exits when its standard input ends, which is kept open
/// by this.
#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited, which failed calls have then reported.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a control group of one replica and bootstraps it with a bundle.
fn start_control(folder: &RunFolder) -> Result<(Process, SocketAddr), CommandError> {
    const NAME: &str = "control-1";
    let addresses = ReplicaAddresses {
        peer: claim_address()?,
        service: claim_address()?,
    };
    let replica = PlannedReplica {
        name: NAME.to_owned(),
        zone: ZoneName::new(ZONE).map_err(run_failed)?,
    };
    let region = RegionName::new(REGION).map_err(run_failed)?;
    let settings = settings::replica(&replica, &region, &folder.data(NAME), addresses);
    let (process, address) =
        start_with_settings("run-control", "service", NAME, folder, &settings)?;
    let bundle = signed_bundle()?;
    block_on(async {
        group::bootstrap(&[address], bundle)
            .await
            .map_err(run_failed)
    })?;
    Ok((process, address))
}

fn start_endpoint(service_time: Duration) -> Result<(Process, SocketAddr), CommandError> {
    let micros = service_time.as_micros().to_string();
    let arguments = [
        "bench",
        "latency",
        "--be-endpoint",
        "--service-time",
        &micros,
    ];
    let mut child = own_executable()?
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take();
    let process = Process(child);
    let mut lines = lines_of(stdout);
    let address = lines.next().and_then(|line| line.parse().ok());
    let address = address.ok_or_else(|| run_failed("the endpoint did not start"))?;
    Ok((process, address))
}

/// Starts a daemon; returns it with the address of its outbound listener.
fn start_daemon(
    name: &str,
    folder: &RunFolder,
    settings: &str,
) -> Result<(Process, SocketAddr), CommandError> {
    start_with_settings("run-daemon", "outbound", name, folder, settings)
}

/// Starts a daemon or control replica; returns it with the address of the named listener.
fn start_with_settings(
    command: &str,
    listener: &str,
    name: &str,
    folder: &RunFolder,
    settings: &str,
) -> Result<(Process, SocketAddr), CommandError> {
    let file = folder.settings(name);
    fs::write(&file, settings)?;
    let mut child = own_executable()?
        .args([command, "--settings"])
        .arg(file)
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    let stderr = child.stderr.take();
    let process = Process(child);
    let mut lines = lines_of(stderr);
    let address = lines.by_ref().find_map(|line| address_of(listener, &line));
    let address = address.ok_or_else(|| run_failed(format!("{name} did not start")))?;
    // The rest of the log must be read, or the process blocks when the pipe is full.
    thread::spawn(move || lines.for_each(drop));
    Ok((process, address))
}

fn own_executable() -> Result<Command, CommandError> {
    Ok(Command::new(std::env::current_exe()?))
}

fn lines_of<R: Read>(stream: Option<R>) -> impl Iterator<Item = String> + use<R> {
    let streams = stream.into_iter().map(BufReader::new);
    streams.flat_map(|stream| stream.lines().map_while(Result::ok))
}

/// Address of the named listener, if the log line reports it.
fn address_of(listener: &str, line: &str) -> Option<SocketAddr> {
    match parse_log(line)? {
        LogEvent::Listening {
            listener: found,
            address,
        } if found == listener => Some(address),
        _ => None,
    }
}

fn wait_for_successful_call(gateway: SocketAddr) -> Result<(), CommandError> {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    loop {
        match load::call_once(gateway) {
            Ok(()) => return Ok(()),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn run_failed(cause: impl std::fmt::Display) -> CommandError {
    CommandError::RunFailed(cause.to_string())
}

/// A bundle whose limits are above the load of the benchmark, so that the measured latency does not include queueing
/// at a service without free capacity.
fn signed_bundle() -> Result<SignedBundle, CommandError> {
    let operator = OperatorKey::from_secret("bench", &[1; 32]).map_err(run_failed)?;
    let public_key = operator.public_key_hex();
    let text = format!(
        "version = 1\ndeployment = \"latency\"\n\
         [operators]\nrequired_signatures = 1\n\
         [[operators.key]]\nname = \"bench\"\npublic_key = \"{public_key}\"\n\
         [[service]]\nname = \"{SERVICE}\"\n\
         [service.admission]\nqueue_length = 64\nmin_concurrency = 8\nmax_concurrency = 64\n\
         [service.routing]\nmax_connections = 64\n"
    );
    let bundle = parse("latency.toml", &text).map_err(run_failed)?;
    let bytes = canonical::encode(&bundle);
    let digest = digest::digest(&bytes);
    Ok(SignedBundle {
        version: bundle.version,
        digest,
        bytes,
        signatures: vec![BundleSignature {
            operator: "bench".to_owned(),
            signature: operator.sign(digest).to_vec(),
        }],
        expected_parent: None,
    })
}

fn daemon_settings(name: &str, folder: &RunFolder, control: SocketAddr, sections: &str) -> String {
    let data_folder = folder.data(name);
    format!(
        "name = \"{name}\"\nzone = \"{ZONE}\"\nregion = \"{REGION}\"\n\
         data_folder = {data_folder:?}\ncontrol = [\"{control}\"]\ncalls = [\"{SERVICE}\"]\n\
         [listen]\noutbound = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n{sections}"
    )
}

fn endpoint_daemon_sections(endpoint: SocketAddr) -> String {
    format!(
        "inbound = \"127.0.0.1:0\"\n\
         [endpoint]\nname = \"answers-1\"\nservice = \"{SERVICE}\"\naddress = \"{endpoint}\"\n"
    )
}
