//! What callers get of a service whose endpoints state rate limits: on virtual time, with the choice of endpoints.

use bramblewheel_decisions::directory::{AttemptEnd, Directory};
use bramblewheel_decisions::endpoint_limit::EndpointLimit;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{
    DaemonId, EndpointId, Millis, RateLimit, ServiceName, Timestamp, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const ENDPOINTS: usize = 6;
/// Requests per second of all senders.
const OFFERED_RATE: f64 = 240.0;
/// Share of the requests that are exempt.
const EXEMPT_SHARE: f64 = 0.3;
/// Time that an endpoint works on a request.
const WORK: Duration = Duration::from_millis(90);
/// Attempts of one request.
const MAX_ATTEMPTS: usize = 3;
/// Time before requests are counted.
const SETTLING_TIME: Timestamp = Timestamp::from_millis(5_000);
const END: Timestamp = Timestamp::from_millis(35_000);
/// Counted time in seconds.
const COUNTED_SECONDS: f64 = 30.0;

/// An answer on its way to its sender.
struct Answer {
    endpoint: usize,
    sender: usize,
    sent_at: Timestamp,
}

/// Requests of one importance.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: u32,
    served: u32,
}

impl Count {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    exempt: Count,
    others: Count,
    attempts: u32,
}

struct Service {
    limits: Vec<Option<RateLimit>>,
    endpoints: Vec<EndpointLimit>,
    senders: Vec<Directory>,
    answers: BTreeMap<(Timestamp, u32), Answer>,
    next_answer: u32,
    random: Pcg64Mcg,
    served: Served,
}

fn id(endpoint: usize) -> EndpointId {
    EndpointId::new(&format!("e-{endpoint}")).expect("valid name")
}

fn kassa() -> ServiceName {
    ServiceName::new("kassa").expect("valid name")
}

fn sender(number: usize) -> Directory {
    let zone = ZoneName::new("north").expect("valid name");
    let daemon = DaemonId::new(&format!("daemon-{number}")).expect("valid name");
    let mut directory = Directory::new(zone.clone(), daemon.clone());
    for endpoint in 0..ENDPOINTS {
        let record = EndpointRecord {
            endpoint: id(endpoint),
            service: kassa(),
            daemon: daemon.clone(),
            address: ([127, 0, 0, 1], 9000).into(),
            endpoint_address: ([127, 0, 0, 1], 9001).into(),
            zone: zone.clone(),
            slots: 92,
            state: EndpointState::Ready,
            sequence: 1,
            cold_for: Millis(0),
        };
        let update = EndpointUpdate {
            record,
            revision: 1,
        };
        directory.apply(Timestamp::ZERO, &update);
    }
    directory
}

impl Service {
    /// A service whose first endpoints state these limits, and the others none.
    fn new(senders: usize, limits: &[&str], seed: u64) -> Self {
        let stated = |endpoint: usize| {
            let limit = limits.get(endpoint)?;
            Some(limit.parse().expect("a limit"))
        };
        Self {
            limits: (0..ENDPOINTS).map(stated).collect(),
            endpoints: (0..ENDPOINTS).map(|_| EndpointLimit::default()).collect(),
            senders: (0..senders).map(sender).collect(),
            answers: BTreeMap::new(),
            next_answer: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        let mut now = Timestamp::ZERO;
        while now < END {
            let pause = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / OFFERED_RATE;
            now += Duration::from_secs_f64(pause);
            while let Some(entry) = self.answers.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                let ((at, _), answer) = entry.remove_entry();
                self.deliver(at, &answer);
            }
            self.request(now);
        }
        self.served
    }

    fn request(&mut self, now: Timestamp) {
        let is_exempt = self.random.random_bool(EXEMPT_SHARE);
        let sender = self.random.random_range(0..self.senders.len());
        let is_served = self.attempt(now, sender, is_exempt);
        if now < SETTLING_TIME {
            return;
        }
        let count = if is_exempt {
            &mut self.served.exempt
        } else {
            &mut self.served.others
        };
        count.offered += 1;
        count.served += u32::from(is_served);
    }

    /// Attempts a request as the daemons do; returns whether an endpoint got it.
    fn attempt(&mut self, now: Timestamp, sender: usize, is_exempt: bool) -> bool {
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let directory = &mut self.senders[sender];
            let random = &mut self.random;
            let mut excluded = directory.paused_by_limits(now, &kassa(), is_exempt, random);
            excluded.extend(tried.iter().cloned());
            let Some(choice) = directory.choose(now, &kassa(), "r", &excluded, random) else {
                return false;
            };
            self.served.attempts += 1;
            let endpoint: usize = choice.endpoint.name()[2..].parse().expect("a number");
            if let Some(known) = choice.known_limit {
                self.endpoints[endpoint].adopt(now, known);
            }
            if self.endpoints[endpoint].take(now, is_exempt).is_ok() {
                let answer = Answer {
                    endpoint,
                    sender,
                    sent_at: now,
                };
                self.next_answer += 1;
                self.answers.insert((now + WORK, self.next_answer), answer);
                return true;
            }
            let known = self.endpoints[endpoint]
                .in_force(now)
                .map(|known| known.limit);
            let directory = &mut self.senders[sender];
            directory.record_limit(now, now, &choice.endpoint, known);
            directory.record_end(now, &choice.endpoint, "r", AttemptEnd::RateLimited, None);
            tried.push(choice.endpoint);
        }
        false
    }

    fn deliver(&mut self, at: Timestamp, answer: &Answer) {
        let Answer {
            endpoint,
            sender,
            sent_at,
        } = *answer;
        let stated = self.limits[endpoint];
        self.endpoints[endpoint].record_answer(at, sent_at, stated);
        let directory = &mut self.senders[sender];
        directory.record_limit(at, sent_at, &id(endpoint), stated);
        directory.record_end(at, &id(endpoint), "r", AttemptEnd::Answered(WORK), None);
    }
}

/// One endpoint of six takes a tenth of what it would get: the others have capacity.
#[test]
fn requests_go_elsewhere_when_one_endpoint_is_limited() {
    for senders in [8, 300] {
        for seed in 0..5 {
            let served = Service::new(senders, &["4"], seed).run();
            let share = served
                .exempt
                .served_share()
                .min(served.others.served_share());
            assert!(share >= 0.99, "{senders} senders, seed {seed}: {served:?}");
        }
    }
}

/// All endpoints take half of what they would get.
#[test]
fn limits_are_used_up_and_important_requests_lose_least() {
    let limits = ["20"; ENDPOINTS];
    for senders in [8, 300] {
        for seed in 0..5 {
            let served = Service::new(senders, &limits, seed).run();
            let total = f64::from(served.exempt.served + served.others.served);
            let used = total / (120.0 * COUNTED_SECONDS);
            assert!(
                used >= 0.95,
                "{senders} senders, seed {seed}: {used} {served:?}"
            );
            let (exempt, others) = (served.exempt.served_share(), served.others.served_share());
            assert!(
                exempt > others,
                "{senders} senders, seed {seed}: {served:?}"
            );
        }
    }
}
