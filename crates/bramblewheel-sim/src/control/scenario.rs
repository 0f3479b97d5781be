//! Scenario files of kind `control`.

use crate::scenario::{MillisRange, Range, ScenarioError, SourceText};
use serde::Deserialize;
use toml::Spanned;

/// Keys of a scenario of kind `control`, without those common to all scenarios.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlScenario {
    /// Machines and network.
    pub topology: Topology,
    /// Load that operators generate.
    pub load: Load,
    /// Faults in the order of the file.
    pub faults: Vec<Fault>,
    /// Expected outcomes.
    pub outcomes: Outcomes,
}

/// Structure of the whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(rename = "name")]
    _name: String,
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "summary")]
    _summary: String,
    topology: Topology,
    load: Load,
    #[serde(default)]
    fault: Vec<Spanned<Fault>>,
    outcomes: Outcomes,
}

/// Machines and network.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Topology {
    /// Number of zones; machines are assigned to them in turn.
    pub zones: u16,
    /// Number of voters in the control group.
    pub replicas: u64,
    /// Number of daemons, which serve no requests.
    pub daemons: u64,
    /// Entries after which a replica takes a snapshot.
    pub snapshot_interval: u64,
    /// Delay of a message inside a zone, in microseconds.
    pub delay_inside_us: Range,
    /// Delay of a message between zones, in microseconds.
    pub delay_between_us: Range,
    /// Duration of a sync, in microseconds.
    pub sync_us: Range,
    /// Largest deviation of the rate of a clock, in parts per million.
    pub clock_skew_ppm: u32,
}

impl Default for Topology {
    /// Delays of `examples/deployments/torgnett.toml`, but with three zones instead of four.
    fn default() -> Self {
        Self {
            zones: 3,
            replicas: 3,
            daemons: 6,
            snapshot_interval: 64,
            delay_inside_us: Range {
                lowest: 50,
                highest: 250,
            },
            delay_between_us: Range {
                lowest: 300,
                highest: 900,
            },
            sync_us: Range {
                lowest: 200,
                highest: 3_000,
            },
            clock_skew_ppm: 200,
        }
    }
}

/// Load that operators generate.
///
/// In each round, one operator in turn publishes a bundle with the next version number. In a race, all operators
/// publish bundles with this version and different content.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Number of operators.
    pub operators: u64,
    /// Number of rounds.
    pub rounds: Range,
    /// Time between two rounds.
    pub every_ms: MillisRange,
    /// Whether all operators publish in each round, with equal version numbers.
    pub race: bool,
    /// Longest time between the publishes of one round, in milliseconds.
    pub spread_ms: u64,
    /// Whether an operator publishes only once its preceding publish is answered.
    pub serial: bool,
    /// Probability in percent that an answer is lost.
    pub lose_answer_percent: u8,
    /// Probability in percent that a bundle is sent again after its publish was answered.
    pub resend_percent: u8,
    /// Time from the answer to the resend.
    pub resend_after_ms: MillisRange,
    /// Number of rounds after which the operators' keys are rotated; 0 for never.
    pub rotate_keys_every: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            operators: 2,
            rounds: Range::exactly(20),
            every_ms: MillisRange::between(500, 2_000),
            race: false,
            spread_ms: 0,
            serial: false,
            lose_answer_percent: 0,
            resend_percent: 0,
            resend_after_ms: MillisRange::between(0, 20_000),
            rotate_keys_every: 0,
        }
    }
}

/// A fault with its times and targets.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected machines.
    #[serde(default)]
    pub target: Target,
    /// Time of the fault, counted from the event that `after` names.
    pub at_ms: MillisRange,
    /// Event from which the time counts.
    #[serde(default)]
    pub after: After,
    /// Duration; a stopped process stays down for this long.
    #[serde(default = "default_for_ms")]
    pub for_ms: MillisRange,
    /// Number of occurrences, each at its own drawn time.
    #[serde(default = "default_times")]
    pub times: Range,
    /// Direction of a cut.
    #[serde(default)]
    pub direction: Direction,
    /// Probability in percent that a message is lost, for `disorder`.
    #[serde(default)]
    pub loss_percent: u8,
    /// Probability in percent that a message is delivered twice, for `disorder`.
    #[serde(default)]
    pub duplicate_percent: u8,
    /// Probability in percent that a message is delayed so that later ones overtake it, for `disorder`.
    #[serde(default)]
    pub reorder_percent: u8,
}

