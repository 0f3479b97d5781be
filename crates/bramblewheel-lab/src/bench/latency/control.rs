//! A control replica inside the bench: one bundle, and a directory of whoever has registered.
//!
//! Control work is not on the path of a call, so that nothing of it is measured here.

use crate::error::CommandError;
use bramblewheel_protocol::codec::{MAX_CONTROL_FRAME, read_frame, write_frame};
use bramblewheel_protocol::control::{
    BundleNews, ControlReply, ControlRequest, DirectoryEntry, LogPosition, PollReply, PollRequest,
    ReplyBody, RequestBody, SignedBundle, Unavailable,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// A control replica on a free port; ends when dropped.
#[derive(Debug)]
pub struct StandInControl {
    address: SocketAddr,
    _runtime: Runtime,
}

#[derive(Debug)]
struct State {
    bundle: SignedBundle,
    directory: Mutex<Vec<DirectoryEntry>>,
    revision: watch::Sender<u64>,
}

impl StandInControl {
    /// Starts a replica that has one bundle.
    ///
    /// # Errors
    /// [`CommandError`] when the runtime or the listener can't be set up.
    pub fn start(bundle: SignedBundle) -> Result<Self, CommandError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            bundle,
            directory: Mutex::default(),
            revision: watch::Sender::new(1),
        });
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&state)));
            }
        });
        Ok(Self {
            address,
            _runtime: runtime,
        })
    }

    /// Address for daemons.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    while let Ok(Some(request)) = read_frame(&mut stream, MAX_CONTROL_FRAME).await {
        let ControlRequest { id, body } = request;
        let body = match body {
            RequestBody::Poll(poll) => state.poll(*poll).await,
            _ => ReplyBody::Unavailable(Unavailable::NoQuorum),
        };
        let reply = ControlReply { id, body };
        let written = write_frame(&mut stream, &reply, MAX_CONTROL_FRAME).await;
        if written.is_err() {
            return;
        }
    }
}

impl State {
    async fn poll(&self, request: PollRequest) -> ReplyBody {
        self.register(&request);
        let mut revision = self.revision.subscribe();
        let news = revision.wait_for(|now| *now != request.directory_revision);
        let wait = Duration::from_millis(request.wait.0);
        // Without news the answer says so.
        let _ = tokio::time::timeout(wait, news).await;
        let revision = *self.revision.borrow();
        let is_held = request.bundle_version == self.bundle.version;
        ReplyBody::Poll(Box::new(PollReply {
            position: LogPosition {
                index: revision,
                term: 1,
            },
            operator_changes: Vec::new(),
            bundle: (!is_held).then(|| BundleNews::Whole(self.bundle.clone())),
            directory_revision: revision,
            directory_is_complete: true,
            live: self.directory().clone(),
            removed: Vec::new(),
        }))
    }

    fn register(&self, request: &PollRequest) {
        let registration = &request.registration;
        let Some(endpoint) = &registration.endpoint else {
            return;
        };
        let entry = DirectoryEntry {
            endpoint: endpoint.endpoint.clone(),
            service: endpoint.service.clone(),
            zone: registration.zone.clone(),
            address: endpoint.address,
            draining: endpoint.draining,
        };
        let mut directory = self.directory();
        if !directory.contains(&entry) {
            directory.retain(|known| known.endpoint != entry.endpoint);
            directory.push(entry);
            self.revision.send_modify(|revision| *revision += 1);
        }
    }

    fn directory(&self) -> std::sync::MutexGuard<'_, Vec<DirectoryEntry>> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
