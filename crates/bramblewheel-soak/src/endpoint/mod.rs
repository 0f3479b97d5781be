//! An endpoint beside a daemon: runs requests, sends heartbeats, leaves or dies.

mod broken_body;
mod heartbeat;
mod serving;
mod work;

use crate::endpoint_interface;
use crate::history::{History, Leaving};
use crate::workload::Workload;
use axum::Router;
use bramblewheel_platform_client as wire;
use heartbeat::HeartbeatSender;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serving::{Serving, run};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time that an endpoint serves on after its leaving was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// The end of an endpoint under a request.
#[derive(Debug, Default)]
struct Ending {
    has_ended: AtomicBool,
    told: Notify,
}

/// What an endpoint is told at its start.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Its machine's address.
    pub address: IpAddr,
    /// Number of the daemon beside it.
    pub daemon: usize,
    /// The daemon's interface for it.
    pub admin: SocketAddr,
    /// Where it sends its calls.
    pub outbound: SocketAddr,
    /// What it is asked to do.
    pub workload: Arc<Workload>,
    /// Seed of what it draws.
    pub seed: u64,
}

/// What another writer can know of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointIdentity {
    /// Its id.
    pub id: String,
    /// When it started, in Unix milliseconds.
    pub started_unix_millis: u64,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A running endpoint; dropping it is its death.
#[derive(Debug)]
pub struct Endpoint {
    id: String,
    service: &'static str,
    address: SocketAddr,
    admin: SocketAddr,
    slots: u32,
    started_unix_millis: u64,
    sequence: Arc<AtomicU64>,
    history: History,
    beating: JoinSet<()>,
    ending: Arc<Ending>,
    _serving: JoinSet<()>,
}

impl Endpoint {
    /// Starts an endpoint beside a daemon.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(settings: EndpointSettings, history: History) -> io::Result<Self> {
        let EndpointSettings {
            id,
            service,
            address,
            daemon,
            admin,
            outbound,
            workload,
            seed,
        } = settings;
        let listener = TcpListener::bind((address, 0)).await?;
        let address = listener.local_addr()?;
        let ending = Arc::new(Ending::default());
        let slots = workload.slots;
        let started_unix_millis = unix_millis();
        let serving = Serving {
            ending: Arc::clone(&ending),
            id: id.as_str().into(),
            started_unix_millis,
            daemon,
            outbound,
            history: history.clone(),
            workload,
            started: Instant::now(),
            random: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed))),
        };
        let router = Router::new().fallback(run).with_state(serving);
        let mut tasks = JoinSet::new();
        let until = Arc::clone(&ending);
        tasks.spawn(async move {
            tokio::select! {
                () = serve(listener, router) => {}
                () = until.told.notified() => {}
            }
        });
        let mut endpoint = Self {
            id,
            service,
            address,
            admin,
            slots,
            started_unix_millis,
            sequence: Arc::new(AtomicU64::new(0)),
            history,
            beating: JoinSet::new(),
            ending,
            _serving: tasks,
        };
        let beat = endpoint.heartbeat_sender("ready");
        let ending = Arc::clone(&endpoint.ending);
        endpoint.beating.spawn(async move {
            while !ending.has_ended.load(Ordering::Relaxed) {
                // One that is lost is made up for by the next.
                beat.send().await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        Ok(endpoint)
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// What another writer can know of it.
    pub fn identity(&self) -> EndpointIdentity {
        EndpointIdentity {
            id: self.id.clone(),
            started_unix_millis: self.started_unix_millis,
            sequence: self.sequence.load(Ordering::Relaxed),
            address: self.address,
        }
    }

    /// Sends heartbeats that can't be read, under this one's id.
    pub async fn send_invalid_heartbeats(&self) {
        for heartbeat in wire::invalid_heartbeats(self.service, self.address) {
            // What comes of them shows in what the endpoint gets.
            let path = wire::heartbeat_path(&self.id);
            endpoint_interface::post(self.admin, &path, heartbeat).await;
        }
    }

    /// Whether a request has ended it.
    pub fn has_ended(&self) -> bool {
        self.ending.has_ended.load(Ordering::Relaxed)
    }

    fn heartbeat_sender(&self, state: &'static str) -> HeartbeatSender {
        HeartbeatSender {
            id: self.id.clone(),
            service: self.service,
            address: self.address,
            admin: self.admin,
            slots: self.slots,
            started_unix_millis: self.started_unix_millis,
            state,
            sequence: Arc::clone(&self.sequence),
        }
    }

    /// Leaves as planned: says so until it is acknowledged, serves on, and ends.
    pub async fn leave(mut self) {
        const TRIES: u32 = 10;
        self.beating.shutdown().await;
        let leaving = self.heartbeat_sender("draining");
        for _ in 0..TRIES {
            if leaving.send().await {
                let at = self.history.now();
                self.history.events().leaving.push(Leaving {
                    endpoint: self.id.clone(),
                    started: self.started_unix_millis,
                    at,
                });
                break;
            }
        }
        tokio::time::sleep(SERVES_ON).await;
        let path = wire::deregister_path(&self.id);
        // It ends all the same.
        endpoint_interface::post(
            self.admin,
            &path,
            wire::deregistration_body(self.started_unix_millis),
        )
        .await;
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        // Before its connections end, so that what runs is known to have been broken off by it.
        self.ending.has_ended.store(true, Ordering::Relaxed);
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let since = since.expect("the machine's clock is after 1970");
    u64::try_from(since.as_millis()).expect("a few hundred million years at most")
}

/// Serves connections; when it is dropped, all of them end at once.
async fn serve(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                let service = TowerToHyperService::new(router.clone());
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // A connection's end is no matter of the endpoint.
                connections.spawn(async move { drop(serving.await) });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
