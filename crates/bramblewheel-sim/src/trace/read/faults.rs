//! Faults and the machines that they concern.

use crate::requests::{EndpointIndex, ServiceIndex, Topology, ZoneIndex};
use crate::trace::error::TraceError;
use crate::trace::fault::{Fault, FaultAction, Machine};
use crate::trace::file::{FaultKind, FaultTable};
use crate::trace::source::Source;
use bramblewheel_types::{Timestamp, ZoneName};
use std::time::Duration;
use toml::Spanned;

/// A field and what is wrong with it.
type Wrong = (&'static str, String);

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
) -> Result<FaultAction, Wrong> {
    match table.kind {
        FaultKind::Slow => slow(table, topology),
        FaultKind::Kill => Ok(FaultAction::Kill(machine(table, topology, replicas)?)),
        FaultKind::Freeze => Ok(FaultAction::Freeze(machine(table, topology, replicas)?)),
        FaultKind::StopPlanned => match machine(table, topology, replicas)? {
            Machine::Replica(_) => Err(("replica", "only killed or frozen".to_owned())),
            machine => Ok(FaultAction::StopPlanned(machine)),
        },
        FaultKind::CutZone => {
            let zone = table.zone.as_ref().ok_or_else(|| needed("zone"))?;
            Ok(FaultAction::CutZone(zone_named(topology, zone, "zone")?))
        }
    }
}

fn needed(field: &'static str) -> Wrong {
    (field, "needed for a fault of this kind".to_owned())
}

fn slow(table: &FaultTable, topology: &Topology) -> Result<FaultAction, Wrong> {
    let percent = table.percent.ok_or_else(|| needed("percent"))?;
    if percent == 0 {
        return Err(("percent", "must be above 0".to_owned()));
    }
    let name = table.service.as_ref().ok_or_else(|| needed("service"))?;
    let mut services = topology.services.iter();
    let position = services.position(|service| service.name == *name);
    let position = position.ok_or_else(|| ("service", format!("no service `{name}`")))?;
    Ok(FaultAction::Slow {
        service: ServiceIndex(position),
        percent,
    })
}

fn machine(table: &FaultTable, topology: &Topology, replicas: u32) -> Result<Machine, Wrong> {
    match (&table.endpoint, &table.gateway, table.replica) {
        (Some(name), None, None) => {
            let mut endpoints = topology.endpoints.iter();
            let position = endpoints.position(|endpoint| endpoint.name == *name);
            let position = position.ok_or_else(|| ("endpoint", format!("no endpoint `{name}`")))?;
            Ok(Machine::Endpoint(EndpointIndex(position)))
        }
        (None, Some(zone), None) => Ok(Machine::Gateway(zone_named(topology, zone, "gateway")?)),
        (None, None, Some(number)) if number < replicas => Ok(Machine::Replica(number)),
        (None, None, Some(_)) => Err(("replica", format!("there are {replicas} replicas"))),
        _ => {
            let message = "one of `endpoint`, `gateway` and `replica` is needed";
            Err(("kind", message.to_owned()))
        }
    }
}

fn zone_named(
    topology: &Topology,
    name: &ZoneName,
    field: &'static str,
) -> Result<ZoneIndex, Wrong> {
    let position = topology.zones.iter().position(|zone| zone == name);
    let position = position.ok_or_else(|| (field, format!("no zone `{name}`")))?;
    Ok(ZoneIndex(position))
}
