//! The control replicas as one address: which replica to ask, and which next.
//!
//! Owns the addresses configured and learned, and the order in which they are asked.

use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::ControlClient;
use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for one replica's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after no replica could answer.
const PAUSE: Duration = Duration::from_millis(60);

/// No replica settled the request in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unsettled {
    /// Nothing was carried out.
    #[error("no control replica could answer")]
    NotDone,
    /// It may have been carried out.
    #[error("the request may have been carried out")]
    Undecided,
}

#[derive(Debug, Default)]
struct Known {
    configured: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
}

/// Addresses of the control replicas.
#[derive(Debug, Default)]
pub struct ControlGroup {
    known: Mutex<Known>,
}

impl ControlGroup {
    /// A group known by the addresses of settings.
    pub fn new(configured: Vec<SocketAddr>) -> Self {
        let group = Self::default();
        group.configure(configured);
        group
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        lock(&self.known)
    }

    /// Takes the addresses of settings that have changed.
    pub fn configure(&self, configured: Vec<SocketAddr>) {
        self.lock().configured = configured;
    }

    /// Takes the members that a replica named.
    pub fn learn(&self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            self.lock().members = members;
        }
    }

    /// All addresses: the members, then those of settings that are not among them.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.lock();
        let mut all = known.members.clone();
        let others = known
            .configured
            .iter()
            .filter(|a| !known.members.contains(a));
        all.extend(others);
        all
    }

    fn note_leader(&self, leader: Option<SocketAddr>) {
        self.lock().leader = leader;
    }

    fn first(&self) -> Option<SocketAddr> {
        self.lock().leader
    }

    /// Sends a request to one replica after the other until one settles it. It may reach several:
    /// it must be one that is safe to send again.
    ///
    /// # Errors
    /// [`Unsettled`] when none did within `longest`.
    pub async fn request(
        &self,
        body: &RequestBody,
        longest: Duration,
    ) -> Result<ReplyBody, Unsettled> {
        let deadline = Instant::now() + longest;
        let mut may_have_run = false;
        let mut hint = self.first();
        loop {
            for address in self.addresses() {
                let address = hint.take().unwrap_or(address);
                match self.ask(address, body, deadline).await {
                    Asked::Settled(reply) => return Ok(reply),
                    Asked::Elsewhere(leader) => hint = leader,
                    Asked::Failed { may_have_run: may } => may_have_run |= may,
                }
                if Instant::now() >= deadline {
                    return Err(match may_have_run && body.changes_state() {
                        true => Unsettled::Undecided,
                        false => Unsettled::NotDone,
                    });
                }
            }
            sleep(PAUSE).await;
        }
    }

    async fn ask(&self, address: SocketAddr, body: &RequestBody, deadline: Instant) -> Asked {
        let wait = ANSWER_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let asking = async {
            let mut client = ControlClient::connect(address).await?;
            client.request(body.clone(), wait).await
        };
        let Ok(asked) = timeout(wait, asking).await else {
            self.note_leader(None);
            return Asked::Failed { may_have_run: true };
        };
        match asked {
            Ok(ReplyBody::Unavailable(Unavailable::NotLeader(leader))) => {
                let hint = leader.filter(|leader| *leader != address);
                self.note_leader(hint);
                Asked::Elsewhere(hint)
            }
            Ok(ReplyBody::Unavailable(why)) => Asked::Failed {
                may_have_run: why == Unavailable::Undecided,
            },
            Ok(reply) => {
                self.note_leader(Some(address));
                Asked::Settled(reply)
            }
            Err(error) => {
                self.note_leader(None);
                Asked::Failed {
                    may_have_run: error.may_have_run(),
                }
            }
        }
    }
}

/// What came of asking one replica.
enum Asked {
    Settled(ReplyBody),
    Elsewhere(Option<SocketAddr>),
    Failed { may_have_run: bool },
}
