//! Long polls that wait for an update, indexed by service and by deadline.

use super::output::ClientRequestId;
use bramblewheel_protocol::control::PollRequest;
use bramblewheel_types::{ServiceName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct HeldPoll {
    request: PollRequest,
    until: Timestamp,
}

/// Long polls that wait for an update. The cost of a change depends only on the number of polls that it affects.
#[derive(Debug, Default)]
pub(super) struct HeldPolls {
    polls: BTreeMap<ClientRequestId, HeldPoll>,
    by_service: BTreeMap<ServiceName, BTreeSet<ClientRequestId>>,
    by_deadline: BTreeSet<(Timestamp, ClientRequestId)>,
}

impl HeldPolls {
    pub(super) fn len(&self) -> usize {
        self.polls.len()
    }

    pub(super) fn hold(&mut self, id: ClientRequestId, request: PollRequest, until: Timestamp) {
        for service in &request.services {
            let waiting = self.by_service.entry(service.clone()).or_default();
            waiting.insert(id);
        }
        self.by_deadline.insert((until, id));
        self.polls.insert(id, HeldPoll { request, until });
    }

    pub(super) fn remove(&mut self, id: ClientRequestId) -> Option<PollRequest> {
        let HeldPoll { request, until } = self.polls.remove(&id)?;
        self.by_deadline.remove(&(until, id));
        for service in &request.services {
            if let Some(waiting) = self.by_service.get_mut(service) {
                waiting.remove(&id);
                if waiting.is_empty() {
                    self.by_service.remove(service);
                }
            }
        }
        Some(request)
    }

    /// Polls that wait for a change of any of the services.
    pub(super) fn waiting_for(&self, services: &BTreeSet<ServiceName>) -> Vec<ClientRequestId> {
        let waiting = services.iter().filter_map(|name| self.by_service.get(name));
        let ids: BTreeSet<ClientRequestId> = waiting.flatten().copied().collect();
        ids.into_iter().collect()
    }

    /// Polls whose wait is over.
    pub(super) fn due(&self, now: Timestamp) -> Vec<ClientRequestId> {
        let due = self.by_deadline.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| *id).collect()
    }

    pub(super) fn all(&self) -> Vec<ClientRequestId> {
        self.polls.keys().copied().collect()
    }
}
