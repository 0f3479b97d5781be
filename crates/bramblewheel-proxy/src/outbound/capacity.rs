//! Capacity for a caller request: whether it is refused before anything is sent, and what its outcome says of the
//! capacity for its class.
//!
//! The rule stands in [`bramblewheel_decisions::early_refusal`], who is exempt in
//! [`bramblewheel_decisions::exemption`]. Owns nothing. Shown by the metric `bramblewheel_refused_early_total` and
//! the log lines `refused early` and `room at endpoints`.

use crate::inbound::dispatch::text;
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::outcome::RequestOutcome;
use bramblewheel_decisions::early_refusal::CapacityFound;
use bramblewheel_decisions::exemption::is_exempt_from_refusal;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::ServiceName;
use rand::RngExt;

impl CallerRequest<'_> {
    /// Whether endpoints would refuse the request, so that it is refused here; logs and counts it then.
    pub(super) fn is_refused_early(&self) -> bool {
        if is_exempt_from_refusal(self.rank, self.is_likely_nested) {
            return false;
        }
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let class = self.class;
        let own_part = routing.early_refusal.refused_part(now, class);
        let for_others = routing.early_refusal.refused_for_others(now, class);
        let refused_part = own_part.max(for_others);
        if refused_part <= 0.0 || !routing.random.random_bool(refused_part) {
            return false;
        }
        let short = routing.early_refusal.short_downstream(class).cloned();
        drop(routing);
        self.shared.metrics.refused_early.inc();
        slog::info!(self.shared.log, "refused early"; "id" => text(&self.id),
            "route" => &self.route.route.name, "rank" => self.rank,
            "refused_part" => format_args!("{refused_part:.2}"),
            "for_others" => format_args!("{for_others:.2}"),
            "short" => short.as_ref().map_or("", ServiceName::as_str));
        true
    }

    /// Notes what the outcome says of the capacity for the request's class. If the local endpoint made it, the request
    /// that it made it for will fail for that.
    pub(super) fn note_capacity(&self, outcome: &RequestOutcome) {
        let Some(found) = self.capacity_found(outcome) else {
            return;
        };
        let now = self.shared.clock.now();
        if self.is_likely_nested
            && let Some(short) = self.short_service(&found)
        {
            self.shared.local.note_call_without_capacity(now, short);
        }
        let mut routing = self.shared.routing();
        let early_refusal = &mut routing.early_refusal;
        let change = early_refusal.record(now, self.class, found);
        let targets = &self.route.route.targets;
        early_refusal.set_rank_and_target(self.class, self.rank, &targets[0].service);
        let Some(change) = change else {
            return;
        };
        let short = early_refusal.short_downstream(self.class).cloned();
        drop(routing);
        slog::info!(self.shared.log, "room at endpoints"; "route" => &self.route.route.name,
            "change" => ?change, "short" => short.as_ref().map_or("", ServiceName::as_str),
            "last" => text(&self.id));
    }

    fn short_service(&self, found: &CapacityFound) -> Option<ServiceName> {
        match found {
            CapacityFound::Enough => None,
            CapacityFound::NoneAtService => lock(&self.full_service).clone(),
            CapacityFound::NoneDownstream(service) => Some(service.clone()),
        }
    }

    /// What the outcome says of the capacity for the request's class; none if it says nothing.
    fn capacity_found(&self, outcome: &RequestOutcome) -> Option<CapacityFound> {
        match outcome {
            RequestOutcome::Answered(answer) if answer.status().is_server_error() => {
                let short = lock(&self.last_report).short_downstream.clone();
                Some(short.map_or(CapacityFound::Enough, CapacityFound::NoneDownstream))
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
