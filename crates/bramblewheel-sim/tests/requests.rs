//! Simulated requests through whole deployments.

use bramblewheel_bundle::Bundle;
use bramblewheel_sim::deployment;
use bramblewheel_sim::kernel::Fact;
use bramblewheel_sim::requests::{
    CallerBehaviour, LayerKind, LayerSettings, LoadProfile, Record, RequestSettings,
    RequestSimulation, Topology, ZoneIndex,
};
use bramblewheel_types::{OperationKey, Outcome, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

const TORGNETT: (&str, &str) = (
    include_str!("../../../examples/deployments/torgnett.toml"),
    include_str!("../../../examples/bundles/torgnett.toml"),
);
const MUSEUM: (&str, &str) = (
    include_str!("../../../examples/deployments/museum.toml"),
    include_str!("../../../examples/bundles/museum.toml"),
);

fn settings(
    (deployment, bundle): (&str, &str),
    kind: LayerKind,
    rate: f64,
    surge: f64,
) -> RequestSettings {
    let deployment = deployment::parse("deployment", deployment).expect("deployment");
    let bundle: Bundle = bramblewheel_bundle::parse("bundle", bundle).expect("bundle");
    RequestSettings {
        topology: Arc::new(Topology::new(&deployment)),
        layer: LayerSettings {
            kind,
            bundle: Arc::new(bundle),
        },
        load: LoadProfile {
            base_rate: rate,
            surge,
            surge_begins: Timestamp::from_millis(500),
            surge_ends: Timestamp::from_millis(1_500),
            ends: Timestamp::from_millis(2_000),
        },
        callers: CallerBehaviour::default(),
        seed: 7,
    }
}

fn run_to_end(settings: &RequestSettings) -> RequestSimulation {
    let mut run = RequestSimulation::new(settings);
    run.run_until(Timestamp::from_millis(20_000));
    run
}

#[test]
fn every_layer_completes_all_requests_under_light_load() {
    for files in [TORGNETT, MUSEUM] {
        for kind in LayerKind::ALL {
            let run = run_to_end(&settings(files, kind, 200.0, 1.0));
            let topology = Arc::clone(run.topology());
            let good = run.results().filter(|r| r.is_good(&topology)).count();
            let all = run.results().count();
            assert!(all > 300, "{all} requests");
            assert_eq!(good, all, "{kind:?}");
        }
    }
}

#[test]
fn equal_seeds_give_equal_digests() {
    let settings = settings(TORGNETT, LayerKind::Bramblewheel, 300.0, 10.0);
    let first = run_to_end(&settings).kernel().digest();
    assert_eq!(first, run_to_end(&settings).kernel().digest());
    let other = RequestSettings {
        seed: 8,
        ..settings
    };
    assert_ne!(first, run_to_end(&other).kernel().digest());
}

/// Number of runs of each run-once operation.
fn runs_by_operation(run: &mut RequestSimulation) -> BTreeMap<OperationKey, u32> {
    let mut runs = BTreeMap::new();
    for entry in run.take_history() {
        if let Fact::Domain(Record::Ran {
            operation: Some(key),
            ..
        }) = entry.fact
        {
            *runs.entry(key).or_default() += 1;
        }
    }
    runs
}

#[test]
fn run_once_operations_run_once_with_bramblewheel_and_repeatedly_with_the_naive_layer() {
    let mut run = run_to_end(&settings(TORGNETT, LayerKind::Bramblewheel, 900.0, 6.0));
    let runs = runs_by_operation(&mut run);
    assert!(runs.len() > 300, "{} operations", runs.len());
    assert!(runs.values().all(|count| *count == 1));

    let mut run = run_to_end(&settings(TORGNETT, LayerKind::Naive, 900.0, 6.0));
    assert!(runs_by_operation(&mut run).values().any(|count| *count > 1));
}

#[test]
fn every_send_is_answered_or_given_up_exactly_once() {
    let mut run = run_to_end(&settings(MUSEUM, LayerKind::Bramblewheel, 500.0, 8.0));
    let mut open = BTreeMap::new();
    let mut refused = 0;
    for entry in run.take_history() {
        let Fact::Domain(record) = entry.fact else {
            continue;
        };
        match record {
            Record::Sent {
                request, resend, ..
            } => assert!(open.insert((request, resend), ()).is_none()),
            Record::Told {
                request,
                resend,
                outcome,
                ..
            } => {
                refused += u32::from(matches!(outcome, Outcome::NotRun { .. }));
                assert!(open.remove(&(request, resend)).is_some());
            }
            Record::GaveUp {
                request, resend, ..
            } => assert!(open.remove(&(request, resend)).is_some()),
            _ => {}
        }
    }
    assert!(open.is_empty());
    assert!(refused > 0, "no send was refused: the run has no overload");
}

#[test]
fn all_requests_complete_again_after_a_zone_cut_is_healed() {
    let mut settings = settings(TORGNETT, LayerKind::Bramblewheel, 300.0, 1.0);
    settings.load.ends = Timestamp::from_millis(12_000);
    let mut run = RequestSimulation::new(&settings);
    run.run_until(Timestamp::from_millis(1_000));
    run.cut_zone(ZoneIndex(3));
    run.run_until(Timestamp::from_millis(4_000));
    run.heal();
    run.run_until(Timestamp::from_millis(20_000));
    let topology = Arc::clone(run.topology());
    let late: Vec<_> = run
        .results()
        .filter(|result| result.began > Timestamp::from_millis(8_000))
        .collect();
    let good = late.iter().filter(|r| r.is_good(&topology)).count();
    assert!(late.len() > 500);
    assert_eq!(good, late.len());
}
