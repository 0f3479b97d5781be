//! Manages the processes of a soak: addresses, settings, relays, starts and signals.

use crate::host_controls::HostControls;
use crate::plan::Machine;
use crate::relay::Relay;
use crate::signal_handlers;
use bramblewheel_platform_client::SERVICES;
use rustix::process::{Pid, Signal};
use std::fs::{self, OpenOptions};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::process::{Child, Command};

/// First port that the programs assign to their own listeners.
const FIRST_PORT: u16 = 7620;
const SERVICE_PORT: u16 = FIRST_PORT + 1;
const INBOUND_PORT: u16 = 8300;
const READY_PORT: u16 = 8302;
const OUTBOUND_PORT: u16 = 8304;
const ADMIN_PORT: u16 = 8306;
/// Grace time of a planned stop.
pub const GRACE_TIME: Duration = Duration::from_secs(6);
/// Third byte of the addresses that relays listen on at first.
const FIRST_SUBNET: u8 = 1;
/// Third byte of the addresses that processes bind.
const BOUND_SUBNET: u8 = 2;
/// Third byte of the addresses that relays listen on after a move, less the number of moves.
const MOVED_SUBNET: u8 = 2;
/// Last byte of the address of the first machine of each kind.
const CONTROL_HOST: u8 = 10;
const DAEMON_HOST: u8 = 50;

/// The soak can't continue.
#[derive(Debug, Error)]
pub enum FleetError {
    /// An operation on a file, address or process failed.
    #[error("{context}: {error}")]
    Io {
        /// File, address or program concerned.
        context: String,
        /// Error of the operating system.
        error: io::Error,
    },
}

fn io_error(context: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let context = context.into();
    |error| FleetError::Io { context, error }
}

/// Addresses of the machines. Each has two: the advertised one, where its relays listen, and the one that its
/// process binds.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Second byte of all addresses; soaks that run side by side need different ones.
    pub network: u8,
}

impl Addresses {
    fn host(machine: Machine) -> u8 {
        let (first, number) = match machine {
            Machine::Control(number) => (CONTROL_HOST, number),
            Machine::Daemon(number) => (DAEMON_HOST, number),
        };
        first
            + u8::try_from(number)
                .expect("the machine's number fits into the last byte of an address")
    }

    /// The advertised address, where the relays listen. `moves` counts how often the machine was replaced by one at a
    /// new address.
    pub fn advertised(&self, machine: Machine, moves: u8) -> IpAddr {
        let subnet = match moves {
            0 => FIRST_SUBNET,
            moves => MOVED_SUBNET + moves,
        };
        Ipv4Addr::new(127, self.network, subnet, Self::host(machine)).into()
    }

    /// The address that the process binds.
    pub fn bound(&self, machine: Machine) -> IpAddr {
        Ipv4Addr::new(127, self.network, BOUND_SUBNET, Self::host(machine)).into()
    }

    /// Where callers and the endpoint send their requests.
    pub fn outbound(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.bound(Machine::Daemon(daemon)), OUTBOUND_PORT)
    }

    /// Where a daemon reports whether it is ready.
    pub fn ready(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.bound(Machine::Daemon(daemon)), READY_PORT)
    }

    /// Where endpoints send heartbeats to a daemon, and operators send changes to a control replica.
    pub fn admin(&self, machine: Machine) -> SocketAddr {
        SocketAddr::new(self.bound(machine), ADMIN_PORT)
    }
}

/// The programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Program of all processes, unless `earlier_replica` applies.
    pub current: PathBuf,
    /// Program that control replicas run on their first start, if it is a different one.
    pub earlier_replica: Option<PathBuf>,
}

impl Programs {
    fn for_start(&self, machine: Machine, is_first_start: bool) -> &Path {
        let earlier = self.earlier_replica.as_ref();
        match (machine, earlier) {
            (Machine::Control(_), Some(earlier)) if is_first_start => earlier,
            _ => &self.current,
        }
    }
}

