//! Scenario files: topology, load, faults over time and expected outcomes.
//!
//! `docs/SCENARIOS.md` describes the format. The `kind` of a file selects what is simulated; each kind parses the
//! remaining keys itself.

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

/// Kind of simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The control group with operators and daemons that serve no requests.
    Control,
    /// A deployment under a surge while a deep service is slow.
    Overload,
    /// A deployment under load: callers, gateways, endpoints with their daemons, and the control
    /// replicas that keep the ledger.
    Requests,
}

/// Keys common to all scenario files; keys of the kind are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Header {
    /// Name, as `sim run` takes it.
    pub name: String,
    /// Kind of simulation.
    pub kind: Kind,
    /// One-line summary for `sim list`.
    pub summary: String,
}

/// Keys of one kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// The control group.
    Control(Box<ControlScenario>),
    /// A deployment under a surge.
    Overload(Box<OverloadScenario>),
    /// Requests through a deployment.
    Requests(Box<RequestScenario>),
}

/// A validated scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Keys common to all scenarios.
    pub header: Header,
    /// Keys of its kind.
    pub body: Body,
}

/// Parses and validates a scenario; `file` is the name used in errors.
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
