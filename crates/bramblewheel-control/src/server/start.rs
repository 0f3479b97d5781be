//! Starts a replica from its settings, which must have been checked.
//!
//! Order: lock and open the data folder, bind the listeners, start the node's thread, serve.

use super::connection_metrics::ConnectionMetrics;
use super::error::StartError;
use super::founding::{Founding, founding};
use super::handle::{BoundAddresses, ControlHandle};
use super::input::Input;
use super::listeners::{AdminListener, Listeners};
use super::node_thread::NodeThread;
use super::opening::Opening;
use super::peer_out::PeerSenders;
use super::peer_refusals::PeerRefusals;
use super::spare_offers::spawn_spare_offers;
use super::usage_file::{self, UsageWriter};
use crate::clock::Clock;
use crate::node::{ControlNode, Durable, NodeConfig};
use crate::settings::Settings;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::{ReplicaId, RestoredState};
use bramblewheel_storage::{DiskFileSystem, FileSystem, StorageConfig, StorageError};
use slog::Logger;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::mpsc as blocking;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Election timeouts within which a planned stop must have transferred leadership.
const STOP_ELECTIONS: u32 = 4;
/// Name of the file that is locked while a process uses the data folder.
const LOCK_FILE: &str = "lock";

/// Starts a replica. Returns once it listens. While the disk is full it waits, and only the admin listener
/// answers.
///
/// # Errors
/// [`StartError`] if a listener or the data folder can't be used.
pub async fn start(settings: Settings, log: Logger) -> Result<ControlHandle, StartError> {
    start_on(DiskFileSystem, settings, log).await
}

