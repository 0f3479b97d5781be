//! A connection to another replica that notices when nothing arrives there any more.
//!
//! The receiver acknowledges what arrives, one byte each [`super::peer_in`] check. The system's own acknowledgements show
//! less: a proxy on the way may send them, and drop what it received.

use bramblewheel_protocol::socket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out for writing messages, which a frozen replica does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from a write to its acknowledgement after which the connection is given up.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to receive an acknowledgement that arrived while this process could not run.
const LAST_READ_TIME: Duration = Duration::from_millis(20);

/// Why a connection can't be used for the next message.
#[derive(Debug, Error)]
pub(super) enum Unusable {
    #[error("closed by the replica")]
    Closed,
    #[error("not acknowledged")]
    Unacknowledged {
        /// Whether the replica acknowledged earlier messages on it; one of an earlier version never does.
        was_acknowledged: bool,
    },
}

/// An open connection.
#[derive(Debug)]
pub(super) struct PeerStream {
    stream: TcpStream,
    /// Time of the first write since the last acknowledgement.
    unacknowledged_since: Option<Instant>,
    was_acknowledged: bool,
}

impl PeerStream {
    /// Opens a connection.
    ///
    /// # Errors
    /// Error of the operating system, or [`ErrorKind::TimedOut`].
    pub(super) async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stream: socket::connect(address, CONNECT_TIMEOUT).await?,
            unacknowledged_since: None,
            was_acknowledged: false,
        })
    }

    /// Checks whether messages sent on it still arrive, as far as this side knows.
    ///
    /// # Errors
    /// Why it must not be used any more.
    pub(super) async fn check(&mut self) -> Result<(), Unusable> {
        self.read_acknowledgements()?;
        if !self.is_overdue() {
            return Ok(());
        }
        // Only waits for the stream; what arrived is read below.
        let _ = timeout(LAST_READ_TIME, self.stream.readable()).await;
        self.read_acknowledgements()?;
        if !self.is_overdue() {
            return Ok(());
        }
        Err(Unusable::Unacknowledged {
            was_acknowledged: self.was_acknowledged,
        })
    }

    /// Writes bytes, which the replica is to acknowledge.
    ///
    /// # Errors
    /// Error of the operating system, or [`ErrorKind::TimedOut`].
    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, self.stream.write_all(bytes))
            .await
            .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        self.unacknowledged_since.get_or_insert_with(Instant::now);
        Ok(())
    }

    fn is_overdue(&self) -> bool {
        let since = self.unacknowledged_since;
        since.is_some_and(|since| since.elapsed() >= ACKNOWLEDGEMENT_TIMEOUT)
    }

    fn read_acknowledgements(&mut self) -> Result<(), Unusable> {
        let mut bytes = [0; 16];
        loop {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return Err(Unusable::Closed),
                Ok(_) => {
                    self.unacknowledged_since = None;
                    self.was_acknowledged = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(Unusable::Closed),
            }
        }
    }
}
