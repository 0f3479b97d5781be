//! The steps of a planned stop. Their times are in [`StopSchedule`].
//!
//! 1. From the order to stop, the daemon reports not ready, accepts no more requests for its endpoint, and asks callers
//!    with each answer to close their connections. It still serves callers, which notice the stop only after a while.
//! 2. In the second half of the grace time, and after three seconds in any case, it accepts only requests that end
//!    before the daemon does, and calls of requests that the local endpoint is running ([`StopSchedule::decide`]). Others
//!    are refused at once as not run. Callers with open connections keep sending until the process is gone.
//! 3. Once nothing is in progress, or one second before the forced end, the listeners are closed.
//! 4. Half a second before the forced end every request that is left gets an answer: a refusal if it has not run,
//!    otherwise one that leaves open whether it ran. Only answers that are being passed on continue, until the
//!    connections are closed.
//!
//! A process that was suspended can't know when the order came, so that its grace time may end earlier than it would
//! by the time at which it read the order. All steps follow the earliest possible end, except that a request which may
//! have run is waited for until the latest one: its caller gains nothing from an earlier answer without a result.
//!
//! A planned stop appears in the log lines `callers refused from now on`, `request while stopping` and
//! `cut off by the stop`, and in the metric `bramblewheel_cut_off_total`.

use crate::in_progress::OpenRequest;
use crate::inbound::dispatch::id_text;
use crate::shared::Shared;
use bramblewheel_decisions::stop_schedule::StopSchedule;
use bramblewheel_process::clock::Clock;
use bramblewheel_types::{Millis, Timestamp};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::watch;

/// Time without a request in progress after which callers are assumed to have stopped sending.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// Maximum number of cut-off requests that are logged, to bound the log.
const MAX_LOGGED: usize = 200;
/// Part of the grace time, 0 to 1, that a stop has at least when the order to stop is read late.
const MIN_GRACE_PART: f64 = 0.5;
/// Time between two checks of the requests in progress.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Schedules of a planned stop, by the earliest and the latest time at which it may be forced. They are the same if this
/// process was running when the order came.
#[derive(Clone, Copy, Debug)]
struct Schedules {
    earliest: StopSchedule,
    latest: StopSchedule,
}

/// State of the planned stop: not begun, or in progress with its schedules.
#[derive(Debug)]
pub struct PlannedStop {
    schedules: OnceLock<Schedules>,
    has_begun: watch::Sender<bool>,
}

impl Default for PlannedStop {
    fn default() -> Self {
        Self {
            schedules: OnceLock::new(),
            has_begun: watch::Sender::new(false),
        }
    }
}

impl PlannedStop {
    /// Its schedule by the earliest possible end, once it has begun.
    pub fn schedule(&self) -> Option<&StopSchedule> {
        self.schedules.get().map(|schedules| &schedules.earliest)
    }

    fn begin(&self, schedules: Schedules) {
        // Can't be set already: `Daemon::stop` consumes the daemon.
        let _ = self.schedules.set(schedules);
        self.has_begun.send_replace(true);
    }

    /// Returns when a stop is in progress and a request must be answered: one that has not run by the earliest possible
    /// end of the stop, one for which `may_have_run` is true then by the latest. Never returns without a stop.
    pub async fn answer_due(&self, clock: Clock, may_have_run: impl Fn() -> bool) {
        let mut has_begun = self.has_begun.subscribe();
        // The sender lives as long as this value.
        let _ = has_begun.wait_for(|has_begun| *has_begun).await;
        let Some(schedules) = self.schedules.get() else {
            return std::future::pending().await;
        };
        clock.sleep_until(schedules.earliest.answers_by).await;
        if may_have_run() {
            clock.sleep_until(schedules.latest.answers_by).await;
        }
    }
}

/// Least time from now to the forced stop. If this process was late until now, the order may have come when it stopped
/// running.
fn least_grace(shared: &Shared, now: Timestamp) -> Duration {
    let grace = shared.settings.stop_grace;
    let remaining = grace.saturating_sub(shared.lateness.latest(now));
    remaining.max(grace.mul_f64(MIN_GRACE_PART))
}

/// Begins the stop and waits until the listeners may be closed; returns the latest time by which all connections must
/// have ended.
pub(crate) async fn wait_until_quiet(shared: &Shared) -> Timestamp {
    let clock = shared.clock;
    let now = clock.now();
    let (grace, longest_grace) = (least_grace(shared, now), shared.settings.stop_grace);
    let schedule = StopSchedule::new(now, grace);
    let latest = StopSchedule::new(now, longest_grace);
    slog::info!(shared.log, "stopping"; "in_progress" => shared.in_progress.count(),
        "grace_ms" => Millis::of(grace).0, "longest_grace_ms" => Millis::of(longest_grace).0);
    shared.stop.begin(Schedules {
        earliest: schedule,
        latest,
    });
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
    latest.closed_by
}

/// Logs and counts the requests that the end of the process cuts off. Each of them violates the guarantee of a
/// planned stop.
pub(crate) fn log_cut_off(shared: &Shared) {
    let now = shared.clock.now();
    for request in shared.in_progress.open().into_iter().take(MAX_LOGGED) {
        let OpenRequest {
            sender,
            id,
            arrived,
            stage,
            is_likely_nested,
        } = request;
        shared.metrics.cut_off(sender, stage);
        slog::warn!(shared.log, "cut off by the stop"; "id" => id.as_ref().map_or("?", id_text),
            "from" => sender.as_str(), "stage" => stage.as_str(), "is_call" => is_likely_nested,
            "after_ms" => Millis::of(now.since(arrived)).0);
    }
}
