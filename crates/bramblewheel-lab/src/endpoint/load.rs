//! Load report of the endpoint, delayed and understated as configured in the deployment.

use super::state::State;
use bramblewheel_sim::deployment::ReportModel;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// Interval at which the number of busy slots is sampled.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Answer to `GET /load`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LoadReport {
    slots: u32,
    busy: u32,
    draining: bool,
}

/// Samples of the number of busy slots.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: Mutex<VecDeque<(Instant, u32)>>,
}

impl LoadHistory {
    /// Adds a sample and drops those older than the lag of the report.
    fn record(&self, busy: u32, lag: Duration) {
        let now = Instant::now();
        let mut samples = self.lock();
        samples.push_back((now, busy));
        while samples.get(1).is_some_and(|(at, _)| now - *at >= lag) {
            samples.pop_front();
        }
    }

    /// The oldest sample kept: as old as the lag of the report once the endpoint has run for that long.
    fn oldest(&self) -> u32 {
        self.lock().front().map_or(0, |(_, busy)| *busy)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<(Instant, u32)>> {
        let samples = self.samples.lock();
        samples.expect("no holder of the lock panics")
    }
}

/// Samples the busy slots until the task is dropped.
pub(super) async fn sample(state: Arc<State>) {
    let lag = Duration::from_millis(state.model.report.lag_ms);
    let mut ticks = tokio::time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.load.record(state.slots.busy(), lag);
    }
}

/// The endpoint's current load report.
pub(super) fn report(state: &State) -> LoadReport {
    LoadReport {
        slots: state.slots.count(),
        busy: understated(state.load.oldest(), state.model.report),
        draining: state.is_leaving(),
    }
}

fn understated(busy: u32, model: ReportModel) -> u32 {
    let share = (1.0 - model.flattery).clamp(0.0, 1.0);
    (f64::from(busy) * share).round() as u32
}
