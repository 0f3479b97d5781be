//! A loopback proxy in front of one listener: passes connections on, and harms them on demand.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of one piece that is passed on.
const PIECE_BYTES: usize = 16 * 1024;

/// What a relay does with bytes. Held bytes go on once the relay passes again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mode {
    /// Time that each piece is held.
    pub delay: Duration,
    /// Nothing reaches the listener.
    pub is_silent_inwards: bool,
    /// Nothing comes back from the listener.
    pub is_silent_outwards: bool,
}

/// A relay in front of a listener.
#[derive(Clone, Debug)]
pub struct Relay {
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
    /// Starts a relay at `known` for the listener at `target`.
    ///
    /// # Errors
    /// When `known` can't be bound.
    pub async fn start(known: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(known).await?;
        let relay = Self {
            mode: Arc::new(watch::Sender::new(Mode::default())),
            resets: Arc::new(watch::Sender::new(0)),
        };
        let serving = relay.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let relay = serving.clone();
                tokio::spawn(async move { relay.pass(client, target).await });
            }
        });
        Ok(relay)
    }

    /// Sets what is done with bytes from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn pass(&self, client: TcpStream, target: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(server) = TcpStream::connect(target).await else {
            // A dead listener resets.
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
            // Dropped as they are, the writing halves would end their streams first.
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
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let count = from.read(&mut piece).await.ok()?;
            let passing = mode.wait_for(|mode| !mode.is_silent(direction)).await;
            let delay = passing.ok()?.delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if count == 0 {
                return to.shutdown().await.ok();
            }
            to.write_all(&piece[..count]).await.ok()?;
        }
    }
}
