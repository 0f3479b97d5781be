//! What the local endpoint states of itself in its answers: a rate limit, or that it drains.
//!
//! Which statement is in force is decided in [`bramblewheel_decisions::endpoint_limit`].

use super::state::{CurrentEndpoint, State};
use crate::dialect::{DrainStatement, EndpointStatement};
use bramblewheel_decisions::endpoint_limit::LimitChange;
use bramblewheel_types::{EndpointId, Timestamp};

/// Change that follows from a statement of the endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatementChange {
    /// Change of the rate limit in force.
    pub limit: Option<LimitChange>,
    /// Whether it is the first statement that the endpoint drains.
    pub has_begun_draining: bool,
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
        let is_draining = statement.drain == DrainStatement::Draining;
        let has_begun_draining = is_draining && !current.has_drain_notice;
        current.has_drain_notice |= is_draining;
        StatementChange {
            limit,
            has_begun_draining,
        }
    }
}
