//! Connections to other replicas: one to each, opened when there is a message to send.

use super::peer_stream::{PeerStream, Unusable};
use crate::node::{Hello, PeerMessage};
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME, MAX_PEER_FRAME};
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::ReplicaId;
use slog::Logger;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Messages queued for one replica at most. Further ones are dropped; replication sends again what is
/// still needed.
const MAX_WAITING: usize = 1024;
/// Pause after the first connection failure; doubled with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause after a connection failure.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Senders to all replicas that a message was ever sent to.
pub(super) struct PeerSenders {
    own: ReplicaAddress,
    group: watch::Sender<Option<u64>>,
    senders: HashMap<ReplicaId, (SocketAddr, mpsc::Sender<PeerMessage>)>,
    runtime: Handle,
    log: Logger,
}

impl PeerSenders {
    pub(super) fn new(own: ReplicaAddress, runtime: Handle, log: Logger) -> Self {
        Self {
            own,
            group: watch::Sender::new(None),
            senders: HashMap::new(),
            runtime,
            log,
        }
    }

    /// Sets the group sent in the [`Hello`] of new connections.
    pub(super) fn set_group(&self, group: u64) {
        self.group.send_replace(Some(group));
    }

    /// Queues a message for sending; drops it if the queue is full.
    pub(super) fn send(&mut self, to: ReplicaId, address: SocketAddr, message: PeerMessage) {
        let existing = self.senders.get(&to);
        let sender = match existing.filter(|(current, _)| *current == address) {
            Some((_, sender)) => sender.clone(),
            None => self.open(to, address),
        };
        let _ = sender.try_send(message);
    }

    fn open(&mut self, to: ReplicaId, address: SocketAddr) -> mpsc::Sender<PeerMessage> {
        let (sender, messages) = mpsc::channel(MAX_WAITING);
        let link = PeerLink {
            own: self.own.clone(),
            to,
            address,
            group: self.group.subscribe(),
            messages,
            stream: None,
            backoff: MIN_BACKOFF,
            retry_at: Instant::now(),
            log: self.log.clone(),
        };
        self.runtime.spawn(link.run());
        self.senders.insert(to, (address, sender.clone()));
        sender
    }
}

/// The connection to one replica.
struct PeerLink {
    own: ReplicaAddress,
    to: ReplicaId,
    address: SocketAddr,
    group: watch::Receiver<Option<u64>>,
    messages: mpsc::Receiver<PeerMessage>,
    stream: Option<PeerStream>,
    backoff: Duration,
    retry_at: Instant,
    log: Logger,
}

impl PeerLink {
    /// Sends messages until the node's thread has ended.
    async fn run(mut self) {
        while let Some(message) = self.messages.recv().await {
            if self.stream.is_none() && Instant::now() < self.retry_at {
                continue;
            }
            match self.deliver(message).await {
                Ok(()) => self.backoff = MIN_BACKOFF,
                Err(error) => self.back_off(&error),
            }
        }
    }

    async fn deliver(&mut self, message: PeerMessage) -> Result<(), CodecError> {
        let mut stream = match self.usable_stream().await {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let mut frames = codec::encode(&message, MAX_PEER_FRAME)?;
        while frames.len() < MAX_CONTROL_FRAME {
            let Ok(next) = self.messages.try_recv() else {
                break;
            };
            frames.extend(codec::encode(&next, MAX_PEER_FRAME)?);
        }
        stream.write(&frames).await?;
        self.stream = Some(stream);
        Ok(())
    }

    /// The open connection; `None` if there is none on which messages still arrive.
    async fn usable_stream(&mut self) -> Option<PeerStream> {
        let mut stream = self.stream.take()?;
        match stream.check().await {
            Ok(()) => return Some(stream),
            Err(Unusable::Closed) => {}
            Err(
                unusable @ Unusable::Unacknowledged {
                    was_acknowledged: true,
                },
            ) => {
                slog::info!(self.log, "connection to replica given up";
                    "address" => self.address.to_string(), "reason" => %unusable);
            }
            Err(unusable) => {
                slog::debug!(self.log, "connection to replica given up";
                    "address" => self.address.to_string(), "reason" => %unusable);
            }
        }
        None
    }

    async fn connect(&self) -> Result<PeerStream, CodecError> {
        let mut stream = PeerStream::connect(self.address).await?;
        let hello = Hello {
            group: *self.group.borrow(),
            from: self.own.clone(),
            to: self.to.0,
            reads_usage_reports: true,
            reads_acknowledgements: true,
        };
        let frame = codec::encode(&hello, MAX_CONTROL_FRAME)?;
        stream.write(&frame).await?;
        Ok(stream)
    }

    /// Backs off after a failure and drops the queued messages, which would be out of date by the time
    /// that the replica is reachable again.
    fn back_off(&mut self, error: &CodecError) {
        slog::debug!(self.log, "replica not reached"; "address" => self.address.to_string(),
            "error" => %error);
        while self.messages.try_recv().is_ok() {}
        self.retry_at = Instant::now() + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
