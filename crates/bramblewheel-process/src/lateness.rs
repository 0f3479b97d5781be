//! Measures how late the timers of this process are.
//!
//! A process that is suspended or waits for a processor reads the answers of its peers late. Without knowing its own
//! lateness it can't distinguish that from silence of the peers. [`Lateness::run`] wakes up at a fixed period; the time
//! by which a wake-up is late is time in which the process could not run. Time-outs for answers of other processes are
//! therefore measured in [running time](Lateness::running_time), which excludes it.
//!
//! Late wake-ups appear in the log line `process was late`.

use crate::clock::{Clock, TimedOut};
use crate::invariants::lock;
use bramblewheel_types::{Millis, Timestamp};
use slog::Logger;
use std::future::Future;
use std::sync::Mutex;
use std::time::Duration;

/// Period of the wake-ups.
pub const PERIOD: Duration = Duration::from_millis(50);
/// Part of the lateness of each wake-up that does not count: the resolution of timers and the usual scheduling.
pub const TOLERANCE: Duration = Duration::from_millis(10);
/// Lateness from which a process counts as suspended: what it reads then may have waited for it.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// Longest time after a suspension in which a process that is still late may read what waited for it.
const MAX_CATCH_UP: Duration = Duration::from_millis(500);
/// Lateness from which a wake-up has a log line.
const LOGGED_LATENESS: Duration = Duration::from_millis(100);
/// Shortest time between two log lines.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// The last late wake-up.
#[derive(Clone, Copy, Debug)]
struct LateWakeup {
    at: Timestamp,
    lateness: Duration,
}

/// The last suspension whose unread messages may not all be read yet.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    ended: Timestamp,
    /// Time between the wake-ups before and after it.
    gap: Duration,
}

#[derive(Debug, Default)]
struct Wakeups {
    /// When the next wake-up is due; none before the first one.
    due: Option<Timestamp>,
    /// Sum of the lateness of all wake-ups.
    total: Duration,
    last_late: Option<LateWakeup>,
    suspension: Option<Suspension>,
}

impl Wakeups {
    /// Lateness of the wake-up that is due.
    fn pending(&self, now: Timestamp) -> Duration {
        let late = self.due.map_or(Duration::ZERO, |due| now.since(due));
        late.saturating_sub(TOLERANCE)
    }

    /// Time since the last wake-up, if the next one is late by a suspension.
    fn pending_gap(&self, now: Timestamp) -> Option<Duration> {
        let lateness = self.pending(now);
        (lateness >= MIN_SUSPENSION).then_some(lateness + TOLERANCE + PERIOD)
    }

    /// Sets or ends the suspension at a wake-up. The process has caught up at the first one that is not late.
    fn update_suspension(&mut self, now: Timestamp, lateness: Duration) {
        if let Some(gap) = self.pending_gap(now) {
            self.suspension = Some(Suspension { ended: now, gap });
            return;
        }
        let is_catching_up = |suspension: &Suspension| {
            !lateness.is_zero() && now.since(suspension.ended) <= MAX_CATCH_UP
        };
        self.suspension = self.suspension.filter(is_catching_up);
    }
}

/// Lateness of the timers of one process.
#[derive(Debug, Default)]
pub struct Lateness {
    wakeups: Mutex<Wakeups>,
}

/// Limits the log lines on late wake-ups.
#[derive(Debug, Default)]
struct LogLimit {
    last_line: Option<Timestamp>,
    without_line: u64,
}

impl LogLimit {
    /// Counts a late wake-up; if it is to be logged, returns the number of those without a line since the last line.
    fn count(&mut self, now: Timestamp) -> Option<u64> {
        let last = self.last_line;
        if last.is_some_and(|last| now.since(last) < LOG_PERIOD) {
            self.without_line += 1;
            return None;
        }
        self.last_line = Some(now);
        Some(std::mem::take(&mut self.without_line))
    }
}

impl Lateness {
    /// Records a wake-up and sets when the next one is due; returns by how much it was late.
    pub fn wake_up(&self, now: Timestamp) -> Duration {
        let mut wakeups = lock(&self.wakeups);
        let lateness = wakeups.pending(now);
        wakeups.total += lateness;
        wakeups.update_suspension(now, lateness);
        if !lateness.is_zero() {
            wakeups.last_late = Some(LateWakeup { at: now, lateness });
        }
        wakeups.due = Some(now + PERIOD);
        lateness
    }

    /// Time that the process lost since its start because it could not run.
    pub fn total(&self, now: Timestamp) -> Duration {
        let wakeups = lock(&self.wakeups);
        wakeups.total + wakeups.pending(now)
    }

    /// Time in which the process was able to run, up to `now`.
    pub fn running_time(&self, now: Timestamp) -> Timestamp {
        let since_start = now.since(Timestamp::ZERO);
        Timestamp::ZERO + since_start.saturating_sub(self.total(now))
    }

    /// How late the process is, or was within the last [`PERIOD`].
    pub fn latest(&self, now: Timestamp) -> Duration {
        let wakeups = lock(&self.wakeups);
        let last = wakeups.last_late;
        let recent = last.filter(|last| now.since(last.at) <= PERIOD);
        let recent = recent.map_or(Duration::ZERO, |last| last.lateness);
        recent.max(wakeups.pending(now))
    }

    /// Longest time for which something that is read now may have waited unread because this process was suspended; zero
    /// once it has caught up.
    pub fn longest_unread(&self, now: Timestamp) -> Duration {
        let wakeups = lock(&self.wakeups);
        let last = wakeups.suspension.map(|suspension| suspension.gap);
        let pending = wakeups.pending_gap(now);
        pending.max(last).unwrap_or_default()
    }

    /// Waits until the process was able to run for `time`.
    pub async fn sleep(&self, clock: Clock, time: Duration) {
        let until = self.running_time(clock.now()) + time;
        loop {
            let remaining = until.since(self.running_time(clock.now()));
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }

    /// Waits for a future until the process was able to run for `time` at most.
    ///
    /// # Errors
    /// [`TimedOut`] if the future was not ready by then.
    pub async fn timeout<F: Future>(
        &self,
        clock: Clock,
        time: Duration,
        future: F,
    ) -> Result<F::Output, TimedOut> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep(clock, time) => Err(TimedOut),
        }
    }

    /// Wakes up periodically and passes the lateness of each wake-up to `observe`; never returns.
    pub async fn run(&self, clock: Clock, log: Logger, mut observe: impl FnMut(Duration)) {
        let mut lines = LogLimit::default();
        loop {
            let now = clock.now();
            let lateness = self.wake_up(now);
            observe(lateness);
            if lateness >= LOGGED_LATENESS
                && let Some(without_line) = lines.count(now)
            {
                slog::warn!(log, "process was late"; "late_ms" => Millis::of(lateness).0,
                    "without_line" => without_line);
            }
            tokio::time::sleep(PERIOD).await;
        }
    }
}
