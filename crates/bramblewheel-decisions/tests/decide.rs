//! The pure decisions: route tables, choice of an endpoint, retry budget, admission.

use bramblewheel_decisions::admission::{Admission, AdmissionQueue, Arrival};
use bramblewheel_decisions::class_limit::{Answered, ClassLimit};
use bramblewheel_decisions::directory::{AttemptEnd, Directory, LoadReport};
use bramblewheel_decisions::retry_budget::{FirstSend, RetryBoundSettings, RetryBudget};
use bramblewheel_decisions::table::{
    Route, RouteTable, Router, ServiceSettings, TableError, Target,
};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate, TableVersion};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(name, weight)| Target {
        service: service(name),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: targets.collect(),
        is_repeatable: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        max_attempts: 2,
        rank: 1,
        is_public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let terms = ServiceSettings {
        max_connections: 100,
    };
    RouteTable {
        version: TableVersion(1),
        routes,
        services: ["kassa", "pris"].map(|name| (service(name), terms)).into(),
        caller_rest: None,
        longest_body: None,
        tenants: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let table = table(vec![
        route("root", "a.example", "/", &[("kassa", 1.0)]),
        route("pay", "a.example", "/pay/", &[("kassa", 1.0)]),
        route("pay-card", "a.example", "/pay/card/", &[("pris", 1.0)]),
        route("other", "b.example", "/pay/card/", &[("kassa", 1.0)]),
    ]);
    assert_eq!(table.check(), Ok(()));
    let router = Router::new(table, 7);
    let name = |host: &str, path: &str| router.find(host, path).map(|r| r.route.name.clone());
    assert_eq!(
        name("a.example", "/pay/card/17").as_deref(),
        Some("pay-card")
    );
    assert_eq!(name("A.Example:8080", "/pay/cards").as_deref(), Some("pay"));
    assert_eq!(name("a.example", "/pay").as_deref(), Some("root"));
    assert_eq!(name("a.example", "/pay/card/").as_deref(), Some("pay-card"));
    assert_eq!(name("b.example", "/pay/"), None);
    assert_eq!(name("c.example", "/"), None);
}

#[test]
fn tables_that_do_not_hold_together_are_refused() {
    let good = || route("one", "a.example", "/one/", &[("kassa", 1.0)]);
    let with = |change: &dyn Fn(&mut Route)| {
        let mut changed = good();
        change(&mut changed);
        table(vec![changed]).check()
    };
    assert_eq!(table(vec![good()]).check(), Ok(()));
    let unknown = with(&|r| r.targets[0].service = service("nobody"));
    assert!(matches!(unknown, Err(TableError::UnknownService { .. })));
    let below = with(&|r| r.targets[0].weight = -1.0);
    assert!(matches!(below, Err(TableError::BadWeight(_))));
    let none = with(&|r| r.max_attempts = 0);
    assert!(matches!(none, Err(TableError::NoAttempts(_))));
    let minute = with(&|r| r.objective = r.timeout + Duration::from_secs(60));
    assert!(matches!(minute, Err(TableError::ObjectiveOverTimeout(_))));
    assert_eq!(
        with(&|r| r.objective = r.timeout + Duration::from_secs(59)),
        Ok(())
    );
    let prefix = with(&|r| r.prefix = "/one".to_owned());
    assert!(matches!(prefix, Err(TableError::BadPrefix(_))));
    let same = table(vec![
        good(),
        Route {
            name: "two".into(),
            ..good()
        },
    ])
    .check();
    assert!(matches!(same, Err(TableError::SamePlace { .. })));
}

/// Over 300 requests each part gets its share within a few in a hundred, wherever a daemon begins.
#[test]
fn shares_hold_over_short_runs() {
    for seed in [0, 1, 77, 12_345] {
        let routes = vec![route(
            "one",
            "a.example",
            "/",
            &[("kassa", 90.0), ("pris", 10.0)],
        )];
        let router = Router::new(table(routes), seed);
        let active = router.find("a.example", "/").expect("a route");
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for _ in 0..300 {
            *counts.entry(active.next_target().as_str()).or_default() += 1;
        }
        let minor = counts.get("pris").copied().unwrap_or_default();
        assert!(
            (24..=36).contains(&minor),
            "{minor} of 300 with seed {seed}"
        );
    }
}

fn news(name: &str, zone: &str, state: EndpointState) -> EndpointUpdate {
    let record = EndpointRecord {
        endpoint: EndpointId::new(name).expect("a name"),
        service: service("kassa"),
        daemon: DaemonId::new(name).expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        endpoint_address: ([127, 0, 0, 1], 2).into(),
        zone: ZoneName::new(zone).expect("a name"),
        slots: 10,
        state,
        sequence: 1,
        cold_for: Millis(0),
    };
    EndpointUpdate {
        record,
        revision: 1,
    }
}

fn directory(endpoints: &[(&str, &str)]) -> Directory {
    let daemon = DaemonId::new("caller").expect("a name");
    let mut directory = Directory::new(ZoneName::new("north").expect("a name"), daemon);
    for (name, zone) in endpoints {
        directory.apply(Timestamp::ZERO, &news(name, zone, EndpointState::Ready));
    }
    directory
}

#[test]
fn the_own_zone_is_preferred_until_it_is_loaded() {
    let mut directory = directory(&[("near", "north"), ("far", "south")]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut chosen = Vec::new();
    for _ in 0..9 {
        let choice = directory.choose(Timestamp::ZERO, &service("kassa"), "r", &[], &mut random);
        chosen.push(choice.expect("one of the two").endpoint.to_string());
    }
    assert_eq!(chosen[..2], ["near", "near"]);
    assert!(chosen.contains(&"far".to_owned()), "{chosen:?}");
}

#[test]
fn an_endpoint_that_leaves_or_can_not_be_reached_is_avoided() {
    let mut directory = directory(&[("near", "north"), ("far", "south")]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let kassa = service("kassa");
    let mut choose = |directory: &mut Directory, at: u64| {
        let now = Timestamp::from_millis(at);
        let choice = directory
            .choose(now, &kassa, "r", &[], &mut random)
            .expect("one");
        directory.record_end(
            now,
            &choice.endpoint,
            "r",
            AttemptEnd::GivenUp(Duration::ZERO),
            None,
        );
        choice.endpoint.to_string()
    };
    let near = EndpointId::new("near").expect("a name");
    assert_eq!(choose(&mut directory, 0), "near");
    directory.record_end(Timestamp::ZERO, &near, "r", AttemptEnd::Unreachable, None);
    assert_eq!(choose(&mut directory, 100), "far");
    assert_eq!(choose(&mut directory, 5_000), "near");
    directory.apply(
        Timestamp::ZERO,
        &news("near", "north", EndpointState::Draining),
    );
    assert_eq!(choose(&mut directory, 5_001), "far");
    // The only one that is left is tried even if it could not be reached a moment ago.
    let far = EndpointId::new("far").expect("a name");
    directory.record_end(
        Timestamp::from_millis(5_002),
        &far,
        "r",
        AttemptEnd::Unreachable,
        None,
    );
    assert_eq!(choose(&mut directory, 5_003), "far");
}

/// Endpoints whose daemons the control group has lost sight of may well be there: the way to the control
/// group may be cut, and not the one to them.
#[test]
fn silent_endpoints_are_chosen_when_none_takes_work() {
    let mut directory = directory(&[("near", "north"), ("far", "south")]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let kassa = service("kassa");
    let mut choose = |directory: &mut Directory, tried: &[EndpointId]| {
        let choice = directory.choose(Timestamp::ZERO, &kassa, "r", tried, &mut random);
        choice.map(|choice| choice.endpoint.to_string())
    };
    let near = EndpointId::new("near").expect("a name");
    let change = |directory: &mut Directory, name: &str, zone: &str, state: EndpointState| {
        directory.apply(Timestamp::ZERO, &news(name, zone, state));
    };
    change(&mut directory, "near", "north", EndpointState::Silent);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("far"));
    change(&mut directory, "far", "south", EndpointState::Silent);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("near"));
    assert_eq!(choose(&mut directory, &[near]).as_deref(), Some("far"));
    // One that is gone is not chosen, and one that is back is chosen alone.
    change(&mut directory, "near", "north", EndpointState::Gone);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("far"));
    change(&mut directory, "far", "south", EndpointState::Draining);
    assert_eq!(choose(&mut directory, &[]), None);
    change(&mut directory, "near", "north", EndpointState::Silent);
    assert_eq!(
        choose(&mut directory, &[]),
        None,
        "it was never known to take work"
    );
    change(&mut directory, "far", "south", EndpointState::Ready);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("far"));
}

