//! Reads a workload from a TOML file and checks it.

use super::{RequestKind, Spread, Workload};
use bramblewheel_platform_client::SERVICES;
use std::collections::HashSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Largest depth of a call tree, the request of the caller included.
const MAX_LEVELS: usize = 4;

/// A workload can't be used.
#[derive(Debug, Error)]
pub enum WorkloadError {
    /// The file can't be read.
    #[error("{}: {error}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The file is not a workload in TOML; the message names the line.
    #[error("{}: {error}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// What is wrong, with the line.
        error: Box<toml::de::Error>,
    },
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Value {
        /// The field, with the kind it belongs to.
        field: String,
        /// What is wrong.
        reason: &'static str,
    },
}

/// Reads a workload from a file and checks it.
///
/// # Errors
/// [`WorkloadError`].
pub fn read(file: &Path) -> Result<Workload, WorkloadError> {
    let text = fs::read_to_string(file).map_err(|error| WorkloadError::Read {
        file: file.to_owned(),
        error,
    })?;
    let workload: Workload = toml::from_str(&text).map_err(|error| WorkloadError::Syntax {
        file: file.to_owned(),
        error: Box::new(error),
    })?;
    check(&workload)?;
    Ok(workload)
}

/// Checks the values of a workload.
///
/// # Errors
/// [`WorkloadError::Value`] for the first invalid field.
pub fn check(workload: &Workload) -> Result<(), WorkloadError> {
    let services = 1..=SERVICES.len();
    ensure(
        services.contains(&workload.services),
        "services",
        || "there must be one service at least, and not more than the soak knows",
    )?;
    ensure(workload.slots > 0, "slots", || "must be above 0")?;
    let mut names = HashSet::new();
    for kind in &workload.kinds {
        let is_new = names.insert(kind.name.as_str());
        let field = format!("kind {}: name", kind.name);
        ensure(is_new, field, || "stands twice")?;
        check_kind(workload, kind)?;
    }
    let has_callers = workload.kinds.iter().any(|kind| kind.per_second > 0.0);
    ensure(has_callers, "kind", || "no kind has callers")
}

fn ensure(
    holds: bool,
    field: impl Into<String>,
    reason: impl FnOnce() -> &'static str,
) -> Result<(), WorkloadError> {
    if holds {
        return Ok(());
    }
    Err(WorkloadError::Value {
        field: field.into(),
        reason: reason(),
    })
}

fn check_kind(workload: &Workload, kind: &RequestKind) -> Result<(), WorkloadError> {
    let field = |name: &str| format!("kind {}: {name}", kind.name);
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let is_valid_name = !kind.name.is_empty() && kind.name.chars().all(is_allowed);
    ensure(
        is_valid_name,
        field("name"),
        || "letters, digits and - only",
    )?;
    let has_service = kind.service < workload.services;
    ensure(has_service, field("service"), || "there is no such service")?;
    for (name, millis) in [
        ("timeout_ms", kind.timeout_ms),
        ("deadline_ms", kind.deadline_ms),
        ("objective_ms", kind.objective_ms),
    ] {
        ensure(millis > 0, field(name), || "must be above 0")?;
    }
    let is_rate = kind.per_second >= 0.0 && kind.per_second.is_finite();
    ensure(is_rate, field("per_second"), || "must not be below 0")?;
    for (name, part) in [
        ("slow_readers", kind.slow_readers),
        ("slow_senders", kind.slow_senders),
    ] {
        ensure(is_share(part), field(name), || "must be between 0 and 1")?;
    }
    for (name, spread) in [
        ("work_ms", &kind.work_ms),
        ("answer_bytes", &kind.answer_bytes),
        ("body_bytes", &kind.body_bytes),
    ] {
        check_spread(spread, field(name))?;
    }
    for calls in &kind.calls {
        let called = workload.kind(&calls.kind).is_some();
        ensure(called, field("calls"), || "a called kind is not there")?;
    }
    let levels = levels_of(workload, kind, MAX_LEVELS + 1);
    ensure(
        levels <= MAX_LEVELS,
        field("calls"),
        || "more than four levels, or a kind that calls itself",
    )
}

fn is_share(part: f64) -> bool {
    (0.0..=1.0).contains(&part)
}

fn check_spread(spread: &Spread, field: String) -> Result<(), WorkloadError> {
    let is_range = spread.least <= spread.most;
    ensure(is_range, field.clone(), || "least is above most")?;
    ensure(
        is_share(spread.long_part),
        field.clone(),
        || "long_part must be between 0 and 1",
    )?;
    let has_long = spread.long_part == 0.0 || spread.longest >= spread.most;
    ensure(has_long, field, || "longest is below most")
}

/// Depth of the call tree of a kind, counted up to `most`.
fn levels_of(workload: &Workload, kind: &RequestKind, most: usize) -> usize {
    if most <= 1 {
        return 1;
    }
    let called = kind.calls.iter().filter_map(|c| workload.kind(&c.kind));
    let below = called.map(|called| levels_of(workload, called, most - 1));
    1 + below.max().unwrap_or(0)
}
