//! The overload experiment, its bound, and that its checks can fail.

use bramblewheel_sim::requests::bound::maximise;
use bramblewheel_sim::requests::overload_scenario::ExampleName;
use bramblewheel_sim::requests::{LayerKind, overload_scenario::OverloadScenario};
use bramblewheel_sim::scenario::{Body, built_in};

#[test]
fn the_bound_uses_what_is_scarce_for_what_counts_most() {
    // Two kinds of requests share one resource of 10; the first takes 2 and counts 5.
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
fn without_overload_the_bound_is_what_is_offered() {
    for name in [ExampleName::Torgnett, ExampleName::Museum] {
        let subject = name.subject();
        let bound: f64 = subject.bound(0.5).iter().sum();
        assert!((bound - subject.base_rate() * 0.5).abs() < 1e-6);
        let most: f64 = subject.bound(10.0).iter().sum();
        assert!(most <= subject.bound_cheap_first(10.0) + 1e-6);
        assert!(subject.bound_cheap_first(10.0) <= subject.bound_any_class(10.0) + 1e-6);
    }
}

fn torgnett_metastable() -> Box<OverloadScenario> {
    let built_in = built_in("torgnett-metastable").expect("the scenario is there");
    let scenario = built_in.scenario().expect("it is valid");
    let Body::Overload(scenario) = scenario.body else {
        panic!("the scenario is of another kind");
    };
    scenario
}

#[test]
fn bramblewheel_holds_the_outcomes_of_the_metastable_scenario() {
    let report = torgnett_metastable().run(7);
    assert!(report.violations.is_empty(), "{report}");
}

#[test]
fn a_naive_layer_breaks_them() {
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
