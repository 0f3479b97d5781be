//! Scenario files of kind `control`.

use crate::scenario::{MillisRange, Range, ScenarioError, SourceText};
use serde::Deserialize;
use toml::Spanned;

/// The keys of a scenario of kind `control`, beside those of every scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlScenario {
    /// Machines and network.
    pub topology: Topology,
    /// What operators do.
    pub load: Load,
    /// What fails, in the order of the file.
    pub faults: Vec<Fault>,
    /// What must hold.
    pub outcomes: Outcomes,
}

/// The whole file.
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
    /// Zones; machines are spread over them in turn.
    pub zones: u16,
    /// Voters of the control group.
    pub replicas: u64,
    /// Hollow daemons.
    pub daemons: u64,
    /// Entries after which a replica takes a snapshot.
    pub snapshot_interval: u64,
    /// Time a message takes inside a zone, in microseconds.
    pub delay_inside_us: Range,
    /// Time a message takes between zones, in microseconds.
    pub delay_between_us: Range,
    /// Time a sync takes, in microseconds.
    pub sync_us: Range,
    /// Most a clock is too fast or too slow, in parts in a million.
    pub clock_skew_ppm: u32,
}

impl Default for Topology {
    /// Four halls of one town, as `examples/deployments/torgnett.toml`, but three zones.
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

/// What operators do.
///
/// They work in rounds: in each round a bundle of the next version number is published by one
/// operator in turn or, in a race, by all of them with different content.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Operators.
    pub operators: u64,
    /// Rounds.
    pub rounds: Range,
    /// Time from one round to the next.
    pub every_ms: MillisRange,
    /// Whether all operators publish in each round, with equal version numbers.
    pub race: bool,
    /// Most time between the operators of one round.
    pub spread_ms: u64,
    /// Whether an operator publishes only once the publish before is answered.
    pub serial: bool,
    /// Chance in percent that an answer is lost on its way back.
    pub lose_answer_percent: u8,
    /// Chance in percent that a bundle that was answered is sent once more later.
    pub resend_percent: u8,
    /// How much later.
    pub resend_after_ms: MillisRange,
    /// Rounds after which the operators' keys are changed; 0 for never.
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

/// When a fault comes, and how often.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Which machines.
    #[serde(default)]
    pub target: Target,
    /// Moment, counted from the start of the load or from what `after` names.
    pub at_ms: MillisRange,
    /// What the moment is counted from.
    #[serde(default)]
    pub after: After,
    /// How long it lasts; a stopped process stays down for as long.
    #[serde(default = "default_for_ms")]
    pub for_ms: MillisRange,
    /// How often it comes, each time at a moment of its own.
    #[serde(default = "once")]
    pub times: Range,
    /// Which way is cut.
    #[serde(default)]
    pub direction: Direction,
    /// Chance in percent that a message is lost, for `disorder`.
    #[serde(default)]
    pub loss_percent: u8,
    /// Chance in percent that a message comes twice, for `disorder`.
    #[serde(default)]
    pub duplicate_percent: u8,
    /// Chance in percent that a message is overtaken, for `disorder`.
    #[serde(default)]
    pub reorder_percent: u8,
}

fn default_for_ms() -> MillisRange {
    MillisRange::between(200, 5_000)
}

fn once() -> Range {
    Range::exactly(1)
}

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process is killed; what it wrote stays, synced or not.
    Kill,
    /// The machine loses power; what is not synced is lost, torn or kept.
    PowerLoss,
    /// The machine loses power in the middle of one of its next writes.
    TornWrite,
    /// One of the next syncs fails and drops what it should have made last.
    SyncFailure,
    /// The disk is full.
    DiskFull,
    /// The process is frozen.
    Freeze,
    /// The machine comes back with an empty disk, after which operators replace the replica.
    DiskLoss,
    /// A synced file is damaged while the process is down; operators replace the replica.
    Damage,
    /// The machine is cut off from all replicas, in silence.
    Cut,
    /// The machine's zone is cut off from all others.
    ZoneCut,
    /// Messages are lost, come twice or overtake each other, everywhere.
    Disorder,
}

impl FaultKind {
    /// Whether the state of a replica is lost for good.
    pub fn destroys(self) -> bool {
        matches!(self, Self::DiskLoss | Self::Damage)
    }
}

/// Which machines a fault concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Any one replica.
    #[default]
    Replica,
    /// The replica that leads, or any if none does.
    Leader,
    /// Any one replica that does not lead.
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

/// What a fault's moment is counted from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum After {
    /// The start of the load.
    #[default]
    Start,
    /// The end of a repair.
    Repair,
    /// The end of the load, when all rounds are begun and all their publishes answered.
    Load,
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

/// What must hold, beside the promises that hold in every scenario.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcomes {
    /// Time from acceptance, or from healing if that is later, until a bundle is in force on every
    /// daemon.
    pub in_force_within_ms: u64,
    /// Whether that also holds while faults last. Only for faults that leave every daemon a way to
    /// a quorum.
    #[serde(default)]
    pub in_force_during_faults: bool,
    /// Fewest bundles that must be accepted.
    #[serde(default)]
    pub min_accepted: u64,
    /// Fewest repairs that must be finished.
    #[serde(default)]
    pub min_repairs: u64,
}

impl ControlScenario {
    /// Reads and checks the keys of this kind.
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

/// Most of each kind of machine, so that a slip of the pen does not fill the memory.
const MAX_MACHINES: u64 = 20_000;
/// Most replicas of one group.
const MAX_REPLICAS: u64 = 9;

fn check_topology(source: &SourceText<'_>, topology: &Topology) -> Result<(), ScenarioError> {
    let numbers = [
        ("topology.zones", u64::from(topology.zones), 1, 100),
        ("topology.replicas", topology.replicas, 1, MAX_REPLICAS),
        ("topology.daemons", topology.daemons, 0, MAX_MACHINES),
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
        let message = "no publish would ever be answered";
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
        let message = "a disk can be lost by one replica at a time only";
        return Err(error("target", message.to_owned()));
    }
    if fault.kind == FaultKind::TornWrite && fault.target.has_daemons() {
        let message = "power can fail in the middle of a replica's write only";
        return Err(error("target", message.to_owned()));
    }
    if fault.kind.destroys() && fault.target.is_one_replica() && topology.replicas < 3 {
        let message = "no group of fewer than three replicas survives this";
        return Err(error("kind", message.to_owned()));
    }
    if fault.target.has_daemons() && topology.daemons == 0 {
        return Err(error("target", "there are no daemons".to_owned()));
    }
    let percents = [
        fault.loss_percent,
        fault.duplicate_percent,
        fault.reorder_percent,
    ];
    if percents.iter().any(|&percent| percent > 90) {
        return Err(error("loss_percent", "no more than 90 percent".to_owned()));
    }
    Ok(())
}

impl Target {
    /// Whether exactly one replica is meant.
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
    Err(source.error(key, format!("{value} is not from {lowest} to {highest}")))
}

fn check_range(range: Range) -> Result<(), String> {
    if range.is_reversed() {
        let Range { lowest, highest } = range;
        return Err(format!("[{lowest}, {highest}] begins above its end"));
    }
    Ok(())
}
