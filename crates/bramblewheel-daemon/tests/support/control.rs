//! A simulated control replica in memory with a bundle, a directory and a ledger.

use super::expect_in_time;
use bramblewheel_protocol::codec::{MAX_CONTROL_FRAME, read_frame, write_frame};
use bramblewheel_protocol::control::{
    BundleUpdate, ControlReply, ControlRequest, DirectoryEntry, LogPosition, OperationAction,
    OperationAnswer, OperationReply, OperationRequest, PollReply, PollRequest, ReplyBody,
    RequestBody, SignedBundle, SignedBundleDelta,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

#[derive(Debug, Default)]
struct Ledger {
    claims: HashMap<String, (u64, Option<OperationAnswer>)>,
}

#[derive(Debug)]
struct Shared {
    bundle: Mutex<SignedBundle>,
    delta: Mutex<Option<SignedBundleDelta>>,
    directory: Mutex<Vec<DirectoryEntry>>,
    ledger: Mutex<Ledger>,
    revision: watch::Sender<u64>,
    polls: mpsc::UnboundedSender<PollRequest>,
    operations: mpsc::UnboundedSender<OperationRequest>,
}

/// A simulated control replica on a free port.
pub struct FakeControl {
    address: SocketAddr,
    shared: Arc<Shared>,
    polls: mpsc::UnboundedReceiver<PollRequest>,
    operations: mpsc::UnboundedReceiver<OperationRequest>,
    seen: Vec<PollRequest>,
}

impl FakeControl {
    pub async fn start(bundle: SignedBundle) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (polls_sender, polls) = mpsc::unbounded_channel();
        let (operations_sender, operations) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            bundle: Mutex::new(bundle),
            delta: Mutex::default(),
            directory: Mutex::default(),
            ledger: Mutex::default(),
            revision: watch::Sender::new(1),
            polls: polls_sender,
            operations: operations_sender,
        });
        let serving = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&serving)));
            }
        });
        Self {
            address,
            shared,
            polls,
            operations,
            seen: Vec::new(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_directory(&self, directory: Vec<DirectoryEntry>) {
        *lock(&self.shared.directory) = directory;
        self.shared.revision.send_modify(|revision| *revision += 1);
    }

    /// Sets the bundle, and a delta to be sent to daemons that have the delta's base version.
    pub fn set_delta(&self, delta: SignedBundleDelta, bundle: SignedBundle) {
        *lock(&self.shared.delta) = Some(delta);
        self.set_bundle(bundle);
    }

    pub fn set_bundle(&self, bundle: SignedBundle) {
        *lock(&self.shared.bundle) = bundle;
        self.shared.revision.send_modify(|revision| *revision += 1);
    }

    /// Waits until a daemon has applied the current bundle and directory.
    pub async fn until_applied(&mut self, daemon: &str) {
        let version = lock(&self.shared.bundle).version;
        let revision = *self.shared.revision.borrow();
        self.until_poll(daemon, |poll| {
            poll.bundle_version == version && poll.directory_revision == revision
        })
        .await;
    }

    /// Waits for a poll of a daemon that meets a condition; a poll already received counts as well.
    pub async fn until_poll(&mut self, daemon: &str, condition: impl Fn(&PollRequest) -> bool) {
        let matches =
            |poll: &PollRequest| poll.registration.daemon.as_str() == daemon && condition(poll);
        if self.seen.iter().any(matches) {
            return;
        }
        // Polls that don't fit keep coming, so that the bound is on all of them together.
        let matching_poll = async {
            loop {
                let poll = self.polls.recv().await.expect("the replica is running");
                let is_match = matches(&poll);
                self.seen.push(poll);
                if is_match {
                    return;
                }
            }
        };
        expect_in_time("a matching poll", matching_poll).await;
    }

    /// Whether a received poll meets a condition.
    pub fn has_seen(&self, condition: impl Fn(&PollRequest) -> bool) -> bool {
        self.seen.iter().any(condition)
    }

    /// Discards the polls received so far.
    pub fn forget_polls(&mut self) {
        self.seen.clear();
        while self.polls.try_recv().is_ok() {}
    }

    /// Waits for the next ledger request.
    pub async fn next_operation(&mut self) -> OperationRequest {
        let next = expect_in_time("a ledger request", self.operations.recv()).await;
        next.expect("the replica is running")
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    while let Ok(Some(request)) = read_frame(&mut stream, MAX_CONTROL_FRAME).await {
        let ControlRequest { id, body } = request;
        let body = match body {
            RequestBody::Poll(poll) => shared.poll(*poll).await,
            RequestBody::Operations(requests) => {
                ReplyBody::Operations(requests.into_iter().map(|r| shared.operate(r)).collect())
            }
            _ => ReplyBody::Rejected("not part of this stand-in".to_owned()),
        };
        let reply = ControlReply { id, body };
        if write_frame(&mut stream, &reply, MAX_CONTROL_FRAME)
            .await
            .is_err()
        {
            return;
        }
    }
}

impl Shared {
    async fn poll(&self, request: PollRequest) -> ReplyBody {
        let held = request.directory_revision;
        let version = request.bundle_version;
        let wants_whole_bundle = request.whole_bundle;
        let wait = Duration::from_millis(request.wait.0);
        let _ = self.polls.send(request);
        let mut revision = self.revision.subscribe();
        let _ = tokio::time::timeout(wait, revision.wait_for(|now| *now != held)).await;
        let revision = *revision.borrow();
        let bundle = lock(&self.bundle).clone();
        let delta = lock(&self.delta).clone();
        let delta = delta.filter(|delta| delta.from == version && !wants_whole_bundle);
        let update = delta.map_or(BundleUpdate::Whole(bundle.clone()), BundleUpdate::Delta);
        ReplyBody::Poll(Box::new(PollReply {
            position: LogPosition {
                index: revision,
                term: 1,
            },
            operator_changes: Vec::new(),
            bundle: (bundle.version != version).then_some(update),
            directory_revision: revision,
            directory_is_complete: true,
            live: lock(&self.directory).clone(),
            removed: Vec::new(),
        }))
    }

    fn operate(&self, request: OperationRequest) -> OperationReply {
        let reply = lock(&self.ledger).apply(&request);
        let _ = self.operations.send(request);
        reply
    }
}

impl Ledger {
    fn apply(&mut self, request: &OperationRequest) -> OperationReply {
        let key = request.key.as_str().to_owned();
        let held = self.claims.get(&key).cloned();
        match (&request.action, held) {
            (OperationAction::Claim { .. }, None) => {
                self.claims.insert(key, (request.attempt, None));
                OperationReply::Granted
            }
            (_, Some((_, Some(answer)))) => OperationReply::Completed(answer),
            (OperationAction::Claim { .. }, Some((owner, None))) if owner == request.attempt => {
                OperationReply::Granted
            }
            (OperationAction::Complete(answer), Some(_)) => {
                self.claims
                    .insert(key, (request.attempt, Some(answer.clone())));
                OperationReply::Recorded
            }
            (OperationAction::Release, _) => {
                self.claims.remove(&key);
                OperationReply::Recorded
            }
            (_, Some(_)) => OperationReply::Held,
            (_, None) => OperationReply::Absent,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no test panics while holding the lock")
}
