//! TOML structure of trace and plan files.

use bramblewheel_types::{Criticality, EndpointId, OperationKey, ServiceName, ZoneName};
use serde::Deserialize;
use toml::Spanned;

/// A trace, or a plan from which a trace is recorded.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct TraceFile {
    pub(in crate::trace) format: Spanned<u64>,
    #[serde(default)]
    pub(in crate::trace) origin: String,
    pub(in crate::trace) seed: u64,
    pub(in crate::trace) run_ms: Spanned<u64>,
    pub(in crate::trace) deployment: Spanned<TextTable>,
    pub(in crate::trace) bundle: Spanned<BundleTable>,
    #[serde(default)]
    pub(in crate::trace) layer: LayerTable,
    #[serde(default)]
    pub(in crate::trace) callers: CallersTable,
    pub(in crate::trace) load: Option<Spanned<LoadTable>>,
    #[serde(default)]
    pub(in crate::trace) fault: Vec<Spanned<FaultTable>>,
    #[serde(default)]
    pub(in crate::trace) expect: ExpectTable,
    #[serde(default)]
    pub(in crate::trace) request: Vec<Spanned<RequestTable>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct TextTable {
    pub(in crate::trace) file: Option<Spanned<String>>,
    pub(in crate::trace) text: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct BundleTable {
    pub(in crate::trace) digest: Option<Spanned<String>>,
    pub(in crate::trace) file: Option<Spanned<String>>,
    pub(in crate::trace) text: Option<Spanned<String>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(in crate::trace) struct LayerTable {
    pub(in crate::trace) control_replicas: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(in crate::trace) struct CallersTable {
    pub(in crate::trace) patience_ms: u64,
}

impl Default for CallersTable {
    fn default() -> Self {
        Self { patience_ms: 500 }
    }
}

/// Load of a plan. A trace has none, since it lists its requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct LoadTable {
    pub(in crate::trace) rate: f64,
    #[serde(default = "default_surge")]
    pub(in crate::trace) surge: f64,
    #[serde(default)]
    pub(in crate::trace) surge_begins_ms: u64,
    #[serde(default)]
    pub(in crate::trace) surge_ends_ms: u64,
    pub(in crate::trace) ends_ms: u64,
    #[serde(default = "default_max_sends")]
    pub(in crate::trace) max_sends: u32,
    #[serde(default = "fifty")]
    pub(in crate::trace) pause_ms: u64,
    #[serde(default = "hundred")]
    pub(in crate::trace) with_id_percent: u64,
    #[serde(default = "fifty")]
    pub(in crate::trace) callers_per_zone: u64,
    #[serde(default)]
    pub(in crate::trace) roams: bool,
}

fn default_max_sends() -> u32 {
    4
}

fn fifty() -> u64 {
    50
}

fn default_surge() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct FaultTable {
    pub(in crate::trace) at_ms: u64,
    pub(in crate::trace) for_ms: u64,
    pub(in crate::trace) kind: FaultKind,
    pub(in crate::trace) service: Option<ServiceName>,
    pub(in crate::trace) endpoint: Option<EndpointId>,
    pub(in crate::trace) gateway: Option<ZoneName>,
    pub(in crate::trace) replica: Option<u32>,
    pub(in crate::trace) zone: Option<ZoneName>,
    pub(in crate::trace) percent: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(in crate::trace) enum FaultKind {
    Slow,
    Kill,
    Freeze,
    StopPlanned,
    CutZone,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(in crate::trace) struct ExpectTable {
    pub(in crate::trace) operations_run_once: bool,
    pub(in crate::trace) retries_within_bound: bool,
    pub(in crate::trace) not_run_is_true: bool,
    pub(in crate::trace) completed: Vec<Spanned<CompletedTable>>,
    pub(in crate::trace) recovery: Vec<Spanned<RecoveryTable>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct CompletedTable {
    pub(in crate::trace) flow: Option<String>,
    pub(in crate::trace) criticality: Option<Criticality>,
    pub(in crate::trace) at_least: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct RecoveryTable {
    pub(in crate::trace) from_ms: u64,
    pub(in crate::trace) within_ms: u64,
    #[serde(default = "hundred")]
    pub(in crate::trace) at_least_percent: u64,
}

fn hundred() -> u64 {
    100
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct RequestTable {
    pub(in crate::trace) id: Spanned<String>,
    pub(in crate::trace) flow: Spanned<String>,
    pub(in crate::trace) caller: String,
    pub(in crate::trace) deadline_ms: Option<u64>,
    pub(in crate::trace) criticality: Option<Criticality>,
    #[serde(default)]
    pub(in crate::trace) session: bool,
    pub(in crate::trace) operation: Option<OperationKey>,
    #[serde(default)]
    pub(in crate::trace) send: Vec<Spanned<SendTable>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::trace) struct SendTable {
    pub(in crate::trace) at_us: u64,
    pub(in crate::trace) gateway: Spanned<ZoneName>,
    pub(in crate::trace) from: Option<Spanned<ZoneName>>,
    pub(in crate::trace) id: Option<Spanned<String>>,
    pub(in crate::trace) resend: Option<u32>,
    pub(in crate::trace) deadline_ms: Option<u64>,
    pub(in crate::trace) outcome: Option<Spanned<String>>,
    pub(in crate::trace) recorded: Option<Spanned<String>>,
    #[serde(default)]
    pub(in crate::trace) runs: Vec<Spanned<String>>,
}
