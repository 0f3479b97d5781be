//! Reads the load of a plan.

use crate::requests::{CallerBehaviour, LoadProfile};
use crate::trace::error::TraceError;
use crate::trace::file::LoadTable;
use crate::trace::model::Head;
use crate::trace::plan::Plan;
use crate::trace::source::Source;
use bramblewheel_types::Timestamp;
use std::time::Duration;
use toml::Spanned;

pub(super) fn read(
    source: &Source<'_>,
    load: Option<&Spanned<LoadTable>>,
    head: Head,
) -> Result<Plan, TraceError> {
    let Some(load) = load else {
        return Err(source.error(0, "load", "required in a plan"));
    };
    let offset = load.span().start;
    let table = load.get_ref();
    let invalid = |field, message: &str| Err(source.error(offset, field, message));
    if table.rate <= 0.0 || !table.rate.is_finite() {
        return invalid("rate", "must be above 0");
    }
    if table.surge <= 0.0 || !table.surge.is_finite() {
        return invalid("surge", "must be above 0");
    }
    if table.max_sends == 0 {
        return invalid("max_sends", "must be at least 1");
    }
    if table.with_id_percent > 100 {
        return invalid("with_id_percent", "must be at most 100");
    }
    let Ok(callers_per_zone @ 1..) = u32::try_from(table.callers_per_zone) else {
        return invalid("callers_per_zone", "must be at least 1");
    };
    let callers = CallerBehaviour {
        max_sends: table.max_sends,
        pause: Duration::from_millis(table.pause_ms),
        with_id: table.with_id_percent as f64 / 100.0,
        callers_per_zone,
        patience: head.patience,
        roams: table.roams,
        sessions_per_zone: 0,
    };
    let load = LoadProfile {
        base_rate: table.rate,
        surge: table.surge,
        surge_begins: Timestamp::from_millis(table.surge_begins_ms),
        surge_ends: Timestamp::from_millis(table.surge_ends_ms),
        ends: Timestamp::from_millis(table.ends_ms),
    };
    Ok(Plan {
        head,
        load,
        callers,
    })
}
