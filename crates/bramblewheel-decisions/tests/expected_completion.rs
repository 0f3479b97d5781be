//! Endpoint selection by expected completion, on virtual time: 67 senders and 33 endpoints of different speeds, each of
//! which is 2.5 times slower for 600 ms in every 4 s and states it.

use bramblewheel_decisions::directory::{AttemptEnd, Directory, LoadReport};
use bramblewheel_decisions::load_statement::{LoadStatement, StatedLoad};
use bramblewheel_decisions::stable_hash::stable_hash;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const SENDERS: usize = 67;
const ENDPOINTS: usize = 33;
const ZONES: usize = 4;
const SLOTS: u32 = 36;
/// Speeds of the endpoints, assigned in turn.
const SPEEDS: [f64; 4] = [0.6, 1.0, 1.0, 1.7];
/// Demand of the zones relative to the mean.
const ZONE_DEMAND: [f64; ZONES] = [1.55, 0.45, 1.55, 0.45];
const WORK_MILLIS: f64 = 400.0;
/// Uses about 0.7 of all slots.
const REQUESTS_PER_SECOND: f64 = 2_000.0;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MICROS: u64 = 600_000;
/// 15% of it is slow.
const SLOW_PERIOD_MICROS: u64 = 4_000_000;
const END_MICROS: u64 = 20_000_000;
const MEASURED_FROM_MICROS: u64 = 5_000_000;
const SAMPLE_MICROS: u64 = 50_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// The directory, with endpoints that state no work time.
    WithoutStatements,
    /// The directory, with statements.
    ExpectedCompletion,
    /// The least expected completion among this many endpoints drawn at random.
    RandomChoices(usize),
    /// The fewest outstanding requests of the sender.
    LeastOutstanding,
}

fn kassa() -> ServiceName {
    ServiceName::new("kassa").expect("valid name")
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", number % ZONES)).expect("valid name")
}

fn id(number: usize) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).expect("valid name")
}

fn update(number: usize, cold_millis: u64) -> EndpointUpdate {
    let record = EndpointRecord {
        endpoint: id(number),
        service: kassa(),
        daemon: DaemonId::new(&format!("e-{number}")).expect("valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        endpoint_address: ([127, 0, 0, 1], 2).into(),
        zone: zone(number),
        slots: SLOTS,
        state: EndpointState::Ready,
        sequence: 1,
        cold_for: Millis(cold_millis),
    };
    EndpointUpdate {
        revision: 1,
        record,
    }
}

fn directory(sender: usize) -> Directory {
    let name = DaemonId::new(&format!("d-{sender}")).expect("valid name");
    let mut directory = Directory::new(zone(sender), name);
    for endpoint in 0..ENDPOINTS {
        directory.apply(Timestamp::ZERO, &update(endpoint, 0));
    }
    directory
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).expect("seconds fit")
}

fn load(busy: u32) -> LoadReport {
    LoadReport {
        busy,
        limit: SLOTS,
        failed_percent: 0,
    }
}

fn stated(running: u32, work_percent: u32) -> StatedLoad {
    StatedLoad {
        statement: LoadStatement {
            running,
            waiting: 0,
            slots: SLOTS,
            work_percent,
        },
        age: Duration::ZERO,
    }
}

#[derive(Clone, Copy)]
struct Sent {
    sender: usize,
    at: u64,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    waiting: VecDeque<Sent>,
    used: u64,
}

/// What a sender knows of an endpoint, for the rules that are compared with the directory's.
#[derive(Clone, Copy, Default)]
struct Known {
    outstanding: u32,
    busy: u32,
    work: f64,
}

struct Outcome {
    p99_millis: u64,
    mean_millis: u64,
    busiest_over_mean: f64,
    other_zone: f64,
    hash: u64,
    most_at_joined: u32,
}

struct Fleet {
    rule: Rule,
    directories: Vec<Directory>,
    known: Vec<Vec<Known>>,
    endpoints: Vec<Endpoint>,
    ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    random: Pcg64Mcg,
    phases: Vec<u64>,
    millis: Vec<u64>,
    sent: (u64, u64),
    chosen: Vec<u8>,
    /// When one more endpoint joins.
    joins_at: Option<u64>,
    /// Most requests running and waiting at the endpoint that joined.
    most_at_joined: u32,
}

