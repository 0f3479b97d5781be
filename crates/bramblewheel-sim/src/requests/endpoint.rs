//! Model of an endpoint: slots, its own queue, service times, cold start, sub-calls, cancellation.
//!
//! A request holds its slot until it ends, also while it waits for sub-calls. A failed sub-call fails
//! the request immediately.

use super::content::{Content, RunId};
use super::slab::{Key, Slab};
use super::tape::Tape;
use super::topology::{Endpoint, RouteIndex, Topology};
use super::work::log_normal;
use bramblewheel_core::event::EndpointReport;
use bramblewheel_types::{OperationKey, RequestId, Timestamp};
use rand::{Rng, RngExt};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Key of a request that an endpoint runs or queues.
pub type RunKey = Key<Run>;

/// A request for an endpoint to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRequest {
    /// Route called.
    pub route: RouteIndex,
    /// The original request.
    pub request: RequestId,
    /// Number of the attempt; interpreted only by the layer.
    pub attempt: u64,
    /// Set if the request must not run twice.
    pub operation: Option<OperationKey>,
    /// Content of the request.
    pub content: Content,
}

/// One request at an endpoint, running or queued.
#[derive(Debug)]
pub struct Run {
    /// Id, unique in the simulation.
    pub id: RunId,
    /// The request.
    pub request: RunRequest,
    started: Option<Timestamp>,
    next_call: usize,
    waiting: usize,
}

/// An action that an endpoint requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointAction {
    /// Call `work_done` after the given time.
    Work {
        /// The run.
        run: RunKey,
        /// Time until the work is done.
        duration: Duration,
    },
    /// A request began to run, directly or from the queue.
    Started {
        /// Id of the run.
        id: RunId,
        /// The request.
        request: RunRequest,
    },
    /// Make a sub-call and call `sub_call_ended` when it ends.
    SubCall {
        /// The run.
        run: RunKey,
        /// Position among the route's sub-calls.
        position: usize,
    },
    /// A run ended.
    Ended {
        /// The run; its key is no longer valid.
        run: RunKey,
        /// Id of the run.
        id: RunId,
        /// The request.
        request: RunRequest,
        /// Time in the slot.
        held: Duration,
        /// Whether it succeeded.
        is_success: bool,
    },
}

/// Model of one endpoint.
#[derive(Debug)]
pub struct EndpointModel {
    topology: Arc<Topology>,
    spec: Endpoint,
    started: Timestamp,
    slowdown: f64,
    reports_draining: bool,
    failure_share: f64,
    report_fault: Option<ReportFault>,
    tape: Option<Tape>,
    next_run: u64,
    running: u32,
    queue: VecDeque<RunKey>,
    runs: Slab<Run>,
    samples: VecDeque<(Timestamp, u32)>,
}

impl EndpointModel {
    /// Creates an endpoint that starts now, with its entry in the topology; runs are numbered from
    /// `next_run`.
    pub fn new(topology: Arc<Topology>, spec: Endpoint, next_run: u64, now: Timestamp) -> Self {
        Self {
            topology,
            spec,
            started: now,
            slowdown: 1.0,
            reports_draining: false,
            failure_share: 0.0,
            report_fault: None,
            tape: None,
            next_run,
            running: 0,
            queue: VecDeque::new(),
            runs: Slab::default(),
            samples: VecDeque::new(),
        }
    }

    /// Sets the factor by which all further work is slowed.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Reports draining from now on, but still accepts requests.
    pub fn announce_drain(&mut self) {
        self.reports_draining = true;
    }

    /// Sets the share of runs that end in an error.
    pub fn set_failure_share(&mut self, share: f64) {
        self.failure_share = share;
    }

    /// Sets the fault of the load report.
    pub fn set_report_fault(&mut self, fault: Option<ReportFault>) {
        self.report_fault = fault;
    }

    /// Sets the tape that records or plays the draws.
    pub(super) fn set_tape(&mut self, tape: Option<Tape>) {
        self.tape = tape;
    }

    /// Number of the next run.
    pub fn next_run(&self) -> u64 {
        self.next_run
    }

    /// Skips the cold start.
    pub fn warm_up(&mut self) {
        self.spec.cold_start = Duration::ZERO;
    }

    /// A running or queued request.
    pub fn run(&self, run: RunKey) -> Option<&Run> {
        self.runs.get(run)
    }

    /// Accepts a request; `None` if all connections are in use.
    pub fn accept(
        &mut self,
        now: Timestamp,
        request: RunRequest,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) -> Option<RunKey> {
        let in_use = self.running as usize + self.queue.len();
        if in_use >= self.spec.connections as usize {
            return None;
        }
        let id = RunId(self.next_run);
        self.next_run += 1;
        let run = self.runs.insert(Run {
            id,
            request,
            started: None,
            next_call: 0,
            waiting: 0,
        });
        if self.running < self.spec.slots {
            self.begin(now, run, random, actions);
        } else {
            self.queue.push_back(run);
        }
        Some(run)
    }

