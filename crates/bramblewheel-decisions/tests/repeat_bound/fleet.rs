//! Daemons, endpoints and the call trees that run there, on virtual time.

use crate::judge::Judge;
use crate::shape::{Calls, SECONDS, Shape, TERMS};
use crate::tree::{AttemptEnd, Call, CallId, Event, Run, RunId, class_of};
use crate::way::Way;
use bramblewheel_decisions::retry_bound::{RetryBound, RetryDecision, RetryReason};
use bramblewheel_decisions::retry_budget::FirstSend;
use bramblewheel_decisions::running_requests::{RunningRequest, RunningRequests};
use bramblewheel_types::{ServiceName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time that callers from outside wait, in milliseconds.
const CALLER_PATIENCE: u64 = 5_000;
/// Sends of one call to endpoints that rejected it.
const MAX_SENDS: u32 = 5;
/// Endpoints that one call is sent to, unless they rejected it.
const MAX_ATTEMPTS: u32 = 2;
/// Time of a hop between daemons, in milliseconds.
const HOP_MILLIS: u64 = 1;

struct Daemon {
    bound: RetryBound,
    running: RunningRequests,
    incarnation: u32,
}

/// A fleet that plays a shape.
pub struct Fleet {
    shape: Shape,
    way: Way,
    pub judge: Judge,
    /// Requests of callers from outside, and how many of them ended with success.
    pub roots: (usize, usize),
    daemons: Vec<Daemon>,
    names: Vec<ServiceName>,
    /// Daemons beside the endpoints of each service.
    beside: Vec<Vec<usize>>,
    calls: Vec<Call>,
    runs: Vec<Run>,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
}

/// Time between the start of the fleet and the first request, in milliseconds.
const LEAD_MILLIS: u64 = 10_000;

/// A time of play on the daemons' clock.
fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(LEAD_MILLIS + millis)
}

impl Fleet {
    pub fn new(shape: Shape, way: Way, seed: u64) -> Self {
        let mut beside: Vec<Vec<usize>> = Vec::new();
        let mut count = 0;
        for service in &shape.services {
            beside.push((count..count + service.endpoints).collect());
            count += service.endpoints;
        }
        count += shape.other_daemons;
        let name = |number| ServiceName::new(&format!("service-{number}")).expect("a name");
        let names = (0..shape.services.len()).map(name).collect();
        let daemons = (0..count).map(|_| Daemon {
            bound: bound(count, Timestamp::ZERO),
            running: RunningRequests::default(),
            incarnation: 0,
        });
        Self {
            judge: Judge::new(shape.services.len()),
            way,
            roots: (0, 0),
            daemons: daemons.collect(),
            names,
            beside,
            calls: Vec::new(),
            runs: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            shape,
        }
    }