impl Fleet {
    fn new(rule: Rule, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let phases = (0..ENDPOINTS).map(|_| random.random_range(0..SLOW_PERIOD_MICROS));
        let unknown = Known {
            work: 1.0,
            ..Known::default()
        };
        Self {
            rule,
            phases: phases.collect(),
            directories: (0..SENDERS).map(directory).collect(),
            known: vec![vec![unknown; ENDPOINTS]; SENDERS],
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            ends: BinaryHeap::new(),
            random,
            millis: Vec::new(),
            sent: (0, 0),
            chosen: Vec::new(),
            joins_at: None,
            most_at_joined: 0,
        }
    }

    fn work_factor(&self, at: u64, endpoint: usize) -> f64 {
        let is_slow = (at + self.phases[endpoint]) % SLOW_PERIOD_MICROS < SLOW_MICROS;
        if is_slow { SLOW_FACTOR } else { 1.0 }
    }

    fn begin(&mut self, at: u64, endpoint: usize, sent: Sent) {
        let millis = WORK_MILLIS * self.random.random_range(0.6..1.4);
        let millis =
            millis * self.work_factor(at, endpoint) / SPEEDS[endpoint / ZONES % SPEEDS.len()];
        self.endpoints[endpoint].running += 1;
        let end = at + micros(Duration::from_secs_f64(millis / 1_000.0));
        self.ends
            .push(Reverse((end, endpoint, sent.sender, sent.at)));
    }

    fn end(&mut self, at: u64, endpoint: usize, sent: Sent) {
        self.endpoints[endpoint].running -= 1;
        if let Some(next) = self.endpoints[endpoint].waiting.pop_front() {
            self.begin(at, endpoint, next);
        }
        if at >= MEASURED_FROM_MICROS {
            self.millis.push((at - sent.at) / 1_000);
        }
        let work = self.work_factor(at, endpoint);
        let state = &self.endpoints[endpoint];
        let busy = state.running + u32::try_from(state.waiting.len()).expect("few");
        let known = &mut self.known[sent.sender][endpoint];
        known.outstanding -= 1;
        (known.busy, known.work) = (busy, work);
        let now = Timestamp::from_millis(at / 1_000);
        let directory = &mut self.directories[sent.sender];
        if self.rule == Rule::ExpectedCompletion {
            let stated = stated(state.running, if work > 1.0 { 250 } else { 100 });
            directory.record_stated_load(now, &id(endpoint), stated);
        }
        let end = AttemptEnd::Answered(Duration::from_micros(at - sent.at));
        directory.record_end(now, &id(endpoint), "r", end, Some(load(busy)));
    }

    fn choose(&mut self, at: u64, sender: usize) -> usize {
        let known = &self.known[sender];
        let expected = |number: &usize| {
            let known = known[*number];
            let busy = known.busy.max(known.outstanding);
            (1.0 + f64::from(busy) / f64::from(SLOTS)) * known.work
        };
        match self.rule {
            Rule::WithoutStatements | Rule::ExpectedCompletion => {
                let now = Timestamp::from_millis(at / 1_000);
                let directory = &mut self.directories[sender];
                let choice = directory.choose(now, &kassa(), "r", &[], &mut self.random);
                let id = choice.expect("an endpoint").endpoint;
                id.name()[2..].parse().expect("a number")
            }
            Rule::RandomChoices(count) => {
                let drawn: Vec<usize> = (0..count)
                    .map(|_| self.random.random_range(0..ENDPOINTS))
                    .collect();
                let least = drawn
                    .into_iter()
                    .min_by(|one, other| expected(one).total_cmp(&expected(other)));
                least.expect("some are drawn")
            }
            Rule::LeastOutstanding => {
                let first = self.random.random_range(0..ENDPOINTS);
                let all = (first..first + ENDPOINTS).map(|number| number % ENDPOINTS);
                all.min_by_key(|number| known[*number].outstanding)
                    .expect("some")
            }
        }
    }

    fn send(&mut self, at: u64) {
        let sender = loop {
            let sender = self.random.random_range(0..SENDERS);
            if self.random.random_range(0.0..1.55) < ZONE_DEMAND[sender % ZONES] {
                break sender;
            }
        };
        let endpoint = self.choose(at, sender);
        self.known[sender][endpoint].outstanding += 1;
        self.chosen.push(u8::try_from(endpoint).expect("few"));
        self.sent.0 += 1;
        self.sent.1 += u64::from(zone(endpoint) != zone(sender));
        let sent = Sent { sender, at };
        if self.endpoints[endpoint].running < SLOTS {
            self.begin(at, endpoint, sent);
        } else {
            self.endpoints[endpoint].waiting.push_back(sent);
        }
    }

