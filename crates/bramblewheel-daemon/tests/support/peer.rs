//! A raw HTTP peer that simulates an endpoint or a faulty daemon.

use super::expect_in_time;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A received request, to be answered by the test.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: String,
    stream: TcpStream,
}

/// A peer on a free port. It answers load requests itself and passes all others to the test.
pub struct FakePeer {
    address: SocketAddr,
    arrived: mpsc::UnboundedReceiver<ReceivedRequest>,
}

impl FakePeer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (sender, arrived) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(receive(stream, sender.clone()));
            }
        });
        Self { address, arrived }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next request.
    pub async fn next(&mut self) -> ReceivedRequest {
        let next = expect_in_time("a request at the peer", self.arrived.recv()).await;
        next.expect("the peer is running")
    }

    /// Whether another request was received; removes it.
    pub fn has_request(&mut self) -> bool {
        self.arrived.try_recv().is_ok()
    }
}

async fn receive(mut stream: TcpStream, sender: mpsc::UnboundedSender<ReceivedRequest>) {
    const LOAD: &str = "{\"slots\":8,\"busy\":0,\"draining\":false}";
    while let Some((head, body)) = read_request(&mut stream).await {
        if !head.starts_with("GET /load ") {
            let _ = sender.send(ReceivedRequest { head, body, stream });
            return;
        }
        let answer = whole("200 OK", &[], LOAD);
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let split = loop {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
        read_more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..split]).into_owned();
    let length = value_of(&head, "content-length").map_or(0, |l| l.parse().expect("a length"));
    while bytes.len() < split + length {
        read_more(stream, &mut bytes).await?;
    }
    let body = String::from_utf8_lossy(&bytes[split..]).into_owned();
    Some((head, body))
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(bytes).await.ok()?;
    (read > 0).then_some(())
}

fn value_of<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

/// A complete answer as bytes.
pub fn whole(status: &str, extra: &[&str], body: &str) -> Vec<u8> {
    let extra: String = extra.iter().map(|line| format!("{line}\r\n")).collect();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{extra}content-length: {length}\r\n\r\n{body}").into_bytes()
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        value_of(&self.head, name)
    }

    /// Sends a complete answer with status 200, then closes the connection.
    pub async fn answer(self, body: &str) {
        let bytes = whole("200 OK", &["connection: close"], body);
        self.answer_raw(&bytes).await;
    }

    /// Answers like a daemon, with the given attempt id.
    pub async fn answer_as_daemon(mut self, attempt: &str, body: &str) -> Self {
        let attempt = format!("bw-attempt: {attempt}");
        let fields = [
            attempt.as_str(),
            "bw-outcome: completed",
            "bw-tokens-spent: 0",
            "bw-load: 0",
            "bw-admission-level: sheddable/0",
        ];
        let bytes = whole("200 OK", &fields, body);
        self.stream
            .write_all(&bytes)
            .await
            .expect("an open connection");
        self
    }

    /// Writes `begin`, then `piece` again and again, until the daemon closes the connection.
    pub async fn write_without_end(mut self, begin: &str, piece: &[u8], pause: Duration) {
        let (mut reader, mut writer) = self.stream.split();
        let writing = async {
            writer.write_all(begin.as_bytes()).await?;
            loop {
                writer.write_all(piece).await?;
                tokio::time::sleep(pause).await;
            }
        };
        let mut byte = [0];
        let _: std::io::Result<()> = tokio::select! {
            failed = writing => failed,
            closed = reader.read(&mut byte) => closed.map(|_| ()),
        };
    }

    /// Writes raw bytes, then closes the connection.
    pub async fn answer_raw(mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
        let _ = self.stream.shutdown().await;
    }

    /// Waits until the daemon closes the connection.
    pub async fn until_closed(mut self) {
        let mut rest = Vec::new();
        let _ = expect_in_time(
            "the connection to close",
            self.stream.read_to_end(&mut rest),
        )
        .await;
        assert!(rest.is_empty(), "the connection was reused");
    }
}
