//! Client of the control group: sends a request to the replicas one after the other until one of them settles it.
//!
//! Keeps the configured and the learned addresses of the replicas and the last known leader.

use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use bramblewheel_protocol::{ClientError, ControlClient};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout};

/// Time-out of one replica's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after none of the replicas could answer.
const PAUSE: Duration = Duration::from_millis(60);

/// No control replica settled the request in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unsettled {
    /// Nothing was carried out.
    #[error("no control replica could answer")]
    NotDone,
    /// It may have been carried out.
    #[error("the request may have been carried out")]
    Undecided,
}

/// Why one replica did not settle a request.
#[derive(Debug, Error)]
pub enum ReplicaFailure {
    /// It can't answer now.
    #[error("{0}")]
    Unavailable(Unavailable),
    /// It did not answer in time.
    #[error("no answer in time")]
    Silent,
    /// The connection to it failed.
    #[error(transparent)]
    Client(#[from] ClientError),
}

/// A request that no replica settled, with the last failure of each replica that was asked.
#[derive(Debug, Error)]
#[error("{outcome}{}", describe(.failures))]
pub struct UnsettledRequest {
    /// Whether it may have been carried out.
    pub outcome: Unsettled,
    /// Why each replica did not settle it.
    pub failures: BTreeMap<SocketAddr, ReplicaFailure>,
}

impl ReplicaFailure {
    /// Whether the replica may have carried out the request.
    fn may_have_run(&self) -> bool {
        match self {
            Self::Unavailable(reason) => *reason == Unavailable::Undecided,
            Self::Silent => true,
            Self::Client(error) => error.may_have_run(),
        }
    }
}

/// Records a failure. An attempt that was cut short by the time limit doesn't hide a reason given before.
fn record(
    failures: &mut BTreeMap<SocketAddr, ReplicaFailure>,
    replica: SocketAddr,
    failure: ReplicaFailure,
) {
    if matches!(failure, ReplicaFailure::Silent) {
        failures.entry(replica).or_insert(failure);
    } else {
        failures.insert(replica, failure);
    }
}

fn describe(failures: &BTreeMap<SocketAddr, ReplicaFailure>) -> String {
    let failures = failures.iter();
    let texts = failures.map(|(replica, failure)| format!("; {replica}: {failure}"));
    texts.collect()
}

#[derive(Debug, Default)]
struct Replicas {
    configured: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
}

/// Addresses of the control replicas.
#[derive(Debug, Default)]
pub struct ControlGroup {
    replicas: Mutex<Replicas>,
}

impl ControlGroup {
    /// Creates a client with the replica addresses of the settings.
    pub fn new(configured: Vec<SocketAddr>) -> Self {
        let group = Self::default();
        group.configure(configured);
        group
    }

    fn lock(&self) -> MutexGuard<'_, Replicas> {
        lock(&self.replicas)
    }

    /// Replaces the addresses of the settings.
    pub fn configure(&self, configured: Vec<SocketAddr>) {
        self.lock().configured = configured;
    }

    /// Replaces the addresses of the members by those that a replica stated; ignores an empty list.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            self.lock().members = members;
        }
    }

    /// All addresses: those of the members, then those of the settings that are not among them.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let replicas = self.lock();
        let mut all = replicas.members.clone();
        let others = replicas
            .configured
            .iter()
            .filter(|a| !replicas.members.contains(a));
        all.extend(others);
        all
    }

    fn set_leader(&self, leader: Option<SocketAddr>) {
        self.lock().leader = leader;
    }

    fn leader(&self) -> Option<SocketAddr> {
        self.lock().leader
    }

    /// Sends a request to one replica after the other until one settles it. Several may receive it, so it must be
    /// safe to send again.
    ///
    /// # Errors
    /// [`Unsettled`] if no replica settles it within `time_limit`.
    pub async fn request(
        &self,
        body: &RequestBody,
        time_limit: Duration,
    ) -> Result<ReplyBody, Unsettled> {
        let reply = self.request_with_reasons(body, time_limit).await;
        reply.map_err(|unsettled| unsettled.outcome)
    }

    /// Like [`request`](Self::request), with the reasons of the replicas in the error.
    ///
    /// # Errors
    /// [`UnsettledRequest`] if no replica settles it within `time_limit`.
    pub async fn request_with_reasons(
        &self,
        body: &RequestBody,
        time_limit: Duration,
    ) -> Result<ReplyBody, UnsettledRequest> {
        let mut failures = BTreeMap::new();
        let deadline = Instant::now() + time_limit;
        let mut may_have_run = false;
        let mut hint = self.leader();
        loop {
            for address in self.addresses() {
                let address = hint.take().unwrap_or(address);
                match self.send(address, body, deadline).await {
                    SendResult::Settled(reply) => return Ok(reply),
                    SendResult::NotLeader(leader) => {
                        hint = leader;
                        let why = Unavailable::NotLeader(leader);
                        failures.insert(address, ReplicaFailure::Unavailable(why));
                    }
                    SendResult::Failed(failure) => {
                        may_have_run |= failure.may_have_run();
                        record(&mut failures, address, failure);
                    }
                }
                if Instant::now() >= deadline {
                    let outcome = match may_have_run && body.changes_state() {
                        true => Unsettled::Undecided,
                        false => Unsettled::NotDone,
                    };
                    return Err(UnsettledRequest { outcome, failures });
                }
            }
            sleep(PAUSE).await;
        }
    }

    async fn send(&self, address: SocketAddr, body: &RequestBody, deadline: Instant) -> SendResult {
        let wait = ANSWER_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let sending = async {
            let mut client = ControlClient::connect(address).await?;
            client.request(body.clone(), wait).await
        };
        let Ok(result) = timeout(wait, sending).await else {
            self.set_leader(None);
            return SendResult::Failed(ReplicaFailure::Silent);
        };
        match result {
            Ok(ReplyBody::Unavailable(Unavailable::NotLeader(leader))) => {
                let hint = leader.filter(|leader| *leader != address);
                self.set_leader(hint);
                SendResult::NotLeader(hint)
            }
            Ok(ReplyBody::Unavailable(reason)) => {
                SendResult::Failed(ReplicaFailure::Unavailable(reason))
            }
            Ok(reply) => {
                self.set_leader(Some(address));
                SendResult::Settled(reply)
            }
            Err(error) => {
                self.set_leader(None);
                SendResult::Failed(ReplicaFailure::Client(error))
            }
        }
    }
}

/// Result of sending a request to one replica.
enum SendResult {
    Settled(ReplyBody),
    NotLeader(Option<SocketAddr>),
    Failed(ReplicaFailure),
}
