//! Log output stays bounded under a flood, and logging never blocks on a slow reader.

use bramblewheel_process::logging::bounded_logger_to;
use slog::Level;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

const LINES_PER_SECOND: u32 = 50;
const FLOOD: usize = 50_000;

/// Writer that stores its input in memory.
#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that blocks until it is released, like a pipe without a reader.
#[derive(Clone, Default)]
struct StalledWriter(Arc<(Mutex<bool>, Condvar)>);

impl StalledWriter {
    fn release(&self) {
        *self.0.0.lock().expect("not poisoned") = true;
        self.0.1.notify_all();
    }
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let is_released = self.0.0.lock().expect("not poisoned");
        let waited = self
            .0
            .1
            .wait_while(is_released, |is_released| !*is_released);
        drop(waited.expect("not poisoned"));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flood_of_lines_is_rate_limited_and_the_dropped_lines_are_counted() {
    let output = MemoryWriter::default();
    let log = bounded_logger_to(output.clone(), Level::Info, LINES_PER_SECOND);
    for number in 0..FLOOD {
        slog::info!(log, "flood"; "number" => number);
    }
    // After a second the next line is preceded by the number of dropped lines.
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    slog::info!(log, "after");
    drop(log);
    let text = String::from_utf8(output.0.lock().expect("not poisoned").clone()).expect("UTF-8");
    let written = text
        .lines()
        .filter(|line| line.contains("msg=flood"))
        .count();
    assert!((100..FLOOD / 20).contains(&written), "{written} lines");
    assert!(text.contains("lines left out"), "{text}");
    assert!(
        text.lines().all(|line| line.contains(" at=")),
        "a line has no time"
    );
}

#[test]
fn warnings_are_written_regardless_of_the_rate_limit() {
    let output = MemoryWriter::default();
    let log = bounded_logger_to(output.clone(), Level::Info, 1);
    for number in 0..40 {
        slog::warn!(log, "important"; "number" => number);
    }
    drop(log);
    let text = String::from_utf8(output.0.lock().expect("not poisoned").clone()).expect("UTF-8");
    assert_eq!(
        text.lines()
            .filter(|line| line.contains("important"))
            .count(),
        40
    );
}

/// The test would never end if logging waited for the reader.
#[test]
fn a_stalled_reader_causes_dropped_lines_and_does_not_block_logging() {
    let writer = StalledWriter::default();
    let log = bounded_logger_to(writer.clone(), Level::Info, 1_000_000);
    for number in 0..FLOOD {
        slog::info!(log, "flood"; "number" => number);
    }
    writer.release();
    drop(log);
}
