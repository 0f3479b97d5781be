//! Route tables: route look-up, validation of tables, and weights of targets.

use crate::service;
use bramblewheel_decisions::table::{
    Route, RouteTable, Router, ServiceSettings, TableError, Target,
};
use bramblewheel_protocol::routing::TableVersion;
use std::collections::BTreeMap;
use std::time::Duration;

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
    let settings = ServiceSettings {
        max_connections: 100,
    };
    RouteTable {
        version: TableVersion(1),
        routes,
        services: ["kassa", "pris"]
            .map(|name| (service(name), settings))
            .into(),
        caller_idle_timeout: None,
        max_body_bytes: None,
        tenants: Vec::new(),
    }
}

#[test]
fn longest_prefix_of_the_host_is_chosen() {
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
fn invalid_tables_are_rejected() {
    let good = || route("one", "a.example", "/one/", &[("kassa", 1.0)]);
    let with = |change: &dyn Fn(&mut Route)| {
        let mut changed = good();
        change(&mut changed);
        table(vec![changed]).check()
    };
    assert_eq!(table(vec![good()]).check(), Ok(()));
    let unknown = with(&|r| r.targets[0].service = service("nobody"));
    assert!(matches!(unknown, Err(TableError::UnknownService { .. })));
    let negative = with(&|r| r.targets[0].weight = -1.0);
    assert!(matches!(negative, Err(TableError::BadWeight(_))));
    let no_attempts = with(&|r| r.max_attempts = 0);
    assert!(matches!(no_attempts, Err(TableError::NoAttempts(_))));
    let over_timeout = with(&|r| r.objective = r.timeout + Duration::from_secs(60));
    assert!(matches!(
        over_timeout,
        Err(TableError::ObjectiveOverTimeout(_))
    ));
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
    assert!(matches!(same, Err(TableError::SameHostAndPrefix { .. })));
}

/// Over 300 requests each target gets its share within 2%, for any first request number.
#[test]
fn weights_hold_over_short_runs_of_requests() {
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
