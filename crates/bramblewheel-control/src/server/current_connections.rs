//! The current connection of each client that uses one at a time.
//!
//! When such a client opens another connection, the earlier one is ended here, because the network may have cut it without
//! telling this side.

use bramblewheel_process::invariants::lock;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

/// The current connections, by client.
#[derive(Clone, Debug)]
pub(super) struct CurrentConnections<K>(Arc<Mutex<Connections<K>>>);

#[derive(Debug)]
struct Connections<K> {
    last_number: u64,
    by_client: HashMap<K, Entry>,
}

/// Dropping it tells the connection's task that another connection took its place.
#[derive(Debug)]
struct Entry {
    number: u64,
    _replaced: oneshot::Sender<()>,
}

impl<K> Default for CurrentConnections<K> {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Connections {
            last_number: 0,
            by_client: HashMap::new(),
        })))
    }
}

impl<K: Clone + Eq + Hash> CurrentConnections<K> {
    /// Makes a connection the current one of `client`.
    pub(super) fn register(&self, client: K) -> CurrentConnection<K> {
        let (sender, replaced) = oneshot::channel();
        let mut connections = lock(&self.0);
        connections.last_number += 1;
        let number = connections.last_number;
        let entry = Entry {
            number,
            _replaced: sender,
        };
        connections.by_client.insert(client.clone(), entry);
        CurrentConnection {
            connections: self.clone(),
            client,
            number,
            replaced,
        }
    }
}

/// The registration of a connection, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct CurrentConnection<K: Eq + Hash> {
    connections: CurrentConnections<K>,
    client: K,
    number: u64,
    replaced: oneshot::Receiver<()>,
}

impl<K: Eq + Hash> CurrentConnection<K> {
    /// Returns once the client has opened another connection.
    pub(super) async fn until_replaced(&mut self) {
        // Nothing is ever sent: the sender is dropped with its entry.
        let _ = (&mut self.replaced).await;
    }
}

impl<K: Eq + Hash> Drop for CurrentConnection<K> {
    fn drop(&mut self) {
        let mut connections = lock(&self.connections.0);
        let entry = connections.by_client.get(&self.client);
        if entry.is_some_and(|entry| entry.number == self.number) {
            connections.by_client.remove(&self.client);
        }
    }
}
