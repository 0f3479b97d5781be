//! Lateness of the processes of a soak: its own, measured by wake-ups, and that of the processes under test, from their
//! logs. Each broken promise is reported with what was late around it.

use crate::history::{History, LateProcess, Timestamp};
use crate::plan::Machine;
use crate::run::Soak;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::lateness::{Lateness, PERIOD};
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Message of the log line with which a process reports that it was late.
const LATE_MESSAGE: &str = "msg=\"process was late\"";

/// Records late wake-ups of the soak's own process until the soak is over.
pub(crate) async fn measure(soak: Arc<Soak>) {
    let (clock, lateness) = (Clock::start(), Lateness::default());
    while !soak.is_over() {
        let late = lateness.wake_up(clock.now());
        if !late.is_zero() {
            let until = soak.history.now();
            soak.history.events().late_processes.push(LateProcess {
                machine: None,
                until,
                lateness: late,
            });
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Reads from the log in `folder` when the process of a machine was late.
pub(crate) fn read_log(history: &History, machine: Machine, folder: &Path) {
    let file = folder.join("log");
    let text = match fs::read(&file) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) => {
            println!("{}: {error}", file.display());
            return;
        }
    };
    let begun = history.begun_unix_millis();
    let late = late_lines(&text).map(|(at, lateness)| LateProcess {
        machine: Some(machine),
        until: Duration::from_millis(at.saturating_sub(begun)),
        lateness,
    });
    history.events().late_processes.extend(late);
}

/// Times, in Unix milliseconds, and lateness of the log lines that report a late process.
pub fn late_lines(text: &str) -> impl Iterator<Item = (u64, Duration)> {
    let lines = text.lines().filter(|line| line.contains(LATE_MESSAGE));
    lines.filter_map(|line| {
        let at = number_of(line, "at=")?;
        let late_millis = number_of(line, "late_ms=")?;
        Some((at, Duration::from_millis(late_millis)))
    })
}

fn number_of(line: &str, key: &str) -> Option<u64> {
    let field = line
        .split_whitespace()
        .find_map(|field| field.strip_prefix(key));
    field?.parse().ok()
}

/// Prints how late the processes were in the whole run.
pub(crate) fn print_summary(late: &[LateProcess], ended: Timestamp) {
    let longest = |is_counted: &dyn Fn(&LateProcess) -> bool| {
        let counted = late.iter().filter(|late| is_counted(late));
        counted.max_by_key(|late| late.lateness)
    };
    let own = late.iter().filter(|late| late.machine.is_none());
    let own_total: Duration = own.map(|late| late.lateness).sum();
    println!(
        "lateness in {:.0} s: soak {:.2} s in all, {:?} at most; processes {:?} at most",
        ended.as_secs_f64(),
        own_total.as_secs_f64(),
        longest(&|late| late.machine.is_none()).map(|late| late.lateness),
        longest(&|late| late.machine.is_some()),
    );
}
