//! Reads the head of a trace: deployment, bundle, faults and expectations.

use super::Files;
use super::faults;
use crate::deployment::{self, Deployment, DeploymentError};
use crate::requests::Topology;
use crate::trace::error::TraceError;
use crate::trace::expect::{Completed, Expect, Recovery, Subject};
use crate::trace::file::{BundleTable, CompletedTable, ExpectTable, TextTable, TraceFile};
use crate::trace::model::{Embedded, Head};
use crate::trace::source::Source;
use bramblewheel_bundle::{Bundle, canonical, digest};
use bramblewheel_types::{BundleDigest, Timestamp};
use std::sync::Arc;
use std::time::Duration;
use toml::Spanned;

/// Supported format version.
const FORMAT: u64 = 1;
/// Longest replay in virtual milliseconds, so that a typing error does not cause an endless run.
const MAX_RUN_MS: u64 = 600_000;
/// Largest number of control replicas.
const MAX_REPLICAS: u32 = 9;

/// A text that is embedded in a trace or read from a file that the trace names.
struct Text<'a> {
    file: &'a str,
    text: String,
    /// Byte offset of the text in the trace; `None` if it comes from a file.
    at: Option<usize>,
    /// Byte offset of the file name or of the embedded text in the trace.
    reference_at: usize,
}

pub(super) fn read(
    source: &Source<'_>,
    shape: &TraceFile,
    files: Files<'_>,
) -> Result<Head, TraceError> {
    if *shape.format.get_ref() != FORMAT {
        let message = format!("only format {FORMAT} is supported");
        return Err(source.error_at(shape.format.span().start, 0, "format", message));
    }
    let run_ms = *shape.run_ms.get_ref();
    if run_ms == 0 || run_ms > MAX_RUN_MS {
        let message = format!("must be from 1 to {MAX_RUN_MS}");
        return Err(source.error_at(shape.run_ms.span().start, 0, "run_ms", message));
    }
    let deployment = read_deployment(source, &shape.deployment, files)?;
    let bundle = read_bundle(source, &shape.bundle, files)?;
    let control_replicas = shape.layer.control_replicas;
    if control_replicas > MAX_REPLICAS {
        let message = format!("control_replicas: at most {MAX_REPLICAS}");
        return Err(source.error(0, "layer", message));
    }
    let topology = &deployment.value;
    Ok(Head {
        origin: shape.origin.clone(),
        seed: shape.seed,
        ends: Timestamp::from_millis(run_ms),
        patience: Duration::from_millis(shape.callers.patience_ms),
        control_replicas,
        faults: faults::read(source, &shape.fault, topology, control_replicas)?,
        expect: read_expect(source, &shape.expect, topology)?,
        deployment,
        bundle,
    })
}

fn read_deployment(
    source: &Source<'_>,
    table: &Spanned<TextTable>,
    files: Files<'_>,
) -> Result<Embedded<Topology>, TraceError> {
    let TextTable { file, text } = table.get_ref();
    let loaded = load_text(
        source,
        table.span().start,
        file.as_ref(),
        text.as_ref(),
        files,
    )?;
    let deployment = deployment::parse(loaded.file, &loaded.text);
    let deployment: Deployment = deployment.map_err(|error| match (error, loaded.at) {
        (DeploymentError::Syntax { line, message, .. }, Some(at)) => {
            source.error_at(at, line, "deployment.text", message)
        }
        (error, at) => {
            let at = at.unwrap_or(loaded.reference_at);
            source.error_at(at, 0, "deployment", error.to_string())
        }
    })?;
    Ok(Embedded {
        text: loaded.text,
        value: Arc::new(Topology::new(&deployment)),
    })
}

