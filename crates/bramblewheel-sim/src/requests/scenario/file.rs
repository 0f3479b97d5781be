//! Scenario files of kind `requests`.

use crate::scenario::{MillisRange, Range, ScenarioError, SourceText};
use serde::Deserialize;
use toml::Spanned;

/// A scenario of kind `requests`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestScenario {
    /// Name.
    pub name: String,
    /// Kind: always `requests`.
    pub kind: String,
    /// One-line summary.
    pub summary: String,
    /// Deployment and control group.
    pub world: WorldTable,
    /// Load of the callers.
    #[serde(default)]
    pub load: LoadTable,
    /// Caller behaviour.
    #[serde(default)]
    pub callers: CallersTable,
    /// Faults, in the order of the file.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
    /// Requirements in addition to the promises that hold in every scenario.
    #[serde(default)]
    pub outcomes: Outcomes,
}

/// Deployment and control group.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorldTable {
    /// Name of the example deployment and bundle.
    pub deployment: String,
    /// Number of control replicas that hold the ledger of run-once operations.
    #[serde(default = "three")]
    pub control_replicas: u32,
}

fn three() -> u32 {
    3
}

/// Load of the callers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadTable {
    /// New requests per second of all callers.
    pub rate: f64,
    /// Time during which new requests arrive, in milliseconds.
    pub run_ms: u64,
    /// Factor of the rate during the surge.
    pub surge: f64,
    /// Start of the surge, in milliseconds.
    pub surge_at_ms: u64,
    /// Length of the surge, in milliseconds.
    pub surge_for_ms: u64,
}

impl Default for LoadTable {
    fn default() -> Self {
        Self {
            rate: 40.0,
            run_ms: 4_000,
            surge: 1.0,
            surge_at_ms: 1_000,
            surge_for_ms: 1_000,
        }
    }
}

/// Caller behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallersTable {
    /// Maximum number of sends of one request, including the first.
    pub max_sends: u32,
    /// Minimum pause before the next send, in milliseconds.
    pub pause_ms: u64,
    /// Share of requests that keep their request id and count their resends, in percent.
    /// Callers of run-once operations are expected to do so.
    pub with_id_percent: u8,
    /// Whether resends go to gateways of other zones.
    pub roams: bool,
    /// Number of sessions with tokens in each zone; 0 for sessions without tokens.
    pub sessions_per_zone: u32,
    /// Time that a caller waits beyond its deadline, in milliseconds.
    pub patience_ms: u64,
}

impl Default for CallersTable {
    fn default() -> Self {
        Self {
            max_sends: 3,
            pause_ms: 50,
            with_id_percent: 100,
            roams: true,
            sessions_per_zone: 0,
            patience_ms: 500,
        }
    }
}

/// A fault: kind, target, time and number of occurrences.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Kind of machine, for faults of one machine.
    #[serde(default)]
    pub machine: MachineKind,
    /// Service, for faults of services and endpoints; drawn if absent.
    pub service: Option<String>,
    /// Start, in milliseconds.
    pub at_ms: MillisRange,
    /// Duration in milliseconds; a stopped process stays down for this time.
    #[serde(default = "default_for_ms")]
    pub for_ms: MillisRange,
    /// Number of occurrences, each with its own start.
    #[serde(default = "once")]
    pub times: Range,
    /// Direction of a cut.
    #[serde(default)]
    pub direction: Direction,
    /// Size in percent: of the usual work time for `slow`, of the runs for `failing`.
    #[serde(default = "hundred")]
    pub percent: Range,
    /// Probability in percent that a message is lost, for `disorder`.
    #[serde(default)]
    pub loss_percent: u8,
    /// Probability in percent that a message is duplicated, for `disorder`.
    #[serde(default)]
    pub duplicate_percent: u8,
    /// Probability in percent that a message is reordered, for `disorder`.
    #[serde(default)]
    pub reorder_percent: u8,
    /// First sign that an endpoint leaves, for `leaving`.
    #[serde(default)]
    pub seen_on: SeenOn,
    /// Lag of the platform's endpoint list in milliseconds, for `leaving`.
    #[serde(default = "no_time")]
    pub list_lag_ms: MillisRange,
}

fn default_for_ms() -> MillisRange {
    MillisRange::between(200, 1_500)
}

fn no_time() -> MillisRange {
    MillisRange::exactly(0)
}

fn once() -> Range {
    Range::exactly(1)
}

fn hundred() -> Range {
    Range::exactly(100)
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A process is killed and restarted.
    Kill,
    /// A replica's machine loses power: data that is not synced is lost, torn or kept.
    PowerLoss,
    /// A process is frozen.
    Freeze,
    /// A zone is cut off from the others.
    ZoneCut,
    /// Messages other than requests are lost, duplicated or reordered.
    Disorder,
    /// A service is slow.
    Slow,
    /// Runs of a service end in an error.
    Failing,
    /// An endpoint leaves; it is then stopped as planned and restarted.
    Leaving,
    /// A planned stop of one machine.
    StopPlanned,
    /// Planned stops of all machines, each `for_ms` after the restart of the one before.
    RollingStop,
    /// The load report of an endpoint claims ten times the slots, none in use.
    FlatteringReport,
    /// The load report of an endpoint claims that there are no slots.
    AlarmingReport,
    /// A new bundle comes into force, on each machine at a different time within `for_ms`.
    NewBundle,
    /// Gateways start to sign new sessions with the next key, each at a different time within `for_ms`.
    RotateSessionKey,
}