/// One machine: its relays, its files and its process.
#[derive(Debug)]
pub struct Host {
    machine: Machine,
    addresses: Addresses,
    /// How often the machine was replaced by one at a new address.
    moves: u8,
    controls: HostControls,
    programs: Programs,
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
    /// Number of services.
    services: usize,
    is_first_start: bool,
    reloads: u32,
    child: Option<Child>,
}

impl Host {
    /// Prepares a machine and starts its relays.
    ///
    /// # Errors
    /// When an address or the folder can't be used.
    pub async fn prepare(
        machine: Machine,
        addresses: Addresses,
        replicas: usize,
        services: usize,
        programs: &Programs,
        folder: &Path,
    ) -> Result<Self, FleetError> {
        let seed = |number| {
            let address = addresses.advertised(Machine::Control(number), 0);
            SocketAddr::new(address, ADMIN_PORT)
        };
        let folder = folder.join(Self::name_of(machine));
        let controls = HostControls::default();
        controls.replace_relays(Self::start_relays(addresses, machine, 0).await?);
        fs::create_dir_all(&folder).map_err(io_error(folder.display().to_string()))?;
        Ok(Self {
            machine,
            addresses,
            moves: 0,
            controls,
            programs: programs.clone(),
            folder,
            seeds: (0..replicas).map(seed).collect(),
            services,
            is_first_start: true,
            reloads: 0,
            child: None,
        })
    }

    async fn start_relays(
        addresses: Addresses,
        machine: Machine,
        moves: u8,
    ) -> Result<Vec<Relay>, FleetError> {
        let ports = match machine {
            Machine::Control(_) => [FIRST_PORT, SERVICE_PORT].as_slice(),
            Machine::Daemon(_) => [INBOUND_PORT].as_slice(),
        };
        let mut relays = Vec::new();
        for port in ports {
            let advertised = SocketAddr::new(addresses.advertised(machine, moves), *port);
            let target = SocketAddr::new(addresses.bound(machine), *port);
            let relay = Relay::start(advertised, target).await;
            relays.push(relay.map_err(io_error(format!("relay at {advertised}")))?);
        }
        Ok(relays)
    }

    /// Takes the machine out of its advertised address and gives it a new one; returns that. The process must not run.
    ///
    /// # Errors
    /// When the new address can't be used.
    pub async fn move_to_new_address(&mut self) -> Result<SocketAddr, FleetError> {
        for relay in self.controls.replace_relays(Vec::new()) {
            relay.close();
        }
        self.moves += 1;
        let relays = Self::start_relays(self.addresses, self.machine, self.moves).await?;
        self.controls.replace_relays(relays);
        let address = self.addresses.advertised(self.machine, self.moves);
        Ok(SocketAddr::new(address, ADMIN_PORT))
    }

    /// Replaces the seed of a control replica, from the next start or reload on.
    pub fn set_seed(&mut self, replica: usize, address: SocketAddr) {
        self.seeds[replica] = address;
    }

    fn name_of(machine: Machine) -> String {
        match machine {
            Machine::Control(number) => format!("control-{number}"),
            Machine::Daemon(number) => format!("daemon-{number}"),
        }
    }

