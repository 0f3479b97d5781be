//! Early refusal of caller requests, and updates of the capacity estimate of their class from their outcomes.
//!
//! The rule is in [`bramblewheel_decisions::early_refusal`], the exemptions in [`bramblewheel_decisions::exemption`].
//! Early refusals appear in the metric `bramblewheel_refused_early_total` and the log line `refused early`, changes
//! of the estimate in the log line `room at endpoints`.

use crate::inbound::dispatch::id_text;
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::outcome::RequestOutcome;
use bramblewheel_decisions::early_refusal::CapacityFound;
use bramblewheel_decisions::exemption::is_exempt_from_refusal;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::ServiceName;
use rand::RngExt;

impl CallerRequest<'_> {
    /// Whether the request is refused here because endpoints would likely refuse it; logs and counts a refusal.
    pub(super) fn is_refused_early(&self) -> bool {
        if is_exempt_from_refusal(self.rank, self.is_likely_nested) {
            return false;
        }
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let class = self.class;
        let own_refused_part = routing.early_refusal.refused_part(now, class);
        let for_others = routing.early_refusal.refused_for_others(now, class);
        let refused_part = own_refused_part.max(for_others);
        if refused_part <= 0.0 || !routing.random.random_bool(refused_part) {
            return false;
        }
        let full_downstream = routing.early_refusal.short_downstream(class).cloned();
        drop(routing);
        self.shared.metrics.refused_early.inc();
        slog::info!(self.shared.log, "refused early"; "id" => id_text(&self.id),
            "route" => &self.route.route.name, "rank" => self.rank,
            "refused_part" => format_args!("{refused_part:.2}"),
            "for_others" => format_args!("{for_others:.2}"),
            "short" => full_downstream.as_ref().map_or("", ServiceName::as_str));
        true
    }

    /// Updates the capacity estimate of the request's class from its outcome. A nested call without capacity is also
    /// recorded at the local endpoint, since the request that made it will fail because of it.
    pub(super) fn record_capacity(&self, outcome: &RequestOutcome) {
        let Some(found) = self.capacity_found(outcome) else {
            return;
        };
        let now = self.shared.clock.now();
        if self.is_likely_nested
            && let Some(full_downstream) = self.full_service_of(&found)
        {
            self.shared
                .local
                .record_call_without_capacity(now, full_downstream);
        }
        let mut routing = self.shared.routing();
        let early_refusal = &mut routing.early_refusal;
        let change = early_refusal.record(now, self.class, found);
        let targets = &self.route.route.targets;
        early_refusal.set_rank_and_target(self.class, self.rank, &targets[0].service);
        let Some(change) = change else {
            return;
        };
        let full_downstream = early_refusal.short_downstream(self.class).cloned();
        drop(routing);
        slog::info!(self.shared.log, "room at endpoints"; "route" => &self.route.route.name,
            "change" => ?change, "short" => full_downstream.as_ref().map_or("", ServiceName::as_str),
            "last" => id_text(&self.id));
    }

    fn full_service_of(&self, found: &CapacityFound) -> Option<ServiceName> {
        match found {
            CapacityFound::Enough => None,
            CapacityFound::NoneAtService => lock(&self.full_service).clone(),
            CapacityFound::NoneDownstream(service) => Some(service.clone()),
        }
    }

    /// Capacity for the request's class according to its outcome; `None` if the outcome doesn't depend on it.
    fn capacity_found(&self, outcome: &RequestOutcome) -> Option<CapacityFound> {
        match outcome {
            RequestOutcome::Answered(answer) if answer.status().is_server_error() => {
                let full_downstream = lock(&self.last_report).full_downstream.clone();
                Some(full_downstream.map_or(CapacityFound::Enough, CapacityFound::NoneDownstream))
            }
            RequestOutcome::Answered(_) => Some(CapacityFound::Enough),
            RequestOutcome::NotRun { .. } if lock(&self.full_service).is_some() => {
                Some(CapacityFound::NoneAtService)
            }
            RequestOutcome::NotRun { .. }
            | RequestOutcome::Quarantined
            | RequestOutcome::Stopping
            | RequestOutcome::Unknown
            | RequestOutcome::OutlastsStop
            | RequestOutcome::TimedOut => None,
        }
    }
}
