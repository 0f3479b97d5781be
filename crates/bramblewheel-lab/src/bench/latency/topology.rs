//! The processes of the bench: an endpoint, its daemon, and a gateway before it.

use crate::bench::latency::control::StandInControl;
use crate::bench::latency::load;
use crate::error::CommandError;
use bramblewheel_bundle::{OperatorKey, canonical, digest, parse};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Service called.
pub const SERVICE: &str = "answers";
/// Time for everything to be ready.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks whether it is.
const PAUSE: Duration = Duration::from_millis(100);
/// What a daemon's log says before the address of its listener for applications.
const LISTENING: &str = "listening";
const OUTBOUND: &str = "listener=outbound";
const ADDRESS: &str = "address=";

/// The running processes; they are ended when this is dropped.
#[derive(Debug)]
pub struct Topology {
    endpoint_address: SocketAddr,
    gateway_address: SocketAddr,
    sidecar: Process,
    gateway: Process,
    _endpoint: Process,
    _control: StandInControl,
    _folder: Folder,
}

impl Topology {
    /// Starts everything and waits until a call passes.
    ///
    /// # Errors
    /// [`CommandError`] when a process can't be started or no call passes in time.
    pub fn start(service_time: Duration) -> Result<Self, CommandError> {
        let control = StandInControl::start(signed_bundle()?)?;
        let folder = Folder::create()?;
        let (endpoint, endpoint_address) = start_endpoint(service_time)?;
        let daemon = |name: &str, sections: String| {
            let settings = settings(name, &folder.0, control.address(), &sections);
            start_daemon(&folder.0.join(name).with_extension("toml"), &settings)
        };
        let (sidecar, _) = daemon("answers-1", sidecar_sections(endpoint_address))?;
        let (gateway, gateway_address) = daemon("gateway-1", gateway_sections())?;
        wait_for_a_call(gateway_address)?;
        Ok(Self {
            endpoint_address,
            gateway_address,
            sidecar,
            gateway,
            _endpoint: endpoint,
            _control: control,
            _folder: folder,
        })
    }

    /// Address of the endpoint itself.
    pub fn direct(&self) -> SocketAddr {
        self.endpoint_address
    }

    /// Address of the gateway.
    pub fn through(&self) -> SocketAddr {
        self.gateway_address
    }

    /// The processes whose work is counted.
    pub fn daemon_pids(&self) -> [u32; 2] {
        [self.gateway.0.id(), self.sidecar.0.id()]
    }
}

/// A process that is ended when this is dropped.
#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself, which the calls have shown.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder of this run, removed when this is dropped.
#[derive(Debug)]
struct Folder(PathBuf);

impl Folder {
    fn create() -> Result<Self, CommandError> {
        let name = format!("bramblewheel-latency-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn start_endpoint(service_time: Duration) -> Result<(Process, SocketAddr), CommandError> {
    let micros = service_time.as_micros().to_string();
    let words = [
        "bench",
        "latency",
        "--be-endpoint",
        "--service-time",
        &micros,
    ];
    let mut child = this_program()?.args(words).stdout(Stdio::piped()).spawn()?;
    let stdout = child.stdout.take();
    let process = Process(child);
    let mut lines = lines_of(stdout);
    let address = lines.next().and_then(|line| line.parse().ok());
    let address = address.ok_or_else(|| broken("the endpoint did not start"))?;
    Ok((process, address))
}

/// Starts a daemon; returns it with the address of its listener for applications.
fn start_daemon(file: &Path, settings: &str) -> Result<(Process, SocketAddr), CommandError> {
    fs::write(file, settings)?;
    let mut child = this_program()?
        .arg("run-daemon")
        .arg("--settings")
        .arg(file)
        .stderr(Stdio::piped())
        .spawn()?;
    let stderr = child.stderr.take();
    let process = Process(child);
    let mut lines = lines_of(stderr);
    let address = lines.by_ref().find_map(|line| outbound_address(&line));
    let address = address.ok_or_else(|| broken("a daemon did not start"))?;
    // Its log goes on, and must be read on.
    thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
    Ok((process, address))
}

fn this_program() -> Result<Command, CommandError> {
    Ok(Command::new(std::env::current_exe()?))
}

fn lines_of<R: Read>(stream: Option<R>) -> impl Iterator<Item = String> + use<R> {
    let streams = stream.into_iter().map(BufReader::new);
    streams.flat_map(|stream| stream.lines().map_while(Result::ok))
}

/// The address in a daemon's log line about its listener for applications.
pub(super) fn outbound_address(line: &str) -> Option<SocketAddr> {
    if !line.contains(LISTENING) || !line.contains(OUTBOUND) {
        return None;
    }
    let mut words = line.split_whitespace();
    let address = words.find_map(|word| word.strip_prefix(ADDRESS))?;
    address.trim_matches('"').parse().ok()
}

fn wait_for_a_call(gateway: SocketAddr) -> Result<(), CommandError> {
    let until = Instant::now() + PATIENCE;
    loop {
        match load::try_once(gateway) {
            Ok(()) => return Ok(()),
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => thread::sleep(PAUSE),
        }
    }
}

fn broken(text: &str) -> CommandError {
    CommandError::Broken(text.to_owned())
}

/// A bundle whose limits are above the bench's load: what is measured is the way of a call, not
/// how long it waits where a service is full.
fn signed_bundle() -> Result<SignedBundle, CommandError> {
    let failed = |error: &dyn std::fmt::Display| broken(&format!("bundle: {error}"));
    let operator = OperatorKey::from_secret("bench", &[1; 32]).map_err(|e| failed(&e))?;
    let public_key = operator.public_key_hex();
    let text = format!(
        "version = 1\ndeployment = \"latency\"\n\
         [operators]\nrequired_signatures = 1\n\
         [[operators.key]]\nname = \"bench\"\npublic_key = \"{public_key}\"\n\
         [[service]]\nname = \"{SERVICE}\"\n\
         [service.admission]\nqueue_length = 64\nmin_concurrency = 8\nmax_concurrency = 64\n\
         [service.routing]\nmax_connections = 64\n"
    );
    let bundle = parse("latency.toml", &text).map_err(|e| failed(&e))?;
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

fn settings(name: &str, folder: &Path, control: SocketAddr, sections: &str) -> String {
    let data_folder = folder.join(name);
    format!(
        "name = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
         data_folder = {data_folder:?}\ncontrol = [\"{control}\"]\ncalls = [\"{SERVICE}\"]\n\
         [listen]\noutbound = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n{sections}"
    )
}

fn gateway_sections() -> String {
    String::new()
}

fn sidecar_sections(endpoint: SocketAddr) -> String {
    format!(
        "inbound = \"127.0.0.1:0\"\n\
         [endpoint]\nname = \"answers-1\"\nservice = \"{SERVICE}\"\naddress = \"{endpoint}\"\n"
    )
}
