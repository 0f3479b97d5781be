//! Clock and waits on a machine that is suspended: the monotonic clock stops, the process's clock advances.
//!
//! The runtime's paused clock stands for the monotonic clock here; the process's clock adds a counter of the
//! suspended time, which the tests increase.

use bramblewheel_process::clock::{Clock, TimedOut};
use bramblewheel_types::Timestamp;
use std::cell::Cell;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Time after resume within which an expired wait must end.
const AFTER_RESUME: Duration = Duration::from_millis(500);
const LONG: Duration = Duration::from_secs(60);

thread_local! {
    /// Time that passed while suspended.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Monotonic time plus the time for which the machine was suspended.
fn time_with_suspension() -> Duration {
    let started = STARTED.get().unwrap_or_else(Instant::now);
    STARTED.set(Some(started));
    started.elapsed() + SUSPENDED.get()
}

fn suspend_for(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

fn time_without_suspension() -> Duration {
    let started = STARTED.get().unwrap_or_else(Instant::now);
    STARTED.set(Some(started));
    started.elapsed()
}

async fn run<T>(test: impl Future<Output = T>) -> T {
    tokio::time::pause();
    test.await
}

#[tokio::test]
async fn a_wait_that_expired_during_suspension_ends_soon_after_resume() {
    run(async {
        let clock = Clock::with_source(time_with_suspension);
        let until = clock.now() + LONG;
        let waiting = tokio::spawn(async move { clock.sleep_until(until).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        suspend_for(LONG);
        let resumed = Instant::now();
        waiting.await.expect("no panic");
        assert!(resumed.elapsed() <= AFTER_RESUME, "{:?}", resumed.elapsed());
    })
    .await;
}

#[tokio::test]
async fn a_time_out_includes_the_time_of_suspension() {
    run(async {
        let clock = Clock::with_source(time_with_suspension);
        let until = clock.now() + LONG;
        let never_ready = std::future::pending::<()>();
        let waiting = tokio::spawn(async move { clock.timeout_at(until, never_ready).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        suspend_for(LONG);
        assert_eq!(waiting.await.expect("no panic"), Err(TimedOut));
        assert_eq!(clock.remaining_until(until), Duration::ZERO);
    })
    .await;
}

#[tokio::test]
async fn without_suspension_a_wait_ends_at_its_deadline() {
    run(async {
        let clock = Clock::with_source(time_with_suspension);
        let started = clock.now();
        clock.sleep_until(started + LONG).await;
        let waited = clock.since(started);
        assert!(
            waited >= LONG && waited < LONG + Duration::from_millis(10),
            "{waited:?}"
        );
        let ready = clock.timeout_at(started, std::future::ready(7)).await;
        assert_eq!(ready, Ok(7), "a ready future wins even after the deadline");
    })
    .await;
}

/// Checks the test method: with a clock that stops during suspension, like the monotonic one, a lease that has
/// expired still counts as valid.
#[tokio::test]
async fn a_clock_that_stops_during_suspension_keeps_an_expired_lease_valid() {
    run(async {
        let clock = Clock::with_source(time_without_suspension);
        let lease_ends = clock.now() + Duration::from_secs(5);
        suspend_for(LONG);
        let is_valid = clock.now() < lease_ends;
        assert!(is_valid, "the clock must not count the time of suspension");
        assert!(Timestamp::ZERO + time_with_suspension() > lease_ends);
    })
    .await;
}

/// Decisions, leases and deadlines must use the process's clock, so these files must not use `Instant` at all.
#[test]
fn decision_code_does_not_use_the_runtimes_instant() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let folders = [
        "bramblewheel-control/src/node",
        "bramblewheel-control/src/state",
        "bramblewheel-core/src",
        "bramblewheel-decisions/src",
        "bramblewheel-proxy/src/inbound",
        "bramblewheel-proxy/src/local",
        "bramblewheel-proxy/src/outbound",
        "bramblewheel-replication/src",
    ];
    for folder in folders {
        for file in rust_files(&crates.join(folder)) {
            let text = fs::read_to_string(&file).expect("file is readable");
            assert!(!text.contains("Instant"), "{}", file.display());
        }
    }
    let clock = crates.join("bramblewheel-control/src/clock.rs");
    let text = fs::read_to_string(clock).expect("file is readable");
    assert!(!text.contains("Instant"));
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("folder is readable") {
        let path = entry.expect("entry is readable").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}
