//! Connections that end at an unexpected time. The programs abort on any panic, so a connection's task must not
//! panic either.

use bramblewheel_control::{Settings, logging, settings::Overrides};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::codec::{MAX_CONTROL_FRAME, encode};
use bramblewheel_protocol::control::{ControlRequest, RequestBody};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// More requests than the replica reads from one connection before it has replied.
const REQUESTS: u64 = 200;
const ROUNDS: usize = 20;

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// The replica waits for a free slot before it reads further requests, and replies to a connection that was reset.
#[tokio::test(flavor = "multi_thread")]
async fn connection_reset_during_replies_causes_no_panic() {
    std::panic::set_hook(Box::new(|_| {
        PANICS.fetch_add(1, Ordering::SeqCst);
    }));
    let folder = TempDir::new().expect("a temporary folder");
    let text = format!(
        "name = \"control-1\"\nzone = \"hall-a\"\nregion = \"north\"\ndata_folder = \"{}\"\n\
         [listen]\npeer = \"127.0.0.1:0\"\nservice = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n",
        folder.path().display()
    );
    let settings = Settings::parse(Path::new("s.toml"), &text, Overrides::default());
    let log = logging::logger(slog::Level::Error);
    let replica = bramblewheel_control::start(settings.expect("valid"), log).await;
    let replica = replica.expect("starts");
    let address = replica.addresses().service;
    for _ in 0..ROUNDS {
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        for id in 0..REQUESTS {
            let request = ControlRequest {
                id,
                body: RequestBody::GroupStatus,
            };
            let frame = encode(&request, MAX_CONTROL_FRAME).expect("short");
            // The replica may have stopped reading, so a time-out is fine.
            let writing = tokio::time::timeout(Duration::from_secs(1), stream.write_all(&frame));
            let _ = writing.await;
        }
        stream.set_zero_linger().expect("an option of the socket");
        drop(stream);
    }
    // A reply on a later connection shows that the replica has handled the resets.
    let mut client = bramblewheel_protocol::ControlClient::connect(address)
        .await
        .expect("it listens");
    let reply = client.request(RequestBody::GroupStatus, Duration::from_secs(20));
    reply.await.expect("an answer");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let _ = std::panic::take_hook();
    assert_eq!(PANICS.load(Ordering::SeqCst), 0);
}
