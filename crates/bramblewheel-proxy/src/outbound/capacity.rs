//! Room for a call: whether it is refused before anything is sent, and what its end says of the room for
//! its like.

use crate::inbound::dispatch::text;
use crate::outbound::call::Call;
use crate::outbound::ending::Final;
use bramblewheel_decisions::early_refusal::CapacityFound;
use bramblewheel_decisions::tenants::is_most_important;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::ServiceName;
use rand::RngExt;

impl Call<'_> {
    /// Whether endpoints would refuse the request, so that it is refused here. What is most important
    /// is always sent.
    pub(super) fn is_refused_early(&self) -> bool {
        if is_most_important(self.rank) || self.is_likely_nested {
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

    /// Notes what the end of the request says of the room for its like. If it is a call of the local
    /// endpoint, what it was for will fail for that.
    pub(super) fn note_capacity(&self, ended: &Final) {
        let Some(found) = self.capacity_found(ended) else {
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
        early_refusal.describe(self.class, self.rank, &targets[0].service);
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

    /// What the end of the request says of the room for its like; none if it says nothing.
    fn capacity_found(&self, ended: &Final) -> Option<CapacityFound> {
        match ended {
            Final::Answered(answer) if answer.status().is_server_error() => {
                let short = lock(&self.last_report).short_downstream.clone();
                Some(short.map_or(CapacityFound::Enough, CapacityFound::NoneDownstream))
            }
            Final::Answered(_) => Some(CapacityFound::Enough),
            Final::NotRun { .. } if lock(&self.full_service).is_some() => {
                Some(CapacityFound::NoneAtService)
            }
            Final::NotRun { .. }
            | Final::Quarantined
            | Final::Stopping
            | Final::Unknown
            | Final::OutlastsStop
            | Final::TimedOut => None,
        }
    }

    pub(super) fn is_widely_refused(&self) -> bool {
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        routing.early_refusal.is_widespread(now, self.class)
    }
}
