//! Latency of bare synced writes, as the log makes one for each entry, beside a load: the disk and
//! the machine are then as busy for one as for the other.

use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Bytes of each write, about those of an entry with one claim.
const WRITE_BYTES: usize = 256;
/// From one write to the next: rare enough to be no load of its own.
const INTERVAL: Duration = Duration::from_millis(10);

/// Synced writes in a thread of their own.
pub struct BareSyncs {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<Vec<f64>>>,
}

impl BareSyncs {
    /// Begins to write to a file.
    pub fn start(path: PathBuf) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        let thread = std::thread::spawn(move || write_until(&told, &path));
        Self { stop, thread }
    }

    /// Ends the writes; the seconds that each took, sorted.
    ///
    /// # Errors
    /// What the operating system said to a write.
    pub fn finish(self) -> io::Result<Vec<f64>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut seconds = self
            .thread
            .join()
            .map_err(|_| io::Error::other("panic"))??;
        seconds.sort_by(f64::total_cmp);
        Ok(seconds)
    }
}

fn write_until(stop: &AtomicBool, path: &PathBuf) -> io::Result<Vec<f64>> {
    let mut file = File::create(path)?;
    let bytes = [0x5a; WRITE_BYTES];
    let mut seconds = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        file.write_all(&bytes)?;
        file.sync_data()?;
        seconds.push(start.elapsed().as_secs_f64());
        std::thread::sleep(INTERVAL);
    }
    Ok(seconds)
}