    fn join(&mut self, at: u64) {
        self.endpoints.push(Endpoint::default());
        self.phases.push(0);
        let now = Timestamp::from_millis(at / 1_000);
        for (directory, known) in self.directories.iter_mut().zip(&mut self.known) {
            directory.apply(now, &update(ENDPOINTS, 0));
            known.push(Known::default());
        }
    }

    fn run(mut self) -> Outcome {
        let (mut at, mut next_sample) = (0, MEASURED_FROM_MICROS);
        while at < END_MICROS {
            while let Some(&Reverse((end, endpoint, sender, sent_at))) = self.ends.peek() {
                if end > at {
                    break;
                }
                self.ends.pop();
                let sent = Sent {
                    sender,
                    at: sent_at,
                };
                self.end(end, endpoint, sent);
            }
            if at >= next_sample {
                next_sample += SAMPLE_MICROS;
                for endpoint in &mut self.endpoints {
                    endpoint.used += u64::from(endpoint.running);
                }
            }
            if self.joins_at.is_some_and(|joins| at >= joins) {
                self.joins_at = None;
                self.join(at);
            }
            self.send(at);
            if let Some(joined) = self.endpoints.get(ENDPOINTS) {
                let busy = joined.running + u32::try_from(joined.waiting.len()).expect("few");
                self.most_at_joined = self.most_at_joined.max(busy);
            }
            let gap = self.random.random_range(0.0..2.0) / REQUESTS_PER_SECOND;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "less than a second"
            )]
            let gap = (gap * 1_000_000.0) as u64;
            at += gap + 1;
        }
        self.outcome()
    }

    fn outcome(mut self) -> Outcome {
        self.millis.sort_unstable();
        let count = self.millis.len();
        let used = || self.endpoints.iter().map(|endpoint| endpoint.used as f64);
        let mean = used().sum::<f64>() / ENDPOINTS as f64;
        Outcome {
            most_at_joined: self.most_at_joined,
            p99_millis: self.millis[count * 99 / 100],
            mean_millis: self.millis.iter().sum::<u64>() / count as u64,
            busiest_over_mean: used().fold(0.0, f64::max) / mean,
            other_zone: self.sent.1 as f64 / self.sent.0 as f64,
            hash: stable_hash(self.chosen),
        }
    }
}

/// Digests of the endpoints chosen in each run before statements were used, by seed.
const CHOICES_BEFORE: [u64; 5] = [
    0xc58e_eef9_05e6_7f3b,
    0x62ac_b65d_e814_5a37,
    0x1118_c82c_d2b4_4445,
    0x7db6_1374_30ec_391c,
    0x5434_d780_6bde_0e24,
];

/// Guards against statements that make the choice worse than without them, and against any effect on endpoints that state
/// no work time. The other rules are printed for comparison.
#[test]
fn expected_completion_takes_less_time_than_load_and_leaves_others_as_they_were() {
    let (mut p99, mut mean) = ([0, 0], [0, 0]);
    for (seed, choices_before) in (0..).zip(CHOICES_BEFORE) {
        let rules = [
            Rule::WithoutStatements,
            Rule::ExpectedCompletion,
            Rule::RandomChoices(2),
            Rule::RandomChoices(4),
            Rule::LeastOutstanding,
        ];
        for (number, rule) in rules.into_iter().enumerate() {
            let outcome = Fleet::new(rule, seed).run();
            println!(
                "seed {seed} {rule:?}: p99 {} ms, mean {} ms, busiest over mean {:.2}, other zone {:.2}, choices {:#018x}",
                outcome.p99_millis,
                outcome.mean_millis,
                outcome.busiest_over_mean,
                outcome.other_zone,
                outcome.hash
            );
            if let Some(total) = p99.get_mut(number) {
                *total += outcome.p99_millis;
                mean[number] += outcome.mean_millis;
            }
            if rule == Rule::WithoutStatements {
                assert_eq!(outcome.hash, choices_before, "seed {seed}");
            }
            if rule == Rule::ExpectedCompletion {
                assert!(outcome.busiest_over_mean < 1.5, "seed {seed}");
                assert!(outcome.other_zone < 0.25, "seed {seed}");
            }
        }
    }
    assert!(p99[1] * 10 < p99[0] * 9, "{p99:?}");
    assert!(mean[1] * 10 < mean[0] * 7, "{mean:?}");
}

