//! Endpoint selection in a large fleet, on virtual time: hundreds of daemons, each of which sees few of an endpoint's
//! requests.

use bramblewheel_decisions::directory::{AttemptEnd, Directory, LoadReport};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

const DAEMONS: usize = 280;
const ENDPOINTS: usize = 135;
const ZONES: usize = 6;
const SLOTS: u32 = 14;
/// Speeds of the endpoints, assigned in turn.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
const WORK_MILLIS: f64 = 400.0;
const REQUESTS_PER_SECOND: f64 = 2_400.0;
const SECONDS: u64 = 24;
/// Start of the measurement.
const MEASURED_FROM_SECONDS: u64 = 8;

fn kassa() -> ServiceName {
    ServiceName::new("kassa").expect("valid name")
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", number % ZONES)).expect("valid name")
}

fn update(number: usize) -> EndpointUpdate {
    let name = format!("e-{number}");
    let record = EndpointRecord {
        endpoint: EndpointId::new(&name).expect("valid name"),
        service: kassa(),
        daemon: DaemonId::new(&name).expect("valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        endpoint_address: ([127, 0, 0, 1], 2).into(),
        zone: zone(number),
        slots: SLOTS,
        state: EndpointState::Ready,
        sequence: 1,
        cold_for: Millis(0),
    };
    EndpointUpdate {
        revision: 1,
        record,
    }
}

/// A request at an endpoint.
#[derive(Clone, Copy)]
struct Sent {
    daemon: usize,
    at: u64,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    waiting: VecDeque<Sent>,
    arrivals: u32,
    /// Slots in use, summed over the samples of the measurement.
    used: u64,
}

/// Result of a run.
struct Outcome {
    /// Largest mean use of an endpoint's slots, relative to the mean of all.
    busiest_over_mean: f64,
    /// Mean answer time.
    mean_millis: f64,
    /// Mean number of endpoints that a daemon used in the last four seconds.
    endpoints_used: f64,
    /// Part of the arrivals that went to the slow endpoints in the last four seconds.
    slow_part: f64,
}

struct Fleet {
    directories: Vec<Directory>,
    endpoints: Vec<Endpoint>,
    /// Ends of running requests: time in microseconds, endpoint, daemon, time of sending.
    ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    random: Pcg64Mcg,
    /// First slow endpoint, factor by which they are slow, and from when in microseconds.
    slow: Option<(usize, f64, u64)>,
    /// When one more endpoint joins, in microseconds.
    joins_at: Option<u64>,
    requests_per_second: f64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut directories = Vec::new();
        for number in 0..DAEMONS {
            let name = DaemonId::new(&format!("d-{number}")).expect("valid name");
            let mut directory = Directory::new(zone(number), name);
            for endpoint in 0..ENDPOINTS {
                directory.apply(Timestamp::ZERO, &update(endpoint));
            }
            directories.push(directory);
        }
        Self {
            directories,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            ends: BinaryHeap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            slow: None,
            joins_at: None,
            requests_per_second: REQUESTS_PER_SECOND,
        }
    }

    fn begin(&mut self, at: u64, endpoint: usize, sent: Sent) {
        let mut work = WORK_MILLIS * self.random.random_range(0.6..1.4);
        work /= SPEEDS[endpoint / ZONES % SPEEDS.len()];
        if let Some((first, factor, from)) = self.slow
            && endpoint >= first
            && at >= from
        {
            work *= factor;
        }
        self.endpoints[endpoint].running += 1;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "seconds fit"
        )]
        let end = at + (work * 1_000.0) as u64;
        self.ends
            .push(Reverse((end, endpoint, sent.daemon, sent.at)));
    }

    /// Ends a request and reports it to its daemon. Returns its duration in microseconds.
    fn end(&mut self, at: u64, endpoint: usize, sent: Sent) -> u64 {
        self.endpoints[endpoint].running -= 1;
        if let Some(next) = self.endpoints[endpoint].waiting.pop_front() {
            self.begin(at, endpoint, next);
        }
        let state = &self.endpoints[endpoint];
        let waiting = u32::try_from(state.waiting.len()).expect("few");
        let load = LoadReport {
            busy: state.running + waiting,
            limit: SLOTS,
            failed_percent: 0,
        };
        let id = EndpointId::new(&format!("e-{endpoint}")).expect("valid name");
        let duration = at - sent.at;
        let end = AttemptEnd::Answered(Duration::from_micros(duration));
        let now = Timestamp::from_millis(at / 1_000);
        self.directories[sent.daemon].record_end(now, &id, "r", end, Some(load));
        duration
    }

    fn send(&mut self, at: u64, daemon: usize) -> usize {
        let now = Timestamp::from_millis(at / 1_000);
        let choice = self.directories[daemon].choose(now, &kassa(), "r", &[], &mut self.random);
        let id = choice.expect("an endpoint").endpoint;
        let endpoint: usize = id.name()[2..].parse().expect("a number");
        let sent = Sent { daemon, at };
        if self.endpoints[endpoint].running < SLOTS {
            self.begin(at, endpoint, sent);
        } else {
            self.endpoints[endpoint].waiting.push_back(sent);
        }
        endpoint
    }

    fn join(&mut self, at: u64) {
        let now = Timestamp::from_millis(at / 1_000);
        let update = update(self.endpoints.len());
        self.endpoints.push(Endpoint::default());
        for directory in &mut self.directories {
            directory.apply(now, &update);
        }
    }

    fn run(&mut self) -> Outcome {
        let mut at = 0;
        let mut endpoints_used: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); DAEMONS];
        let (mut requests_at_end, mut slow_requests_at_end) = (0_u32, 0_u32);
        let (mut answers, mut total) = (0_u32, 0_u64);
        let end_of_run = SECONDS * 1_000_000;
        let mut next_sample = MEASURED_FROM_SECONDS * 1_000_000;
        while at < end_of_run {
            while let Some(&Reverse((end, endpoint, daemon, sent_at))) = self.ends.peek() {
                if end > at {
                    break;
                }
                self.ends.pop();
                let sent = Sent {
                    daemon,
                    at: sent_at,
                };
                let duration = self.end(end, endpoint, sent);
                if end >= MEASURED_FROM_SECONDS * 1_000_000 {
                    answers += 1;
                    total += duration;
                }
            }
            if self.joins_at.is_some_and(|joins| at >= joins) {
                self.joins_at = None;
                self.join(at);
            }
            if at >= next_sample {
                for endpoint in &mut self.endpoints {
                    endpoint.used += u64::from(endpoint.running);
                }
                next_sample += 50_000;
            }
            let daemon = self.random.random_range(0..DAEMONS);
            let endpoint = self.send(at, daemon);
            if at >= end_of_run - 4_000_000 {
                endpoints_used[daemon].insert(endpoint);
                requests_at_end += 1;
                slow_requests_at_end += u32::from(self.slow.is_some_and(|slow| endpoint >= slow.0));
            }
            self.endpoints[endpoint].arrivals += 1;
            let gap = self.random.random_range(0.0..2.0) / self.requests_per_second;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "less than a second"
            )]
            let gap = (gap * 1_000_000.0) as u64;
            at += gap.max(1);
        }
        let used: Vec<f64> = self.endpoints.iter().map(|e| e.used as f64).collect();
        let mean = used.iter().sum::<f64>() / used.len() as f64;
        let busiest = used.iter().copied().fold(0.0, f64::max);
        let total_endpoints_used: usize = endpoints_used.iter().map(BTreeSet::len).sum();
        Outcome {
            busiest_over_mean: busiest / mean,
            mean_millis: total as f64 / f64::from(answers) / 1_000.0,
            endpoints_used: total_endpoints_used as f64 / DAEMONS as f64,
            slow_part: f64::from(slow_requests_at_end) / f64::from(requests_at_end),
        }
    }
}

