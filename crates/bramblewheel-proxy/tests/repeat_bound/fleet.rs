//! Daemons, endpoints and the call trees that run there, on virtual time.

use crate::judge::Judge;
use crate::shape::{Calls, SECONDS, Shape, TERMS};
use bramblewheel_proxy::decide::retry_budget::RetryBudget;
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

type CallId = usize;
type RunId = usize;

/// One request of a caller or of a run.
#[derive(Clone, Debug)]
struct Call {
    service: usize,
    /// Daemon that it was made at.
    daemon: usize,
    parent: Option<RunId>,
    makes_calls: bool,
    deadline: u64,
    arrivals: u32,
    /// Whether it is made by a run that is itself a repeat, or by one below such a run.
    is_below_repeat: bool,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
struct Run {
    call: CallId,
    /// Daemon beside the endpoint.
    daemon: usize,
    /// Life of the daemon in which it began.
    life: u32,
    is_repeat: bool,
    calls_made: u32,
    calls_open: u32,
    has_failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RootArrives(usize),
    Sent(CallId),
    WorkDone(RunId),
    Restart,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendEnd {
    Rejected,
    Lost,
    Failed,
}

struct Daemon {
    service: Option<usize>,
    budget: RetryBudget,
    life: u32,
}

/// A fleet that plays a shape.
pub struct Fleet {
    shape: Shape,
    pub judge: Judge,
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

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

impl Fleet {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut daemons = Vec::new();
        let mut beside = Vec::new();
        for (number, service) in shape.services.iter().enumerate() {
            let first = daemons.len();
            daemons.extend((0..service.endpoints).map(|_| Some(number)));
            beside.push((first..daemons.len()).collect());
        }
        daemons.extend((0..shape.other_daemons).map(|_| None));
        let count = daemons.len();
        let name = |number| ServiceName::new(&format!("service-{number}")).expect("a name");
        let names = (0..shape.services.len()).map(name).collect();
        let daemons = daemons.into_iter().map(|service| Daemon {
            service,
            budget: budget(count),
            life: 0,
        });
        Self {
            judge: Judge::new(shape.services.len()),
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
                Event::WorkDone(run) => self.work_done(now, run),
                Event::Restart => self.restart(),
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
            is_below_repeat: false,
        };
        self.begin_call(now, call);
    }

    /// Where a caller enters: anywhere, or mostly at the first of the daemons.
    fn entry(&mut self) -> usize {
        let count = self.daemons.len();
        let drawn: f64 = self.random.random_range(0.0..1.0);
        let place = if self.shape.is_skewed {
            drawn.powi(3)
        } else {
            drawn
        };
        ((place * count as f64) as usize).min(count - 1)
    }

    fn begin_call(&mut self, now: u64, call: Call) {
        if !call.is_below_repeat {
            self.judge.request(now, call.service);
        }
        let service = self.names[call.service].clone();
        self.daemons[call.daemon]
            .budget
            .record_first(at(now), &service);
        self.calls.push(call);
        self.plan(now, Event::Sent(self.calls.len() - 1));
    }

    /// A call reaches an endpoint of its service.
    fn send(&mut self, now: u64, id: CallId) {
        let Call {
            service,
            arrivals,
            is_below_repeat,
            ..
        } = self.calls[id];
        let is_repeat = arrivals > 0 || is_below_repeat;
        if is_repeat {
            self.judge.extra_arrival(now, service);
        }
        self.calls[id].arrivals += 1;
        let fault = self.shape.services[service].fault.contains(&now);
        let rejected = self.shape.services[service].rejected;
        if fault && self.random.random_bool(rejected) {
            return self.ended_without_success(now + HOP_MILLIS, id, SendEnd::Rejected);
        }
        let beside = &self.beside[service];
        let daemon = beside[self.random.random_range(0..beside.len())];
        self.runs.push(Run {
            call: id,
            daemon,
            life: self.daemons[daemon].life,
            is_repeat,
            calls_made: 0,
            calls_open: 0,
            has_failed: false,
        });
        let run = self.runs.len() - 1;
        let work = self.shape.services[service].work_millis;
        let work = self.random.random_range(work / 2..=work * 3 / 2);
        self.plan(now + HOP_MILLIS + work, Event::WorkDone(run));
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
            is_below_repeat: parent.is_repeat,
        }
    }

    /// A run is over: its answer goes up, or is lost.
    fn run_ended(&mut self, now: u64, run: RunId) {
        let Run {
            call,
            daemon,
            life,
            has_failed,
            ..
        } = self.runs[run];
        let service = &self.shape.services[self.calls[call].service];
        let lost = if service.fault.contains(&now) {
            service.lost
        } else {
            0.0
        };
        let is_lost = self.random.random_bool(lost) || self.daemons[daemon].life != life;
        if is_lost {
            self.ended_without_success(now, call, SendEnd::Lost);
        } else if has_failed {
            self.ended_without_success(now, call, SendEnd::Failed);
        } else {
            self.call_ended(now, call, true);
        }
    }

    fn ended_without_success(&mut self, now: u64, id: CallId, end: SendEnd) {
        if self.is_sent_again(now, id, end) {
            self.plan(now, Event::Sent(id));
        } else {
            self.call_ended(now, id, false);
        }
    }

    fn is_sent_again(&mut self, now: u64, id: CallId, end: SendEnd) -> bool {
        let call = &self.calls[id];
        let is_nested = call.parent.is_some();
        let may_run_again = self.shape.services[call.service].is_repeatable;
        let is_rejected = end == SendEnd::Rejected;
        let most = if is_rejected && is_nested {
            MAX_SENDS
        } else {
            MAX_ATTEMPTS
        };
        if now >= call.deadline || call.arrivals >= most || !(may_run_again || is_rejected) {
            return false;
        }
        let service = &self.names[call.service];
        let budget = &mut self.daemons[call.daemon].budget;
        match end {
            SendEnd::Failed => budget.withdraw_for_failure(at(now), service),
            SendEnd::Rejected | SendEnd::Lost => budget.withdraw(at(now), service, true),
        }
    }

    fn call_ended(&mut self, now: u64, id: CallId, is_success: bool) {
        let Some(run) = self.calls[id].parent else {
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
    fn restart(&mut self) {
        let count = self.daemons.len();
        let daemon = &mut self.daemons[self.random.random_range(0..count)];
        daemon.life += 1;
        daemon.budget = budget(count);
    }
}

fn budget(daemons: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(TERMS);
    budget.share_among(u32::try_from(daemons).expect("few"));
    budget
}
