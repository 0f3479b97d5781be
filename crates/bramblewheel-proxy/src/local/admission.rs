//! The way of a request to a slot at the local endpoint.
//!
//! A request is refused at once where the endpoint takes no work or the limit of its class is reached; else it
//! runs, or waits in the queue by its root rank and its deadline. Who is exempt from the limit of a class stands in
//! [`bramblewheel_decisions::exemption`], the queue's rule in [`bramblewheel_decisions::admission`]. Owns nothing
//! but what waits. Shown by the log line `not admitted`.

use super::permit::{ClassShare, Permit, Waiting};
use super::{LocalEndpoint, Refusal};
use crate::wire::Handover;
use bramblewheel_decisions::admission::{Arrival, QueuePosition};
use bramblewheel_decisions::exemption::is_exempt_from_refusal;
use bramblewheel_decisions::running_requests::RunningRequest;
use bramblewheel_process::clock::Clock;
use bramblewheel_types::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A request that was taken in at the endpoint.
struct Entered {
    /// Where the endpoint listens.
    address: SocketAddr,
    /// Its position in the queue and what tells whether it may run; none where it runs at once.
    waiting: Option<(QueuePosition, oneshot::Receiver<bool>)>,
}

impl LocalEndpoint {
    /// Waits for a slot at the endpoint, until `until` at the latest.
    ///
    /// # Errors
    /// [`Refusal`]; the endpoint got nothing.
    pub async fn admit(
        self: &Arc<Self>,
        clock: Clock,
        handover: &Handover,
        is_likely_nested: bool,
        until: Timestamp,
    ) -> Result<Permit, Refusal> {
        let share = ClassShare {
            class: handover.class,
            objective: handover.objective,
            is_limited: !is_exempt_from_refusal(handover.rank, is_likely_nested),
        };
        let begun = clock.now();
        let entered = self.enter(clock.now(), handover, share, until)?;
        if let Some((position, admission)) = entered.waiting {
            let mut waiting = Waiting {
                local: self,
                clock,
                class: share,
                position,
                is_over: false,
            };
            let admitted = clock.timeout_at(until, admission).await;
            let Ok(admitted) = admitted else {
                return Err(Refusal::Full);
            };
            waiting.is_over = true;
            if !matches!(admitted, Ok(true)) {
                self.lock().end_in_class(clock.now(), share, None);
                return Err(Refusal::Full);
            }
        }
        Ok(self.permit(clock, handover, share, begun, entered.address))
    }

    /// Takes a request in at the endpoint: it runs or waits.
    fn enter(
        &self,
        now: Timestamp,
        handover: &Handover,
        share: ClassShare,
        until: Timestamp,
    ) -> Result<Entered, Refusal> {
        let mut state = self.lock();
        if let Some(refusal) = state.refusal(&handover.endpoint, now) {
            return Err(refusal);
        }
        if !state.begin_in_class(now, share) {
            return Err(Refusal::Full);
        }
        let current = state.current.as_ref().ok_or(Refusal::Leaving)?;
        let address = current.record.endpoint_address;
        let entered = state.enter(Arrival {
            rank: handover.root_rank,
            due: now + handover.remaining,
            until,
        });
        if entered.is_err() {
            state.end_in_class(now, share, None);
        }
        let waiting = entered?;
        Ok(Entered { address, waiting })
    }

    /// The slot of a request that runs from now on.
    fn permit(
        self: &Arc<Self>,
        clock: Clock,
        handover: &Handover,
        class: ClassShare,
        begun: Timestamp,
        address: SocketAddr,
    ) -> Permit {
        let request = RunningRequest {
            root_rank: handover.root_rank,
            class: handover.class,
            retried_share: handover.retried_share,
        };
        let running = &mut self.lock().running;
        Permit {
            local: Arc::clone(self),
            clock,
            class,
            begun,
            answered: None,
            running: running.begin(begun + handover.remaining, request),
            address,
            endpoint: handover.endpoint.clone(),
            content: handover.content,
            is_sent: false,
        }
    }
}
