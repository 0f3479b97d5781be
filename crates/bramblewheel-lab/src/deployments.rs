//! The example deployments, compiled into the program so that it runs from any folder.

use crate::error::CommandError;
use bramblewheel_bundle::{Bundle, OperatorKey, canonical, digest};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use bramblewheel_sim::deployment::{Deployment, parse};
use bramblewheel_types::BundleVersion;
use std::fs;
use std::path::Path;

macro_rules! example {
    ($file:literal) => {
        include_str!(concat!("../../../examples/", $file))
    };
}

/// Loads deployments by name or from a file.
#[derive(Debug)]
pub struct Deployments;

/// An example deployment with its first bundle and the trial keys of its operators.
#[derive(Debug)]
pub struct Example {
    /// Name by which the example is chosen.
    pub name: &'static str,
    deployment: &'static str,
    bundle: &'static str,
    keys: [&'static str; 2],
}

const EXAMPLES: [Example; 2] = [
    Example {
        name: "torgnett",
        deployment: example!("deployments/torgnett.toml"),
        bundle: example!("bundles/torgnett.toml"),
        keys: [
            example!("keys/trial-anna.key"),
            example!("keys/trial-bjorn.key"),
        ],
    },
    Example {
        name: "museum",
        deployment: example!("deployments/museum.toml"),
        bundle: example!("bundles/museum.toml"),
        keys: [
            example!("keys/trial-salma.key"),
            example!("keys/trial-yusuf.key"),
        ],
    },
];

impl Deployments {
    /// Loads a deployment from a file, or an example by its name.
    ///
    /// # Errors
    /// [`CommandError::BadInput`] when there is no such deployment or the file is invalid.
    pub fn load(name_or_file: &str) -> Result<Deployment, CommandError> {
        if let Ok(example) = Self::example(name_or_file) {
            return Ok(example.deployment());
        }
        let path = Path::new(name_or_file);
        let text = fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
        parse(name_or_file, &text).map_err(|error| CommandError::BadInput(error.to_string()))
    }

    /// Looks up an example by name.
    ///
    /// # Errors
    /// [`CommandError::BadInput`] when there is no such example.
    pub fn example(name: &str) -> Result<&'static Example, CommandError> {
        let found = EXAMPLES.iter().find(|example| example.name == name);
        found.ok_or_else(|| {
            let names: Vec<_> = EXAMPLES.iter().map(|example| example.name).collect();
            let names = names.join(" and ");
            CommandError::BadInput(format!("no deployment `{name}`: there are {names}"))
        })
    }
}

impl Example {
    /// The deployment.
    ///
    /// # Panics
    /// Never panics: a test parses all examples.
    pub fn deployment(&self) -> Deployment {
        parse(self.name, self.deployment).expect("examples are valid")
    }

    /// TOML text of the deployment.
    pub fn deployment_text(&self) -> &'static str {
        self.deployment
    }

    /// TOML text of its first bundle.
    pub fn bundle_text(&self) -> &'static str {
        self.bundle
    }

    /// The example's bundle with the given version number.
    ///
    /// # Panics
    /// Never panics: a test parses all examples.
    pub fn bundle(&self, version: u64) -> Bundle {
        let bundle = bramblewheel_bundle::parse(self.name, self.bundle);
        let mut bundle = bundle.expect("examples are valid");
        bundle.version = BundleVersion(version);
        bundle
    }

    /// The example's bundle with the given version number, signed with the trial keys.
    ///
    /// # Panics
    /// Never panics: a test parses all examples.
    pub fn signed_bundle(&self, version: u64) -> SignedBundle {
        let bundle = self.bundle(version);
        let bytes = canonical::encode(&bundle);
        let digest = digest(&bytes);
        let keys = self.keys.iter().map(|text| OperatorKey::parse(text));
        let signatures = keys.map(|key| {
            let key = key.expect("examples are valid");
            BundleSignature {
                operator: key.name().to_owned(),
                signature: key.sign(digest).to_vec(),
            }
        });
        SignedBundle {
            version: bundle.version,
            digest,
            bytes,
            signatures: signatures.collect(),
            expected_parent: None,
        }
    }
}
