//! Puts a replica together and starts it.

use super::error::StartError;
use super::founding::founding;
use super::handle::{BoundAddresses, ControlHandle};
use super::input::Input;
use super::listeners::{spawn_admin, spawn_peer, spawn_service};
use super::node_thread::NodeThread;
use super::peer_out::PeerSenders;
use super::spare_offers::spawn_spare_offers;
use crate::clock::Clock;
use crate::node::{ControlNode, Durable, NodeConfig};
use crate::settings::Settings;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::{ReplicaId, RestoredState};
use bramblewheel_storage::{DiskFileSystem, FileSystem, StorageConfig};
use slog::Logger;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc as blocking;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Election timeouts that a planned stop may take to hand leadership over.
const STOP_ELECTIONS: u32 = 4;
/// File that is locked while a process uses the data folder.
const LOCK_FILE: &str = "lock";

/// Starts a replica; returns once it listens.
///
/// # Errors
/// [`StartError`] when a listener or the data folder can't be used.
pub async fn start(settings: Settings, log: Logger) -> Result<ControlHandle, StartError> {
    start_on(DiskFileSystem, settings, log).await
}

/// Starts a replica on another file layer than the disk; the data folder on disk only holds the
/// lock.
///
/// # Errors
/// [`StartError`] when a listener or the data folder can't be used.
pub async fn start_on<F>(
    files: F,
    settings: Settings,
    log: Logger,
) -> Result<ControlHandle, StartError>
where
    F: FileSystem + Send + 'static,
    F::File: Send,
{
    let lock = lock_folder(&settings.data_folder)?;
    let founding = founding(&settings);
    let fresh = match &founding {
        Some(founding) => ReplicaId(founding.own),
        None => ReplicaId(getrandom::u64()?),
    };
    let storage = StorageConfig::new(&settings.data_folder);
    let name = settings.name.as_str();
    let (durable, restored) = Durable::open(files, storage, name, fresh)?;
    let listen = &settings.listen;
    let peer = bind("peer", listen.bound(listen.peer), &log).await?;
    let service = bind("service", listen.bound(listen.service), &log).await?;
    let admin = bind("admin", listen.bound(listen.admin), &log).await?;
    let addresses = BoundAddresses {
        peer: listen.known(listen.peer, peer.1),
        service: listen.known(listen.service, service.1),
        admin: listen.known(listen.admin, admin.1),
    };
    let (inputs, to_node) = blocking::channel();
    let mut thread = assemble(&settings, addresses, durable, restored, to_node, &log)?;
    if let Some(founding) = founding {
        founding.begin(&mut thread, &log);
    }
    let replica = thread.own.0;
    let (ended_sender, ended) = oneshot::channel();
    std::thread::Builder::new()
        .name("node".to_owned())
        .spawn(move || {
            let log = thread.log.clone();
            let result = thread.run();
            if let Err(error) = &result {
                slog::error!(log, "replica stopped"; "reason" => "storage", "error" => %error);
            }
            drop(lock);
            // Nobody waits when the handle was dropped.
            let _ = ended_sender.send(result);
        })
        .map_err(StartError::Thread)?;
    let stop = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    spawn_peer(&mut tasks, peer.0, &inputs, &stop, &log);
    spawn_service(&mut tasks, service.0, &inputs, &stop, &log);
    let limits = settings.admin;
    let interval = Duration::from_millis(settings.spare.offer_interval_ms);
    let offer_to = watch::Sender::new(settings.spare.offer_to);
    spawn_spare_offers(&mut tasks, offer_to.subscribe(), interval, &inputs, &stop);
    spawn_admin(&mut tasks, admin.0, limits, &inputs, &stop, &log);
    Ok(ControlHandle {
        replica,
        addresses,
        inputs,
        ended,
        stop,
        offer_to,
        tasks,
    })
}

fn lock_folder(folder: &Path) -> Result<File, StartError> {
    let path = folder.join(LOCK_FILE);
    let locked = |reason: String| StartError::Locked {
        path: path.clone(),
        reason,
    };
    std::fs::create_dir_all(folder).map_err(|error| locked(error.to_string()))?;
    let file = File::create(&path).map_err(|error| locked(error.to_string()))?;
    file.try_lock()
        .map_err(|error| locked(format!("in use by another process ({error})")))?;
    Ok(file)
}

async fn bind(
    listener: &'static str,
    address: SocketAddr,
    log: &Logger,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Bind {
        listener,
        address,
        error,
    };
    let socket = TcpListener::bind(address).await.map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    slog::info!(log, "listening"; "address" => bound.to_string(), "listener" => listener);
    Ok((socket, bound))
}

fn assemble<F: FileSystem>(
    settings: &Settings,
    addresses: BoundAddresses,
    durable: Durable<F>,
    restored: RestoredState,
    inputs: blocking::Receiver<Input>,
    log: &Logger,
) -> Result<NodeThread<F>, StartError> {
    let own = durable.identity().replica;
    let address = ReplicaAddress {
        replica: own.0,
        name: settings.name.to_string(),
        peer: addresses.peer,
        service: addresses.service,
    };
    let config = NodeConfig {
        address: address.clone(),
        heartbeat: settings.timing.heartbeat(),
        election: settings.timing.election(),
        daemon_lease: settings.timing.daemon_lease(),
        snapshot_interval: settings.storage.snapshot_interval,
        seed: getrandom::u64()?,
    };
    let clock = Clock::start();
    let mut node = ControlNode::new(config, restored, clock.now())?;
    if let Some(policy) = settings.spare.policy() {
        node.replace_silent_voters(policy);
    }
    if settings.formation.unsigned_tables {
        slog::warn!(log, "route tables are taken without signatures"; "key" => "unsigned_tables");
        node.take_unsigned_tables();
    }
    slog::info!(log, "replica opened"; "replica" => format!("{:016x}", own.0),
        "group" => durable.identity().group.map(|group| format!("{group:016x}")),
        "index" => node.replica().last_index().0);
    Ok(NodeThread {
        node,
        durable,
        inputs,
        clock,
        peers: PeerSenders::new(address, Handle::current(), log.clone()),
        own,
        stop_timeout: settings.timing.election() * STOP_ELECTIONS,
        log: log.clone(),
    })
}
