//! Opens the data folder, and waits while the disk is too full for it.
//!
//! Until the folder is open there is no node and neither other replicas nor clients are served, so that the
//! replica can neither vote nor acknowledge anything. Only the admin listener answers.

use super::error::StartError;
use super::event_log;
use super::input::{Input, Inspection};
use crate::node::NodeMetrics;
use crate::node::full_disk::{FULL_REPORT_INTERVAL, RETRY_INTERVAL};
use bramblewheel_storage::StorageError;
use slog::Logger;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Instant;

/// Start of a replica until its data folder is open.
pub(super) struct Opening {
    /// Inputs of the future node: until it exists, only those of the admin listener.
    inputs: Receiver<Input>,
    log: Logger,
}

impl Opening {
    pub(super) fn new(inputs: Receiver<Input>, log: Logger) -> Self {
        Self { inputs, log }
    }

    /// The inputs for the node.
    pub(super) fn into_inputs(self) -> Receiver<Input> {
        self.inputs
    }

    /// Repeats an operation until it succeeds or fails for another reason than a full disk.
    pub(super) async fn retry_while_full<T>(
        mut self,
        mut operation: impl FnMut() -> Result<T, StartError>,
    ) -> Result<(Self, T), StartError> {
        let begun = Instant::now();
        let mut reported = None::<Instant>;
        let mut attempts = 0;
        loop {
            let error = match operation() {
                Err(StartError::Storage(error)) if error.is_disk_full() => error,
                result => {
                    if reported.is_some() && result.is_ok() {
                        event_log::disk_has_space(&self.log, begun.elapsed(), attempts);
                    }
                    return result.map(|value| (self, value));
                }
            };
            attempts += 1;
            if reported.is_none_or(|at| at.elapsed() >= FULL_REPORT_INTERVAL) {
                reported = Some(Instant::now());
                event_log::disk_full(&self.log, &error.to_string(), begun.elapsed(), attempts);
            }
            self = self.wait_for_retry(error).await?;
        }
    }

    /// Answers the admin listener until the next attempt is due. If the runtime is shutting down, returns
    /// the error of the last attempt.
    async fn wait_for_retry(self, error: StorageError) -> Result<Self, StartError> {
        let answering = move || {
            answer_inspections(&self.inputs);
            self
        };
        let answered = tokio::task::spawn_blocking(answering).await;
        answered.map_err(|_| StartError::Storage(error))
    }
}

fn answer_inspections(inputs: &Receiver<Input>) {
    let end = Instant::now() + RETRY_INTERVAL;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        match inputs.recv_timeout(left) {
            Ok(Input::Inspect(answer)) => {
                let metrics = NodeMetrics {
                    disk_full: true,
                    ..NodeMetrics::default()
                };
                // The client may have disconnected.
                let _ = answer.send(Inspection {
                    metrics,
                    has_group: false,
                    is_stopping: false,
                });
            }
            Ok(_) => {
                unreachable!("only the admin listener is served before the data folder is open")
            }
            Err(RecvTimeoutError::Timeout) => return,
            Err(RecvTimeoutError::Disconnected) => {
                return std::thread::sleep(left);
            }
        }
    }
}
