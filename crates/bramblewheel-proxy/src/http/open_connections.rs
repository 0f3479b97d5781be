//! Connections of one listener: how many are open, and how many of them rest between two requests.
//!
//! A connection at rest holds buffers and a descriptor. Many callers open a connection for each
//! request and leave it open, so that a busy daemon would hold more of them than it has memory and
//! descriptors for, and would have none left for the next caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Connections of one listener.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    running: AtomicUsize,
}

impl OpenConnections {
    /// Counts a connection until the returned value is dropped.
    pub fn enter(self: &Arc<Self>) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(self))
    }

    /// Counts a connection as not at rest until the returned value is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RunningRequest {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningRequest(Arc::clone(self))
    }

    /// Connections that carry no request now.
    pub fn resting(&self) -> usize {
        let open = self.open.load(Ordering::Relaxed);
        open.saturating_sub(self.running.load(Ordering::Relaxed))
    }
}

/// An open connection.
#[derive(Debug)]
pub struct OpenConnection(Arc<OpenConnections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request on one of the connections.
#[derive(Debug)]
pub struct RunningRequest(Arc<OpenConnections>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
