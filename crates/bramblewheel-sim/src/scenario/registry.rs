//! Built-in scenarios, in the order of `sim list`.

use super::{Scenario, ScenarioError, parse};

/// A built-in scenario.
#[derive(Clone, Copy, Debug)]
pub struct BuiltIn {
    /// Name, as `sim run` takes it.
    pub name: &'static str,
    /// Path of the file in the repository.
    pub file: &'static str,
    /// Content of the file.
    pub text: &'static str,
}

macro_rules! built_in {
    ($name:literal) => {
        BuiltIn {
            name: $name,
            file: concat!("examples/scenarios/", $name, ".toml"),
            text: include_str!(concat!("../../../../examples/scenarios/", $name, ".toml")),
        }
    };
}

/// All built-in scenarios.
pub const BUILT_IN: &[BuiltIn] = &[
    built_in!("operators-race"),
    built_in!("publish-resend"),
    built_in!("restart-after-many-changes"),
    built_in!("replica-disk-lost"),
    built_in!("second-loss-after-repair"),
    built_in!("torn-write"),
    built_in!("replica-silent-cutoff"),
    built_in!("replica-frozen"),
    built_in!("zone-cut"),
    built_in!("control-chaos"),
    built_in!("torgnett-metastable"),
    built_in!("museum-metastable"),
    built_in!("double-fault"),
    built_in!("not-run-truth"),
    built_in!("run-once-resend"),
    built_in!("retry-bound-deep"),
    built_in!("daemon-killed-mid-call"),
    built_in!("late-reordered-answers"),
    built_in!("priority-under-surge"),
    built_in!("sessions-through-surge"),
    built_in!("endpoint-leaving-lagging-list"),
    built_in!("planned-stop"),
    built_in!("misleading-load-reports"),
    built_in!("request-chaos"),
];

impl BuiltIn {
    /// Parses the scenario.
    ///
    /// # Errors
    /// [`ScenarioError`] when the file is invalid; a test checks that all built-in files are valid.
    pub fn scenario(&self) -> Result<Scenario, ScenarioError> {
        parse(self.file, self.text)
    }
}

/// The built-in scenario with the given name.
pub fn built_in(name: &str) -> Option<&'static BuiltIn> {
    BUILT_IN.iter().find(|built_in| built_in.name == name)
}
