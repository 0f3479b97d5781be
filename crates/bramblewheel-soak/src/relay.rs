//! Loopback proxy in front of one listener: forwards connections, and delays, holds or resets them on demand.

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

/// A relay in front of a listener.
#[derive(Clone, Debug)]
pub struct Relay {
    mode: Arc<watch::Sender<Mode>>,
    resets: Arc<watch::Sender<u64>>,
    /// The task that accepts connections.
    accepting: AbortHandle,
}

/// State that the connections of a relay share with it.
#[derive(Clone)]
struct Shared {
    mode: Arc<watch::Sender<Mode>>,
    resets: Arc<watch::Sender<u64>>,
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
            resets: Arc::new(watch::Sender::new(0)),
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
            resets: shared.resets,
            accepting: accepting.abort_handle(),
        })
    }

    /// Sets how bytes are treated from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Stops listening and resets all connections.
    pub fn close(&self) {
        self.accepting.abort();
        self.reset();
    }
}

impl Shared {
    async fn forward(&self, client: TcpStream, target: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(server) = TcpStream::connect(target).await else {
            // Reset, as the operating system does when no process listens.
            let _ = client.set_zero_linger();
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let is_reset = {
            let inwards = self.copy(&mut from_client, &mut to_server, Direction::Inwards);
            let outwards = self.copy(&mut from_server, &mut to_client, Direction::Outwards);
            tokio::select! {
                _ = async { tokio::join!(inwards, outwards) } => false,
                _ = resets.changed() => true,
            }
        };
        if is_reset {
            let _ = from_client.as_ref().set_zero_linger();
            let _ = from_server.as_ref().set_zero_linger();
            // Dropping the write halves would send a FIN before the reset.
            to_client.forget();
            to_server.forget();
        }
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
