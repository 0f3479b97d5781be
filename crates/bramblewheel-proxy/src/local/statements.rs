//! What the local endpoint states of itself in its answers: a rate limit, its load, or that it drains.
//!
//! The rule of the limit is in [`bramblewheel_decisions::endpoint_limit`]. A drain notice closes the incarnation that
//! gave it at once, as a draining heartbeat does.

use super::state::{CurrentEndpoint, State};
use super::{LocalEndpoint, Refusal};
use crate::dialect::{DrainStatement, EndpointStatement};
use crate::wire::{Handover, LimitReport};
use bramblewheel_decisions::endpoint_limit::LimitChange;
use bramblewheel_decisions::load_statement::StatedLoad;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_types::{EndpointId, Timestamp};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Change that follows from a statement of the endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatementChange {
    /// Change of the rate limit in force.
    pub limit: Option<LimitChange>,
    /// Record of the endpoint as draining, to be sent to the control group, if the endpoint took work until now.
    pub draining: Option<EndpointRecord>,
}

impl LocalEndpoint {
    /// Checks, right before a request is sent to an incarnation, that the endpoint still takes work and that its rate
    /// limit allows one more request; takes the request's token. Returns whether a limit is in force.
    ///
    /// # Errors
    /// [`Refusal`] if the request must not be sent.
    pub fn begin_send(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        is_exempt: bool,
    ) -> Result<bool, Refusal> {
        if !self.must_check_sends.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let mut state = self.lock();
        let current = state.current_mut(endpoint).ok_or(Refusal::Leaving)?;
        if current.record.state.is_final() {
            return Err(Refusal::Leaving);
        }
        let taken = current.rate_limit.take(now, is_exempt);
        taken.map_err(Refusal::RateLimited)
    }

    /// Adopts the rate limit that the sender of a request knows, unless this daemon knows better.
    pub fn adopt_limit(&self, now: Timestamp, handover: &Handover) -> Option<LimitChange> {
        let known = handover.known_limit?;
        let mut state = self.lock();
        let current = state.current_mut(&handover.endpoint)?;
        let change = current.rate_limit.adopt(now, known);
        state.update_send_checks();
        change
    }

    /// What the sender of a request is told of the endpoint's rate limit: nothing if there is none and the sender knows
    /// of none, or if the request is for another incarnation.
    pub fn limit_report(&self, now: Timestamp, handover: &Handover) -> Option<LimitReport> {
        let is_known = handover.known_limit.is_some();
        if !is_known && !self.must_check_sends.load(Ordering::Relaxed) {
            return None;
        }
        let mut state = self.lock();
        let current = state.current_mut(&handover.endpoint)?;
        match current.rate_limit.in_force(now) {
            Some(known) => Some(LimitReport::Limited(known)),
            None => is_known.then_some(LimitReport::Unlimited),
        }
    }

    /// What this incarnation stated last of its load; `None` if it stated nothing recently.
    pub fn stated_load(&self, now: Timestamp, endpoint: &EndpointId) -> Option<StatedLoad> {
        let mut state = self.lock();
        state.current_mut(endpoint)?.stated_load.at(now)
    }

    /// Whether this incarnation has stated in an answer that it drains.
    pub fn has_drain_notice(&self, endpoint: &EndpointId) -> bool {
        if !self.must_check_sends.load(Ordering::Relaxed) {
            return false;
        }
        let mut state = self.lock();
        let current = state.current_mut(endpoint);
        current.is_some_and(|current| current.has_drain_notice)
    }
}

impl State {
    /// The current endpoint if it is this incarnation.
    fn current_mut(&mut self, endpoint: &EndpointId) -> Option<&mut CurrentEndpoint> {
        let current = self.current.as_mut();
        current.filter(|current| current.record.endpoint == *endpoint)
    }

    /// Records what an answer of an incarnation to a request sent at `sent_at` states.
    pub(super) fn record_statement(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        sent_at: Timestamp,
        statement: EndpointStatement,
    ) -> StatementChange {
        let Some(current) = self.current_mut(endpoint) else {
            return StatementChange::default();
        };
        // A value that can't be read says nothing of the limit in force.
        let limit = match statement.rate_limit {
            Ok(stated) => current.rate_limit.record_answer(now, sent_at, stated),
            Err(_) => None,
        };
        // Without a valid statement the previous one ages.
        if let Ok(Some(load)) = statement.load {
            let stated = StatedLoad {
                statement: load,
                age: Duration::ZERO,
            };
            current.stated_load.record(now, stated);
        }
        let draining = match statement.drain {
            DrainStatement::Draining => self.record_drain_notice(endpoint),
            DrainStatement::None | DrainStatement::Invalid => None,
        };
        if limit.is_some() || draining.is_some() {
            self.update_send_checks();
        }
        StatementChange { limit, draining }
    }

    /// Closes an incarnation that drains; returns its record if it took work until now. The record counts as final only
    /// once the control group has confirmed it.
    fn record_drain_notice(&mut self, endpoint: &EndpointId) -> Option<EndpointRecord> {
        let current = self.current_mut(endpoint)?;
        current.has_drain_notice = true;
        if current.record.state.is_final() {
            return None;
        }
        current.record.state = EndpointState::Draining;
        let record = current.record.clone();
        self.refuse_waiting();
        Some(record)
    }
}
