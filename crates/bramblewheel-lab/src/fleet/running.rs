//! A fleet that runs: start and stop of its processes, one by one.

use super::board::{Board, PATIENCE};
use super::error::FleetError;
use super::folder::RunFolder;
use super::plan::{Plan, PlannedCaller, PlannedEndpoint, PlannedGateway, PlannedReplica};
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

/// Longest time of a planned stop before the process is killed, which fails the run.
const STOP_PATIENCE: Duration = Duration::from_secs(30);

/// How the callers load the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests a second, over all callers.
    pub rate: f64,
    /// Share of the run-once requests that several callers send at the same time.
    pub double_share: f64,
    /// Seed.
    pub seed: u64,
}

/// A fleet. Dropping it kills its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Name of the example deployment.
    pub deployment: String,
    /// Its processes.
    pub plan: Plan,
    /// What they have logged.
    pub board: Board,
    region: RegionName,
    folder: RunFolder,
    journal: Journal,
    control: BTreeMap<String, ReplicaAddresses>,
    children: Mutex<BTreeMap<String, Arc<Child>>>,
    events: mpsc::UnboundedSender<(String, ChildEvent)>,
}

impl Fleet {
    /// A fleet of which nothing runs yet.
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
        let board = Board::new();
        tokio::spawn(board.clone().follow(received, journal.clone()));
        Ok(Self {
            deployment: deployment.to_owned(),
            plan,
            board,
            region,
            folder,
            journal,
            control,
            children: Mutex::default(),
            events,
        })
    }

    /// Gives the folder up once the fleet has stopped.
    pub fn into_folder(self) -> RunFolder {
        self.folder
    }

    /// Service addresses of all control replicas.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.control
            .values()
            .map(|addresses| addresses.service)
            .collect()
    }

    /// Service address of one control replica.
    pub fn control_of(&self, replica: &str) -> Option<SocketAddr> {
        self.control.get(replica).map(|addresses| addresses.service)
    }

    /// Starts a control replica.
    ///
    /// # Errors
    /// [`FleetError`] when it does not come up.
    pub async fn start_replica(&self, replica: &PlannedReplica) -> Result<(), FleetError> {
        let name = &replica.name;
        let addresses = self.control[name];
        let data = self.folder.data(name);
        let text = settings::replica(replica, &self.region, &data, addresses);
        self.start_with_settings(name, "run-control", &text)?;
        self.board.listening(name, "service").await?;
        Ok(())
    }

    /// Starts an endpoint and returns its address.
    ///
    /// # Errors
    /// [`FleetError`] when it does not come up.
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
        Ok(self.board.listening(name, name).await?)
    }

    /// Starts the daemon of a running endpoint, and tells the endpoint.
    ///
    /// # Errors
    /// [`FleetError`] when it does not come up.
    pub async fn start_daemon(&self, endpoint: &PlannedEndpoint) -> Result<(), FleetError> {
        let address = self.board.listening(&endpoint.name, &endpoint.name).await?;
        let data = self.folder.data(&endpoint.daemon);
        let control = self.control();
        let common = self.daemon_settings(&control, &data);
        let text = settings::daemon(endpoint, address, common);
        self.start_with_settings(&endpoint.daemon, "run-daemon", &text)?;
        let outbound = self.board.listening(&endpoint.daemon, "outbound").await?;
        self.change_endpoint(&endpoint.name, EndpointChange::Daemon(outbound))
            .await
    }

    /// Starts a gateway, and tells the callers that run.
    ///
    /// # Errors
    /// [`FleetError`] when it does not come up.
    pub async fn start_gateway(&self, gateway: &PlannedGateway) -> Result<(), FleetError> {
        let data = self.folder.data(&gateway.name);
        let control = self.control();
        let common = self.daemon_settings(&control, &data);
        let text = settings::gateway(gateway, &self.folder.session_keys(), common);
        self.start_with_settings(&gateway.name, "run-daemon", &text)?;
        let address = self.board.listening(&gateway.name, "outbound").await?;
        let name = gateway.name.clone();
        self.tell_callers(&CallerCommand::Gateway { name, address })
            .await
    }

    /// Starts a caller, which begins to send at once.
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
            let address = self.board.listening(gateway, "outbound").await?;
            arguments.extend(["--gateway".to_owned(), format!("{gateway}={address}")]);
        }
        self.start(&caller.name, arguments)
    }

    /// Tells all callers that run something.
    ///
    /// # Errors
    /// [`FleetError::Process`] when one has gone.
    pub async fn tell_callers(&self, command: &CallerCommand) -> Result<(), FleetError> {
        for caller in &self.plan.callers {
            let child = self.children().get(&caller.name).cloned();
            if let Some(child) = child {
                child.tell(command).await?;
            }
        }
        Ok(())
    }

    /// Tells an endpoint to change, and writes it down.
    ///
    /// # Errors
    /// [`FleetError::Process`] when it has gone.
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
            self.write_fault(endpoint, kind);
        }
        let command = EndpointCommand {
            endpoint: endpoint.to_owned(),
            change,
        };
        Ok(self.child(endpoint)?.tell(&command).await?)
    }

    /// Kills a process and waits for its end.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub async fn kill(&self, process: &str) -> Result<(), FleetError> {
        let child = self.child(process)?;
        self.write_fault(process, FaultKind::Killed);
        child.kill().await;
        Ok(self.board.ended(process, PATIENCE).await?)
    }

    /// Asks a process to stop and waits for its end. One that does not end is killed, which the
    /// checkers will find.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub async fn stop(&self, process: &str) -> Result<(), FleetError> {
        let child = self.child(process)?;
        self.write_fault(process, FaultKind::PlannedStop);
        child.signal(Signal::TERM)?;
        if self.board.ended(process, STOP_PATIENCE).await.is_err() {
            child.kill().await;
        }
        Ok(self.board.ended(process, PATIENCE).await?)
    }

    /// Stops a process for a while without its knowledge.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub fn freeze(&self, process: &str) -> Result<(), FleetError> {
        self.write_fault(process, FaultKind::Frozen);
        Ok(self.child(process)?.signal(Signal::STOP)?)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// [`FleetError`] when it is not running.
    pub fn thaw(&self, process: &str) -> Result<(), FleetError> {
        self.write_fault(process, FaultKind::Thawed);
        Ok(self.child(process)?.signal(Signal::CONT)?)
    }

    /// Removes all that a process that has ended kept on disk.
    ///
    /// # Errors
    /// [`FleetError::File`].
    pub fn wipe(&self, process: &str) -> Result<(), FleetError> {
        Ok(fs::remove_dir_all(self.folder.data(process))?)
    }

    /// Kills what still runs and waits for its end; nothing is written down.
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
        self.board.begin(name);
        let spawn = Spawn {
            name: name.to_owned(),
            arguments,
            log: self.folder.log(name),
        };
        let child = Child::start(spawn, self.events.clone())?;
        self.write_fault(name, FaultKind::Started);
        self.children().insert(name.to_owned(), Arc::new(child));
        Ok(())
    }

    fn write_fault(&self, process: &str, kind: FaultKind) {
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
        self.children.lock().expect("nothing panics under the lock")
    }
}

fn write_session_keys(folder: &RunFolder) -> Result<(), FleetError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(std::io::Error::other)?;
    let text = format!("1 {}\n", hex::encode(secret));
    Ok(fs::write(folder.session_keys(), text)?)
}
