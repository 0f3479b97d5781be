//! A running fleet: starts, stops, kills and freezes its processes.

use super::error::FleetError;
use super::folder::RunFolder;
use super::plan::{Plan, PlannedCaller, PlannedEndpoint, PlannedGateway, PlannedReplica};
use super::process_status::{DEFAULT_TIMEOUT, StatusTable};
use super::settings::{self, DaemonSettings, ReplicaAddresses};
use crate::caller::CallerCommand;
use crate::endpoint::{EndpointChange, EndpointCommand};
use crate::journal::{Event, FaultKind, Journal};
use crate::process::{Child, ChildEvent, ProcessError, Spawn, claim_address};
use bramblewheel_types::RegionName;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc;

/// Time-out of a planned stop. After it the process is killed, which fails the run.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Load that the callers put on the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests per second over all callers.
    pub rate: f64,
    /// Share of the run-once requests that several callers send at the same time.
    pub double_share: f64,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// A fleet of processes. Dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    /// Name of the example deployment.
    pub deployment: String,
    /// Its processes.
    pub plan: Plan,
    /// Status of the processes.
    pub status: StatusTable,
    region: RegionName,
    folder: RunFolder,
    journal: Journal,
    control: BTreeMap<String, ReplicaAddresses>,
    children: Mutex<BTreeMap<String, Arc<Child>>>,
    events: mpsc::UnboundedSender<(String, ChildEvent)>,
}

impl Fleet {
    /// Creates a fleet without starting its processes.
    ///
    /// # Errors
    /// [`FleetError::File`] when a file can't be written or no port is free.
    pub fn new(
        deployment: &str,
        region: RegionName,
        plan: Plan,
        folder: RunFolder,
    ) -> Result<Self, FleetError> {
        let mut control = BTreeMap::new();
        for replica in &plan.replicas {
            let addresses = ReplicaAddresses {
                peer: claim_address()?,
                service: claim_address()?,
            };
            control.insert(replica.name.clone(), addresses);
        }
        let journal = Journal::open(&folder.journal(), "fleet")?;
        write_session_keys(&folder)?;
        let (events, received) = mpsc::unbounded_channel();
        let status = StatusTable::new();
        tokio::spawn(status.clone().apply_events(received, journal.clone()));
        Ok(Self {
            deployment: deployment.to_owned(),
            plan,
            status,
            region,
            folder,
            journal,
            control,
            children: Mutex::default(),
            events,
        })
    }

    /// Returns the folder of the run; to be called after the fleet has stopped.
    pub fn into_folder(self) -> RunFolder {
        self.folder
    }