    fn begin(
        &mut self,
        now: Timestamp,
        key: RunKey,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.started = Some(now);
        self.running += 1;
        let request = run.request.clone();
        let route = request.route;
        let id = run.id;
        if let Some(tape) = &self.tape {
            tape.begin(id, request.content);
        }
        actions.push(EndpointAction::Started { id, request });
        let duration = self.part_of_work(now, id, route, random);
        actions.push(EndpointAction::Work { run: key, duration });
    }

    /// Time of the next part of the work: half of a drawn whole if the route makes sub-calls in between,
    /// otherwise all of it.
    fn part_of_work(
        &self,
        now: Timestamp,
        run: RunId,
        route: RouteIndex,
        random: &mut impl Rng,
    ) -> Duration {
        let route = &self.topology.routes[route.0];
        let drawn = log_normal(route.work, route.work_sigma, random);
        let whole = match &self.tape {
            Some(tape) => tape.work(run, route.work, drawn),
            None => drawn,
        };
        let parts = if route.calls.is_empty() { 1.0 } else { 2.0 };
        whole.mul_f64(self.slowdown * self.cold_factor(now) / parts)
    }

    /// Current slow-down factor; falls linearly from `cold_factor` to 1 over the cold start.
    fn cold_factor(&self, now: Timestamp) -> f64 {
        let cold_start = self.spec.cold_start.as_secs_f64();
        if cold_start == 0.0 {
            return 1.0;
        }
        let remaining = 1.0 - now.since(self.started).as_secs_f64() / cold_start;
        1.0 + (self.spec.cold_factor - 1.0) * remaining.max(0.0)
    }

    /// Continues a run after a part of its work.
    pub fn work_done(
        &mut self,
        now: Timestamp,
        key: RunKey,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let route = &self.topology.routes[run.request.route.0];
        if run.next_call >= route.calls.len() {
            let drawn = random.random_bool(self.failure_share);
            let fails = match &self.tape {
                Some(tape) => tape.fails(run.id, drawn),
                None => drawn,
            };
            return self.end(now, key, !fails, random, actions);
        }
        let last = if route.parallel {
            route.calls.len()
        } else {
            run.next_call + 1
        };
        for position in run.next_call..last {
            run.waiting += 1;
            actions.push(EndpointAction::SubCall { run: key, position });
        }
        run.next_call = last;
    }

    /// Continues a run after a sub-call.
    pub fn sub_call_ended(
        &mut self,
        now: Timestamp,
        key: RunKey,
        is_success: bool,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.waiting -= 1;
        if !is_success {
            return self.end(now, key, false, random, actions);
        }
        if run.waiting > 0 {
            return;
        }
        let route = run.request.route;
        let id = run.id;
        let calls = self.topology.routes[route.0].calls.len();
        if run.next_call < calls {
            let position = run.next_call;
            run.waiting = 1;
            run.next_call += 1;
            return actions.push(EndpointAction::SubCall { run: key, position });
        }
        let duration = self.part_of_work(now, id, route, random);
        actions.push(EndpointAction::Work { run: key, duration });
    }

    /// Stops a running request or removes a queued one, without an `Ended` action. Returns the time that
    /// it held a slot, if it did.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        key: RunKey,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) -> Option<Duration> {
        let run = self.runs.remove(key)?;
        let Some(started) = run.started else {
            self.queue.retain(|waiting| *waiting != key);
            return None;
        };
        self.free_slot(now, random, actions);
        Some(now.since(started))
    }

    fn end(
        &mut self,
        now: Timestamp,
        key: RunKey,
        is_success: bool,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        actions.push(EndpointAction::Ended {
            run: key,
            id: run.id,
            request: run.request,
            held: run.started.map_or(Duration::ZERO, |at| now.since(at)),
            is_success,
        });
        self.free_slot(now, random, actions);
    }

    fn free_slot(
        &mut self,
        now: Timestamp,
        random: &mut impl Rng,
        actions: &mut Vec<EndpointAction>,
    ) {
        self.running -= 1;
        if let Some(next) = self.queue.pop_front() {
            self.begin(now, next, random, actions);
        }
    }

    /// The endpoint's load report: delayed by `lag_ms`, with `busy` reduced by the share `flattery`.
    pub fn report(&mut self, now: Timestamp) -> EndpointReport {
        let lag = Duration::from_millis(self.spec.report.lag_ms);
        self.samples.push_back((now, self.running));
        while self.samples.len() > 1 && now.since(self.samples[1].0) >= lag {
            self.samples.pop_front();
        }
        let busy = f64::from(self.samples[0].1) * (1.0 - self.spec.report.flattery);
        let honest = EndpointReport {
            slots: self.spec.slots,
            busy: busy as u32,
            draining: self.reports_draining,
        };
        self.report_fault
            .map_or(honest, |fault| fault.apply(honest))
    }
}

/// Fault of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportFault {
    /// Claims ten times the slots, none in use.
    Flattering,
    /// Claims no slots, with ten times the slots in use.
    Alarming,
}

impl ReportFault {
    fn apply(self, honest: EndpointReport) -> EndpointReport {
        match self {
            Self::Flattering => EndpointReport {
                slots: honest.slots * 10,
                busy: 0,
                ..honest
            },
            Self::Alarming => EndpointReport {
                slots: 0,
                busy: honest.slots * 10,
                ..honest
            },
        }
    }
}
