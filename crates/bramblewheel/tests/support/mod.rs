//! Runs the program and provides fake control replicas.

#![allow(dead_code, reason = "each test program uses its own part")]

use bramblewheel_protocol::codec::MAX_CONTROL_FRAME;
use bramblewheel_protocol::control::{ControlReply, ControlRequest, ReplyBody, RequestBody};
use bramblewheel_protocol::{read_frame, write_frame};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// Exit status and output of a run of the program.
pub struct Run {
    pub status: i32,
    pub out: String,
    pub err: String,
}

/// Runs the program in a folder.
pub fn run_in(folder: &Path, arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_bramblewheel"))
        .current_dir(folder)
        .args(arguments)
        .output()
        .expect("the program can be started");
    Run {
        status: output.status.code().expect("the program exits by itself"),
        out: String::from_utf8(output.stdout).expect("output is UTF-8"),
        err: String::from_utf8(output.stderr).expect("output is UTF-8"),
    }
}

/// Path of a file in the repository's `examples` folder.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// A temporary folder with the example bundle, its two operator keys, and the bundle signed with both.
pub fn signed_example() -> TempDir {
    let folder = TempDir::new().expect("a temporary folder can be created");
    for (from, to) in [
        ("bundles/torgnett.toml", "torgnett.toml"),
        ("keys/trial-anna.key", "anna.key"),
        ("keys/trial-bjorn.key", "bjorn.key"),
    ] {
        std::fs::copy(example(from), folder.path().join(to)).expect("the example exists");
    }
    for key in ["anna.key", "bjorn.key"] {
        let arguments = ["bundle", "sign", "torgnett.toml", "--key", key, "--out"];
        let run = run_in(
            folder.path(),
            &[&arguments[..], &["torgnett.signed"]].concat(),
        );
        assert_eq!(run.status, 0, "{}", run.err);
    }
    folder
}

type Answer = Box<dyn FnMut(RequestBody) -> Option<ReplyBody> + Send>;

/// Starts a fake replica. It closes the connection if `answer` returns `None`.
pub fn fake_replica(
    runtime: &Runtime,
    answer: impl FnMut(RequestBody) -> Option<ReplyBody> + Send + 'static,
) -> SocketAddr {
    let listening = TcpListener::bind("127.0.0.1:0");
    let listener = runtime.block_on(listening).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let answer: Arc<Mutex<Answer>> = Arc::new(Mutex::new(Box::new(answer)));
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&answer)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: Arc<Mutex<Answer>>) {
    while let Ok(Some(request)) = read_frame(&mut stream, MAX_CONTROL_FRAME).await {
        let ControlRequest { id, body } = request;
        let reply = (answer.lock().expect("not poisoned"))(body);
        let Some(body) = reply else { return };
        let reply = ControlReply { id, body };
        if write_frame(&mut stream, &reply, MAX_CONTROL_FRAME)
            .await
            .is_err()
        {
            return;
        }
    }
}

/// A runtime with one worker thread for the fake replicas.
pub fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("the runtime can be started")
}