    fn settings(&self) -> String {
        let advertised = self.addresses.advertised(self.machine, self.moves);
        let bound = self.addresses.bound(self.machine);
        let name = Self::name_of(self.machine);
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let listen = match self.machine {
            Machine::Control(_) => String::new(),
            Machine::Daemon(_) => format!(
                "inbound = \"{advertised}:{INBOUND_PORT}\"\noutbound = \"{bound}:{OUTBOUND_PORT}\"\n\
                 ready = \"{bound}:{READY_PORT}\"\n"
            ),
        };
        let (service, data) = match self.machine {
            Machine::Control(_) => ("", self.folder.join("data").display().to_string()),
            Machine::Daemon(number) => (service_of(number, self.services), String::new()),
        };
        let (first_start, reloads) = (self.is_first_start, self.reloads);
        let (seeds, grace) = (seeds.join(", "), GRACE_TIME.as_secs());
        format!(
            "# change {reloads}\nname = \"{name}\"\nzone = \"north\"\nregion = \"west\"\n\
             address = \"{advertised}\"\nbind = \"{bound}\"\nfirst_port = {FIRST_PORT}\n\
             service = \"{service}\"\ndata_folder = \"{data}\"\nfirst_start = {first_start}\n\
             seeds = [{seeds}]\nheartbeat_ms = 500\nstop_grace_s = {grace}\n\
             [listen]\n{listen}admin = \"{bound}:{ADMIN_PORT}\"\n\
             [retry]\nratio = 0.2\nslack = 20\nwindow_s = 10\n"
        )
    }

    fn write_settings(&self) -> Result<PathBuf, FleetError> {
        let file = self.folder.join("settings.toml");
        fs::write(&file, self.settings()).map_err(io_error(file.display().to_string()))?;
        Ok(file)
    }

    /// Starts the process; its log is appended to that of earlier processes.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start(&mut self) -> Result<(), FleetError> {
        let settings = self.write_settings()?;
        let program = self.programs.for_start(self.machine, self.is_first_start);
        let file = self.folder.join("log");
        let log = OpenOptions::new().create(true).append(true).open(&file);
        let log = log.map_err(io_error(file.display().to_string()))?;
        let errors = log.try_clone().map_err(io_error("log"))?;
        let role = match self.machine {
            Machine::Control(_) => "control",
            Machine::Daemon(_) => "daemon",
        };
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .arg(role)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .kill_on_drop(true)
            .spawn()
            .map_err(io_error(program.display().to_string()))?;
        self.set_child(Some(child));
        self.is_first_start = false;
        Ok(())
    }

    /// Waits until the started process has set up its signal handlers; a signal that comes earlier would end it.
    pub async fn wait_for_signal_handlers(&self) {
        if let Some(process) = self.child.as_ref().and_then(Child::id) {
            signal_handlers::wait_for(process).await;
        }
    }

    /// Controls that also work while the host is in use.
    pub fn controls(&self) -> HostControls {
        self.controls.clone()
    }

    /// Folder with the settings, the data and the log.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn set_child(&mut self, child: Option<Child>) {
        let id = child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| i32::try_from(id).ok());
        self.controls.set_process(pid.and_then(Pid::from_raw));
        self.child = child;
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        self.controls.signal(signal);
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill().await;
        }
        self.set_child(None);
    }

    /// Makes a planned stop, and kills the process at the end of the grace time. Returns whether the process exited with
    /// success within the grace time, or was not running.
    pub async fn stop(&mut self) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let exit = tokio::time::timeout(GRACE_TIME, child.wait()).await;
        let has_exited_cleanly = matches!(&exit, Ok(Ok(status)) if status.success());
        if exit.is_err() {
            let _ = child.kill().await;
        }
        self.set_child(None);
        has_exited_cleanly
    }

    /// Whether the process has exited without being stopped or killed by the soak.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        let has_ended = child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if has_ended {
            self.controls.set_process(None);
        }
        has_ended
    }

    /// Deletes the data folder.
    ///
    /// # Errors
    /// When that fails.
    pub fn wipe(&self) -> Result<(), FleetError> {
        let data = self.folder.join("data");
        match fs::remove_dir_all(&data) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(io_error(data.display().to_string())(error))
            }
            _ => Ok(()),
        }
    }

    /// Changes the settings file and sends the process a reload signal.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn reload(&mut self) -> Result<(), FleetError> {
        self.reloads += 1;
        self.write_settings()?;
        self.signal(Signal::HUP);
        Ok(())
    }
}

/// The service of the endpoint beside a daemon, given the number of services.
pub fn service_of(daemon: usize, services: usize) -> &'static str {
    SERVICES[daemon % services]
}
