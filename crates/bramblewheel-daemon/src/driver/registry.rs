//! Registry of the tasks that serve calls and attempts, with their command channels.
//!
//! A call or attempt without an entry was cancelled or has ended; commands for it are dropped.

use crate::driver::{CallCommand, DuplicateAttempt, InboundCommand};
use bramblewheel_types::{AttemptId, CallId};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use tokio::sync::mpsc;

/// The tasks that serve calls and attempts.
#[derive(Debug, Default)]
pub(super) struct Registry {
    calls: HashMap<CallId, CallEntry>,
    attempts: HashMap<AttemptId, CallId>,
    inbound: HashMap<AttemptId, mpsc::UnboundedSender<InboundCommand>>,
}

#[derive(Debug)]
struct CallEntry {
    commands: mpsc::UnboundedSender<CallCommand>,
    attempts: Vec<AttemptId>,
}

impl Registry {
    /// Adds a call; its task reads commands from the receiver.
    pub(super) fn add_call(&mut self, call: CallId) -> mpsc::UnboundedReceiver<CallCommand> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let entry = CallEntry {
            commands,
            attempts: Vec::new(),
        };
        self.calls.insert(call, entry);
        receiver
    }

    /// Whether a call is in progress.
    pub(super) fn has_call(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// Removes a call and its attempts.
    pub(super) fn remove_call(&mut self, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        for attempt in entry.attempts {
            self.attempts.remove(&attempt);
        }
    }

    /// Adds an attempt of a call.
    pub(super) fn add_attempt(&mut self, call: CallId, attempt: AttemptId) {
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.attempts.push(attempt);
            self.attempts.insert(attempt, call);
        }
    }

    /// Removes an attempt and returns its call, if the attempt is in progress.
    pub(super) fn take_attempt(&mut self, attempt: AttemptId) -> Option<CallId> {
        self.attempts.remove(&attempt)
    }

    /// Sends a command to the task of a call.
    pub(super) fn send_call_command(&self, call: CallId, command: CallCommand) {
        if let Some(entry) = self.calls.get(&call) {
            let _ = entry.commands.send(command);
        }
    }

    /// Adds another daemon's attempt; its task reads commands from the receiver.
    ///
    /// # Errors
    /// [`DuplicateAttempt`] when an attempt with this id is in progress.
    pub(super) fn add_inbound(
        &mut self,
        attempt: AttemptId,
    ) -> Result<mpsc::UnboundedReceiver<InboundCommand>, DuplicateAttempt> {
        let (sender, receiver) = mpsc::unbounded_channel();
        match self.inbound.entry(attempt) {
            Entry::Occupied(_) => Err(DuplicateAttempt),
            Entry::Vacant(entry) => {
                entry.insert(sender);
                Ok(receiver)
            }
        }
    }

    /// Whether another daemon's attempt is in progress.
    pub(super) fn has_inbound(&self, attempt: AttemptId) -> bool {
        self.inbound.contains_key(&attempt)
    }

    /// Removes another daemon's attempt.
    pub(super) fn remove_inbound(&mut self, attempt: AttemptId) {
        self.inbound.remove(&attempt);
    }

    /// Sends a command to the task of another daemon's attempt.
    pub(super) fn send_inbound_command(&self, attempt: AttemptId, command: InboundCommand) {
        if let Some(sender) = self.inbound.get(&attempt) {
            let _ = sender.send(command);
        }
    }
}