/// Kind of machine that a fault hits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineKind {
    /// An endpoint with its daemon.
    #[default]
    Endpoint,
    /// A gateway.
    Gateway,
    /// A control replica.
    Replica,
    /// The control replica that leads, or a drawn one if none does.
    Leader,
}

/// Direction of a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// Messages into the zone.
    In,
    /// Messages out of the zone.
    Out,
    /// One of the three, drawn for each occurrence.
    Any,
}

/// First sign that an endpoint leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeenOn {
    /// The endpoint's own load report; the platform's list follows.
    #[default]
    Report,
    /// The answers of its daemon, which was asked to stop; the platform's list follows.
    Daemon,
    /// Only the platform's list.
    List,
}

/// Requirements in addition to the promises that hold in every scenario.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcomes {
    /// Time after which a leaving endpoint must not begin runs, in milliseconds.
    pub leave_within_ms: u64,
    /// Maximum time from the last report on a request until its caller is answered, in milliseconds.
    pub answer_within_ms: u64,
    /// Maximum duration of a planned stop, in milliseconds.
    pub stop_within_ms: u64,
    /// Whether more important classes must not have a lower share of completed requests.
    pub compare_classes: bool,
    /// Minimum share of completed requests in each run, in percent.
    pub min_completed_percent: u64,
    /// Whether sends may end as `Failed`, `Unknown` or unanswered.
    pub allow_unknown: bool,
    /// Figures whose total over all seeds must not be 0; guards against runs that hold every promise
    /// because nothing happens in them.
    pub shows: Vec<String>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Self {
            leave_within_ms: 3_000,
            answer_within_ms: 100,
            stop_within_ms: 5_000,
            compare_classes: false,
            min_completed_percent: 0,
            allow_unknown: true,
            shows: Vec::new(),
        }
    }
}

/// Maximum length of a run; guards against typing errors in a file.
const MAX_RUN_MS: u64 = 600_000;

impl RequestScenario {
    /// Parses and checks a scenario of this kind.
    ///
    /// # Errors
    /// Returns [`ScenarioError`] with file, line and key.
    pub fn parse(source: &SourceText<'_>) -> Result<Self, ScenarioError> {
        let scenario: Self = source.deserialize()?;
        if scenario.load.rate <= 0.0 || scenario.load.surge <= 0.0 {
            return Err(source.error("load.rate", "must be above 0"));
        }
        if scenario.load.run_ms == 0 || scenario.load.run_ms > MAX_RUN_MS {
            let message = format!("must be from 1 to {MAX_RUN_MS}");
            return Err(source.error("load.run_ms", message));
        }
        if scenario.callers.with_id_percent > 100 {
            return Err(source.error("callers.with_id_percent", "must be at most 100"));
        }
        if scenario.callers.max_sends == 0 {
            return Err(source.error("callers.max_sends", "must be at least 1"));
        }
        if super::examples::files_of(&scenario.world.deployment).is_none() {
            return Err(source.error("world.deployment", "no example deployment has this name"));
        }
        for (index, fault) in scenario.fault.iter().enumerate() {
            check_fault(source, index, fault, scenario.world.control_replicas)?;
        }
        Ok(scenario)
    }
}

fn check_fault(
    source: &SourceText<'_>,
    index: usize,
    fault: &Spanned<Fault>,
    replicas: u32,
) -> Result<(), ScenarioError> {
    let offset = fault.span().start;
    let fault = fault.get_ref();
    let error = |key: &str, message: &str| {
        Err(source.error_at(offset, &format!("fault[{index}].{key}"), message))
    };
    let ranges = [
        ("at_ms", fault.at_ms.0),
        ("for_ms", fault.for_ms.0),
        ("times", fault.times),
        ("percent", fault.percent),
        ("list_lag_ms", fault.list_lag_ms.0),
    ];
    for (key, range) in ranges {
        if range.is_reversed() {
            return error(key, "the start of the range is above its end");
        }
    }
    let wants_replica = matches!(fault.machine, MachineKind::Replica | MachineKind::Leader);
    if wants_replica && replicas == 0 {
        return error("machine", "the scenario has no control replicas");
    }
    if fault.kind == FaultKind::PowerLoss && !wants_replica {
        return error(
            "machine",
            "must be a replica: other machines store nothing on disk",
        );
    }
    if fault.kind == FaultKind::Failing && fault.percent.highest > 100 {
        return error("percent", "must be at most 100 for failing runs");
    }
    let percents = [
        fault.loss_percent,
        fault.duplicate_percent,
        fault.reorder_percent,
    ];
    if percents.iter().any(|&percent| percent > 90) {
        return error("loss_percent", "must be at most 90");
    }
    Ok(())
}
