//! Runs a scenario on one seed and checks the result.

use super::super::check::{Bounds, Evidence, Promise, Violation, check};
use super::super::double::UnsafeDouble;
use super::super::layer::{LayerKind, LayerOptions, LayerSettings};
use super::super::load::{CallerBehaviour, LoadProfile};
use super::super::record::Record;
use super::super::simulation::{RequestSettings, RequestSimulation};
use super::super::topology::Topology;
use super::examples::files_of;
use super::figures;
use super::file::{Outcomes, RequestScenario};
use super::plan;
use super::world::World;
use crate::kernel::{Entry, HistoryDigest, Purpose, Streams};
use bramblewheel_bundle::Bundle;
use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time after the end of the load for the last requests to end.
const MAX_SETTLING: Duration = Duration::from_secs(120);
/// Interval of the checks whether they have ended.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of the random stream that selects the targets of faults.
const TARGET_STREAM: u32 = 1 << 16;

/// Result of a run on one seed.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// History of the run.
    pub history: Vec<Entry<Record>>,
    /// Digest of the history; equal for equal seeds.
    pub digest: HistoryDigest,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Counts by name.
    pub figures: BTreeMap<&'static str, u64>,
}

/// Runs a scenario on one seed, with unsafe daemons if a double is given.
///
/// # Panics
/// If the example files that the scenario names are invalid; a test parses them.
pub fn run(scenario: &RequestScenario, seed: u64, double: Option<UnsafeDouble>) -> RequestRun {
    let settings = settings(scenario, seed);
    let topology = Arc::clone(&settings.topology);
    let bundle = Arc::clone(&settings.layer.bundle);
    let replicas = scenario.world.control_replicas;
    let options = LayerOptions {
        double,
        replicas,
        seed: None,
    };
    let simulation = RequestSimulation::with_options(&settings, options);
    let streams = Streams::new(seed);
    let faults = scenario.fault.iter().map(|fault| fault.get_ref().clone());
    let mut world = World::new(
        simulation,
        faults.collect(),
        replicas,
        Arc::clone(&bundle),
        streams.stream(Purpose::Other(TARGET_STREAM)),
    );
    for occurrence in plan::draw(scenario, &mut streams.stream(Purpose::Faults)) {
        world.plan(occurrence);
    }
    settle(&mut world, Timestamp::from_millis(scenario.load.run_ms));
    let handled = world.simulation.kernel().handled();
    let digest = world.simulation.kernel().digest();
    let history = world.simulation.take_history();
    let evidence = Evidence {
        history: &history,
        topology: &topology,
        bundle: &bundle,
        bounds: bounds(&scenario.outcomes),
    };
    let mut violations = check(&evidence);
    let mut figures = figures::count(&history, &topology);
    figures.insert("events", handled);
    violations.extend(check_outcomes(&scenario.outcomes, &figures));
    RequestRun {
        history,
        digest,
        violations,
        figures,
    }
}

/// Deployment and bundle of a scenario, and the bounds that its runs are checked against.
///
/// # Panics
/// Like [`run`].
pub fn check_inputs(scenario: &RequestScenario) -> (Arc<Topology>, Bundle, Bounds) {
    let settings = settings(scenario, 0);
    let bundle = Bundle::clone(&settings.layer.bundle);
    (settings.topology, bundle, bounds(&scenario.outcomes))
}

/// Runs until no request is open and no fault step is left, for at most `MAX_SETTLING` beyond the load.
fn settle(world: &mut World, load_ends: Timestamp) {
    let latest = load_ends + MAX_SETTLING;
    let mut until = load_ends;
    loop {
        let has_steps = world.run_until(until);
        let is_over = !has_steps && world.simulation.open_requests() == 0;
        if is_over || until >= latest {
            return;
        }
        until += SETTLE_POLL_INTERVAL;
    }
}

fn settings(scenario: &RequestScenario, seed: u64) -> RequestSettings {
    let name = &scenario.world.deployment;
    let (deployment, bundle) = files_of(name).expect("a checked scenario names an example");
    let deployment =
        crate::deployment::parse(name, deployment).expect("the example deployment is valid");
    let bundle = bramblewheel_bundle::parse(name, bundle).expect("the example bundle is valid");
    let load = scenario.load;
    let callers = scenario.callers;
    let surge_begins = Timestamp::from_millis(load.surge_at_ms);
    RequestSettings {
        topology: Arc::new(Topology::new(&deployment)),
        layer: LayerSettings {
            kind: LayerKind::Bramblewheel,
            bundle: Arc::new(bundle),
        },
        load: LoadProfile {
            base_rate: load.rate,
            surge: load.surge,
            surge_begins,
            surge_ends: surge_begins + Duration::from_millis(load.surge_for_ms),
            ends: Timestamp::from_millis(load.run_ms),
        },
        callers: CallerBehaviour {
            max_sends: callers.max_sends,
            pause: Duration::from_millis(callers.pause_ms),
            with_id: f64::from(callers.with_id_percent) / 100.0,
            patience: Duration::from_millis(callers.patience_ms),
            roams: callers.roams,
            sessions_per_zone: callers.sessions_per_zone,
            ..CallerBehaviour::default()
        },
        seed,
    }
}

fn bounds(outcomes: &Outcomes) -> Bounds {
    Bounds {
        leave_within: Duration::from_millis(outcomes.leave_within_ms),
        answer_within: Duration::from_millis(outcomes.answer_within_ms),
        stop_within: Duration::from_millis(outcomes.stop_within_ms),
        compare_classes: outcomes.compare_classes,
    }
}

/// Checks the outcomes that the scenario requires in addition to the promises.
fn check_outcomes(outcomes: &Outcomes, figures: &BTreeMap<&'static str, u64>) -> Vec<Violation> {
    let figure = |name| figures.get(name).copied().unwrap_or(0);
    let mut violations = Vec::new();
    let mut report_missed = |message: String| {
        violations.push(Violation {
            promise: Promise::Meaningful,
            message,
            evidence: Vec::new(),
        });
    };
    let (all, completed) = (figure("requests"), figure("requests_completed"));
    if completed * 100 < all * outcomes.min_completed_percent {
        report_missed(format!("{completed} of {all} requests were completed"));
    }
    let unknown = figure("told_unknown") + figure("told_failed") + figure("gave_up");
    if !outcomes.allow_unknown && unknown > 0 {
        report_missed(format!(
            "{unknown} sends ended unknown, failed or unanswered"
        ));
    }
    violations
}
