//! Logs: one line of key=value pairs for each event.
//!
//! Loggers write in the background; when their queue is full they drop lines and say how many,
//! because a slow reader of the log must not slow down the process.

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_async::Async;
use slog_logfmt::Logfmt;
use std::io::{self, LineWriter, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lines that wait to be written; a reader that stalls costs the ones beyond.
const WAITING_LINES: usize = 2_048;
/// Seconds' worth of lines that may come at once before the bound on their rate holds.
const BURST_SECONDS: f64 = 3.0;
/// Time between two lines that say how many were left out.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Builds a logger on standard error; lines below `level` are dropped.
pub fn logger(level: Level) -> Logger {
    let drain = Async::new(lines(io::stderr())).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Builds a logger on standard output that writes at most `lines_per_second` on average; it says
/// how many lines it left out. Warnings and errors are always written.
pub fn bounded_logger(level: Level, lines_per_second: u32) -> Logger {
    bounded_logger_to(io::stdout(), level, lines_per_second)
}

/// Like [`bounded_logger`], to another writer than standard output.
pub fn bounded_logger_to<W>(to: W, level: Level, lines_per_second: u32) -> Logger
where
    W: Write + Send + 'static,
{
    let drain = Async::new(lines(to))
        .chan_size(WAITING_LINES)
        .build()
        .fuse();
    let drain = Bounded::new(drain, lines_per_second).fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// One line of key=value pairs for each event.
fn lines<W: Write + Send + 'static>(
    to: W,
) -> impl Drain<Ok = (), Err = slog::Never> + Send + 'static {
    // Without the buffer each key and value would be a system call of its own.
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

/// Milliseconds since the Unix epoch; 0 if the clock shows less.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Lets a bounded number of lines through.
struct Bounded<D> {
    drain: D,
    lines_per_second: f64,
    state: Mutex<BoundState>,
}

struct BoundState {
    allowance: f64,
    left_out: u64,
    last: Instant,
    last_report: Instant,
}

impl<D> Bounded<D> {
    fn new(drain: D, lines_per_second: u32) -> Self {
        let now = Instant::now();
        let lines_per_second = f64::from(lines_per_second);
        Self {
            drain,
            lines_per_second,
            state: Mutex::new(BoundState {
                allowance: lines_per_second * BURST_SECONDS,
                left_out: 0,
                last: now,
                last_report: now,
            }),
        }
    }

    /// Whether a line may be written, and how many were left out that are to be reported now.
    fn admit(&self, now: Instant, must_write: bool) -> (bool, u64) {
        let Ok(mut state) = self.state.lock() else {
            return (false, 0);
        };
        let since = now.saturating_duration_since(state.last).as_secs_f64();
        state.last = now;
        let most = self.lines_per_second * BURST_SECONDS;
        state.allowance = (state.allowance + since * self.lines_per_second).min(most);
        let is_admitted = must_write || state.allowance >= 1.0;
        if is_admitted {
            state.allowance = (state.allowance - 1.0).max(0.0);
        } else {
            state.left_out += 1;
        }
        let is_due = now.saturating_duration_since(state.last_report) >= REPORT_PERIOD;
        if state.left_out == 0 || !is_due {
            return (is_admitted, 0);
        }
        state.last_report = now;
        (is_admitted, std::mem::take(&mut state.left_out))
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Bounded<D> {
    type Ok = ();
    type Err = slog::Never;

    /// Writes a line with the time at which it was logged, not that at which it is written. Loggers
    /// with values of their own are not used.
    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let must_write = record.level().is_at_least(Level::Warning);
        let (is_admitted, left_out) = self.admit(Instant::now(), must_write);
        if !is_admitted && left_out == 0 {
            return Ok(());
        }
        let values = &OwnedKVList::from(o!("at" => unix_millis()));
        if left_out > 0 {
            let note = slog::record_static!(Level::Warning, "");
            let text = format_args!("lines left out");
            let pairs = slog::b!("lines" => left_out);
            self.drain.log(&Record::new(&note, &text, pairs), values)?;
        }
        if is_admitted {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
