//! Checks that every accepted bundle, or a newer one, is in force on every daemon in time.
//!
//! The time counts from the latest of: the acceptance, which is the first positive answer or the first replica that
//! applies the bundle; the end of all faults, unless the scenario sets `in_force_during_faults`; and the last start of
//! the daemon.

use super::{Evidence, Promise, Violation};
use crate::control::record::{ControlRecord, PublishAnswer};
use crate::kernel::{Fact, ProcessId};
use bramblewheel_types::{BundleVersion, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time and history index at which a daemon put a version in force.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Timestamp,
    version: BundleVersion,
    index: usize,
}

/// Events of a history that the checker needs.
#[derive(Default)]
struct Timeline {
    accepted: BTreeMap<BundleVersion, (Timestamp, usize)>,
    in_force: BTreeMap<ProcessId, Vec<Step>>,
    /// Times at which processes started or thawed.
    starts: BTreeMap<ProcessId, Vec<Timestamp>>,
    healed: Option<Timestamp>,
    end: Timestamp,
}

impl Timeline {
    fn read(evidence: Evidence<'_>) -> Self {
        let mut timeline = Self::default();
        for (index, entry) in evidence.history.iter().enumerate() {
            timeline.end = entry.at;
            match (&entry.fact, entry.process) {
                (Fact::Started(_) | Fact::Thawed, Some(process)) => {
                    timeline.starts.entry(process).or_default().push(entry.at);
                }
                (Fact::Domain(record), process) => {
                    timeline.read_record(entry.at, index, process, record);
                }
                _ => {}
            }
        }
        timeline
    }

    fn read_record(
        &mut self,
        at: Timestamp,
        index: usize,
        process: Option<ProcessId>,
        record: &ControlRecord,
    ) {
        match (record, process) {
            (
                ControlRecord::PublishAnswered {
                    bundle,
                    answer: PublishAnswer::Accepted,
                    ..
                }
                | ControlRecord::ReplicaInForce { bundle, .. },
                _,
            ) => {
                self.accepted.entry(bundle.version).or_insert((at, index));
            }
            (
                ControlRecord::DaemonInForce { bundle }
                | ControlRecord::DaemonOpened {
                    bundle: Some(bundle),
                },
                Some(process),
            ) => {
                let version = bundle.version;
                let step = Step { at, version, index };
                self.in_force.entry(process).or_default().push(step);
            }
            (ControlRecord::Healed, _) => self.healed = Some(at),
            _ => {}
        }
    }

    /// Start of the time limit for a daemon to put a bundle in force that was accepted at `accepted`; `reached` is the
    /// time at which it did.
    fn limit_starts_at(
        &self,
        daemon: ProcessId,
        accepted: Timestamp,
        reached: Option<Timestamp>,
        during_faults: bool,
    ) -> Timestamp {
        let healed = self.healed.filter(|_| !during_faults).unwrap_or_default();
        let latest = reached.unwrap_or(self.end);
        let starts = self.starts.get(&daemon).into_iter().flatten();
        let last_start = starts.copied().filter(|at| *at <= latest).max();
        accepted.max(healed).max(last_start.unwrap_or_default())
    }

    fn reached(&self, daemon: ProcessId, version: BundleVersion) -> Option<Step> {
        let steps = self.in_force.get(&daemon)?;
        steps.iter().find(|step| step.version >= version).copied()
    }
}

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let timeline = Timeline::read(evidence);
    let bound = Duration::from_millis(evidence.outcomes.in_force_within_ms);
    let during_faults = evidence.outcomes.in_force_during_faults;
    let mut violations = Vec::new();
    for &daemon in &evidence.roles.daemons {
        for (&version, &(accepted, accepted_index)) in &timeline.accepted {
            let reached = timeline.reached(daemon, version);
            let at = reached.map(|step| step.at);
            let since = timeline.limit_starts_at(daemon, accepted, at, during_faults);
            let elapsed = at.unwrap_or(timeline.end).since(since);
            if elapsed <= bound {
                continue;
            }
            let name = evidence.roles.name(daemon);
            let delay = match reached {
                Some(_) => format!("{} ms later", elapsed.as_millis()),
                None => "never".to_owned(),
            };
            let mut lines = vec![accepted_index];
            lines.extend(reached.map(|step| step.index));
            violations.push(Violation {
                promise: Promise::InForceInTime,
                message: format!("version {version} is in force on {name} {delay}"),
                evidence: lines,
            });
        }
    }
    violations
}

/// Time from acceptance until in force, for each accepted bundle and each daemon that put it or a newer one in force.
/// Includes the duration of faults and restarts.
pub fn delays(evidence: Evidence<'_>) -> Vec<Duration> {
    let timeline = Timeline::read(evidence);
    let mut delays = Vec::new();
    for &daemon in &evidence.roles.daemons {
        for (&version, &(accepted, _)) in &timeline.accepted {
            let reached = timeline.reached(daemon, version);
            delays.extend(reached.map(|step| step.at.since(accepted)));
        }
    }
    delays
}