/// Load is spread over endpoints of different speeds, although each daemon sees little and uses few endpoints.
#[test]
fn load_is_spread_while_each_daemon_uses_few_endpoints() {
    for seed in 0..2 {
        let outcome = Fleet::new(seed).run();
        println!(
            "seed {seed}: busiest over mean {:.2}, mean time {:.0} ms, endpoints used {:.1}",
            outcome.busiest_over_mean, outcome.mean_millis, outcome.endpoints_used
        );
        assert!(outcome.busiest_over_mean < 1.8);
        assert!(outcome.mean_millis < 400.0);
        assert!(outcome.endpoints_used < 8.0);
    }
}

/// A tenth of the endpoints becomes twelve times slower: most requests go elsewhere.
#[test]
fn slow_endpoints_get_few_requests() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        let first = ENDPOINTS - ENDPOINTS / 10;
        fleet.slow = Some((first, 12.0, 12_000_000));
        let outcome = fleet.run();
        println!(
            "seed {seed}: part of the slow ones {:.3}, mean time {:.0} ms",
            outcome.slow_part, outcome.mean_millis
        );
        assert!(outcome.slow_part < 0.012);
    }
}

/// A joining endpoint gets its share of the requests, also at low load.
#[test]
fn joining_endpoint_gets_its_share_of_requests() {
    const LOW_RATE: f64 = 400.0;
    const SECONDS_AFTER_JOIN: f64 = 4.0;
    for requests_per_second in [LOW_RATE, REQUESTS_PER_SECOND] {
        for seed in 0..2 {
            let mut fleet = Fleet::new(seed);
            fleet.requests_per_second = requests_per_second;
            fleet.joins_at = Some((SECONDS - 4) * 1_000_000);
            fleet.run();
            let arrivals = f64::from(fleet.endpoints[ENDPOINTS].arrivals);
            let usual = requests_per_second * SECONDS_AFTER_JOIN / ENDPOINTS as f64;
            println!("seed {seed}: {arrivals} of {usual:.1} at {requests_per_second}/s");
            assert!(arrivals > 0.3 * usual);
            assert!(arrivals < 3.0 * usual);
        }
    }
}
