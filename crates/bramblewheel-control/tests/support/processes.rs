//! Replicas with real sockets and disks in one process, and requests to their admin listeners.

use super::signed;
use bramblewheel_control::settings::Overrides;
use bramblewheel_control::{ControlHandle, Settings, StartError, logging};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::control::{
    BootstrapRequest, GroupStatus, OperationReply, OperationRequest, PollReply, PollRequest,
    PublishReply, ReplyBody, RequestBody,
};
use bramblewheel_protocol::request_any;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

pub const TIMEOUT: Duration = Duration::from_secs(60);

pub struct Group {
    pub folders: Vec<TempDir>,
    pub replicas: Vec<Option<ControlHandle>>,
}

pub async fn start(folder: &Path, number: usize) -> Result<ControlHandle, StartError> {
    start_with(folder, number, "").await
}

/// Starts a replica with additional lines at the end of its settings file.
pub async fn start_with(
    folder: &Path,
    number: usize,
    extra_settings: &str,
) -> Result<ControlHandle, StartError> {
    let log = logging::logger(slog::Level::Debug);
    start_logged(folder, number, extra_settings, log).await
}

/// Like [`start_with`], with a logger.
pub async fn start_logged(
    folder: &Path,
    number: usize,
    extra_settings: &str,
    log: slog::Logger,
) -> Result<ControlHandle, StartError> {
    let text = format!(
        "name = \"control-{number}\"\nzone = \"hall-a\"\nregion = \"north\"\n\
         data_folder = \"{}\"\n[listen]\npeer = \"127.0.0.1:0\"\nservice = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\n[timing]\nheartbeat_ms = 50\nelection_ms = 400\n\
         daemon_lease_ms = 3000\n[storage]\nsnapshot_interval = 8\n{extra_settings}",
        folder.display()
    );
    let settings = Settings::parse(Path::new("s.toml"), &text, Overrides::default());
    bramblewheel_control::start(settings.expect("valid"), log).await
}

impl Group {
    pub async fn start() -> Self {
        let mut group = Self {
            folders: Vec::new(),
            replicas: Vec::new(),
        };
        for number in 0..3 {
            let folder = TempDir::new().expect("a temporary folder");
            let replica = start(folder.path(), number).await.expect("starts");
            group.folders.push(folder);
            group.replicas.push(Some(replica));
        }
        group
    }

    pub async fn bootstrapped() -> Self {
        let group = Self::start().await;
        let mut voters = Vec::new();
        for address in group.addresses() {
            voters.push(group_status(address).await.replica);
        }
        let request = BootstrapRequest {
            group: 7,
            voters,
            bundle: signed(1, 1),
        };
        for address in group.addresses() {
            let body = RequestBody::Bootstrap(request.clone());
            let reply = request_any(&[address], &body, TIMEOUT).await;
            assert_eq!(reply.expect("an answer"), ReplyBody::Done);
        }
        group
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        let running = self.replicas.iter().flatten();
        running.map(|replica| replica.addresses().service).collect()
    }

    pub async fn ask(&self, body: RequestBody) -> ReplyBody {
        let reply = request_any(&self.addresses(), &body, TIMEOUT).await;
        reply.expect("a reply within the time-out")
    }

    /// Sends operations and retries while any is undecided, as daemons do.
    pub async fn operate(&self, requests: &[OperationRequest]) -> Vec<OperationReply> {
        loop {
            match self.ask(RequestBody::Operations(requests.to_vec())).await {
                ReplyBody::Operations(replies) => {
                    if !replies.contains(&OperationReply::Undecided) {
                        return replies;
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }

    pub async fn publish(&self, version: u64, retry_tokens: u32) -> PublishReply {
        match self
            .ask(RequestBody::Publish(signed(version, retry_tokens)))
            .await
        {
            ReplyBody::Publish(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub async fn poll(&self, request: PollRequest) -> PollReply {
        match self.ask(RequestBody::Poll(Box::new(request))).await {
            ReplyBody::Poll(reply) => *reply,
            other => panic!("{other:?}"),
        }
    }

    pub async fn stop(&mut self, number: usize) {
        let mut replica = self.replicas[number].take().expect("runs");
        replica.stop();
        let ended = timeout(TIMEOUT, replica.stopped()).await;
        ended.expect("stops").expect("by a planned stop");
    }

    pub async fn restart(&mut self, number: usize) {
        self.stop(number).await;
        let folder = self.folders[number].path();
        self.replicas[number] = Some(start(folder, number).await.expect("starts again"));
    }
}

pub async fn group_status(address: SocketAddr) -> GroupStatus {
    let reply = request_any(&[address], &RequestBody::GroupStatus, TIMEOUT).await;
    match reply.expect("an answer") {
        ReplyBody::GroupStatus(status) => status,
        other => panic!("{other:?}"),
    }
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.expect("after 1970").as_millis()).expect("in this age")
}

pub async fn until_ready(admin: SocketAddr) {
    until(admin, "/readyz", (200, "ready\n")).await;
}

/// Repeats a request until the response is the expected one.
pub async fn until(admin: SocketAddr, path: &str, expected: (u16, &str)) {
    let asking = async {
        loop {
            let (status, text) = get(admin, path).await;
            if (status, text.as_str()) == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, asking).await.expect("in time");
}

/// Repeats a request until a successful response contains a text. Returns the response.
pub async fn until_holds(admin: SocketAddr, path: &str, expected: &str) -> String {
    let asking = async {
        loop {
            let (status, text) = get(admin, path).await;
            assert_eq!(status, 200, "{text}");
            if text.contains(expected) {
                return text;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, asking).await.expect("in time")
}

pub async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let request = format!("GET {path} HTTP/1.1\r\nhost: replica\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let read = timeout(TIMEOUT, stream.read_to_string(&mut answer)).await;
    read.expect("in time").expect("text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("has a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    (status.expect("a status"), body.to_owned())
}
