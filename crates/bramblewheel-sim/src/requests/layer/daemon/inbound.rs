//! Inbound attempts, their dispatch to the endpoint, and the endpoint's load reports.

use super::DaemonLayer;
use super::doubles::refuse_overloaded;
use crate::kernel::ProcessId;
use crate::requests::content::Content;
use crate::requests::double::UnsafeDouble;
use crate::requests::endpoint::RunRequest;
use crate::requests::layer::Environment;
use crate::requests::message::Timer;
use crate::requests::record::Record;
use crate::requests::topology::{RouteIndex, Topology};
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::{DispatchResult, Event, StoredAnswer};
use bramblewheel_types::AttemptId;
use std::time::Duration;

/// Interval of the endpoint's load reports; same value as in the real daemon.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// HTTP status that is stored for successful run-once operations.
const STATUS_SUCCESS: u16 = 200;
/// HTTP status that is stored for failed run-once operations.
const STATUS_ERROR: u16 = 500;

impl DaemonLayer {
    pub(super) fn inbound_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        mut context: CallContext,
        remaining: Duration,
        content: Content,
    ) {
        let attempt = context.attempt;
        if self.inbound.contains_key(&attempt) {
            return;
        }
        environment.record_at_endpoint(|endpoint| Record::Offered {
            endpoint,
            attempt,
            request: context.request,
            criticality: context.criticality,
            in_session: context.in_session,
        });
        if self.sheds_newest() {
            return refuse_overloaded(environment, from, attempt);
        }
        context.deadline = environment.context.now() + remaining;
        let request = RunRequest {
            route: route_of(environment.topology, &context),
            request: context.request,
            attempt: attempt.0,
            operation: context.operation.as_ref().map(|o| o.key.clone()),
            content,
        };
        self.inbound.insert(attempt, (from, request));
        self.submit(environment, Event::InboundCall { context });
    }

    pub(super) fn dispatch(&mut self, environment: &mut Environment<'_, '_>, attempt: AttemptId) {
        let Some((_, request)) = self.inbound.get(&attempt) else {
            return;
        };
        if let Some(run) = environment.run(request.clone()) {
            self.runs.insert(attempt, run);
            environment.record_at_endpoint(|endpoint| Record::Dispatched { endpoint, attempt });
            return;
        }
        let result = DispatchResult::NotSent;
        self.events
            .push_back(Event::DispatchEnded { attempt, result });
    }

    pub(super) fn end_dispatch(
        &mut self,
        environment: &mut Environment<'_, '_>,
        request: &RunRequest,
        is_success: bool,
    ) {
        let attempt = AttemptId(request.attempt);
        self.runs.remove(&attempt);
        let status = if is_success {
            STATUS_SUCCESS
        } else {
            STATUS_ERROR
        };
        let result = DispatchResult::Answered {
            failed: !is_success,
            stored: StoredAnswer {
                status,
                body: Some(request.content.encode()),
            },
        };
        self.bodies.insert(attempt, request.content);
        self.submit(environment, Event::DispatchEnded { attempt, result });
        self.bodies.remove(&attempt);
    }

    pub(super) fn submit_load_report(&mut self, environment: &mut Environment<'_, '_>) {
        let now = environment.context.now();
        let Some(endpoint) = environment.endpoint.as_mut() else {
            return;
        };
        let mut report = endpoint.report(now);
        report.draining &= self.double != Some(UnsafeDouble::IgnoreDrain);
        environment
            .context
            .set_timer(REPORT_INTERVAL, Timer::Report);
        self.submit(environment, Event::LocalReport(report));
    }
}

/// The route that a context names; contexts are made from the same topology.
fn route_of(topology: &Topology, context: &CallContext) -> RouteIndex {
    let service = topology.service_index(&context.service);
    let position = topology
        .routes
        .iter()
        .position(|route| Some(route.service) == service && route.path == context.path);
    RouteIndex(position.expect("each context names a route of the deployment"))
}
