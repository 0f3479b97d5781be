//! Signals to the process of a machine and modes of its relays, usable at any time: a fault ends when it is due, also
//! while another one holds the machine.

use crate::relay::{Mode, Relay};
use rustix::process::{Pid, Signal, kill_process};
use std::sync::{Arc, Mutex, MutexGuard};

/// Controls of one machine, shared by all faults that strike it.
#[derive(Clone, Debug, Default)]
pub struct HostControls {
    process: Arc<Mutex<Option<Pid>>>,
    relays: Arc<Mutex<Vec<Relay>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("a panic while the lock is held ends the soak, so the lock is never poisoned")
}

impl HostControls {
    /// Sets the process that runs now, if one does.
    pub(crate) fn set_process(&self, process: Option<Pid>) {
        *lock(&self.process) = process;
    }

    /// Sets the relays that are in front of the machine's listeners now; returns those before.
    pub(crate) fn replace_relays(&self, relays: Vec<Relay>) -> Vec<Relay> {
        std::mem::replace(&mut *lock(&self.relays), relays)
    }

    /// The process that runs now, if one does.
    pub(crate) fn process(&self) -> Option<Pid> {
        *lock(&self.process)
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = *lock(&self.process) {
            // The process may have exited already.
            let _ = kill_process(process, signal);
        }
    }

    /// Sets how all relays of the machine treat bytes.
    pub fn set_relays(&self, mode: Mode) {
        for relay in lock(&self.relays).iter() {
            relay.set(mode);
        }
    }

    /// Cuts the connections to the machine, which hears nothing more on them and no end.
    pub fn cut_connections(&self) {
        for relay in lock(&self.relays).iter() {
            relay.cut();
        }
    }

    /// Resets the connections to the machine.
    pub fn reset_connections(&self) {
        for relay in lock(&self.relays).iter() {
            relay.reset();
        }
    }
}
