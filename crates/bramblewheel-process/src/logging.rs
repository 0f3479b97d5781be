//! Logs: one line of key=value pairs for each event, on standard error.

use slog::{Drain, Level, Logger, o};
use slog_async::Async;
use slog_logfmt::Logfmt;
use std::io::{self, LineWriter};

/// Builds the process's logger; lines below `level` are dropped.
///
/// The logger writes in the background; when its queue is full it drops lines and says how many,
/// because a slow reader of the log must not slow down the process.
pub fn logger(level: Level) -> Logger {
    // Without the buffer each key and value would be a system call of its own.
    let drain = Logfmt::new(LineWriter::new(io::stderr()))
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build()
        .fuse();
    let drain = Async::new(drain).build().fuse();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, o!())
}

/// A logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
