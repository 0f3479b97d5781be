//! Measurements of one fleet size: at rest, under changes, restarts and losses.

mod phases;
mod window;

pub use phases::{PhasePlan, measure};
pub use window::{PhaseUse, ReplicaUse, Window};

use super::real_daemon::RealDaemonFigures;
use std::time::Duration;

/// What one phase cost, and how long its events took to be known.
#[derive(Clone, Debug, Default)]
pub struct PhaseFigures {
    /// What was used during the phase.
    pub used: PhaseUse,
    /// Events in the phase: changes, restarts, daemons lost.
    pub events: usize,
    /// Seconds from each event to the moment a daemon knew of it, sorted; or to the moment that
    /// all did.
    pub delays: Vec<f64>,
}

/// Figures of one fleet size.
#[derive(Clone, Debug, Default)]
pub struct SizeFigures {
    /// Number of daemons.
    pub daemons: usize,
    /// All daemons start at once: until each has the bundle and its endpoints.
    pub start: PhaseFigures,
    /// Nothing changes.
    pub idle: PhaseFigures,
    /// Bundles are published.
    pub changes: PhaseFigures,
    /// Daemons are drained and started anew.
    pub restarts: PhaseFigures,
    /// A zone's daemons are lost.
    pub zone_lost: PhaseFigures,
    /// They come back.
    pub zone_back: PhaseFigures,
    /// A region's daemons are lost.
    pub region_lost: PhaseFigures,
    /// They come back.
    pub region_back: PhaseFigures,
    /// The leader is killed: until the next one has accepted a change, and until that change is in
    /// force at each daemon.
    pub leader_lost: PhaseFigures,
    /// From the kill to the acceptance of the change.
    pub leader_lost_accepted: Duration,
    /// From the start of the killed replica until it has caught up.
    pub replica_back: Duration,
    /// Answers that daemons refused, of all phases.
    pub refused_answers: u64,
    /// Daemons as real processes.
    pub real_daemons: Vec<RealDaemonFigures>,
}
