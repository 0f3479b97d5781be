//! Puts a replica together, runs it, and stops it without cutting anything short.

use super::input::{ConnectionId, Input, Inputs};
use super::listener::accept;
use super::node_thread::NodeThread;
use super::peer_out::PeerSenders;
use super::{admin, peer_in, service};
use crate::clock::Clock;
use crate::logging;
use crate::node::{ControlNode, Durable, NodeConfig};
use crate::settings::{AdminSettings, Settings};
use crate::state::MalformedState;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::{ReplicaId, RestoredState};
use bramblewheel_storage::{DiskFileSystem, FileSystem, StorageConfig, StorageError};
use slog::Logger;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc as blocking;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Election timeouts that a planned stop may take to hand leadership over.
const STOP_ELECTIONS: u32 = 4;
/// Time for connections to end once the node has.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// File that is locked while a process uses the data folder.
const LOCK_FILE: &str = "lock";

/// A replica can't start; the text is one line.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error("listener {listener} at {address}: {error}")]
    Bind {
        /// Which listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the operating system says.
        error: io::Error,
    },
    /// Another process uses the data folder, or it can't be locked.
    #[error("{path}: {reason}")]
    Locked {
        /// The lock file.
        path: PathBuf,
        /// Why it can't be had.
        reason: String,
    },
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The snapshot is of another version of the program.
    #[error(transparent)]
    State(#[from] MalformedState),
    /// The node's thread can't be started.
    #[error("thread: {0}")]
    Thread(io::Error),
    /// The operating system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
}

impl From<getrandom::Error> for StartError {
    fn from(error: getrandom::Error) -> Self {
        Self::Random(error)
    }
}

/// A running replica ended otherwise than by a planned stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// The disk failed: what it holds is known only after a new start.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The node's thread ended by a panic, which it has reported.
    #[error("the node's thread has ended")]
    Ended,
}

/// Addresses that a replica listens on.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Messages of the other replicas.
    pub peer: SocketAddr,
    /// Daemons and operators.
    pub service: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
}

/// A running replica.
#[derive(Debug)]
pub struct ControlHandle {
    replica: u64,
    addresses: BoundAddresses,
    inputs: Inputs,
    ended: oneshot::Receiver<Result<(), StorageError>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl ControlHandle {
    /// Identity of the replica, as its data folder holds it.
    pub fn replica(&self) -> u64 {
        self.replica
    }

    /// Addresses that the replica listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Begins a planned stop: leadership is handed over, waiting daemons are sent elsewhere.
    pub fn stop(&self) {
        // The thread may have ended already, which `stopped` reports.
        let _ = self.inputs.send(Input::Stop);
    }

    /// Waits until the replica has ended.
    ///
    /// # Errors
    /// [`RunError`] when it did not end by a planned stop.
    pub async fn stopped(&mut self) -> Result<(), RunError> {
        let result = (&mut self.ended).await.map_err(|_| RunError::Ended);
        self.stop.send_replace(true);
        let all_ended = async { while self.tasks.join_next().await.is_some() {} };
        let _ = timeout(CLOSE_TIMEOUT, all_ended).await;
        Ok(result??)
    }
}

/// Runs a replica until the process is told to stop (SIGTERM or Ctrl-C); returns the process's
/// exit code. Other programs may run a replica by this.
pub async fn run(settings: Settings) -> ExitCode {
    let log = logging::logger(settings.log.level.into());
    match run_until_signal(settings, log).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bramblewheel-control: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_signal(
    settings: Settings,
    log: Logger,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut handle = start(settings, log.clone()).await?;
    let told = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    };
    tokio::select! {
        ended = handle.stopped() => return Ok(ended?),
        () = told => {}
    }
    slog::info!(log, "stopping"; "reason" => "signal");
    handle.stop();
    Ok(handle.stopped().await?)
}

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
    let fresh = ReplicaId(getrandom::u64()?);
    let storage = StorageConfig::new(&settings.data_folder);
    let name = settings.name.as_str();
    let (durable, restored) = Durable::open(files, storage, name, fresh)?;
    let peer = bind("peer", settings.listen.peer, &log).await?;
    let service = bind("service", settings.listen.service, &log).await?;
    let admin = bind("admin", settings.listen.admin, &log).await?;
    let addresses = BoundAddresses {
        peer: peer.1,
        service: service.1,
        admin: admin.1,
    };
    let (inputs, to_node) = blocking::channel();
    let thread = assemble(&settings, addresses, durable, restored, to_node, &log)?;
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
    spawn_admin(&mut tasks, admin.0, limits, &inputs, &stop, &log);
    Ok(ControlHandle {
        replica,
        addresses,
        inputs,
        ended,
        stop,
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
    let node = ControlNode::new(config, restored, clock.now())?;
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

fn spawn_peer(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let (inputs, stopped, serve_log) = (inputs.clone(), stop.subscribe(), log.clone());
    let serve = move |stream, peer| {
        let serving = peer_in::serve(stream, peer, inputs.clone(), serve_log.clone());
        let mut stop = stopped.clone();
        async move {
            tokio::select! {
                () = serving => {}
                _ = stop.wait_for(|stop| *stop) => {}
            }
        }
    };
    tasks.spawn(accept(
        listener,
        peer_in::LIMITS,
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}

fn spawn_service(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let (inputs, stopped, serve_log) = (inputs.clone(), stop.subscribe(), log.clone());
    let next = AtomicU64::new(0);
    let serve = move |stream, peer| {
        let connection = service::Connection {
            id: ConnectionId(next.fetch_add(1, Ordering::Relaxed)),
            peer,
            inputs: inputs.clone(),
            stop: stopped.clone(),
            log: serve_log.clone(),
        };
        connection.serve(stream)
    };
    tasks.spawn(accept(
        listener,
        service::LIMITS,
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}

fn spawn_admin(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    settings: AdminSettings,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let router = admin::router(inputs.clone());
    let (stopped, serve_log) = (stop.subscribe(), log.clone());
    let header_timeout = settings.header_timeout();
    let serve = move |stream, peer| {
        let (router, stop) = (router.clone(), stopped.clone());
        admin::serve(
            stream,
            peer,
            router,
            header_timeout,
            stop,
            serve_log.clone(),
        )
    };
    tasks.spawn(accept(
        listener,
        admin::limits(settings),
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}
