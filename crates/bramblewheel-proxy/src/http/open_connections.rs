//! Counts the open and idle connections of one listener.
//!
//! An idle connection holds buffers and a file descriptor. Many callers open a connection for each request and leave
//! it open, so that a busy daemon could run out of memory or file descriptors.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Connection counts of one listener.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    busy: AtomicUsize,
}

impl OpenConnections {
    /// Counts a connection until the returned value is dropped.
    pub fn enter(self: &Arc<Self>) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(self))
    }

    /// Counts a connection as busy until the returned value is dropped.
    pub fn begin_request(self: &Arc<Self>) -> BusyConnection {
        self.busy.fetch_add(1, Ordering::Relaxed);
        BusyConnection(Arc::clone(self))
    }

    /// Number of connections without a request in progress.
    pub fn idle(&self) -> usize {
        let open = self.open.load(Ordering::Relaxed);
        open.saturating_sub(self.busy.load(Ordering::Relaxed))
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

/// A connection with a request in progress.
#[derive(Debug)]
pub struct BusyConnection(Arc<OpenConnections>);

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}