#[test]
fn a_slow_endpoint_gets_less_work() {
    let mut directory = directory(&[("slow", "north"), ("usual", "north")]);
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let kassa = service("kassa");
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for step in 0..400 {
        let now = Timestamp::from_millis(step * 10);
        let choice = directory
            .choose(now, &kassa, "r", &[], &mut random)
            .expect("one");
        let is_slow = choice.endpoint.name() == "slow";
        let time = Duration::from_millis(if is_slow { 500 } else { 100 });
        let load = LoadReport {
            busy: 1,
            limit: 10,
            failed_percent: 0,
        };
        let end = AttemptEnd::Answered(time);
        directory.record_end(now, &choice.endpoint, "r", end, Some(load));
        *counts.entry(choice.endpoint.to_string()).or_default() += 1;
    }
    assert!(
        counts["usual"] > 8 * counts.get("slow").copied().unwrap_or(1),
        "{counts:?}"
    );
}

const FROM_OUTSIDE: FirstSend = FirstSend {
    is_likely_nested: false,
    retried_share: 0.0,
};

/// The bound of the users' rule over all daemons together, for any way that requests are spread,
/// in every window.
#[test]
fn repeated_sends_stay_below_the_bound_in_every_window() {
    const DAEMONS: usize = 17;
    let terms = RetryBoundSettings {
        ratio: 0.2,
        slack: 57.0,
        window: Duration::from_secs(10),
    };
    let kassa = service("kassa");
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut budgets: Vec<RetryBudget> = (0..DAEMONS)
            .map(|_| RetryBudget::new(terms, Timestamp::ZERO))
            .collect();
        for budget in &mut budgets {
            budget.share_among(17);
        }
        let (mut firsts, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for step in 0..40_000_u64 {
            let now = Timestamp::from_millis(step);
            let is_busy = (step / 7_000) % 2 == 0;
            let daemon = random.random_range(0..DAEMONS);
            if random.random_bool(if is_busy { 0.3 } else { 0.02 }) {
                budgets[daemon].record_first(now, &kassa, FROM_OUTSIDE);
                firsts.push(step);
            }
            // Everything fails: each daemon would repeat as often as it may.
            if budgets[daemon].withdraw(now, &kassa, 1.0) {
                retries.push(step);
            }
        }
        for end in (0..40_000_u64).step_by(250) {
            let begin = end.saturating_sub(10_000);
            let within = |all: &[u64]| all.iter().filter(|at| (begin..end).contains(*at)).count();
            let allowed = 0.2 * within(&firsts) as f64 + 57.0;
            let count = within(&retries) as f64;
            assert!(
                count <= allowed,
                "{count} > {allowed} before {end} with seed {seed}"
            );
        }
        assert!(retries.len() > 50, "the bound was never near");
    }
}

