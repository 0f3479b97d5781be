//! Loopback proxy in front of one listener: forwards connections, and delays, holds, resets or cuts
//! them on demand.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Largest chunk that is forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// How a relay treats bytes. Bytes that are held back are forwarded once the direction is no longer silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mode {
    /// Delay of each chunk.
    pub delay: Duration,
    /// Whether bytes to the listener are held back.
    pub is_silent_inwards: bool,
    /// Whether bytes from the listener are held back.
    pub is_silent_outwards: bool,
}

/// How the open connections end.
#[derive(Clone, Copy, Debug, Default)]
struct Breaks {
    /// Times that both sides were reset.
    resets: u64,
    /// Times that the side that opened the connection was reset, while the listener's side stays open and silent.
    cuts: u64,
}

/// A relay in front of a listener.
#[derive(Clone, Debug)]
pub struct Relay {
    mode: Arc<watch::Sender<Mode>>,
    breaks: Arc<watch::Sender<Breaks>>,
    /// The task that accepts connections.
    accepting: AbortHandle,
}

/// State that the connections of a relay share with it.
#[derive(Clone)]
struct Shared {
    mode: Arc<watch::Sender<Mode>>,
    breaks: Arc<watch::Sender<Breaks>>,
}

#[derive(Clone, Copy)]
enum Direction {
    Inwards,
    Outwards,
}

impl Mode {
    fn is_silent(&self, direction: Direction) -> bool {
        match direction {
            Direction::Inwards => self.is_silent_inwards,
            Direction::Outwards => self.is_silent_outwards,
        }
    }
}

impl Relay {
    /// Starts a relay at `listen_address` for the listener at `target`.
    ///
    /// # Errors
    /// When `listen_address` can't be bound.
    pub async fn start(listen_address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen_address).await?;
        let shared = Shared {
            mode: Arc::new(watch::Sender::new(Mode::default())),
            breaks: Arc::default(),
        };
        let serving = shared.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let connection = serving.clone();
                tokio::spawn(async move { connection.forward(client, target).await });
            }
        });
        Ok(Self {
            mode: shared.mode,
            breaks: shared.breaks,
            accepting: accepting.abort_handle(),
        })
    }

    /// Sets how bytes are treated from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.breaks.send_modify(|breaks| breaks.resets += 1);
    }

    /// Resets the side that opened each connection; the listener's side hears nothing more, and no end.
    pub fn cut(&self) {
        self.breaks.send_modify(|breaks| breaks.cuts += 1);
    }

    /// Stops listening and resets all connections.
    pub fn close(&self) {
        self.accepting.abort();
        self.reset();
    }
}

impl Shared {
    async fn forward(&self, client: TcpStream, target: SocketAddr) {
        let mut breaks = self.breaks.subscribe();
        let begun = *breaks.borrow_and_update();
        let Ok(server) = TcpStream::connect(target).await else {
            // Reset, as the operating system does when no process listens.
            let _ = client.set_zero_linger();
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let is_broken = {
            let inwards = self.copy(&mut from_client, &mut to_server, Direction::Inwards);
            let outwards = self.copy(&mut from_server, &mut to_client, Direction::Outwards);
            tokio::select! {
                _ = async { tokio::join!(inwards, outwards) } => false,
                _ = breaks.changed() => true,
            }
        };
        if !is_broken {
            return;
        }
        let _ = from_client.as_ref().set_zero_linger();
        let _ = from_server.as_ref().set_zero_linger();
        // Dropping the write halves would send a FIN before the reset.
        to_client.forget();
        if breaks.borrow().resets == begun.resets {
            drop(from_client);
            drop_bytes(&mut from_server).await;
        }
        to_server.forget();
    }

    async fn copy(
        &self,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        direction: Direction,
    ) -> Option<()> {
        let mut mode = self.mode.subscribe();
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = from.read(&mut chunk).await.ok()?;
            let passing = mode.wait_for(|mode| !mode.is_silent(direction)).await;
            let delay = passing.ok()?.delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if count == 0 {
                return to.shutdown().await.ok();
            }
            to.write_all(&chunk[..count]).await.ok()?;
        }
    }
}

/// Reads and drops what the listener sends, until it closes the connection.
async fn drop_bytes(from_server: &mut OwnedReadHalf) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while from_server
        .read(&mut chunk)
        .await
        .is_ok_and(|count| count > 0)
    {}
}