/// Guards against all senders rushing to an endpoint that has just joined and about which nothing is known: it gets no
/// much larger burst than without statements.
#[test]
fn endpoint_that_joins_idle_gets_no_larger_burst_than_before() {
    for seed in 0..5 {
        let most = [Rule::WithoutStatements, Rule::ExpectedCompletion].map(|rule| {
            let mut fleet = Fleet::new(rule, seed);
            fleet.joins_at = Some(10_000_000);
            fleet.run().most_at_joined
        });
        println!("seed {seed}: most at the joined endpoint {most:?}");
        assert!(most[1] * 4 <= most[0] * 5, "seed {seed}: {most:?}");
    }
}

/// Number of choices of endpoint 0 among five of each sender, after all senders learned of the loads and nothing since.
fn choices_of_first(loads: &[LoadReport], stated_loads: Option<&[StatedLoad]>) -> usize {
    let now = Timestamp::from_millis(1_000);
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut chosen = 0;
    for sender in 0..SENDERS {
        let mut directory = directory(sender);
        for (number, load) in loads.iter().enumerate() {
            if let Some(stated_loads) = stated_loads {
                directory.record_stated_load(now, &id(number), stated_loads[number]);
            }
            directory.choose_endpoint(now, &id(number), "r");
            let end = AttemptEnd::Answered(Duration::from_millis(400));
            directory.record_end(now, &id(number), "r", end, Some(*load));
        }
        for _ in 0..5 {
            let choice = directory.choose(now, &kassa(), "r", &[], &mut random);
            chosen += usize::from(choice.expect("an endpoint").endpoint == id(0));
        }
    }
    chosen
}

/// Guards against a thundering herd: 67 senders learn at once that one endpoint is idle.
#[test]
fn endpoint_that_states_that_it_is_idle_draws_no_more_than_by_its_load_report() {
    let mut loads = [load(29); ENDPOINTS];
    loads[0] = load(0);
    let mut stated_loads = [stated(29, 100); ENDPOINTS];
    stated_loads[0] = stated(0, 100);
    let before = choices_of_first(&loads, None);
    let with_statements = choices_of_first(&loads, Some(&stated_loads));
    println!(
        "{before} of {} before, {with_statements} with statements",
        SENDERS * 5
    );
    assert!(with_statements <= before);
}

/// Guards against a choice that ignores a stated slowness.
#[test]
fn endpoint_that_states_a_long_work_time_gets_fewer_requests() {
    let loads = [load(18); ENDPOINTS];
    let mut stated_loads = [stated(18, 100); ENDPOINTS];
    let usual = choices_of_first(&loads, Some(&stated_loads));
    stated_loads[0] = stated(18, 250);
    let slow = choices_of_first(&loads, Some(&stated_loads));
    println!("{usual} at the usual work time, {slow} at 2.5 times");
    assert!(usual > 0 && slow == 0);
}

/// Guards against a cold endpoint that gets as many requests as the others once statements are used.
#[test]
fn cold_endpoint_gets_few_requests_also_with_statements() {
    let now = Timestamp::from_millis(1_000);
    let mut directory = directory(0);
    for number in 0..ENDPOINTS {
        directory.record_stated_load(now, &id(number), stated(18, 100));
        directory.choose_endpoint(now, &id(number), "r");
        let end = AttemptEnd::Answered(Duration::from_millis(400));
        directory.record_end(now, &id(number), "r", end, Some(load(18)));
    }
    directory.apply(now, &update(ENDPOINTS + 3, 5_000));
    let mut random = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..20 {
        let choice = directory.choose(now, &kassa(), "r", &[], &mut random);
        let endpoint = choice.expect("an endpoint").endpoint;
        assert_ne!(endpoint, id(ENDPOINTS + 3));
        directory.record_end(now, &endpoint, "r", AttemptEnd::Full, Some(load(18)));
    }
}

/// Guards against an incarnation that counts as slow by the statement of the one before.
#[test]
fn next_incarnation_inherits_no_statement() {
    let now = Timestamp::from_millis(1_000);
    let mut directory = directory(0);
    let (earlier, later) = (id(0), id(0).started_at(Some(2_000)));
    directory.record_stated_load(now, &earlier, stated(36, 400));
    let mut next = update(0, 0);
    next.record.endpoint = later.clone();
    directory.apply(now, &next);
    assert!(directory.stated_load(now, &earlier).is_some());
    assert_eq!(directory.stated_load(now, &later), None);
}
