//! Requests that a daemon's process sends one after the other on one connection.

use bramblewheel_protocol::control::{Registration, RequestBody};
use bramblewheel_types::DaemonId;

/// The requests of one kind of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct DaemonStream {
    kind: StreamKind,
    daemon: DaemonId,
    incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum StreamKind {
    Polls,
    Watches,
    Renewals,
}

impl DaemonStream {
    /// The stream that a request belongs to; `None` for requests that come on connections of their own.
    pub(super) fn of(request: &RequestBody) -> Option<Self> {
        let registered = |kind, registration: &Registration| Self {
            kind,
            daemon: registration.daemon.clone(),
            incarnation: registration.incarnation,
        };
        match request {
            RequestBody::Poll(poll) => Some(registered(StreamKind::Polls, &poll.registration)),
            RequestBody::Watch(watch) => Some(registered(StreamKind::Watches, &watch.registration)),
            RequestBody::Renew(renew) => Some(Self {
                kind: StreamKind::Renewals,
                daemon: renew.daemon.clone(),
                incarnation: renew.incarnation,
            }),
            _ => None,
        }
    }
}
