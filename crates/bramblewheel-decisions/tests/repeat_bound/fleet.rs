//! Simulation of daemons, endpoints and call trees on virtual time.

use crate::bound_checker::BoundChecker;
use crate::scenario::{Calls, SECONDS, SETTINGS, Scenario};
use crate::tree::{AttemptEnd, Call, CallId, Event, Run, RunId, class_of};
use crate::variant::Variant;
use bramblewheel_decisions::retry_bound::{RetryBound, RetryDecision, RetryReason};
use bramblewheel_decisions::retry_budget::FirstSend;
use bramblewheel_decisions::running_requests::{RunningRequest, RunningRequests};
use bramblewheel_types::{ServiceName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time-out of callers from outside, in milliseconds.
const CALLER_TIMEOUT: u64 = 5_000;
/// Most sends of a nested call to endpoints that rejected it.
const MAX_SENDS: u32 = 5;
/// Most endpoints that a call is sent to, unless they rejected it.
const MAX_ATTEMPTS: u32 = 2;
/// Time of a hop between daemons, in milliseconds.
const HOP_MILLIS: u64 = 1;

struct Daemon {
    bound: RetryBound,
    running: RunningRequests,
    incarnation: u32,
}

/// A fleet that runs a scenario.
pub struct Fleet {
    scenario: Scenario,
    variant: Variant,
    pub checker: BoundChecker,
    /// Requests of callers from outside, and how many of them succeeded.
    pub roots: (usize, usize),
    daemons: Vec<Daemon>,
    names: Vec<ServiceName>,
    /// Daemons beside the endpoints of each service.
    daemons_beside: Vec<Vec<usize>>,
    calls: Vec<Call>,
    runs: Vec<Run>,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
}

/// Time between the start of the fleet and the first request, in milliseconds.
const START_MILLIS: u64 = 10_000;

/// A time of the scenario on the daemons' clock.
fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(START_MILLIS + millis)
}

impl Fleet {
    pub fn new(scenario: Scenario, variant: Variant, seed: u64) -> Self {
        let mut daemons_beside: Vec<Vec<usize>> = Vec::new();
        let mut count = 0;
        for service in &scenario.services {
            daemons_beside.push((count..count + service.endpoints).collect());
            count += service.endpoints;
        }
        count += scenario.other_daemons;
        let name = |number| ServiceName::new(&format!("service-{number}")).expect("valid name");
        let names = (0..scenario.services.len()).map(name).collect();
        let daemons = (0..count).map(|_| Daemon {
            bound: bound(count, Timestamp::ZERO),
            running: RunningRequests::default(),
            incarnation: 0,
        });
        Self {
            checker: BoundChecker::new(scenario.services.len()),
            variant,
            roots: (0, 0),
            daemons: daemons.collect(),
            names,
            daemons_beside,
            calls: Vec::new(),
            runs: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            scenario,
        }
    }

