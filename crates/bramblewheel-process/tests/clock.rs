//! Time on a suspended machine: the steady clock stands still, the process's clock goes on.
//!
//! The runtime's paused clock is the steady one here, and the process's clock reads a counter that is moved
//! on by hand.

use bramblewheel_process::clock::{Clock, TimeIsOver};
use bramblewheel_types::Timestamp;
use std::cell::Cell;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a wait must be found to be over after waking.
const AFTER_WAKING: Duration = Duration::from_millis(500);
const LONG: Duration = Duration::from_secs(60);

thread_local! {
    /// Time that passed while suspended.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static BEGUN: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Steady time and that on which the machine was suspended.
fn all_time() -> Duration {
    let begun = BEGUN.get().unwrap_or_else(Instant::now);
    BEGUN.set(Some(begun));
    begun.elapsed() + SUSPENDED.get()
}

fn suspend_for(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

fn steady_time() -> Duration {
    let begun = BEGUN.get().unwrap_or_else(Instant::now);
    BEGUN.set(Some(begun));
    begun.elapsed()
}

async fn run<T>(test: impl Future<Output = T>) -> T {
    tokio::time::pause();
    test.await
}

#[tokio::test]
async fn a_wait_that_a_suspended_machine_overslept_is_over_soon_after_waking() {
    run(async {
        let clock = Clock::reading(all_time);
        let until = clock.now() + LONG;
        let waiting = tokio::spawn(async move { clock.sleep_until(until).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        suspend_for(LONG);
        let woken = Instant::now();
        waiting.await.expect("no panic");
        assert!(woken.elapsed() <= AFTER_WAKING, "{:?}", woken.elapsed());
    })
    .await;
}

#[tokio::test]
async fn a_time_out_counts_the_time_while_suspended() {
    run(async {
        let clock = Clock::reading(all_time);
        let until = clock.now() + LONG;
        let answer = std::future::pending::<()>();
        let waiting = tokio::spawn(async move { clock.timeout_at(until, answer).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        suspend_for(LONG);
        assert_eq!(waiting.await.expect("no panic"), Err(TimeIsOver));
        assert_eq!(clock.left_until(until), Duration::ZERO);
    })
    .await;
}

#[tokio::test]
async fn without_a_pause_a_wait_lasts_as_long_as_it_should() {
    run(async {
        let clock = Clock::reading(all_time);
        let begun = clock.now();
        clock.sleep_until(begun + LONG).await;
        let waited = clock.since(begun);
        assert!(
            waited >= LONG && waited < LONG + Duration::from_millis(10),
            "{waited:?}"
        );
        let ready = clock.timeout_at(begun, std::future::ready(7)).await;
        assert_eq!(ready, Ok(7), "what is there is taken, also late");
    })
    .await;
}

/// The check finds a clock that stands still while suspended, as the steady one does.
#[tokio::test]
async fn a_clock_that_stands_still_while_suspended_is_found_out() {
    run(async {
        let clock = Clock::reading(steady_time);
        let lease_ends = clock.now() + Duration::from_secs(5);
        suspend_for(LONG);
        let is_valid = clock.now() < lease_ends;
        assert!(is_valid, "by the steady clock the lease is valid for ever");
        assert!(Timestamp::ZERO + all_time() > lease_ends);
    })
    .await;
}

/// Decisions, leases and the time left for requests go by the process's clock, in whole files.
#[test]
fn no_decision_goes_by_the_runtimes_instants() {
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
            let text = fs::read_to_string(&file).expect("a readable file");
            assert!(!text.contains("Instant"), "{}", file.display());
        }
    }
    let clock = crates.join("bramblewheel-control/src/clock.rs");
    let text = fs::read_to_string(clock).expect("a readable file");
    assert!(!text.contains("Instant"));
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}