fn arrival(rank: u32, due: u64, until: Timestamp) -> Arrival {
    Arrival {
        rank,
        due: Timestamp::from_millis(due),
        until,
    }
}

#[test]
fn of_equal_rank_the_one_that_is_due_first_runs_first() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(1);
    let until = Timestamp::from_millis(1_000);
    assert_eq!(queue.arrive(arrival(1, 100, until)), Admission::Run);
    let mut tickets = Vec::new();
    for (rank, due) in [(1, 300), (1, 120), (0, 900)] {
        match queue.arrive(arrival(rank, due, until)) {
            Admission::Wait(place) => tickets.push(place.ticket),
            other => panic!("waits: {other:?}"),
        }
    }
    for next in [tickets[2], tickets[1], tickets[0]] {
        assert_eq!(queue.finish(Timestamp::ZERO), vec![next]);
    }
}

#[test]
fn nobody_is_refused_while_a_less_important_request_waits() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..50 {
        let mut queue = AdmissionQueue::default();
        queue.set_slots(4);
        let mut waiting = BTreeMap::new();
        let until = Timestamp::from_millis(1_000);
        for _ in 0..60 {
            let rank = random.random_range(0..4_u32);
            match queue.arrive(arrival(rank, 0, until)) {
                Admission::Run => {}
                Admission::Wait(place) => {
                    waiting.insert(place.ticket, rank);
                }
                Admission::WaitInsteadOf(place, displaced) => {
                    let least = waiting.values().max().copied();
                    let gone = waiting.remove(&displaced);
                    assert_eq!(gone, least);
                    assert!(gone > Some(rank));
                    waiting.insert(place.ticket, rank);
                }
                Admission::Refuse => {
                    assert!(waiting.values().all(|other| *other <= rank));
                }
            }
        }
        let next = queue.finish(Timestamp::ZERO);
        let first = waiting.values().min();
        assert_eq!(next.first().map(|ticket| &waiting[ticket]), first);
    }
}

#[test]
fn a_request_that_ran_out_of_time_while_it_waited_does_not_run() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(1);
    let soon = Timestamp::from_millis(10);
    assert_eq!(queue.arrive(arrival(1, 0, soon)), Admission::Run);
    let Admission::Wait(late) = queue.arrive(arrival(0, 0, soon)) else {
        panic!("waits");
    };
    let later = Timestamp::from_millis(90);
    let Admission::Wait(early) = queue.arrive(arrival(1, 0, later)) else {
        panic!("waits");
    };
    assert_eq!(queue.finish(Timestamp::from_millis(50)), vec![early.ticket]);
    assert!(!queue.leave(&late));
}

