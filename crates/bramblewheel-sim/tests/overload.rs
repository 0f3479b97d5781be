//! The overload experiment and its bound; a naive layer must miss the required outcomes.

use bramblewheel_sim::requests::bound::maximise;
use bramblewheel_sim::requests::overload_scenario::ExampleName;
use bramblewheel_sim::requests::{LayerKind, overload_scenario::OverloadScenario};
use bramblewheel_sim::scenario::{Body, built_in};

#[test]
fn the_bound_gives_scarce_capacity_to_the_highest_gain() {
    // Two kinds of requests share a capacity of 10; the first needs 2 per request and has weight 5.
    let limits = [
        (vec![2.0, 1.0], 10.0),
        (vec![1.0, 0.0], 3.0),
        (vec![0.0, 1.0], 8.0),
    ];
    assert_eq!(maximise(&[5.0, 1.0], &limits), vec![3.0, 4.0]);
    assert_eq!(maximise(&[1.0, 1.0], &limits), vec![1.0, 8.0]);
    assert_eq!(maximise(&[0.0, 0.0], &limits), vec![0.0, 0.0]);
}

#[test]
fn the_bound_equals_the_offered_rate_without_overload() {
    for name in [ExampleName::Torgnett, ExampleName::Museum] {
        let experiment = name.experiment();
        let bound: f64 = experiment.bound(0.5).iter().sum();
        assert!((bound - experiment.base_rate() * 0.5).abs() < 1e-6);
        let most: f64 = experiment.bound(10.0).iter().sum();
        assert!(most <= experiment.bound_cheap_first(10.0) + 1e-6);
        assert!(experiment.bound_cheap_first(10.0) <= experiment.bound_any_class(10.0) + 1e-6);
    }
}

fn torgnett_metastable() -> Box<OverloadScenario> {
    let built_in = built_in("torgnett-metastable").expect("the scenario is built in");
    let scenario = built_in.scenario().expect("the scenario is valid");
    let Body::Overload(scenario) = scenario.body else {
        panic!("the scenario is not of kind overload");
    };
    scenario
}

#[test]
fn bramblewheel_meets_the_outcomes_of_torgnett_metastable() {
    let report = torgnett_metastable().run(7);
    assert!(report.violations.is_empty(), "{report}");
}

#[test]
fn a_naive_layer_misses_the_outcomes_of_torgnett_metastable() {
    let report = torgnett_metastable().run_with(LayerKind::Naive, 7);
    let promises: Vec<&str> = report
        .violations
        .iter()
        .map(|v| v.promise.as_str())
        .collect();
    assert!(promises.contains(&"percent-of-bound"), "{report}");
    assert!(promises.contains(&"repeated-operations"), "{report}");
    assert!(promises.contains(&"wasted-percent"), "{report}");
}
