//! The course of a planned stop. Its times stand in [`StopSchedule`].
//!
//! 1. From the order on the daemon says that it is not ready, takes nothing more for its endpoint, and asks its
//!    callers to close their connections with each answer. It serves what still comes: callers notice
//!    only after a while.
//! 2. For the second half of the time it takes only what ends before the daemon does, and calls of requests that
//!    the local endpoint is running ([`StopSchedule::decide`]). The rest is refused as not run, at once. Callers
//!    that keep connections open go on sending until the process is gone.
//! 3. Once nothing is in progress, or a second before the end by force, the listeners are closed.
//! 4. Half a second before the end by force everything that is left gets an answer: not run where that is true,
//!    else one that promises nothing. Only answers that are being passed on go on, until the connections are
//!    closed.
//!
//! Owns whether a stop has begun, and its schedule. Relies on [`crate::in_progress`] for what is left. Shown by the
//! log lines `callers refused from now on`, `request while stopping` and `cut off by the stop`, and by the metric
//! `bramblewheel_cut_off_total`.

use crate::in_progress::OpenRequest;
use crate::inbound::dispatch::text;
use crate::shared::Shared;
use bramblewheel_decisions::stop_schedule::StopSchedule;
use bramblewheel_process::clock::Clock;
use bramblewheel_types::{Millis, Timestamp};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::watch;

/// Time without a request after which nobody is taken to be sending any more. Chosen, not measured.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// Requests that are named at most when the end of the process cuts them off, so that the log is bounded. Chosen, not
/// measured.
const MAX_NAMED: usize = 200;
/// Time between two checks of what is in progress. Chosen, not measured.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// A planned stop, as all requests see it: not begun, or under way by its schedule.
#[derive(Debug)]
pub struct PlannedStop {
    schedule: OnceLock<StopSchedule>,
    has_begun: watch::Sender<bool>,
}

impl Default for PlannedStop {
    fn default() -> Self {
        Self {
            schedule: OnceLock::new(),
            has_begun: watch::Sender::new(false),
        }
    }
}

impl PlannedStop {
    /// Its times, once it has begun.
    pub fn schedule(&self) -> Option<&StopSchedule> {
        self.schedule.get()
    }

    fn begin(&self, schedule: StopSchedule) {
        // A stop begins once: the daemon is used up by it.
        let _ = self.schedule.set(schedule);
        self.has_begun.send_replace(true);
    }

    /// Ends when a stop is under way and everything must be answered; never otherwise.
    pub async fn answers_due(&self, clock: Clock) {
        let mut has_begun = self.has_begun.subscribe();
        // The sender lives as long as this value.
        let _ = has_begun.wait_for(|has_begun| *has_begun).await;
        match self.schedule() {
            Some(schedule) => clock.sleep_until(schedule.answers_by).await,
            None => std::future::pending().await,
        }
    }
}

/// Goes on until listeners may be closed; returns when all connections must have ended.
pub(crate) async fn until_quiet(shared: &Shared) -> Timestamp {
    let clock = shared.clock;
    let schedule = StopSchedule::new(clock.now(), shared.settings.stop_grace);
    slog::info!(shared.log, "stopping"; "in_progress" => shared.in_progress.count());
    shared.stop.begin(schedule);
    shared.local.stop();
    let mut quiet_since = clock.now();
    let mut are_callers_refused = false;
    while clock.now() < schedule.listening_until {
        tokio::time::sleep(CHECK_PERIOD).await;
        if shared.in_progress.count() > 0 {
            quiet_since = clock.now();
        }
        if !are_callers_refused && clock.now() >= schedule.admitting_until {
            are_callers_refused = true;
            slog::info!(shared.log, "callers refused from now on"; "reason" => "the daemon stops",
                "in_progress" => shared.in_progress.count());
        }
        let is_noticed = clock.now() >= schedule.not_ready_noticed;
        let is_quiet = clock.since(quiet_since) >= QUIET_TIME;
        if is_noticed && is_quiet {
            break;
        }
    }
    schedule.closed_by
}

/// Names the requests that the end of the process cuts off; each of them is a promise that was not kept.
pub(crate) fn note_cut_off(shared: &Shared) {
    let now = shared.clock.now();
    for request in shared.in_progress.open().into_iter().take(MAX_NAMED) {
        let OpenRequest {
            sender,
            id,
            arrived,
            stage,
            is_likely_nested,
        } = request;
        shared.metrics.cut_off(sender, stage);
        slog::warn!(shared.log, "cut off by the stop"; "id" => id.as_ref().map_or("?", text),
            "from" => sender.as_str(), "stage" => stage.as_str(), "is_call" => is_likely_nested,
            "after_ms" => Millis::of(now.since(arrived)).0);
    }
}