/// The limit falls where answers take long, but not for a route that is always slow, and comes back.
#[test]
fn the_limit_of_a_route_follows_its_time() {
    const FAILS_AFTER: u64 = 7;
    let objective = Duration::from_millis(1_000);
    let mut now = Timestamp::ZERO;
    let mut limit = ClassLimit::new(now, 50);
    let mut serve = |limit: &mut ClassLimit, millis: u64, rounds: u32| {
        for _ in 0..rounds {
            let mut running = 0;
            while running < 60 && limit.begin(false) {
                running += 1;
            }
            for _ in 0..running {
                now += Duration::from_millis(20);
                let time = Duration::from_millis(millis);
                let has_failed = millis == FAILS_AFTER;
                let answered = Answered { time, has_failed };
                limit.end(now, Some(answered), objective);
            }
        }
    };
    serve(&mut limit, 300, 10);
    assert!(limit.limit() > 45.0);
    serve(&mut limit, 900, 6);
    let fallen = limit.limit();
    assert!(fallen < 25.0, "{fallen}");
    serve(&mut limit, 300, 60);
    assert!(limit.limit() > 45.0);
    // Failures are fast, and say that what is called is overloaded.
    serve(&mut limit, FAILS_AFTER, 6);
    let fallen = limit.limit();
    assert!(fallen < 25.0, "{fallen}");
    let mut slow = ClassLimit::new(Timestamp::ZERO, 50);
    serve(&mut slow, 1_500, 20);
    assert!(slow.limit() > 45.0, "always slow: {}", slow.limit());
    // What must run does so whatever the limit is.
    let mut small = ClassLimit::new(Timestamp::ZERO, 1);
    assert!(small.begin(false) && !small.begin(false) && small.begin(true));
}

/// Refusing at the top spares the calls below: the more of them fail, the sooner.
#[test]
fn the_limit_falls_by_the_part_that_fails() {
    let objective = Duration::from_millis(1_500);
    let after_one_look = |failing: u32| {
        let mut limit = ClassLimit::new(Timestamp::ZERO, 100);
        for _ in 0..60 {
            assert!(limit.begin(false));
        }
        for number in 0..10 {
            let answered = Answered {
                time: Duration::from_millis(50),
                has_failed: number < failing,
            };
            let now = Timestamp::from_millis(if number == 9 { 250 } else { 10 });
            limit.end(now, Some(answered), objective);
        }
        limit.whole_limit()
    };
    assert_eq!(after_one_look(0), 100);
    assert_eq!(after_one_look(2), 48);
    assert_eq!(after_one_look(4), 36);
    assert_eq!(after_one_look(9), 30);
}

/// An endpoint whose answers never come in time is slow, though it never answers.
#[test]
fn an_endpoint_that_is_given_up_gets_less_work() {
    let mut directory = directory(&[("stuck", "north"), ("usual", "north")]);
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let kassa = service("kassa");
    let mut stuck = 0;
    for step in 0..200 {
        let now = Timestamp::from_millis(step * 10);
        let choice = directory
            .choose(now, &kassa, "r", &[], &mut random)
            .expect("one");
        let is_stuck = choice.endpoint.name() == "stuck";
        let end = if is_stuck {
            AttemptEnd::GivenUp(Duration::from_secs(1))
        } else {
            AttemptEnd::Answered(Duration::from_millis(100))
        };
        directory.record_end(now, &choice.endpoint, "r", end, None);
        stuck += u32::from(is_stuck);
    }
    assert!(stuck < 20, "{stuck} of 200");
}

/// A short slow-down at little load, such as while endpoints deep down start anew, refuses nothing.
#[test]
fn a_short_slow_down_at_little_load_refuses_nothing() {
    let objective = Duration::from_millis(1_000);
    let mut limit = ClassLimit::new(Timestamp::ZERO, 200);
    let mut now = Timestamp::ZERO;
    for window in 0..13 {
        let millis = if window < 10 { 250 } else { 700 };
        for _ in 0..12 {
            let running = (0..6).filter(|_| limit.begin(false)).count();
            assert_eq!(
                running,
                6,
                "refused in window {window} at {}",
                limit.limit()
            );
            for _ in 0..running {
                now += Duration::from_millis(3);
                let time = Duration::from_millis(millis);
                let answered = Answered {
                    time,
                    has_failed: false,
                };
                limit.end(now, Some(answered), objective);
            }
        }
    }
}
