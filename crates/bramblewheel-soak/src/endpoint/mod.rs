//! An endpoint beside a daemon: runs requests, sends heartbeats, drains or crashes.

mod broken_body;
mod heartbeat;
mod serving;
mod statements;
mod work;

pub use statements::{LimitedTime, Statement};

use crate::endpoint_interface;
use crate::history::{AcknowledgedDrain, History, StatedLimits, Timestamp};
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
use statements::{DRAIN_TIME, StatementPlan};
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
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a draining endpoint goes on serving after the daemon has acknowledged the draining state.
const LINGER_TIME: Duration = Duration::from_millis(2_500);
/// Tells whether an endpoint has ended, by a crash or by being dropped.
#[derive(Debug, Default)]
struct Termination {
    has_ended: AtomicBool,
    signal: Notify,
}

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Address of its machine.
    pub address: IpAddr,
    /// Number of the daemon beside it.
    pub daemon: usize,
    /// Address of the daemon's endpoint interface.
    pub admin: SocketAddr,
    /// Where it sends its calls.
    pub outbound: SocketAddr,
    /// Kinds of request that it runs.
    pub workload: Arc<Workload>,
    /// Seed of its random decisions.
    pub seed: u64,
    /// Until when it may state rate limits and that it drains; `None` if it states neither.
    pub statements_until: Option<Timestamp>,
}

/// Identity of an endpoint, as foreign messages use it.
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

/// A running endpoint; dropping it is a crash.
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
    heartbeats: JoinSet<()>,
    termination: Arc<Termination>,
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
            statements_until,
        } = settings;
        let listener = TcpListener::bind((address, 0)).await?;
        let address = listener.local_addr()?;
        let termination = Arc::new(Termination::default());
        let slots = workload.slots;
        let started_unix_millis = unix_millis();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let statements = statements_until
            .map(|until| StatementPlan::draw(&mut random, history.now(), until))
            .unwrap_or_default();
        history.events().stated_limits.push(StatedLimits {
            endpoint: id.clone(),
            started: started_unix_millis,
            daemon,
            times: statements.limited_times.clone(),
        });
        let drains_from = statements.drains_from;
        let serving = Serving {
            termination: Arc::clone(&termination),
            id: id.as_str().into(),
            started_unix_millis,
            daemon,
            outbound,
            history: history.clone(),
            workload,
            started: Instant::now(),
            random: Arc::new(Mutex::new(random)),
            statements: Arc::new(statements),
        };
        let router = Router::new().fallback(run).with_state(serving);
        let mut tasks = JoinSet::new();
        let stop_signal = Arc::clone(&termination);
        tasks.spawn(async move {
            tokio::select! {
                () = serve(listener, router) => {}
                () = stop_signal.signal.notified() => {}
            }
        });
        if let Some(from) = drains_from {
            tasks.spawn(end_after_draining(
                Arc::clone(&termination),
                from.saturating_sub(history.now()),
            ));
        }
        let mut endpoint = Self {
            id,
            service,
            address,
            admin,
            slots,
            started_unix_millis,
            sequence: Arc::new(AtomicU64::new(0)),
            history,
            heartbeats: JoinSet::new(),
            termination,
            _serving: tasks,
        };
        let sender = endpoint.heartbeat_sender("ready");
        let termination = Arc::clone(&endpoint.termination);
        endpoint.heartbeats.spawn(async move {
            while !termination.has_ended.load(Ordering::Relaxed) {
                // A lost heartbeat is made up for by the next one.
                sender.send().await;
                tokio::time::sleep(HEARTBEAT_PERIOD).await;
            }
        });
        Ok(endpoint)
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Its identity, as foreign messages use it.
    pub fn identity(&self) -> EndpointIdentity {
        EndpointIdentity {
            id: self.id.clone(),
            started_unix_millis: self.started_unix_millis,
            sequence: self.sequence.load(Ordering::Relaxed),
            address: self.address,
        }
    }

    /// Sends heartbeats that can't be parsed, under this endpoint's id.
    pub async fn send_invalid_heartbeats(&self) {
        for heartbeat in wire::invalid_heartbeats(self.service, self.address) {
            // The answer is ignored: if a daemon accepts one, the checks see it in the requests that the endpoint receives.
            let path = wire::heartbeat_path(&self.id);
            endpoint_interface::post(self.admin, &path, heartbeat).await;
        }
    }

    /// Whether a request has crashed it.
    pub fn has_ended(&self) -> bool {
        self.termination.has_ended.load(Ordering::Relaxed)
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

    /// Makes a planned stop: reports that it drains until that is acknowledged, serves on for `LINGER_TIME`,
    /// deregisters and stops.
    pub async fn stop(mut self) {
        const MAX_ATTEMPTS: u32 = 10;
        self.heartbeats.shutdown().await;
        let sender = self.heartbeat_sender("draining");
        for _ in 0..MAX_ATTEMPTS {
            if sender.send().await {
                let at = self.history.now();
                self.history
                    .events()
                    .acknowledged_drains
                    .push(AcknowledgedDrain {
                        endpoint: self.id.clone(),
                        started: self.started_unix_millis,
                        at,
                    });
                break;
            }
        }
        tokio::time::sleep(LINGER_TIME).await;
        let path = wire::deregister_path(&self.id);
        // The endpoint stops even if the deregistration fails.
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
        // Set before the connections end, so that open runs are recorded as broken off by the endpoint.
        self.termination.has_ended.store(true, Ordering::Relaxed);
    }
}

/// Ends an endpoint some time after it has begun to state that it drains.
async fn end_after_draining(termination: Arc<Termination>, until_draining: Duration) {
    tokio::time::sleep(until_draining + DRAIN_TIME).await;
    termination.has_ended.store(true, Ordering::Relaxed);
    termination.signal.notify_one();
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let elapsed = elapsed.expect("the system clock is set after 1970");
    u64::try_from(elapsed.as_millis()).expect("milliseconds since 1970 fit into 64 bits")
}

/// Serves connections; dropping the future closes all of them at once.
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
                // Errors of a single connection don't affect the endpoint.
                connections.spawn(async move { drop(serving.await) });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
