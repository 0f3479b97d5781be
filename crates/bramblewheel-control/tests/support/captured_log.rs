//! A log whose lines a test reads.

use super::processes::TIMEOUT;
use bramblewheel_control::logging;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// Lines a second, above what a test makes a replica write.
const LINES_PER_SECOND: u32 = 10_000;

/// Text written by a logger.
#[derive(Clone, Default)]
pub struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    pub fn logger(&self) -> slog::Logger {
        logging::bounded_logger_to(self.clone(), slog::Level::Info, LINES_PER_SECOND)
    }

    /// Whole lines so far that contain all of the texts.
    pub fn lines_with(&self, texts: &[&str]) -> Vec<String> {
        let bytes = self.0.lock().expect("not poisoned").clone();
        let text = String::from_utf8(bytes).expect("text");
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        let holds_all = |line: &&str| texts.iter().all(|text| line.contains(text));
        whole.lines().filter(holds_all).map(str::to_owned).collect()
    }

    /// Waits for a line that contains all of the texts.
    pub async fn line_with(&self, texts: &[&str]) -> String {
        let waiting = async {
            loop {
                if let Some(line) = self.lines_with(texts).into_iter().next() {
                    return line;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let found = timeout(TIMEOUT, waiting).await;
        found.unwrap_or_else(|_| panic!("no line with {texts:?} in {:#?}", self.lines_with(&[])))
    }
}
