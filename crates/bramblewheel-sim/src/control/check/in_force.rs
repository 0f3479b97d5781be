//! Every accepted bundle, or a newer one, is in force on every daemon in time.
//!
//! The time runs from the acceptance, which is the first answer or the first replica that applies
//! it; from the end of all faults, if that is later and the scenario does not ask for more; and
//! from the last start of the daemon.

use super::{Evidence, Promise, Violation};
use crate::control::record::{ControlRecord, PublishAnswer};
use crate::kernel::{Fact, ProcessId};
use bramblewheel_types::{BundleVersion, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// When a daemon got to a version.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Timestamp,
    version: BundleVersion,
    index: usize,
}

/// What the checker reads out of a history.
#[derive(Default)]
struct Timeline {
    accepted: BTreeMap<BundleVersion, (Timestamp, usize)>,
    in_force: BTreeMap<ProcessId, Vec<Step>>,
    /// Times at which a process started or went on.
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

    /// Since when a daemon can be expected to get a bundle accepted at `accepted`, and when it had
    /// it.
    fn due_since(
        &self,
        daemon: ProcessId,
        accepted: Timestamp,
        reached: Option<Timestamp>,
        during_faults: bool,
    ) -> Timestamp {
        let healed = self.healed.filter(|_| !during_faults).unwrap_or_default();
        let before = reached.unwrap_or(self.end);
        let starts = self.starts.get(&daemon).into_iter().flatten();
        let last_start = starts.copied().filter(|at| *at <= before).max();
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
    for &daemon in &evidence.cast.daemons {
        for (&version, &(accepted, shown)) in &timeline.accepted {
            let reached = timeline.reached(daemon, version);
            let at = reached.map(|step| step.at);
            let since = timeline.due_since(daemon, accepted, at, during_faults);
            let needed = at.unwrap_or(timeline.end).since(since);
            if needed <= bound {
                continue;
            }
            let name = evidence.cast.name(daemon);
            let late = match reached {
                Some(_) => format!("{} ms later", needed.as_millis()),
                None => "never".to_owned(),
            };
            let mut lines = vec![shown];
            lines.extend(reached.map(|step| step.index));
            violations.push(Violation {
                promise: Promise::InForceInTime,
                message: format!("version {version} is in force on {name} {late}"),
                evidence: lines,
            });
        }
    }
    violations
}

/// Time from acceptance until in force, for each bundle and each daemon that got it or a newer
/// one; faults and restarts are not taken out.
pub fn delays(evidence: Evidence<'_>) -> Vec<Duration> {
    let timeline = Timeline::read(evidence);
    let mut delays = Vec::new();
    for &daemon in &evidence.cast.daemons {
        for (&version, &(accepted, _)) in &timeline.accepted {
            let reached = timeline.reached(daemon, version);
            delays.extend(reached.map(|step| step.at.since(accepted)));
        }
    }
    delays
}