    /// Service addresses of all control replicas.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control
            .values()
            .map(|addresses| addresses.service)
            .collect()
    }

    /// Service address of one control replica.
    pub fn control_address(&self, replica: &str) -> Option<SocketAddr> {
        self.control.get(replica).map(|addresses| addresses.service)
    }

    /// Starts a control replica.
    ///
    /// # Errors
    /// [`FleetError`] when it can't be started or is not ready in time.
    pub async fn start_replica(&self, replica: &PlannedReplica) -> Result<(), FleetError> {
        let name = &replica.name;
        let addresses = self.control[name];
        let data = self.folder.data(name);
        let text = settings::replica(replica, &self.region, &data, addresses);
        self.start_with_settings(name, "run-control", &text)?;
        self.status.wait_for_listener(name, "service").await?;
        Ok(())
    }

    /// Starts an endpoint and returns its address.
    ///
    /// # Errors
    /// [`FleetError`] when it can't be started or is not ready in time.
    pub async fn start_endpoint(
        &self,
        endpoint: &PlannedEndpoint,
    ) -> Result<SocketAddr, FleetError> {
        let name = &endpoint.name;
        let journal = self.folder.journal().display().to_string();
        let arguments = ["endpoint", "--commands", "--deployment", &self.deployment];
        let arguments = arguments
            .into_iter()
            .chain(["--name", name, "--journal", &journal]);
        self.start(name, arguments.map(str::to_owned).collect())?;
        Ok(self.status.wait_for_listener(name, name).await?)
    }

    /// Starts the daemon of a running endpoint and sends the daemon's address to the endpoint.
    ///
    /// # Errors
    /// [`FleetError`] when it can't be started or is not ready in time.
    pub async fn start_daemon(&self, endpoint: &PlannedEndpoint) -> Result<(), FleetError> {
        let address = self
            .status
            .wait_for_listener(&endpoint.name, &endpoint.name)
            .await?;
        let data = self.folder.data(&endpoint.daemon);
        let control = self.control_addresses();
        let common = self.daemon_settings(&control, &data);
        let text = settings::daemon(endpoint, address, common);
        self.start_with_settings(&endpoint.daemon, "run-daemon", &text)?;
        let outbound = self
            .status
            .wait_for_listener(&endpoint.daemon, "outbound")
            .await?;
        self.change_endpoint(&endpoint.name, EndpointChange::Daemon(outbound))
            .await
    }

    /// Starts a gateway and sends its address to the running callers.
    ///
    /// # Errors
    /// [`FleetError`] when it can't be started or is not ready in time.
    pub async fn start_gateway(&self, gateway: &PlannedGateway) -> Result<(), FleetError> {
        let data = self.folder.data(&gateway.name);
        let control = self.control_addresses();
        let common = self.daemon_settings(&control, &data);
        let text = settings::gateway(gateway, &self.folder.session_keys(), common);
        self.start_with_settings(&gateway.name, "run-daemon", &text)?;
        let address = self
            .status
            .wait_for_listener(&gateway.name, "outbound")
            .await?;
        let name = gateway.name.clone();
        self.send_to_callers(&CallerCommand::Gateway { name, address })
            .await
    }

    /// Starts a caller, which begins to send immediately.
    ///
    /// # Errors
    /// [`FleetError`] when it can't be started.
    pub async fn start_caller(
        &self,
        caller: &PlannedCaller,
        load: Load,
        position: usize,
    ) -> Result<(), FleetError> {
        let rate = load.rate / self.plan.callers.len() as f64;
        let seed = load.seed + position as u64;
        let mut arguments = vec!["caller".to_owned(), "--commands".to_owned()];
        let journal = self.folder.journal().display().to_string();
        let options = [
            ("--deployment", self.deployment.clone()),
            ("--name", caller.name.clone()),
            ("--journal", journal),
            ("--rate", rate.to_string()),
            ("--double-share", load.double_share.to_string()),
            ("--seed", seed.to_string()),
        ];
        for (option, value) in options {
            arguments.extend([option.to_owned(), value]);
        }
        for gateway in &caller.gateways {
            let address = self.status.wait_for_listener(gateway, "outbound").await?;
            arguments.extend(["--gateway".to_owned(), format!("{gateway}={address}")]);
        }
        self.start(&caller.name, arguments)
    }

    /// Sends a command to all running callers.
    ///
    /// # Errors
    /// [`FleetError::Process`] when one has exited.
    pub async fn send_to_callers(&self, command: &CallerCommand) -> Result<(), FleetError> {
        for caller in &self.plan.callers {
            let child = self.children().get(&caller.name).cloned();
            if let Some(child) = child {
                child.send_command(command).await?;
            }
        }
        Ok(())
    }

    /// Sends a change to an endpoint and records it in the journal.
    ///
    /// # Errors
    /// [`FleetError::Process`] when the endpoint has exited.
    pub async fn change_endpoint(
        &self,
        endpoint: &str,
        change: EndpointChange,
    ) -> Result<(), FleetError> {
        let kind = match change {
            EndpointChange::Daemon(_) => None,
            EndpointChange::Slow(_) => Some(FaultKind::SpeedChanged),
            EndpointChange::Leave => Some(FaultKind::Leaving),
            EndpointChange::Return => Some(FaultKind::Returned),
        };
        if let Some(kind) = kind {
            self.record_fault(endpoint, kind);
        }
        let command = EndpointCommand {
            endpoint: endpoint.to_owned(),
            change,
        };
        Ok(self.child(endpoint)?.send_command(&command).await?)
    }

    /// Kills a process and waits for its exit.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub async fn kill(&self, process: &str) -> Result<(), FleetError> {
        let child = self.child(process)?;
        self.record_fault(process, FaultKind::Killed);
        child.kill().await;
        Ok(self.status.wait_for_exit(process, DEFAULT_TIMEOUT).await?)
    }

    /// Asks a process to stop and waits for its exit. A process that does not stop in time is killed, which the
    /// checkers report as a violation.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub async fn stop(&self, process: &str) -> Result<(), FleetError> {
        let child = self.child(process)?;
        self.record_fault(process, FaultKind::PlannedStop);
        child.signal(Signal::TERM)?;
        if self
            .status
            .wait_for_exit(process, STOP_TIMEOUT)
            .await
            .is_err()
        {
            child.kill().await;
        }
        Ok(self.status.wait_for_exit(process, DEFAULT_TIMEOUT).await?)
    }

    /// Suspends a process with SIGSTOP.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub fn freeze(&self, process: &str) -> Result<(), FleetError> {
        self.record_fault(process, FaultKind::Frozen);
        Ok(self.child(process)?.signal(Signal::STOP)?)
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub fn thaw(&self, process: &str) -> Result<(), FleetError> {
        self.record_fault(process, FaultKind::Thawed);
        Ok(self.child(process)?.signal(Signal::CONT)?)
    }

    /// Deletes the data folder of a process that has exited.
    ///
    /// # Errors
    /// [`FleetError::File`] when the folder can't be removed.
    pub fn delete_data(&self, process: &str) -> Result<(), FleetError> {
        Ok(fs::remove_dir_all(self.folder.data(process))?)
    }

    /// Kills all processes that still run and waits for their exit, without a record in the journal.
    pub async fn kill_all(&self) {
        let children: Vec<_> = self.children().values().cloned().collect();
        for child in children {
            child.kill().await;
        }
    }

    fn child(&self, process: &str) -> Result<Arc<Child>, FleetError> {
        let found = self.children().get(process).cloned();
        let name = process.to_owned();
        Ok(found.ok_or(ProcessError::NotRunning { name })?)
    }

    fn start_with_settings(&self, name: &str, command: &str, text: &str) -> Result<(), FleetError> {
        let file = self.folder.settings(name);
        fs::write(&file, text)?;
        let arguments = [command, "--settings", &file.display().to_string()];
        self.start(name, arguments.map(str::to_owned).to_vec())
    }

    fn start(&self, name: &str, arguments: Vec<String>) -> Result<(), FleetError> {
        self.status.reset(name);
        let spawn = Spawn {
            name: name.to_owned(),
            arguments,
            log: self.folder.log(name),
        };
        let child = Child::start(spawn, self.events.clone())?;
        self.record_fault(name, FaultKind::Started);
        self.children().insert(name.to_owned(), Arc::new(child));
        Ok(())
    }

    fn record_fault(&self, process: &str, kind: FaultKind) {
        let process = process.to_owned();
        self.journal.write(Event::Fault { process, kind });
    }

    fn daemon_settings<'a>(
        &'a self,
        control: &'a [SocketAddr],
        data: &'a std::path::Path,
    ) -> DaemonSettings<'a> {
        DaemonSettings {
            region: &self.region,
            control,
            data,
        }
    }

    fn children(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Child>>> {
        self.children.lock().expect("no holder of the lock panics")
    }
}

fn write_session_keys(folder: &RunFolder) -> Result<(), FleetError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(std::io::Error::other)?;
    let text = format!("1 {}\n", hex::encode(secret));
    Ok(fs::write(folder.session_keys(), text)?)
}
