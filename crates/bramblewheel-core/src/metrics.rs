//! Counters that the shell reads and exports. They only ever rise, save for the gauges.

use bramblewheel_types::{Criticality, NotRunReason, Outcome};
use std::collections::BTreeMap;

/// Answers counted by outcome, class and reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounters {
    /// By outcome name and criticality.
    pub by_outcome: BTreeMap<(&'static str, Criticality), u64>,
    /// Not-run answers by reason.
    pub by_reason: BTreeMap<NotRunReason, u64>,
}

impl OutcomeCounters {
    pub(crate) fn record(&mut self, outcome: Outcome, criticality: Criticality) {
        *self
            .by_outcome
            .entry((outcome.as_str(), criticality))
            .or_default() += 1;
        if let Outcome::NotRun { reason, .. } = outcome {
            *self.by_reason.entry(reason).or_default() += 1;
        }
    }
}

/// What one engine has done so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Answers to the local applications' calls.
    pub outbound: OutcomeCounters,
    /// Answers to other daemons' attempts.
    pub inbound: OutcomeCounters,
    /// Attempts sent to other daemons.
    pub attempts_sent: u64,
    /// Attempts passed to the local endpoint.
    pub dispatched: u64,
    /// Attempts that cost a retry token.
    pub retry_tokens_spent: u64,
    /// Attempts sent elsewhere without a token after a refusal that cost nothing.
    pub free_reroutes: u64,
    /// Retries not made because no token was left.
    pub retries_without_token: u64,
    /// Retries not made because a ratio budget was used up.
    pub retries_over_ratio: u64,
    /// Root calls that came without fresh tokens because they were resends.
    pub resends: u64,
    /// Sub-calls that an application repeated by itself.
    pub application_repeats: u64,
    /// Calls shed before sending, on the called endpoint's admission level, by class.
    pub shed_early: BTreeMap<Criticality, u64>,
    /// Attempts shed at the local endpoint's queue, by class.
    pub shed: BTreeMap<Criticality, u64>,
    /// Late answers and other events for calls that had ended.
    pub late_events: u64,
    /// Endpoints ejected after consecutive failures.
    pub ejections: u64,
    /// Claims given back.
    pub claims_released: u64,
    /// Grants that came after the attempt was given up.
    pub late_grants: u64,
    /// Attempts waiting now.
    pub queue_length: u64,
    /// Attempts running or claiming now.
    pub running: u64,
    /// Concurrency limit now.
    pub concurrency_limit: u64,
    /// Outbound calls in progress now.
    pub calls_in_progress: u64,
}
