//! Logs stay bounded under a flood and never wait for their reader.

use bramblewheel_process::logging::bounded_logger_to;
use slog::Level;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

const LINES_PER_SECOND: u32 = 50;
const FLOOD: usize = 50_000;

/// Keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
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

/// Takes nothing until it is let go, like a pipe that nobody reads.
#[derive(Clone, Default)]
struct Stalled(Arc<(Mutex<bool>, Condvar)>);

impl Stalled {
    fn let_go(&self) {
        *self.0.0.lock().expect("not poisoned") = true;
        self.0.1.notify_all();
    }
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let is_free = self.0.0.lock().expect("not poisoned");
        let waited = self.0.1.wait_while(is_free, |is_free| !*is_free);
        drop(waited.expect("not poisoned"));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flood_is_bounded_and_says_what_was_left_out() {
    let kept = Kept::default();
    let log = bounded_logger_to(kept.clone(), Level::Info, LINES_PER_SECOND);
    for number in 0..FLOOD {
        slog::info!(log, "flood"; "number" => number);
    }
    // After a second the next line says how many were left out.
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    slog::info!(log, "after");
    drop(log);
    let text = String::from_utf8(kept.0.lock().expect("not poisoned").clone()).expect("text");
    let written = text
        .lines()
        .filter(|line| line.contains("msg=flood"))
        .count();
    assert!((100..FLOOD / 20).contains(&written), "{written} lines");
    assert!(text.contains("lines left out"), "{text}");
    assert!(
        text.lines().all(|line| line.contains(" at=")),
        "each line has its time"
    );
}

#[test]
fn warnings_are_written_whatever_the_rate_is() {
    let kept = Kept::default();
    let log = bounded_logger_to(kept.clone(), Level::Info, 1);
    for number in 0..40 {
        slog::warn!(log, "important"; "number" => number);
    }
    drop(log);
    let text = String::from_utf8(kept.0.lock().expect("not poisoned").clone()).expect("text");
    assert_eq!(
        text.lines()
            .filter(|line| line.contains("important"))
            .count(),
        40
    );
}

/// If logging waited for the reader, this would never end.
#[test]
fn a_reader_that_stalls_costs_lines_and_no_time() {
    let stalled = Stalled::default();
    let log = bounded_logger_to(stalled.clone(), Level::Info, 1_000_000);
    for number in 0..FLOOD {
        slog::info!(log, "flood"; "number" => number);
    }
    stalled.let_go();
    drop(log);
}