/// Starts a replica on the given [`FileSystem`]. The data folder on disk is still used for the lock.
///
/// # Errors
/// [`StartError`] if a listener or the data folder can't be used.
pub async fn start_on<F>(
    files: F,
    settings: Settings,
    log: Logger,
) -> Result<ControlHandle, StartError>
where
    F: FileSystem + Clone + Send + 'static,
    F::File: Send,
{
    let mut early_lock = lock_unless_full(&settings.data_folder)?;
    let founding = founding(&settings);
    let (inputs, to_node) = blocking::channel();
    let stop = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    let admin = AdminListener::bind(&settings.listen, &log).await?;
    let connections = ConnectionMetrics::default();
    let admin = admin.serve(
        &mut tasks,
        settings.admin,
        &inputs,
        &connections,
        &stop,
        &log,
    );
    let opening = Opening::new(to_node, log.clone());
    let lock = || match early_lock.take() {
        Some(lock) => Ok(lock),
        None => lock_folder(&settings.data_folder),
    };
    let (opening, lock) = opening.retry_while_full(lock).await?;
    let open = || open_storage(files.clone(), &settings, founding.as_ref());
    let (opening, (durable, restored)) = opening.retry_while_full(open).await?;
    let to_node = opening.into_inputs();
    let listeners = Listeners::bind(&settings.listen, admin, &log).await?;
    let addresses = listeners.addresses;
    let mut thread = create_node_thread(
        &settings, addresses, files, durable, restored, to_node, &log,
    )?;
    if let Some(founding) = founding {
        founding.begin(&mut thread, &log);
    }
    let replica = thread.own.0;
    let ended = spawn_node(thread, lock)?;
    listeners.serve(
        &mut tasks,
        settings.service,
        &inputs,
        &connections,
        &stop,
        &log,
    );
    let interval = Duration::from_millis(settings.spare.offer_interval_ms);
    let offer_to = watch::Sender::new(settings.spare.offer_to);
    spawn_spare_offers(&mut tasks, offer_to.subscribe(), interval, &inputs, &stop);
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

/// Opens the data folder. An empty one gets the identity of a founder, or else a random one.
fn open_storage<F: FileSystem>(
    files: F,
    settings: &Settings,
    founding: Option<&Founding>,
) -> Result<(Durable<F>, RestoredState), StartError> {
    let new_identity = match founding {
        Some(founding) => ReplicaId(founding.own),
        None => ReplicaId(getrandom::u64()?),
    };
    let storage = StorageConfig::new(&settings.data_folder);
    Ok(Durable::open(
        files,
        storage,
        settings.name.as_str(),
        new_identity,
    )?)
}

/// Starts the node's thread and returns the receiver of its result. The data folder stays locked until
/// the thread has ended.
fn spawn_node<F>(
    thread: NodeThread<F>,
    lock: File,
) -> Result<oneshot::Receiver<Result<(), StorageError>>, StartError>
where
    F: FileSystem + Send + 'static,
    F::File: Send,
{
    let (ended_sender, ended) = oneshot::channel();
    let run = move || {
        let log = thread.log.clone();
        let result = thread.run();
        if let Err(error) = &result {
            slog::error!(log, "replica stopped"; "reason" => "storage", "error" => %error);
        }
        drop(lock);
        // The receiver is gone if the handle was dropped.
        let _ = ended_sender.send(result);
    };
    let builder = std::thread::Builder::new().name("node".to_owned());
    builder.spawn(run).map_err(StartError::Thread)?;
    Ok(ended)
}

/// Locks the data folder; `None` if the disk is too full to create the lock file. Precedes the listeners, so
/// that a second process on the folder names the lock as the reason, not a listener's address.
fn lock_unless_full(folder: &Path) -> Result<Option<File>, StartError> {
    match lock_folder(folder) {
        Err(StartError::Storage(error)) if error.is_disk_full() => Ok(None),
        locked => locked.map(Some),
    }
}

fn lock_folder(folder: &Path) -> Result<File, StartError> {
    let path = folder.join(LOCK_FILE);
    let lock_error = |reason: String| StartError::Locked {
        path: path.clone(),
        reason,
    };
    let create_error = |source: io::Error| match source.kind() {
        io::ErrorKind::StorageFull => StartError::Storage(StorageError::Io {
            operation: "create",
            path: path.clone(),
            source,
        }),
        _ => lock_error(source.to_string()),
    };
    std::fs::create_dir_all(folder).map_err(create_error)?;
    let file = File::create(&path).map_err(create_error)?;
    file.try_lock()
        .map_err(|error| lock_error(format!("in use by another process ({error})")))?;
    Ok(file)
}

/// Creates the node and its driver from the restored state.
fn create_node_thread<F>(
    settings: &Settings,
    addresses: BoundAddresses,
    files: F,
    durable: Durable<F>,
    restored: RestoredState,
    inputs: blocking::Receiver<Input>,
    log: &Logger,
) -> Result<NodeThread<F>, StartError>
where
    F: FileSystem + Send + 'static,
{
    let own = durable.identity().replica;
    let address = ReplicaAddress {
        replica: own.0,
        name: settings.name.to_string(),
        peer: addresses.peer,
        service: addresses.service,
    };
    let clock = Clock::start();
    let config = node_config(settings, address.clone())?;
    let mut node = ControlNode::new(config, restored, clock.now())?;
    let folder = &settings.data_folder;
    if let Some(saved) = usage_file::read(&files, folder, log) {
        node.restore_usage(clock.now(), saved);
    }
    let usage_writer = UsageWriter::start(files, folder.clone(), log.clone());
    if let Some(policy) = settings.spare.policy() {
        node.replace_silent_voters(policy);
    }
    if settings.formation.unsigned_tables {
        slog::warn!(log, "route tables are taken without signatures"; "key" => "unsigned_tables");
        node.accept_unsigned_tables();
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
        refusals: PeerRefusals::default(),
        usage_writer: usage_writer.map_err(StartError::Thread)?,
        stop_timeout: settings.timing.election() * STOP_ELECTIONS,
        log: log.clone(),
    })
}

fn node_config(settings: &Settings, address: ReplicaAddress) -> Result<NodeConfig, StartError> {
    Ok(NodeConfig {
        address,
        heartbeat: settings.timing.heartbeat(),
        election: settings.timing.election(),
        daemon_lease: settings.timing.daemon_lease(),
        snapshot_interval: settings.storage.snapshot_interval,
        seed: getrandom::u64()?,
    })
}
