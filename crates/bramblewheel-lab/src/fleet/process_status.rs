//! Status of a fleet's processes as far as it follows from their logs and exits, with waits for changes.

use crate::journal::{Event, Journal};
use crate::process::{ChildEvent, LogEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, watch};

/// Time-out for anything that a healthy process does without delay.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A process did not reach an awaited status in time.
#[derive(Debug, Error)]
#[error("{process}: {what} did not come{}", end_note(.has_ended))]
pub struct WaitError {
    /// Name of the process.
    pub process: String,
    /// The awaited status.
    pub what: &'static str,
    /// Whether the process has exited.
    pub has_ended: bool,
}

fn end_note(has_ended: &bool) -> &'static str {
    if *has_ended { ": it has ended" } else { "" }
}

/// Status of a process since its last start.
#[derive(Clone, Debug, Default)]
pub struct ProcessStatus {
    /// Addresses of open listeners, by name.
    pub listeners: BTreeMap<String, SocketAddr>,
    /// Version of the bundle in force, 0 if none.
    pub bundle_version: u64,
    /// Whether the process has exited.
    pub has_ended: bool,
}

/// Status of all processes.
#[derive(Clone, Debug)]
pub struct StatusTable {
    processes: watch::Sender<BTreeMap<String, ProcessStatus>>,
}

impl StatusTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            processes: watch::Sender::new(BTreeMap::new()),
        }
    }

    /// Resets the status of a process that is about to start.
    pub fn reset(&self, process: &str) {
        self.processes.send_modify(|processes| {
            processes.insert(process.to_owned(), ProcessStatus::default());
        });
    }

    /// Applies the events of the processes until the channel closes.
    pub async fn apply_events(
        self,
        mut events: mpsc::UnboundedReceiver<(String, ChildEvent)>,
        journal: Journal,
    ) {
        while let Some((process, event)) = events.recv().await {
            self.apply(process, event, &journal);
        }
    }

    fn apply(&self, process: String, event: ChildEvent, journal: &Journal) {
        match event {
            ChildEvent::Log(LogEvent::Listening { listener, address }) => {
                self.update(&process, |status| {
                    status.listeners.insert(listener, address);
                });
            }
            ChildEvent::Log(LogEvent::BundleInForce { version }) => {
                let name = process.clone();
                journal.write(Event::BundleInForce {
                    process: name,
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

    /// Waits until a process has opened a listener; returns its address.
    ///
    /// # Errors
    /// [`WaitError`] when the process exits or after [`DEFAULT_TIMEOUT`].
    pub async fn wait_for_listener(
        &self,
        process: &str,
        listener: &str,
    ) -> Result<SocketAddr, WaitError> {
        let found = |status: &ProcessStatus| status.listeners.get(listener).copied();
        self.wait(process, "its listener", DEFAULT_TIMEOUT, found)
            .await
    }

    /// Waits until a daemon has a bundle of at least this version in force.
    ///
    /// # Errors
    /// [`WaitError`] when the daemon exits or after the time-out.
    pub async fn wait_for_bundle(
        &self,
        daemon: &str,
        version: u64,
        timeout: Duration,
    ) -> Result<(), WaitError> {
        let found = |status: &ProcessStatus| (status.bundle_version >= version).then_some(());
        self.wait(daemon, "the bundle", timeout, found).await
    }

    /// Waits until the exit of a process has been recorded.
    ///
    /// # Errors
    /// [`WaitError`] after the time-out.
    pub async fn wait_for_exit(&self, process: &str, timeout: Duration) -> Result<(), WaitError> {
        let found = |status: &ProcessStatus| status.has_ended.then_some(());
        self.wait(process, "its end", timeout, found).await
    }

    async fn wait<T>(
        &self,
        process: &str,
        what: &'static str,
        timeout: Duration,
        find: impl Fn(&ProcessStatus) -> Option<T>,
    ) -> Result<T, WaitError> {
        let mut receiver = self.processes.subscribe();
        let mut found = None;
        let mut has_ended = false;
        let settled = receiver.wait_for(|all| {
            let status = all.get(process);
            found = status.and_then(&find);
            has_ended = status.is_some_and(|status| status.has_ended);
            found.is_some() || has_ended
        });
        // The sender is part of this table and stays open, so only the time-out can end the wait early.
        let _ = tokio::time::timeout(timeout, settled).await;
        found.ok_or_else(|| WaitError {
            process: process.to_owned(),
            what,
            has_ended,
        })
    }
}

impl Default for StatusTable {
    fn default() -> Self {
        Self::new()
    }
}
