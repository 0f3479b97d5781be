//! Metrics that the driver reads and exports: monotonic counters and a few gauges.

use bramblewheel_types::{Criticality, NotRunReason, Outcome};
use std::collections::BTreeMap;

/// Answers by outcome, class and reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounters {
    /// Answers by outcome name and criticality.
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

/// Metrics of one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Answers to calls of local applications.
    pub outbound: OutcomeCounters,
    /// Answers to attempts of other daemons.
    pub inbound: OutcomeCounters,
    /// Attempts sent to other daemons.
    pub attempts_sent: u64,
    /// Attempts dispatched to the local endpoint.
    pub dispatched: u64,
    /// Attempts that cost a retry token.
    pub retry_tokens_spent: u64,
    /// Attempts rerouted without a token after a refusal that proves nothing ran.
    pub free_reroutes: u64,
    /// Retries not made because no token was left.
    pub retries_without_token: u64,
    /// Retries not made because a ratio budget was exhausted.
    pub retries_over_ratio: u64,
    /// Root calls that got no fresh tokens because they were resends.
    pub resends: u64,
    /// Sub-calls that an application repeated itself.
    pub application_repeats: u64,
    /// Calls shed before sending because of the called endpoint's admission level, by class.
    pub shed_early: BTreeMap<Criticality, u64>,
    /// Attempts shed at the local endpoint's queue, by class.
    pub shed: BTreeMap<Criticality, u64>,
    /// Late answers and other events for calls that had already ended.
    pub late_events: u64,
    /// Endpoints ejected after consecutive failures.
    pub ejections: u64,
    /// Claims released.
    pub claims_released: u64,
    /// Grants that arrived after the attempt was aborted.
    pub late_grants: u64,
    /// Attempts currently queued.
    pub queue_length: u64,
    /// Attempts currently running or claiming.
    pub running: u64,
    /// Current concurrency limit.
    pub concurrency_limit: u64,
    /// Outbound calls currently in progress.
    pub calls_in_progress: u64,
}
