//! `bundle new`, `check`, `diff` and `sign`: preparation of bundles.

use crate::error::CommandError;
use crate::files::{self, LoadedBundle};
use crate::options::{CheckBundle, DiffBundles, NewBundle, SignBundle};
use crate::output::{Line, list, print};
use bramblewheel_bundle::{
    Bundle, OperatorKey, OperatorPolicy, ServicePolicy, changes, check, defaults, to_toml, warnings,
};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use bramblewheel_types::{BundleVersion, Criticality};
use std::collections::BTreeMap;
use std::path::Path;

pub fn new(options: NewBundle) -> Result<(), CommandError> {
    let mut keys = BTreeMap::new();
    for operator in options.operator {
        if keys.insert(operator.name.clone(), operator.key).is_some() {
            let text = format!("operator `{}` is given twice", operator.name);
            return Err(CommandError::BadInput(text));
        }
    }
    let services = options.service.into_iter();
    let bundle = Bundle {
        version: BundleVersion(1),
        deployment: options.deployment,
        operators: OperatorPolicy {
            required_signatures: options.required_signatures,
            keys,
        },
        limits: defaults::LIMITS,
        services: services.map(|name| (name, default_service())).collect(),
    };
    check::check(&bundle).map_err(|error| CommandError::BadInput(error.to_string()))?;
    files::write_new(options.out.as_deref(), &to_toml(&bundle))
}

fn default_service() -> ServicePolicy {
    ServicePolicy {
        criticality: Criticality::Normal,
        deadline: defaults::DEADLINE,
        admission: defaults::ADMISSION,
        routing: defaults::ROUTING,
        routes: Vec::new(),
    }
}

pub fn check(options: &CheckBundle) -> Result<(), CommandError> {
    // An invalid bundle is a failed check here, not a bad input file.
    let after = files::load(&options.file).map_err(|error| match error {
        CommandError::Bundle(error) => CommandError::Refused(error.to_string()),
        other => other,
    })?;
    let before = options.against.as_deref().map(files::load).transpose()?;
    let warnings = before.map_or(0, |before| print_warnings(&before, &after));
    let LoadedBundle { bundle, signed } = after;
    Line::default()
        .field("deployment", &bundle.deployment)
        .field("version", bundle.version)
        .field("digest", signed.digest)
        .field("services", bundle.services.len())
        .field("operators", bundle.operators.keys.len())
        .field("required_signatures", bundle.operators.required_signatures)
        .field("warnings", warnings)
        .print();
    if options.deny_warnings && warnings > 0 {
        return Err(CommandError::Refused(format!("{warnings} warnings")));
    }
    Ok(())
}

pub fn diff(options: &DiffBundles) -> Result<(), CommandError> {
    let before = files::load(&options.before)?;
    let after = files::load(&options.after)?;
    for change in changes(&before.bundle, &after.bundle) {
        print(&format!("{change}\n"));
    }
    print_warnings(&before, &after);
    Ok(())
}

/// Prints the warnings and returns their number.
fn print_warnings(before: &LoadedBundle, after: &LoadedBundle) -> usize {
    let warnings = warnings(&before.bundle, &after.bundle);
    for warning in &warnings {
        print(&format!("warning: {warning}\n"));
    }
    warnings.len()
}

pub fn sign(options: &SignBundle) -> Result<(), CommandError> {
    let key = files::load_key(&options.key)?;
    let LoadedBundle { bundle, mut signed } = files::load(&options.file)?;
    add_existing_signatures(&options.out, &mut signed)?;
    warn_of_unlisted_key(&bundle, &key);
    let signature = BundleSignature {
        operator: key.name().to_owned(),
        signature: key.sign(signed.digest).to_vec(),
    };
    add_signature(&mut signed, signature);
    files::write_signed(&options.out, &signed)?;
    Line::default()
        .field("deployment", &bundle.deployment)
        .field("version", signed.version)
        .field("digest", signed.digest)
        .field(
            "signed_by",
            list(signed.signatures.iter().map(|s| &s.operator)),
        )
        .field("file", options.out.display())
        .print();
    Ok(())
}

/// Adds the signatures of an existing output file; refuses to overwrite another bundle.
fn add_existing_signatures(out: &Path, signed: &mut SignedBundle) -> Result<(), CommandError> {
    if !out.exists() {
        return Ok(());
    }
    let refused = |reason: &str| CommandError::Refused(format!("{}: {reason}", out.display()));
    let earlier = files::load_signed(out)
        .map_err(|_| refused("exists and is not a signed bundle; not overwritten"))?;
    if earlier.signed.digest != signed.digest {
        return Err(refused("holds another bundle; not overwritten"));
    }
    for signature in earlier.signed.signatures {
        add_signature(signed, signature);
    }
    Ok(())
}

/// Adds a signature; it replaces an earlier one by the same operator.
fn add_signature(signed: &mut SignedBundle, signature: BundleSignature) {
    signed
        .signatures
        .retain(|earlier| earlier.operator != signature.operator);
    signed.signatures.push(signature);
}

/// Warns if the bundle does not list the key. This is not an error, since the operators of the bundle in force
/// decide who may sign, but it likely means that the wrong key was used.
fn warn_of_unlisted_key(bundle: &Bundle, key: &OperatorKey) {
    match bundle.operators.keys.get(key.name()) {
        Some(listed) if *listed == key.public_key() => {}
        Some(_) => eprintln!(
            "warning: the bundle lists another public key for operator {}",
            key.name()
        ),
        None => eprintln!("warning: the bundle does not list operator {}", key.name()),
    }
}
