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
    /// Always `requests`.
    pub kind: String,
    /// One line on what it tries.
    pub summary: String,
    /// What is deployed.
    pub world: WorldTable,
    /// How many requests callers make.
    #[serde(default)]
    pub load: LoadTable,
    /// How callers behave.
    #[serde(default)]
    pub callers: CallersTable,
    /// What fails, in the order of the file.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
    /// What must hold beside the promises that hold in every scenario.
    #[serde(default)]
    pub outcomes: Outcomes,
}

/// What is deployed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorldTable {
    /// Deployment and bundle of this name among the examples.
    pub deployment: String,
    /// Control replicas that keep the ledger of run-once operations.
    #[serde(default = "three")]
    pub control_replicas: u32,
}

fn three() -> u32 {
    3
}

/// How many requests callers make.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadTable {
    /// New requests a second, over all callers.
    pub rate: f64,
    /// Time during which new requests come, in milliseconds.
    pub run_ms: u64,
    /// Factor on the rate during the surge.
    pub surge: f64,
    /// Beginning of the surge.
    pub surge_at_ms: u64,
    /// Length of the surge.
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

/// How callers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallersTable {
    /// Most sends of one request, the first included.
    pub max_sends: u32,
    /// Shortest pause before the next send.
    pub pause_ms: u64,
    /// Share of the callers that keep their request id and count their resends, in percent.
    /// Callers of run-once operations are assumed to.
    pub with_id_percent: u8,
    /// Whether resends go to the gateways of any zone.
    pub roams: bool,
    /// Sessions with tokens in each zone; 0 for sessions that need none.
    pub sessions_per_zone: u32,
    /// Time that a caller waits beyond its deadline.
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

/// When a fault comes, and how often.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Which kind of machine, for faults of one machine.
    #[serde(default)]
    pub machine: MachineKind,
    /// Which service, for faults of services; any if none is named.
    pub service: Option<String>,
    /// Moment.
    pub at_ms: MillisRange,
    /// How long it lasts; a stopped process stays down for as long.
    #[serde(default = "default_for_ms")]
    pub for_ms: MillisRange,
    /// How often it comes, each time at a moment of its own.
    #[serde(default = "once")]
    pub times: Range,
    /// Which way is cut.
    #[serde(default)]
    pub direction: Direction,
    /// Size in percent: of the usual time of work for `slow`, of the runs for `failing`.
    #[serde(default = "hundred")]
    pub percent: Range,
    /// Chance in percent that a message is lost, for `disorder`.
    #[serde(default)]
    pub loss_percent: u8,
    /// Chance in percent that a message comes twice, for `disorder`.
    #[serde(default)]
    pub duplicate_percent: u8,
    /// Chance in percent that a message is overtaken, for `disorder`.
    #[serde(default)]
    pub reorder_percent: u8,
    /// Where it shows first that an endpoint leaves, for `leaving`.
    #[serde(default)]
    pub seen_on: SeenOn,
    /// How late the platform's list is, for `leaving`.
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

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A process is killed and started again.
    Kill,
    /// A replica's machine loses power: what is not synced is lost, torn or kept.
    PowerLoss,
    /// A process is frozen.
    Freeze,
    /// A zone is cut off from the others.
    ZoneCut,
    /// Messages other than requests are lost, come twice or overtake each other.
    Disorder,
    /// A service is slow.
    Slow,
    /// Runs of a service end in an error.
    Failing,
    /// An endpoint leaves, and is then stopped as planned and started again.
    Leaving,
    /// A planned stop of one machine.
    StopPlanned,
    /// Planned stops of all machines, each begun `for_ms` after the one before came back.
    RollingStop,
    /// The load report of an endpoint claims ten times the slots, and none in use.
    FlatteringReport,
    /// The load report of an endpoint claims that there are no slots at all.
    AlarmingReport,
    /// A new bundle comes into force, at each machine at another moment within `for_ms`.
    NewBundle,
    /// Gateways sign new sessions with the next key, each from another moment on.
    RotateSessionKey,
}

/// Which machine a fault concerns.
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
    /// The control replica that leads, or any if none does.
    Leader,
}

/// Which way is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both ways.
    #[default]
    Both,
    /// Nothing comes in.
    In,
    /// Nothing goes out.
    Out,
    /// Each time one of the three, drawn.
    Any,
}

/// Where it shows first that an endpoint leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeenOn {
    /// On the endpoint's own load report; the list follows.
    #[default]
    Report,
    /// On the answers of its daemon, which was told; the list follows.
    Daemon,
    /// On the platform's list alone.
    List,
}

/// What must hold beside the promises that hold in every scenario.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcomes {
    /// Time after which a leaving endpoint begins nothing new.
    pub leave_within_ms: u64,
    /// Time from the last report about a request until its caller is answered.
    pub answer_within_ms: u64,
    /// Longest time that a planned stop takes.
    pub stop_within_ms: u64,
    /// Whether the share of completed requests must not fall with the importance of a class.
    pub compare_classes: bool,
    /// Share of the requests that must be completed, in percent, in each run.
    pub min_completed_percent: u64,
    /// Whether callers may be told `Failed` or `Unknown`, or nothing.
    pub allow_unknown: bool,
    /// Figures that must not be 0 over all seeds together: a run in which nothing happens holds
    /// every promise.
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

/// Longest run, so that a slip of the pen does not run for ever.
const MAX_RUN_MS: u64 = 600_000;

impl RequestScenario {
    /// Reads and checks the keys of this kind.
    ///
    /// # Errors
    /// [`ScenarioError`] with file, line and key.
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
            return Err(source.error("callers.with_id_percent", "no more than 100 percent"));
        }
        if scenario.callers.max_sends == 0 {
            return Err(source.error("callers.max_sends", "must be at least 1"));
        }
        if super::examples::files_of(&scenario.world.deployment).is_none() {
            return Err(source.error("world.deployment", "no example has this name"));
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
            return error(key, "begins above its end");
        }
    }
    let wants_replica = matches!(fault.machine, MachineKind::Replica | MachineKind::Leader);
    if wants_replica && replicas == 0 {
        return error("machine", "there are no control replicas");
    }
    if fault.kind == FaultKind::PowerLoss && !wants_replica {
        return error("machine", "only a replica keeps anything on its disk");
    }
    if fault.kind == FaultKind::Failing && fault.percent.highest > 100 {
        return error("percent", "no more than 100 percent of the runs can fail");
    }
    let percents = [
        fault.loss_percent,
        fault.duplicate_percent,
        fault.reorder_percent,
    ];
    if percents.iter().any(|&percent| percent > 90) {
        return error("loss_percent", "no more than 90 percent");
    }
    Ok(())
}