    /// Plays the whole time.
    pub fn run(&mut self) {
        for service in 0..self.shape.services.len() {
            if self.shape.services[service].roots_per_second > 0.0 {
                self.plan(0, Event::RootArrives(service));
            }
        }
        for restart in self.shape.restarts.clone() {
            self.plan(restart, Event::Restart);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::RootArrives(service) => self.root_arrives(now, service),
                Event::Sent(call) => self.send(now, call),
                Event::Refused(call) => self.call_ended(now, call, false),
                Event::WorkDone(run) => self.work_done(now, run),
                Event::Restart => self.restart(now),
            }
        }
    }

    fn plan(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// A caller from outside asks; the next one does after a time drawn anew.
    fn root_arrives(&mut self, now: u64, service: usize) {
        if now > SECONDS * 1_000 {
            return;
        }
        let rate = self.shape.services[service].roots_per_second;
        let gap = self.random.random_range(0.0..2.0) * 1_000.0 / rate;
        self.plan(now + gap.round() as u64, Event::RootArrives(service));
        let daemon = self.entry();
        let calling_part = self.shape.services[service].calling_part;
        let call = Call {
            service,
            daemon,
            parent: None,
            makes_calls: self.random.random_bool(calling_part),
            deadline: now + CALLER_PATIENCE,
            arrivals: 0,
            is_downstream_of_retry: false,
            retried_share: 0.0,
        };
        self.begin_call(now, call);
    }

    /// Where a caller enters: anywhere, or mostly at the first of the daemons.
    fn entry(&mut self) -> usize {
        let count = self.daemons.len();
        let drawn: f64 = self.random.random_range(0.0..1.0);
        let position = if self.shape.is_skewed {
            drawn.powi(3)
        } else {
            drawn
        };
        ((position * count as f64) as usize).min(count - 1)
    }

    fn begin_call(&mut self, now: u64, call: Call) {
        if !call.is_downstream_of_retry {
            self.judge.request(now, call.service);
        }
        if call.parent.is_none() {
            self.roots.0 += 1;
        }
        let daemon = &mut self.daemons[call.daemon];
        let is_likely_nested = call.parent.is_some();
        let retried_share = if is_likely_nested && self.way.counts() {
            daemon.running.retried_share_of(at(call.deadline))
        } else {
            0.0
        };
        let send = FirstSend {
            is_likely_nested,
            retried_share,
        };
        let drawn = self.random.random_range(0.0..1.0);
        let drawn = if self.way.refuses() { drawn } else { 1.0 };
        let service = &self.names[call.service];
        let may_begin = daemon.bound.admit_first_send(at(now), service, send, drawn);
        self.calls.push(Call {
            retried_share,
            ..call
        });
        let id = self.calls.len() - 1;
        if may_begin {
            self.plan(now, Event::Sent(id));
        } else {
            self.plan(now, Event::Refused(id));
        }
    }

    /// A call reaches an endpoint of its service.
    fn send(&mut self, now: u64, id: CallId) {
        let Call {
            service,
            arrivals,
            is_downstream_of_retry,
            deadline,
            makes_calls,
            retried_share,
            ..
        } = self.calls[id];
        let is_retry = arrivals > 0 || is_downstream_of_retry;
        if is_retry {
            self.judge.extra_arrival(now, service);
        }
        self.calls[id].arrivals += 1;
        let beside = &self.beside[service];
        let daemon = beside[self.random.random_range(0..beside.len())];
        let fault = self.shape.services[service].fault.contains(&now);
        let rejected = self.shape.services[service].rejected;
        if fault && self.random.random_bool(rejected) {
            self.report(now, daemon, id);
            return self.ended_without_success(now + HOP_MILLIS, id, AttemptEnd::Rejected);
        }
        let request = RunningRequest {
            root_rank: 0,
            class: class_of(service, makes_calls),
            retried_share: if arrivals > 0 { 1.0 } else { retried_share },
        };
        let beside = &mut self.daemons[daemon];
        self.runs.push(Run {
            call: id,
            daemon,
            incarnation: beside.incarnation,
            is_retry,
            running: beside.running.begin(at(deadline), request),
            calls_made: 0,
            calls_open: 0,
            has_failed: false,
        });
        let run = self.runs.len() - 1;
        let work = self.shape.services[service].work_millis;
        let work = self.random.random_range(work / 2..=work * 3 / 2);
        self.plan(now + HOP_MILLIS + work, Event::WorkDone(run));
    }

    /// The daemon beside an endpoint reports to the caller's one what is used of the bound downstream.
    fn report(&mut self, now: u64, reporter: usize, id: CallId) {
        if !self.way.reports() {
            return;
        }
        let used = self.daemons[reporter].bound.used_by_calls(at(now));
        let call = &self.calls[id];
        let class = class_of(call.service, call.makes_calls);
        let is_likely_nested = call.parent.is_some();
        let caller = &mut self.daemons[call.daemon].bound;
        caller.record_used_downstream(at(now), class, is_likely_nested, used);
    }

    /// The calls of a run, if its service makes some for such requests.
    fn calls_of(&self, run: RunId) -> Option<Calls> {
        let call = &self.calls[self.runs[run].call];
        let makes_calls = call.makes_calls;
        let calls = self.shape.services[call.service].calls.first();
        calls.filter(|_| makes_calls).copied()
    }

    fn work_done(&mut self, now: u64, run: RunId) {
        let service = self.calls[self.runs[run].call].service;
        let failed = self.shape.services[service].failed;
        if self.random.random_bool(failed) {
            self.runs[run].has_failed = true;
            return self.run_ended(now, run);
        }
        self.go_on(now, run);
    }

    /// Makes the next call of a run, or all of them, or ends it.
    fn go_on(&mut self, now: u64, run: RunId) {
        let Some(calls) = self.calls_of(run) else {
            return self.run_ended(now, run);
        };
        let left = calls.times - self.runs[run].calls_made;
        let now_made = if calls.is_side_by_side {
            left
        } else {
            left.min(1)
        };
        if now_made == 0 {
            return self.run_ended(now, run);
        }
        self.runs[run].calls_made += now_made;
        self.runs[run].calls_open += now_made;
        for _ in 0..now_made {
            let call = self.call_of(now, run, calls.service);
            self.begin_call(now, call);
        }
    }

    fn call_of(&self, now: u64, run: RunId, service: usize) -> Call {
        let parent = &self.runs[run];
        let limit = self.shape.services[service].limit_millis;
        let left = self.calls[parent.call].deadline;
        Call {
            service,
            daemon: parent.daemon,
            parent: Some(run),
            makes_calls: true,
            deadline: limit.map_or(left, |limit| left.min(now + limit)),
            arrivals: 0,
            is_downstream_of_retry: parent.is_retry,
            retried_share: 0.0,
        }
    }

    /// A run is over: its answer goes up, or is lost.
    fn run_ended(&mut self, now: u64, run: RunId) {
        let Run {
            call,
            daemon,
            incarnation,
            has_failed,
            running,
            ..
        } = self.runs[run];
        let is_same_incarnation = self.daemons[daemon].incarnation == incarnation;
        if is_same_incarnation {
            self.daemons[daemon].running.end(running);
            self.report(now, daemon, call);
        }
        let service = &self.shape.services[self.calls[call].service];
        let lost = if service.fault.contains(&now) {
            service.lost
        } else {
            0.0
        };
        let is_lost = self.random.random_bool(lost) || !is_same_incarnation;
        if is_lost {
            self.ended_without_success(now, call, AttemptEnd::Lost);
        } else if has_failed {
            self.ended_without_success(now, call, AttemptEnd::Failed);
        } else {
            self.call_ended(now, call, true);
        }
    }

    fn ended_without_success(&mut self, now: u64, id: CallId, end: AttemptEnd) {
        if self.is_retried(now, id, end) {
            self.plan(now, Event::Sent(id));
        } else {
            self.call_ended(now, id, false);
        }
    }

    fn is_retried(&mut self, now: u64, id: CallId, end: AttemptEnd) -> bool {
        let call = &self.calls[id];
        let is_likely_nested = call.parent.is_some();
        let may_run_again = self.shape.services[call.service].is_repeatable;
        let is_rejected = end == AttemptEnd::Rejected;
        let most = if is_rejected && is_likely_nested {
            MAX_SENDS
        } else {
            MAX_ATTEMPTS
        };
        if now >= call.deadline || call.arrivals >= most || !(may_run_again || is_rejected) {
            return false;
        }
        let service = &self.names[call.service];
        let reason = match end {
            AttemptEnd::Failed => RetryReason::Failed,
            AttemptEnd::Rejected | AttemptEnd::Lost => {
                RetryReason::Unanswered { is_important: true }
            }
        };
        let class = class_of(call.service, call.makes_calls);
        let bound = &mut self.daemons[call.daemon].bound;
        bound.decide_retry(at(now), service, class, reason) == RetryDecision::Allowed
    }

    fn call_ended(&mut self, now: u64, id: CallId, is_success: bool) {
        let Some(run) = self.calls[id].parent else {
            self.roots.1 += usize::from(is_success);
            return;
        };
        let parent = &mut self.runs[run];
        parent.calls_open -= 1;
        parent.has_failed |= !is_success;
        if parent.calls_open > 0 {
            return;
        }
        if parent.has_failed {
            self.run_ended(now, run);
        } else {
            self.go_on(now, run);
        }
    }

    /// A daemon ends and starts anew: it has forgotten all, and what ran beside it is lost.
    fn restart(&mut self, now: u64) {
        let count = self.daemons.len();
        let daemon = &mut self.daemons[self.random.random_range(0..count)];
        daemon.incarnation += 1;
        daemon.bound = bound(count, at(now));
        daemon.running = RunningRequests::default();
    }
}

fn bound(daemons: usize, now: Timestamp) -> RetryBound {
    let mut bound = RetryBound::new(TERMS, now);
    bound.set_daemon_count(u32::try_from(daemons).expect("few"));
    bound
}
