//! Reads traces and plans.

mod faults;
mod head;
mod plan;
mod requests;

use super::error::TraceError;
use super::file::TraceFile;
use super::model::Trace;
use super::plan::Plan;
use super::source::Source;
pub(super) use requests::FAILED;

/// Reads a file that a trace or plan names, relative to the folder of the trace.
pub type Files<'a> = &'a dyn Fn(&str) -> Result<String, String>;

/// Reads and checks a trace; `file` is the name used in errors.
///
/// # Errors
/// [`TraceError`] with file, line and field.
pub fn parse(file: &str, text: &str, files: Files<'_>) -> Result<Trace, TraceError> {
    let source = Source::new(file, text);
    let shape: TraceFile = source.deserialize()?;
    if let Some(load) = &shape.load {
        let message = "not allowed in a trace, which lists its requests";
        return Err(source.error(load.span().start, "load", message));
    }
    let head = head::read(&source, &shape, files)?;
    let requests = requests::read(&source, &shape.request, &head)?;
    Ok(Trace { head, requests })
}

/// Reads and checks a plan; `file` is the name used in errors.
///
/// # Errors
/// [`TraceError`] with file, line and field.
pub fn parse_plan(file: &str, text: &str, files: Files<'_>) -> Result<Plan, TraceError> {
    let source = Source::new(file, text);
    let shape: TraceFile = source.deserialize()?;
    if let Some(request) = shape.request.first() {
        let message = "not allowed in a plan, whose load defines the requests";
        return Err(source.error(request.span().start, "request", message));
    }
    let head = head::read(&source, &shape, files)?;
    plan::read(&source, shape.load.as_ref(), head)
}
