//! Admission of requests to slots at the local endpoint.
//!
//! A request is refused at once if the endpoint takes no work, its rate limit is used up or the limit of its class is
//! reached. Otherwise it runs, or waits in a queue ordered by root rank, fair shares of
//! the tenants and deadline. Exemptions from the limit of a class are in
//! [`bramblewheel_decisions::exemption`], the rule of the queue in [`bramblewheel_decisions::admission`]. Refusals
//! appear in the log line `not admitted`.

use super::permit::{ClassEntry, Permit, WaitingRequest};
use super::state::WaitingPosition;
use super::{LocalEndpoint, Refusal};
use crate::wire::Handover;
use bramblewheel_decisions::admission::{Arrival, TenantKey};
use bramblewheel_decisions::exemption::is_exempt_from_refusal;
use bramblewheel_decisions::running_requests::RunningRequest;
use bramblewheel_process::clock::Clock;
use bramblewheel_types::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request that was accepted, to run at once or after a wait.
struct AcceptedRequest {
    /// Where the endpoint listens.
    address: SocketAddr,
    /// Its position in the queue and the channel that tells whether it may run; `None` if it runs at once.
    waiting: Option<WaitingPosition>,
}

impl LocalEndpoint {
    /// Waits for a slot at the endpoint until `until`.
    ///
    /// # Errors
    /// [`Refusal`] if the request is not admitted; nothing was sent to the endpoint.
    pub async fn admit(
        self: &Arc<Self>,
        clock: Clock,
        handover: &Handover,
        is_likely_nested: bool,
        until: Timestamp,
    ) -> Result<Permit, Refusal> {
        let class_entry = ClassEntry {
            class: handover.class,
            objective: handover.objective,
            is_limited: !is_exempt_from_refusal(handover.rank, is_likely_nested),
        };
        let started_at = clock.now();
        let accepted = self.accept(started_at, handover, class_entry, until)?;
        if let Some((position, admission)) = accepted.waiting {
            let mut waiting = WaitingRequest {
                local: self,
                clock,
                class_entry,
                position,
                is_over: false,
            };
            let admitted = clock.timeout_at(until, admission).await;
            let Ok(admitted) = admitted else {
                return Err(Refusal::Full);
            };
            waiting.is_over = true;
            if let Err(refusal) = admitted.unwrap_or(Err(Refusal::Full)) {
                self.lock().end_in_class(clock.now(), class_entry, None);
                return Err(refusal);
            }
        }
        Ok(self.permit(clock, handover, class_entry, started_at, accepted.address))
    }

    /// Accepts a request at the endpoint, to run at once or after a wait.
    fn accept(
        &self,
        now: Timestamp,
        handover: &Handover,
        class_entry: ClassEntry,
        until: Timestamp,
    ) -> Result<AcceptedRequest, Refusal> {
        let mut state = self.lock();
        if let Some(refusal) = state.refusal(&handover.endpoint, now) {
            return Err(refusal);
        }
        if let Some(current) = &mut state.current {
            let checked = current.rate_limit.check(now, !class_entry.is_limited);
            checked.map_err(Refusal::RateLimited)?;
        }
        if !state.begin_in_class(now, class_entry) {
            return Err(Refusal::Full);
        }
        let current = state.current.as_ref().ok_or(Refusal::Leaving)?;
        let address = current.record.endpoint_address;
        let queued = state.enter_queue(Arrival {
            rank: handover.root_rank,
            tenant: handover
                .sharing_tenant()
                .map(|tenant| TenantKey::new(tenant.as_bytes())),
            due: now + handover.remaining,
            until,
        });
        if queued.is_err() {
            state.end_in_class(now, class_entry, None);
        }
        let waiting = queued?;
        Ok(AcceptedRequest { address, waiting })
    }

    /// Creates the permit of a request that runs from now on.
    fn permit(
        self: &Arc<Self>,
        clock: Clock,
        handover: &Handover,
        class_entry: ClassEntry,
        started_at: Timestamp,
        address: SocketAddr,
    ) -> Permit {
        let request = RunningRequest {
            root_rank: handover.root_rank,
            tenant: handover.sharing_tenant().cloned(),
            class: handover.class,
            retried_share: handover.retried_share,
        };
        let running = &mut self.lock().running;
        Permit {
            local: Arc::clone(self),
            clock,
            class_entry,
            started_at,
            answered: None,
            running: running.begin(started_at + handover.remaining, request),
            address,
            endpoint: handover.endpoint.clone(),
            content: handover.content,
            sent_at: None,
        }
    }
}
