//! Scenario files: topology, load, faults over time and stated outcomes.
//!
//! `docs/SCENARIOS.md` says how to write one. A file names its `kind`, which says what is
//! simulated; each kind reads the rest of the file by itself.

mod registry;
#[cfg(test)]
mod tests;
mod value;

pub use crate::source_text::{SourceError as ScenarioError, SourceText};
pub use registry::{BUILT_IN, BuiltIn, built_in};
pub use value::{MillisRange, Range};

use crate::control::ControlScenario;
use crate::requests::overload_scenario::OverloadScenario;
use crate::requests::scenario::RequestScenario;
use serde::Deserialize;

/// What a scenario simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The control group with hollow daemons and operators.
    Control,
    /// A deployment under a surge while a deep service is slow.
    Overload,
    /// A deployment under load: callers, gateways, endpoints with their daemons, and the control
    /// replicas that keep the ledger.
    Requests,
}

/// The keys that every scenario file has; the kind's own keys are not looked at.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Header {
    /// Name, as `sim run` takes it.
    pub name: String,
    /// What is simulated.
    pub kind: Kind,
    /// One line for `sim list`.
    pub summary: String,
}

/// The keys of one kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// The control group.
    Control(Box<ControlScenario>),
    /// A deployment under a surge.
    Overload(Box<OverloadScenario>),
    /// Requests through a deployment.
    Requests(Box<RequestScenario>),
}

/// A scenario, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What every scenario has.
    pub header: Header,
    /// What its kind has.
    pub body: Body,
}

/// Reads and checks a scenario; `file` is the name used in errors.
///
/// # Errors
/// [`ScenarioError`] with file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let source = SourceText::new(file, text);
    let header: Header = source.deserialize()?;
    let body = match header.kind {
        Kind::Control => Body::Control(Box::new(ControlScenario::parse(&source)?)),
        Kind::Overload => Body::Overload(Box::new(OverloadScenario::parse(&source)?)),
        Kind::Requests => Body::Requests(Box::new(RequestScenario::parse(&source)?)),
    };
    Ok(Scenario { header, body })
}
