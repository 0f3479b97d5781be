//! A real control group: three replicas, each a process, with logs on disk.

use super::deployment::{REGIONS, region_name, zone_name};
use super::usage::Usage;
use crate::error::CommandError;
use crate::process::{Child, Spawn, claim_address};
use bramblewheel_protocol::control::{
    BootstrapRequest, GroupStatus, LogPosition, PublishReply, ReplicaAddress, ReplyBody,
    RequestBody, SignedBundle,
};
use bramblewheel_protocol::{ControlClient, request_any};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Voters. With one of three replicas lost the two others carry all daemons.
pub const VOTERS: usize = 3;
/// Group number; the bench's own.
const GROUP: u64 = 1;
/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

struct Replica {
    name: String,
    settings: PathBuf,
    service: SocketAddr,
    process: Option<(Child, u32)>,
}

/// A control group of the bench's own processes. Dropping it ends them.
pub struct Group {
    folder: PathBuf,
    replicas: Vec<Replica>,
}

impl Group {
    /// Starts the replicas with empty folders below `folder` and makes them a group.
    ///
    /// # Errors
    /// [`CommandError::Broken`] when a step fails.
    pub async fn start(folder: &Path, bundle: SignedBundle) -> Result<Self, CommandError> {
        let mut group = Self {
            folder: folder.to_owned(),
            replicas: Vec::new(),
        };
        for number in 0..VOTERS {
            let replica = group.prepare(number)?;
            group.replicas.push(replica);
            group.start_replica(number)?;
        }
        group.bootstrap(bundle).await?;
        group.leader().await?;
        Ok(group)
    }

    fn prepare(&self, number: usize) -> Result<Replica, CommandError> {
        let name = format!("control-{number}");
        let service = claim_address()?;
        let peer = claim_address()?;
        let zone = zone_name(number);
        let region = region_name(number % REGIONS);
        let data = self.folder.join(&name);
        let settings = self.folder.join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ndata_folder = {data:?}\n\
             [listen]\npeer = \"{peer}\"\nservice = \"{service}\"\nadmin = \"127.0.0.1:0\"\n"
        );
        std::fs::write(&settings, text)?;
        Ok(Replica {
            name,
            settings,
            service,
            process: None,
        })
    }

    /// Starts a replica's process, anew after [`kill`](Self::kill).
    ///
    /// # Errors
    /// [`CommandError::Broken`] when it can't be started.
    pub fn start_replica(&mut self, number: usize) -> Result<(), CommandError> {
        let log = self.folder.join(format!("control-{number}.log"));
        let replica = &mut self.replicas[number];
        let settings = replica.settings.display().to_string();
        replica.process = Some(start_process(
            &replica.name,
            ["run-control", "--settings", &settings],
            log,
        )?);
        Ok(())
    }

    async fn bootstrap(&self, bundle: SignedBundle) -> Result<(), CommandError> {
        let mut voters: Vec<ReplicaAddress> = Vec::new();
        for address in self.services() {
            voters.push(group_status(address).await?.replica);
        }
        let request = BootstrapRequest {
            group: GROUP,
            voters,
            bundle,
        };
        for address in self.services() {
            let body = RequestBody::Bootstrap(request.clone());
            match request_any(&[address], &body, PATIENCE).await {
                Ok(ReplyBody::Done) => {}
                other => return Err(CommandError::Broken(format!("bootstrap: {other:?}"))),
            }
        }
        Ok(())
    }

    /// Service addresses of the replicas, in order.
    pub fn services(&self) -> Vec<SocketAddr> {
        self.replicas
            .iter()
            .map(|replica| replica.service)
            .collect()
    }

    /// Waits for a leader with a quorum and gives its number.
    ///
    /// # Errors
    /// [`CommandError::Broken`] when there is none in time.
    pub async fn leader(&self) -> Result<usize, CommandError> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            for (number, replica) in self.replicas.iter().enumerate() {
                if replica.process.is_some()
                    && let Some(status) = status_once(replica.service).await
                    && status.has_quorum
                    && status.leader == Some(status.replica.replica)
                {
                    return Ok(number);
                }
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Err(CommandError::Broken("no leader in time".to_owned()))
    }

    /// Term as a replica knows it.
    ///
    /// # Errors
    /// [`CommandError::Broken`] when it does not answer.
    pub async fn term(&self, number: usize) -> Result<u64, CommandError> {
        Ok(group_status(self.replicas[number].service).await?.term)
    }

    /// Kills a replica's process at once.
    pub async fn kill(&mut self, number: usize) {
        if let Some((process, _)) = self.replicas[number].process.take() {
            process.kill().await;
        }
    }

    /// Waits until a replica has applied all that another one has.
    ///
    /// # Errors
    /// [`CommandError::Broken`] when that takes too long.
    pub async fn caught_up(&self, number: usize, other: usize) -> Result<Duration, CommandError> {
        let start = Instant::now();
        let goal = group_status(self.replicas[other].service).await?.position;
        while start.elapsed() < PATIENCE {
            let status = status_once(self.replicas[number].service).await;
            if status.is_some_and(|status| status.position >= goal) {
                return Ok(start.elapsed());
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Err(CommandError::Broken(
            "a replica did not catch up".to_owned(),
        ))
    }

    /// What each replica's process has used; none for one that does not run.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn usage(&self) -> Result<Vec<Option<Usage>>, CommandError> {
        let of = |replica: &Replica| match &replica.process {
            Some((_, pid)) => Usage::of(*pid).map(Some),
            None => Ok(None),
        };
        let usage: Result<Vec<_>, _> = self.replicas.iter().map(of).collect();
        Ok(usage?)
    }

    /// Publishes a bundle; returns once it is accepted.
    ///
    /// # Errors
    /// [`CommandError::CheckFailed`] when it is not accepted.
    pub async fn publish(&self, bundle: SignedBundle) -> Result<LogPosition, CommandError> {
        let body = RequestBody::Publish(bundle);
        match request_any(&self.services(), &body, PATIENCE).await {
            Ok(ReplyBody::Publish(PublishReply::Accepted { position })) => Ok(position),
            other => Err(CommandError::CheckFailed(format!("publish: {other:?}"))),
        }
    }
}

/// Starts the lab itself with other arguments; its news is not looked at.
///
/// # Errors
/// [`CommandError::Broken`] when it can't be started.
pub fn start_process<const N: usize>(
    name: &str,
    arguments: [&str; N],
    log: PathBuf,
) -> Result<(Child, u32), CommandError> {
    let spawn = Spawn {
        name: name.to_owned(),
        arguments: arguments.map(str::to_owned).to_vec(),
        log,
    };
    let (events, _) = mpsc::unbounded_channel();
    let child =
        Child::start(spawn, events).map_err(|error| CommandError::Broken(error.to_string()))?;
    let pid = child.id();
    Ok((child, pid))
}

async fn status_once(address: SocketAddr) -> Option<GroupStatus> {
    let mut client = ControlClient::connect(address).await.ok()?;
    let wait = Duration::from_secs(1);
    match client.request(RequestBody::GroupStatus, wait).await {
        Ok(ReplyBody::GroupStatus(status)) => Some(status),
        _ => None,
    }
}

async fn group_status(address: SocketAddr) -> Result<GroupStatus, CommandError> {
    match request_any(&[address], &RequestBody::GroupStatus, PATIENCE).await {
        Ok(ReplyBody::GroupStatus(status)) => Ok(status),
        other => Err(CommandError::Broken(format!("group status: {other:?}"))),
    }
}