fn default_for_ms() -> MillisRange {
    MillisRange::between(200, 5_000)
}

fn default_times() -> Range {
    Range::exactly(1)
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process is killed; written data stays, synced or not.
    Kill,
    /// The machine loses power; unsynced data is lost, torn or kept.
    PowerLoss,
    /// The machine loses power in the middle of one of its next writes.
    TornWrite,
    /// One of the next syncs fails and drops the unsynced data.
    SyncFailure,
    /// The disk is full.
    DiskFull,
    /// The process is frozen.
    Freeze,
    /// The machine restarts with an empty disk; operators then replace the replica.
    DiskLoss,
    /// A synced file is damaged while the process is down; operators replace the replica.
    Damage,
    /// The machine is cut off from all replicas; its messages are lost without an error.
    Cut,
    /// The machine's zone is cut off from all others.
    ZoneCut,
    /// Messages in the whole network are lost, duplicated or reordered.
    Disorder,
}

impl FaultKind {
    /// Whether the fault destroys the state of a replica permanently.
    pub fn destroys(self) -> bool {
        matches!(self, Self::DiskLoss | Self::Damage)
    }
}

/// Machines that a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Any one replica.
    #[default]
    Replica,
    /// The leader, or any replica if there is none.
    Leader,
    /// Any one replica that is not the leader.
    Follower,
    /// Every replica at once.
    AllReplicas,
    /// Any one daemon.
    Daemon,
    /// Every daemon at once.
    AllDaemons,
    /// Every replica and daemon at once.
    Everything,
}

/// Event from which the time of a fault counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum After {
    /// The start of the load.
    #[default]
    Start,
    /// The end of a repair.
    Repair,
    /// The end of the load, once all rounds have begun and their publishes are answered.
    Load,
}

/// Direction of a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Messages in both directions are lost.
    #[default]
    Both,
    /// Only incoming messages are lost.
    In,
    /// Only outgoing messages are lost.
    Out,
    /// One of the other three, drawn for each occurrence.
    Any,
}

/// Expected outcomes, in addition to the promises that every scenario checks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcomes {
    /// Longest time from the acceptance of a bundle, or from the end of all faults if later, until it is in force on
    /// every daemon.
    pub in_force_within_ms: u64,
    /// Whether the limit also applies during faults. Only for faults that leave every daemon connected to a quorum.
    #[serde(default)]
    pub in_force_during_faults: bool,
    /// Least number of accepted bundles.
    #[serde(default)]
    pub min_accepted: u64,
    /// Least number of finished repairs.
    #[serde(default)]
    pub min_repairs: u64,
}

impl ControlScenario {
    /// Parses and validates the keys of this kind.
    ///
    /// # Errors
    /// [`ScenarioError`] with file, line and key.
    pub fn parse(source: &SourceText<'_>) -> Result<Self, ScenarioError> {
        let file: File = source.deserialize()?;
        check_topology(source, &file.topology)?;
        check_load(source, &file.load)?;
        for (index, fault) in file.fault.iter().enumerate() {
            check_fault(source, index, fault, &file.topology)?;
        }
        if file.outcomes.in_force_within_ms == 0 {
            return Err(source.error("outcomes.in_force_within_ms", "must be at least 1"));
        }
        Ok(Self {
            topology: file.topology,
            load: file.load,
            faults: file.fault.into_iter().map(Spanned::into_inner).collect(),
            outcomes: file.outcomes,
        })
    }
}

/// Largest number of daemons, so that a typing error does not exhaust the memory.
const MAX_DAEMONS: u64 = 20_000;
/// Largest number of replicas.
const MAX_REPLICAS: u64 = 9;

