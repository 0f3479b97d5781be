//! One send of a call: what goes along with it, and what its end tells.

use crate::http::exchange::Outgoing;
use crate::in_progress::Stage;
use crate::inbound::dispatch::{Attempted, Dispatched, text};
use crate::outbound::attempt::attempt;
use crate::outbound::call::Call;
use crate::outbound::ending::{attempt_end, is_proved_not_run};
use crate::outbound::open_send::OpenSend;
use crate::outbound::retry::Counts;
use crate::wire::Handover;
use bramblewheel_decisions::directory::Choice;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use http::HeaderValue;
use std::sync::atomic::Ordering;

impl Call<'_> {
    /// Sends the request to the chosen endpoint.
    pub(super) async fn send(
        &self,
        choice: &Choice,
        outgoing: &mut Outgoing,
        deadline: Timestamp,
        counts: &Counts,
    ) -> Dispatched {
        let route = &self.route.route;
        let begun = self.shared.clock.now();
        let deadline = self.end_of_time(deadline);
        let remaining = deadline.since(begun);
        let handover = Handover {
            endpoint: choice.endpoint.clone(),
            rank: self.rank,
            root_rank: self.root_rank,
            class: self.class,
            objective: route.objective.min(route.timeout),
            remaining,
            wait: self
                .longest_wait_now(route.objective, remaining)
                .saturating_sub(counts.waited),
            caller: self.caller(),
            is_likely_nested: self.is_likely_nested,
            tenant: self.from.as_ref().map(|from| from.tenant.header.clone()),
            content: Some(self.content),
            retried_share: if counts.arrivals > 0 {
                1.0
            } else {
                self.retried_share
            },
        };
        let mut open = OpenSend {
            shared: self.shared,
            endpoint: &choice.endpoint,
            route: &route.name,
            begun,
            is_over: false,
        };
        let already = self.may_have_run.swap(true, Ordering::Relaxed);
        let is_repeatable = route.is_repeatable && outgoing.body.is_whole();
        let attempting = attempt(
            self.shared,
            choice,
            &handover,
            deadline,
            is_repeatable,
            outgoing,
            &self.progress,
        );
        let attempted = attempting.await;
        self.progress.enters(Stage::Waiting);
        let Attempted { dispatched, told } = attempted;
        open.is_over = true;
        let result = dispatched.result();
        if !already && is_proved_not_run(result) {
            self.may_have_run.store(false, Ordering::Relaxed);
        }
        self.shared.metrics.attempt(result);
        let end = attempt_end(
            result,
            dispatched.has_failed(),
            self.shared.clock.since(begun),
        );
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let directory = &mut routing.directory;
        directory.record_end(now, &choice.endpoint, &route.name, end, told.load);
        if told.load.is_some() {
            let used = f64::from(told.bound_used_percent) / 100.0;
            let bound = &mut routing.retry_bound;
            bound.note_used_downstream(now, self.class, self.is_likely_nested, used);
        }
        let is_new = routing.note_nested(self.class, &told);
        drop(routing);
        if is_new {
            slog::info!(self.shared.log, "callers of route"; "route" => &route.name,
                "is_nested" => told.is_likely_nested, "told_by" => %choice.daemon, "last" => text(&self.id));
        }
        *lock(&self.last_report) = told;
        dispatched
    }

    /// Name of the service on this machine, which the request comes from.
    fn caller(&self) -> Option<HeaderValue> {
        let registered = self.shared.local.record();
        let settings = &self.shared.settings;
        let name = match &registered {
            Some(record) => Some(record.service.as_str()),
            None => settings.service.as_deref(),
        };
        name.and_then(|name| HeaderValue::try_from(name).ok())
    }
}
