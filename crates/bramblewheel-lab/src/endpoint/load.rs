//! The endpoint's own load report, which lags and flatters as the deployment says.

use super::state::State;
use bramblewheel_sim::deployment::ReportModel;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// Time between two looks at the slots.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Answer to `GET /load`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LoadReport {
    slots: u32,
    busy: u32,
    draining: bool,
}

/// Busy slots as they were.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: Mutex<VecDeque<(Instant, u32)>>,
}

impl LoadHistory {
    /// Takes a sample, and forgets those that even a lagging report won't need.
    fn record(&self, busy: u32, lag: Duration) {
        let now = Instant::now();
        let mut samples = self.lock();
        samples.push_back((now, busy));
        while samples.get(1).is_some_and(|(at, _)| now - *at >= lag) {
            samples.pop_front();
        }
    }

    /// The oldest sample kept: as old as the report lags, once the endpoint has run that long.
    fn oldest(&self) -> u32 {
        self.lock().front().map_or(0, |(_, busy)| *busy)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<(Instant, u32)>> {
        let samples = self.samples.lock();
        samples.expect("nothing panics under the lock")
    }
}

/// Takes samples for ever.
pub(super) async fn sample(state: Arc<State>) {
    let lag = Duration::from_millis(state.model.report.lag_ms);
    let mut ticks = tokio::time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.load.record(state.slots.busy(), lag);
    }
}

/// The report that the endpoint gives now.
pub(super) fn report(state: &State) -> LoadReport {
    LoadReport {
        slots: state.slots.count(),
        busy: flattered(state.load.oldest(), state.model.report),
        draining: state.is_leaving(),
    }
}

fn flattered(busy: u32, model: ReportModel) -> u32 {
    let share = (1.0 - model.flattery).clamp(0.0, 1.0);
    (f64::from(busy) * share).round() as u32
}
