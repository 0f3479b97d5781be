//! Reads the faults of a trace and their targets.

use crate::requests::{EndpointIndex, ServiceIndex, Topology, ZoneIndex};
use crate::trace::error::TraceError;
use crate::trace::fault::{Fault, FaultAction, Machine};
use crate::trace::file::{FaultKind, FaultTable};
use crate::trace::source::Source;
use bramblewheel_types::{Timestamp, ZoneName};
use std::time::Duration;
use toml::Spanned;

/// Name of an invalid field, and the message about it.
type FieldError = (&'static str, String);

pub(super) fn read(
    source: &Source<'_>,
    tables: &[Spanned<FaultTable>],
    topology: &Topology,
    replicas: u32,
) -> Result<Vec<Fault>, TraceError> {
    let faults = tables.iter().map(|table| {
        let offset = table.span().start;
        let table = table.get_ref();
        let action = read_action(table, topology, replicas);
        let action = action.map_err(|(field, message)| source.error(offset, field, message))?;
        Ok(Fault {
            begins: Timestamp::from_millis(table.at_ms),
            lasts: Duration::from_millis(table.for_ms),
            action,
        })
    });
    faults.collect()
}

fn read_action(
    table: &FaultTable,
    topology: &Topology,
    replicas: u32,
) -> Result<FaultAction, FieldError> {
    match table.kind {
        FaultKind::Slow => read_slow(table, topology),
        FaultKind::Kill => Ok(FaultAction::Kill(read_machine(table, topology, replicas)?)),
        FaultKind::Freeze => Ok(FaultAction::Freeze(read_machine(
            table, topology, replicas,
        )?)),
        FaultKind::StopPlanned => match read_machine(table, topology, replicas)? {
            Machine::Replica(_) => Err((
                "replica",
                "a replica can only be killed or frozen".to_owned(),
            )),
            machine => Ok(FaultAction::StopPlanned(machine)),
        },
        FaultKind::CutZone => {
            let zone = table.zone.as_ref().ok_or_else(|| missing("zone"))?;
            Ok(FaultAction::CutZone(zone_named(topology, zone, "zone")?))
        }
    }
}

fn missing(field: &'static str) -> FieldError {
    (field, "required for a fault of this kind".to_owned())
}

fn read_slow(table: &FaultTable, topology: &Topology) -> Result<FaultAction, FieldError> {
    let percent = table.percent.ok_or_else(|| missing("percent"))?;
    if percent == 0 {
        return Err(("percent", "must be above 0".to_owned()));
    }
    let name = table.service.as_ref().ok_or_else(|| missing("service"))?;
    let mut services = topology.services.iter();
    let position = services.position(|service| service.name == *name);
    let position = position.ok_or_else(|| ("service", format!("no service `{name}`")))?;
    Ok(FaultAction::Slow {
        service: ServiceIndex(position),
        percent,
    })
}

fn read_machine(
    table: &FaultTable,
    topology: &Topology,
    replicas: u32,
) -> Result<Machine, FieldError> {
    match (&table.endpoint, &table.gateway, table.replica) {
        (Some(name), None, None) => {
            let mut endpoints = topology.endpoints.iter();
            let position = endpoints.position(|endpoint| endpoint.name == *name);
            let position = position.ok_or_else(|| ("endpoint", format!("no endpoint `{name}`")))?;
            Ok(Machine::Endpoint(EndpointIndex(position)))
        }
        (None, Some(zone), None) => Ok(Machine::Gateway(zone_named(topology, zone, "gateway")?)),
        (None, None, Some(number)) if number < replicas => Ok(Machine::Replica(number)),
        (None, None, Some(_)) => Err((
            "replica",
            format!("must be below the number of replicas, {replicas}"),
        )),
        _ => {
            let message = "exactly one of `endpoint`, `gateway` and `replica` is required";
            Err(("kind", message.to_owned()))
        }
    }
}

fn zone_named(
    topology: &Topology,
    name: &ZoneName,
    field: &'static str,
) -> Result<ZoneIndex, FieldError> {
    let position = topology.zones.iter().position(|zone| zone == name);
    let position = position.ok_or_else(|| (field, format!("no zone `{name}`")))?;
    Ok(ZoneIndex(position))
}
