//! Places at the local endpoint, and the wait for one.

use super::LocalEndpoint;
use crate::decide::admission::Place;
use crate::decide::route_limit::Answered;
use bramblewheel_process::clock::Clock;
use bramblewheel_types::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A place at the endpoint; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) local: Arc<LocalEndpoint>,
    pub(super) clock: Clock,
    pub(super) route: RouteShare,
    pub(super) begun: Timestamp,
    pub(super) answered: Option<Answered>,
    /// Where the endpoint listens.
    pub address: SocketAddr,
}

/// A place among the requests of one route.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteShare {
    pub(super) route: u64,
    pub(super) objective: Duration,
    pub(super) is_limited: bool,
}

impl Permit {
    /// The endpoint's answer has come.
    pub fn answered(&mut self, has_failed: bool) {
        let now = self.clock.now();
        let time = now.since(self.begun);
        self.local.lock().note_outcome(now, has_failed);
        self.answered = Some(Answered { time, has_failed });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.local.lock();
        state.end_route(now, self.route, self.answered);
        let started = state.queue.finish(now);
        state.start(started);
    }
}

/// A request that waits for a place; leaves the queue when dropped.
pub(super) struct Waiting<'a> {
    pub(super) local: &'a LocalEndpoint,
    pub(super) clock: Clock,
    pub(super) route: RouteShare,
    pub(super) place: Place,
    pub(super) is_over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let now = self.clock.now();
        let mut state = self.local.lock();
        state.end_route(now, self.route, None);
        let has_waited = state.queue.leave(&self.place);
        let was_told = state.waiting.remove(&self.place.ticket).is_none();
        // A place that was given at the last moment is given back.
        if !has_waited && was_told {
            let started = state.queue.finish(now);
            state.start(started);
        }
    }
}