fn read_bundle(
    source: &Source<'_>,
    table: &Spanned<BundleTable>,
    files: Files<'_>,
) -> Result<Embedded<Bundle>, TraceError> {
    let BundleTable {
        digest: stated,
        file,
        text,
    } = table.get_ref();
    let loaded = load_text(
        source,
        table.span().start,
        file.as_ref(),
        text.as_ref(),
        files,
    )?;
    let bundle = bramblewheel_bundle::parse(loaded.file, &loaded.text);
    let bundle = bundle.map_err(|error| match (error.findings.first(), loaded.at) {
        (Some(first), Some(at)) => {
            let message = first.finding.to_string();
            source.error_at(at, first.location.line, "bundle.text", message)
        }
        _ => source.error_at(loaded.reference_at, 0, "bundle", error.to_string()),
    })?;
    if let Some(stated) = stated {
        let actual = digest(&canonical::encode(&bundle));
        let at = stated.span().start;
        let stated: BundleDigest = stated
            .get_ref()
            .parse()
            .map_err(|error| source.error_at(at, 0, "digest", format!("{error}")))?;
        if stated != actual {
            let message = format!("the bundle's digest is {actual}");
            return Err(source.error_at(at, 0, "digest", message));
        }
    }
    Ok(Embedded {
        text: loaded.text,
        value: Arc::new(bundle),
    })
}

fn load_text<'a>(
    source: &Source<'_>,
    table: usize,
    file: Option<&'a Spanned<String>>,
    text: Option<&Spanned<String>>,
    files: Files<'_>,
) -> Result<Text<'a>, TraceError> {
    match (file, text) {
        (Some(name), None) => {
            let reference_at = name.span().start;
            let file = name.get_ref();
            let read = files(file).map_err(|error| {
                source.error_at(reference_at, 0, "file", format!("{file}: {error}"))
            })?;
            Ok(Text {
                file,
                text: read,
                at: None,
                reference_at,
            })
        }
        (None, Some(text)) => Ok(Text {
            file: "text",
            text: text.get_ref().clone(),
            at: Some(text.span().start),
            reference_at: text.span().start,
        }),
        _ => Err(source.error(
            table,
            "text",
            "exactly one of `text` and `file` is required",
        )),
    }
}

fn read_expect(
    source: &Source<'_>,
    table: &ExpectTable,
    topology: &Topology,
) -> Result<Expect, TraceError> {
    let completed = table.completed.iter();
    let completed = completed.map(|stated| read_completed(source, stated, topology));
    let recovery = table.recovery.iter().map(|stated| {
        let stated = stated.get_ref();
        Recovery {
            from: Timestamp::from_millis(stated.from_ms),
            within: Duration::from_millis(stated.within_ms),
            at_least_percent: stated.at_least_percent,
        }
    });
    Ok(Expect {
        operations_run_once: table.operations_run_once,
        retries_within_bound: table.retries_within_bound,
        not_run_is_true: table.not_run_is_true,
        completed: completed.collect::<Result<_, _>>()?,
        recovery: recovery.collect(),
    })
}

fn read_completed(
    source: &Source<'_>,
    stated: &Spanned<CompletedTable>,
    topology: &Topology,
) -> Result<Completed, TraceError> {
    let at = stated.span().start;
    let stated = stated.get_ref();
    let subject = match (&stated.flow, stated.criticality) {
        (Some(name), None) => match flow_named(topology, name) {
            Some(flow) => Subject::Flow(flow),
            None => return Err(source.error(at, "flow", format!("no flow `{name}`"))),
        },
        (None, Some(criticality)) => Subject::Class(criticality),
        (None, None) => Subject::All,
        (Some(_), Some(_)) => {
            let message = "only one of `flow` and `criticality` is allowed";
            return Err(source.error(at, "flow", message));
        }
    };
    Ok(Completed {
        subject,
        at_least: stated.at_least,
    })
}

/// Index of the flow named `name`.
pub(super) fn flow_named(topology: &Topology, name: &str) -> Option<crate::requests::FlowIndex> {
    let position = topology.flows.iter().position(|f| f.model.name == name);
    position.map(crate::requests::FlowIndex)
}