    /// Runs the whole scenario.
    pub fn run(&mut self) {
        for service in 0..self.scenario.services.len() {
            if self.scenario.services[service].roots_per_second > 0.0 {
                self.plan(0, Event::RootArrives(service));
            }
        }
        for restart in self.scenario.restarts.clone() {
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

    /// Begins a request of a caller from outside and schedules the next one after a random time.
    fn root_arrives(&mut self, now: u64, service: usize) {
        if now > SECONDS * 1_000 {
            return;
        }
        let rate = self.scenario.services[service].roots_per_second;
        let gap = self.random.random_range(0.0..2.0) * 1_000.0 / rate;
        self.plan(now + gap.round() as u64, Event::RootArrives(service));
        let daemon = self.entry();
        let calling_part = self.scenario.services[service].calling_part;
        let call = Call {
            service,
            daemon,
            parent: None,
            makes_calls: self.random.random_bool(calling_part),
            deadline: now + CALLER_TIMEOUT,
            arrivals: 0,
            is_downstream_of_retry: false,
            retried_share: 0.0,
        };
        self.begin_call(now, call);
    }

    /// Daemon at which a caller enters: any, or mostly one of the first.
    fn entry(&mut self) -> usize {
        let count = self.daemons.len();
        let drawn: f64 = self.random.random_range(0.0..1.0);
        let position = if self.scenario.is_skewed {
            drawn.powi(3)
        } else {
            drawn
        };
        ((position * count as f64) as usize).min(count - 1)
    }

    fn begin_call(&mut self, now: u64, call: Call) {
        if !call.is_downstream_of_retry {
            self.checker.request(now, call.service);
        }
        if call.parent.is_none() {
            self.roots.0 += 1;
        }
        let daemon = &mut self.daemons[call.daemon];
        let is_likely_nested = call.parent.is_some();
        let retried_share = if is_likely_nested && self.variant.counts() {
            daemon.running.retried_share_of(at(call.deadline))
        } else {
            0.0
        };
        let send = FirstSend {
            is_likely_nested,
            retried_share,
        };
        let drawn = self.random.random_range(0.0..1.0);
        let drawn = if self.variant.refuses() { drawn } else { 1.0 };
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

    /// Sends a call to an endpoint of its service.
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
            self.checker.extra_arrival(now, service);
        }
        self.calls[id].arrivals += 1;
        let daemons_beside = &self.daemons_beside[service];
        let daemon = daemons_beside[self.random.random_range(0..daemons_beside.len())];
        let fault = self.scenario.services[service].fault.contains(&now);
        let rejected = self.scenario.services[service].rejected;
        if fault && self.random.random_bool(rejected) {
            self.report(now, daemon, id);
            return self.ended_without_success(now + HOP_MILLIS, id, AttemptEnd::Rejected);
        }
        let request = RunningRequest {
            root_rank: 0,
            tenant: None,
            class: class_of(service, makes_calls),
            retried_share: if arrivals > 0 { 1.0 } else { retried_share },
        };
        let state = &mut self.daemons[daemon];
        self.runs.push(Run {
            call: id,
            daemon,
            incarnation: state.incarnation,
            is_retry,
            running: state.running.begin(at(deadline), request),
            calls_made: 0,
            calls_open: 0,
            has_failed: false,
        });
        let run = self.runs.len() - 1;
        let work = self.scenario.services[service].work_millis;
        let work = self.random.random_range(work / 2..=work * 3 / 2);
        self.plan(now + HOP_MILLIS + work, Event::WorkDone(run));
    }

    /// Reports the used part of the bound downstream from the daemon beside an endpoint to the caller's daemon.
    fn report(&mut self, now: u64, reporter: usize, id: CallId) {
        if !self.variant.reports() {
            return;
        }
        let used = self.daemons[reporter].bound.used_by_calls(at(now));
        let call = &self.calls[id];
        let class = class_of(call.service, call.makes_calls);
        let is_likely_nested = call.parent.is_some();
        let caller = &mut self.daemons[call.daemon].bound;
        caller.record_used_downstream(at(now), class, is_likely_nested, used);
    }

    /// Calls of a run, if its service makes calls for such requests.
    fn calls_of(&self, run: RunId) -> Option<Calls> {
        let call = &self.calls[self.runs[run].call];
        let makes_calls = call.makes_calls;
        let calls = self.scenario.services[call.service].calls.first();
        calls.filter(|_| makes_calls).copied()
    }

    fn work_done(&mut self, now: u64, run: RunId) {
        let service = self.calls[self.runs[run].call].service;
        let failed = self.scenario.services[service].failed;
        if self.random.random_bool(failed) {
            self.runs[run].has_failed = true;
            return self.run_ended(now, run);
        }
        self.continue_run(now, run);
    }

    /// Makes the next call of a run, or all of them if they are parallel, or ends the run.
    fn continue_run(&mut self, now: u64, run: RunId) {
        let Some(calls) = self.calls_of(run) else {
            return self.run_ended(now, run);
        };
        let left = calls.times - self.runs[run].calls_made;
        let calls_now = if calls.is_parallel { left } else { left.min(1) };
        if calls_now == 0 {
            return self.run_ended(now, run);
        }
        self.runs[run].calls_made += calls_now;
        self.runs[run].calls_open += calls_now;
        for _ in 0..calls_now {
            let call = self.call_of(now, run, calls.service);
            self.begin_call(now, call);
        }
    }

    fn call_of(&self, now: u64, run: RunId, service: usize) -> Call {
        let parent = &self.runs[run];
        let limit = self.scenario.services[service].limit_millis;
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

    /// Ends a run: its answer reaches the caller or is lost.
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
        let service = &self.scenario.services[self.calls[call].service];
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
        let may_run_again = self.scenario.services[call.service].is_repeatable;
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
            self.continue_run(now, run);
        }
    }

    /// Restarts a daemon: its state is lost, and so are the runs beside it.
    fn restart(&mut self, now: u64) {
        let count = self.daemons.len();
        let daemon = &mut self.daemons[self.random.random_range(0..count)];
        daemon.incarnation += 1;
        daemon.bound = bound(count, at(now));
        daemon.running = RunningRequests::default();
    }
}

fn bound(daemons: usize, now: Timestamp) -> RetryBound {
    let mut bound = RetryBound::new(SETTINGS, now);
    bound
        .set_daemon_count(u32::try_from(daemons).expect("the number of daemons fits into 32 bits"));
    bound
}
