//! What the processes of a fleet have logged so far, and a way to wait for more.

use crate::journal::{Event, Journal};
use crate::process::{ChildEvent, LogEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, watch};

/// Longest wait for anything that a healthy process does at once.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A process did not do what was waited for.
#[derive(Debug, Error)]
#[error("{process}: {what} did not come{}", end_note(.ended))]
pub struct WaitError {
    /// The process.
    pub process: String,
    /// What was waited for.
    pub what: &'static str,
    /// Whether the process had ended meanwhile.
    pub ended: bool,
}

fn end_note(ended: &bool) -> &'static str {
    if *ended { ": it has ended" } else { "" }
}

/// Status of one process since its last start.
#[derive(Clone, Debug, Default)]
pub struct ProcessStatus {
    /// Open listeners.
    pub listeners: BTreeMap<String, SocketAddr>,
    /// Version of the bundle in force, 0 if none.
    pub bundle_version: u64,
    /// It has ended.
    pub has_ended: bool,
}

/// Status of all processes.
#[derive(Clone, Debug)]
pub struct Board {
    processes: watch::Sender<BTreeMap<String, ProcessStatus>>,
}

impl Board {
    /// A board that knows of no process.
    pub fn new() -> Self {
        Self {
            processes: watch::Sender::new(BTreeMap::new()),
        }
    }

    /// Forgets the status of a process that is about to start.
    pub fn begin(&self, process: &str) {
        self.processes.send_modify(|processes| {
            processes.insert(process.to_owned(), ProcessStatus::default());
        });
    }

    /// Takes in what the processes say, for ever.
    pub async fn follow(
        self,
        mut events: mpsc::UnboundedReceiver<(String, ChildEvent)>,
        journal: Journal,
    ) {
        while let Some((process, event)) = events.recv().await {
            self.take_in(process, event, &journal);
        }
    }

    fn take_in(&self, process: String, event: ChildEvent, journal: &Journal) {
        match event {
            ChildEvent::Log(LogEvent::Listening { listener, address }) => {
                self.update(&process, |status| {
                    status.listeners.insert(listener, address);
                });
            }
            ChildEvent::Log(LogEvent::BundleInForce { version }) => {
                let daemon = process.clone();
                journal.write(Event::BundleInForce {
                    process: daemon,
                    version,
                });
                self.update(&process, |status| status.bundle_version = version);
            }
            ChildEvent::Exited(status) => {
                let name = process.clone();
                journal.write(Event::Exited {
                    process: name,
                    status,
                });
                self.update(&process, |status| status.has_ended = true);
            }
        }
    }

    fn update(&self, process: &str, change: impl FnOnce(&mut ProcessStatus)) {
        self.processes
            .send_modify(|processes| change(processes.entry(process.to_owned()).or_default()));
    }

    /// Waits until a process listens, and says where.
    ///
    /// # Errors
    /// [`WaitError`] when it ends or [`PATIENCE`] is over.
    pub async fn listening(&self, process: &str, listener: &str) -> Result<SocketAddr, WaitError> {
        let found = |status: &ProcessStatus| status.listeners.get(listener).copied();
        self.wait(process, "its listener", PATIENCE, found).await
    }

    /// Waits until a daemon has a bundle of at least this version in force.
    ///
    /// # Errors
    /// [`WaitError`] when it ends or the patience is over.
    pub async fn bundle(
        &self,
        daemon: &str,
        version: u64,
        patience: Duration,
    ) -> Result<(), WaitError> {
        let found = |status: &ProcessStatus| (status.bundle_version >= version).then_some(());
        self.wait(daemon, "the bundle", patience, found).await
    }

    /// Waits until the end of a process was written down.
    ///
    /// # Errors
    /// [`WaitError`] when the patience is over.
    pub async fn ended(&self, process: &str, patience: Duration) -> Result<(), WaitError> {
        let found = |status: &ProcessStatus| status.has_ended.then_some(());
        self.wait(process, "its end", patience, found).await
    }

    async fn wait<T>(
        &self,
        process: &str,
        what: &'static str,
        patience: Duration,
        find: impl Fn(&ProcessStatus) -> Option<T>,
    ) -> Result<T, WaitError> {
        let mut receiver = self.processes.subscribe();
        let mut found = None;
        let mut ended = false;
        let settled = receiver.wait_for(|all| {
            let status = all.get(process);
            found = status.and_then(&find);
            ended = status.is_some_and(|status| status.has_ended);
            found.is_some() || ended
        });
        // The sender is this board's own; only the time can run out.
        let _ = tokio::time::timeout(patience, settled).await;
        found.ok_or_else(|| WaitError {
            process: process.to_owned(),
            what,
            ended,
        })
    }
}

impl Default for Board {
    fn default() -> Self {
        Self::new()
    }
}
