//! Logging in lines of key=value pairs, one for each event.
//!
//! Loggers write in the background. When their queue is full they drop lines and log how many, so that a
//! slow reader of the log does not slow down the process.

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_async::Async;
use slog_logfmt::Logfmt;
use std::io::{self, LineWriter, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of lines waiting to be written; further ones are dropped while the reader stalls.
const MAX_QUEUED_LINES: usize = 2_048;
/// Burst allowed above the rate limit, in seconds of lines at that rate.
const BURST_SECONDS: f64 = 3.0;
/// Minimum time between two reports on dropped lines.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Builds a logger on standard error; lines below `level` are dropped.
pub fn logger(level: Level) -> Logger {
    let drain = Async::new(lines(io::stderr())).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Builds a logger on standard output that writes at most `lines_per_second` on average and logs
/// how many lines it dropped. Warnings and errors are always written.
pub fn bounded_logger(level: Level, lines_per_second: u32) -> Logger {
    bounded_logger_to(io::stdout(), level, lines_per_second)
}

/// Like [`bounded_logger`], but to the given writer instead of standard output.
pub fn bounded_logger_to<W>(to: W, level: Level, lines_per_second: u32) -> Logger
where
    W: Write + Send + 'static,
{
    let drain = Async::new(lines(to))
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse();
    let drain = RateLimited::new(drain, lines_per_second).fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Formats each event as a line of key=value pairs.
fn lines<W: Write + Send + 'static>(
    to: W,
) -> impl Drain<Ok = (), Err = slog::Never> + Send + 'static {
    // Without the buffer each key and value would be written by a separate system call.
    Logfmt::new(LineWriter::new(to))
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build()
        .ignore_res()
}

/// A logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Milliseconds since the Unix epoch; 0 if the clock is set before it.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Drain that limits the rate of lines by a token bucket.
struct RateLimited<D> {
    drain: D,
    lines_per_second: f64,
    state: Mutex<RateLimitState>,
}

struct RateLimitState {
    tokens: f64,
    dropped: u64,
    last_refill: Instant,
    last_report: Instant,
}

impl<D> RateLimited<D> {
    fn new(drain: D, lines_per_second: u32) -> Self {
        let now = Instant::now();
        let lines_per_second = f64::from(lines_per_second);
        Self {
            drain,
            lines_per_second,
            state: Mutex::new(RateLimitState {
                tokens: lines_per_second * BURST_SECONDS,
                dropped: 0,
                last_refill: now,
                last_report: now,
            }),
        }
    }

    /// Returns whether a line may be written, and the number of dropped lines to report now.
    fn admit(&self, now: Instant, must_write: bool) -> (bool, u64) {
        let Ok(mut state) = self.state.lock() else {
            return (false, 0);
        };
        let elapsed = now
            .saturating_duration_since(state.last_refill)
            .as_secs_f64();
        state.last_refill = now;
        let max_tokens = self.lines_per_second * BURST_SECONDS;
        state.tokens = (state.tokens + elapsed * self.lines_per_second).min(max_tokens);
        let is_admitted = must_write || state.tokens >= 1.0;
        if is_admitted {
            state.tokens = (state.tokens - 1.0).max(0.0);
        } else {
            state.dropped += 1;
        }
        let is_due = now.saturating_duration_since(state.last_report) >= REPORT_PERIOD;
        if state.dropped == 0 || !is_due {
            return (is_admitted, 0);
        }
        state.last_report = now;
        (is_admitted, std::mem::take(&mut state.dropped))
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = slog::Never;

    /// Adds the time at which the line was logged, which may be earlier than the time of writing. The
    /// logger's own values are ignored, because no logger has any.
    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let must_write = record.level().is_at_least(Level::Warning);
        let (is_admitted, dropped) = self.admit(Instant::now(), must_write);
        if !is_admitted && dropped == 0 {
            return Ok(());
        }
        let values = &OwnedKVList::from(o!("at" => unix_millis()));
        if dropped > 0 {
            let location = slog::record_static!(Level::Warning, "");
            let text = format_args!("lines left out");
            let pairs = slog::b!("lines" => dropped);
            self.drain
                .log(&Record::new(&location, &text, pairs), values)?;
        }
        if is_admitted {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
