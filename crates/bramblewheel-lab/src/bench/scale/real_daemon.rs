//! Daemons as real processes beside the hollow ones: memory and control work by endpoints known.

use super::deployment::{Deployment, region_name, zone_name};
use super::group::{Group, start_process};
use super::usage::{Usage, Use};
use crate::error::CommandError;
use crate::process::{Child, claim_address};
use bramblewheel_types::ServiceName;
use std::collections::BTreeSet;
use std::path::Path;

/// Services that the real daemons call, up to all there are.
const SERVICES: [usize; 3] = [1, 15, usize::MAX];

/// Figures of one real daemon.
#[derive(Clone, Copy, Debug)]
pub struct RealDaemonFigures {
    /// Endpoints of the services it calls.
    pub endpoints: usize,
    /// Resident memory after the idle phase, in bytes.
    pub resident: u64,
    /// Resident memory after the changes, in bytes.
    pub resident_after_changes: u64,
    /// While nothing changed.
    pub idle: Use,
    /// While bundles were published.
    pub changes: Use,
}

struct RealDaemon {
    endpoints: usize,
    pid: u32,
    _process: Child,
    readings: Vec<Usage>,
}

/// Real daemons. Dropping them ends them.
pub struct RealDaemons {
    daemons: Vec<RealDaemon>,
}

impl RealDaemons {
    /// Starts daemons that call one, some and all services of the deployment.
    ///
    /// # Errors
    /// [`CommandError::Broken`] when one can't be started.
    pub async fn start(
        deployment: &Deployment,
        group: &Group,
        folder: &Path,
    ) -> Result<Self, CommandError> {
        let mut daemons = Vec::new();
        let counts = SERVICES.map(|services| services.min(deployment.services.len()));
        for services in BTreeSet::from(counts) {
            let called = &deployment.services[..services];
            daemons.push(start_daemon(deployment, called, group, folder)?);
        }
        Ok(Self { daemons })
    }

    /// Begins the idle phase.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn begin(&mut self) -> Result<(), CommandError> {
        self.read()
    }

    /// Ends the idle phase and begins the one of changes.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn end_idle(&mut self) -> Result<(), CommandError> {
        self.read()
    }

    /// Ends the phase of changes, and the daemons.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn end(mut self) -> Result<Vec<RealDaemonFigures>, CommandError> {
        self.read()?;
        let figures = self.daemons.iter().filter_map(|daemon| {
            let [begin, idle, changes] = daemon.readings[..] else {
                return None;
            };
            Some(RealDaemonFigures {
                endpoints: daemon.endpoints,
                resident: idle.resident,
                resident_after_changes: changes.resident,
                idle: idle.since(&begin),
                changes: changes.since(&idle),
            })
        });
        Ok(figures.collect())
    }

    fn read(&mut self) -> Result<(), CommandError> {
        for daemon in &mut self.daemons {
            daemon.readings.push(Usage::of(daemon.pid)?);
        }
        Ok(())
    }
}

fn start_daemon(
    deployment: &Deployment,
    called: &[ServiceName],
    group: &Group,
    folder: &Path,
) -> Result<RealDaemon, CommandError> {
    let name = format!("real-{}", called.len());
    let data = folder.join(&name);
    let settings = folder.join(format!("{name}.toml"));
    let text = settings_text(&name, called, group, &data)?;
    std::fs::write(&settings, text)?;
    let arguments = ["run-daemon", "--settings", &settings.display().to_string()];
    let log = folder.join(format!("{name}.log"));
    let (process, pid) = start_process(&name, arguments, log)?;
    let called: BTreeSet<&ServiceName> = called.iter().collect();
    let endpoints = deployment.daemons.iter();
    let known = endpoints.filter(|daemon| called.contains(&deployment.services[daemon.service]));
    Ok(RealDaemon {
        endpoints: known.count(),
        pid,
        _process: process,
        readings: Vec::new(),
    })
}

fn settings_text(
    name: &str,
    called: &[ServiceName],
    group: &Group,
    data: &Path,
) -> Result<String, CommandError> {
    let outbound = claim_address()?;
    let zone = zone_name(0);
    let region = region_name(0);
    let control = quoted(&group.services());
    let called = quoted(called);
    Ok(format!(
        "name = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ndata_folder = {data:?}\n\
         control = [{control}]\ncalls = [{called}]\n\
         [listen]\noutbound = \"{outbound}\"\nadmin = \"127.0.0.1:0\"\n"
    ))
}

fn quoted<T: ToString>(items: &[T]) -> String {
    let quoted = items.iter().map(|item| format!("\"{}\"", item.to_string()));
    quoted.collect::<Vec<_>>().join(", ")
}
