//! A raw HTTP client that returns all bytes received, so that incomplete answers are detected.

use super::expect_in_time;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// All bytes received on a connection until it was closed.
#[derive(Debug)]
pub struct Reply {
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn status(&self) -> u16 {
        let code = self.head.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Whether the body is complete according to its framing.
    pub fn is_whole(&self) -> bool {
        match self.header("content-length") {
            Some(length) => length == self.body.len().to_string(),
            None => self.body.ends_with(b"0\r\n\r\n"),
        }
    }
}

/// Sends a request to `stock`, with extra header lines, and reads until the connection closes.
pub async fn call(address: SocketAddr, path: &str, extra: &[&str], body: &str) -> Reply {
    let mut stream = send(address, path, extra, body).await;
    read_all(&mut stream).await
}

/// Sends a request to `stock` without reading the answer.
pub async fn send(address: SocketAddr, path: &str, extra: &[&str], body: &str) -> TcpStream {
    let extra: String = extra.iter().map(|line| format!("{line}\r\n")).collect();
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\nbw-service: stock\r\n\
         {extra}content-length: {length}\r\n\r\n{body}"
    );
    send_raw(address, request.as_bytes()).await
}

/// Sends raw bytes.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    // The daemon may refuse the request before the last byte is written.
    let _ = stream.write_all(bytes).await;
    stream
}

pub async fn read_all(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    // A reset also ends the connection; the bytes received before it are kept.
    let _ = expect_in_time("the end of the answer", stream.read_to_end(&mut bytes)).await;
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let split = end.map_or(bytes.len(), |end| end + 4);
    let body = bytes.split_off(split);
    let head = String::from_utf8_lossy(&bytes).into_owned();
    Reply { head, body }
}

/// Requests a path from the admin listener.
pub async fn admin(address: SocketAddr, path: &str) -> Reply {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    let mut stream = send_raw(address, request.as_bytes()).await;
    read_all(&mut stream).await
}