fn check_topology(source: &SourceText<'_>, topology: &Topology) -> Result<(), ScenarioError> {
    let numbers = [
        ("topology.zones", u64::from(topology.zones), 1, 100),
        ("topology.replicas", topology.replicas, 1, MAX_REPLICAS),
        ("topology.daemons", topology.daemons, 0, MAX_DAEMONS),
        (
            "topology.snapshot_interval",
            topology.snapshot_interval,
            1,
            1_000_000,
        ),
        (
            "topology.clock_skew_ppm",
            topology.clock_skew_ppm.into(),
            0,
            100_000,
        ),
    ];
    for (key, value, lowest, highest) in numbers {
        check_number(source, key, value, lowest, highest)?;
    }
    let ranges = [
        ("topology.delay_inside_us", topology.delay_inside_us),
        ("topology.delay_between_us", topology.delay_between_us),
        ("topology.sync_us", topology.sync_us),
    ];
    for (key, range) in ranges {
        check_range(range).map_err(|message| source.error(key, message))?;
    }
    Ok(())
}

fn check_load(source: &SourceText<'_>, load: &Load) -> Result<(), ScenarioError> {
    check_number(source, "load.operators", load.operators, 1, 100)?;
    let percents = [
        ("load.lose_answer_percent", load.lose_answer_percent),
        ("load.resend_percent", load.resend_percent),
    ];
    for (key, value) in percents {
        check_number(source, key, value.into(), 0, 100)?;
    }
    if load.lose_answer_percent == 100 {
        let message = "must be below 100, or no publish would ever be answered";
        return Err(source.error("load.lose_answer_percent", message));
    }
    let ranges = [
        ("load.rounds", load.rounds),
        ("load.every_ms", load.every_ms.0),
        ("load.resend_after_ms", load.resend_after_ms.0),
    ];
    for (key, range) in ranges {
        check_range(range).map_err(|message| source.error(key, message))?;
    }
    Ok(())
}

fn check_fault(
    source: &SourceText<'_>,
    index: usize,
    fault: &Spanned<Fault>,
    topology: &Topology,
) -> Result<(), ScenarioError> {
    let offset = fault.span().start;
    let fault = fault.get_ref();
    let error = |key: &str, message: String| {
        source.error_at(offset, &format!("fault[{index}].{key}"), message)
    };
    let ranges = [
        ("at_ms", fault.at_ms.0),
        ("for_ms", fault.for_ms.0),
        ("times", fault.times),
    ];
    for (key, range) in ranges {
        check_range(range).map_err(|message| error(key, message))?;
    }
    if fault.kind == FaultKind::Damage && !fault.target.is_one_replica() {
        let message = "only one replica's files can be damaged at a time";
        return Err(error("target", message.to_owned()));
    }
    let may_be_lost = fault.target.is_one_replica() || fault.target.has_daemons();
    if fault.kind == FaultKind::DiskLoss && !may_be_lost {
        let message = "only one replica can lose its disk at a time";
        return Err(error("target", message.to_owned()));
    }
    if fault.kind == FaultKind::TornWrite && fault.target.has_daemons() {
        let message = "only replicas support a torn write";
        return Err(error("target", message.to_owned()));
    }
    if fault.kind.destroys() && fault.target.is_one_replica() && topology.replicas < 3 {
        let message = "requires at least three replicas";
        return Err(error("kind", message.to_owned()));
    }
    if fault.target.has_daemons() && topology.daemons == 0 {
        return Err(error("target", "the topology has no daemons".to_owned()));
    }
    let percents = [
        fault.loss_percent,
        fault.duplicate_percent,
        fault.reorder_percent,
    ];
    if percents.iter().any(|&percent| percent > 90) {
        return Err(error("loss_percent", "must be at most 90".to_owned()));
    }
    Ok(())
}

impl Target {
    /// Whether the target is exactly one replica.
    pub fn is_one_replica(self) -> bool {
        matches!(self, Self::Replica | Self::Leader | Self::Follower)
    }

    fn has_daemons(self) -> bool {
        matches!(self, Self::Daemon | Self::AllDaemons)
    }
}

fn check_number(
    source: &SourceText<'_>,
    key: &str,
    value: u64,
    lowest: u64,
    highest: u64,
) -> Result<(), ScenarioError> {
    if (lowest..=highest).contains(&value) {
        return Ok(());
    }
    Err(source.error(
        key,
        format!("must be from {lowest} to {highest}, got {value}"),
    ))
}

fn check_range(range: Range) -> Result<(), String> {
    if range.is_reversed() {
        let Range { lowest, highest } = range;
        return Err(format!(
            "lower bound above upper bound in [{lowest}, {highest}]"
        ));
    }
    Ok(())
}
