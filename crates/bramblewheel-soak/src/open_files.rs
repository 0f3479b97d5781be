//! Counts the open files of the processes, connections among them, before the first fault and after the last one.

use crate::check;
use crate::history::OpenFiles;
use crate::plan::Machine;
use crate::run::Soak;
use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;
use tokio::time::Instant;

/// Time without callers in which the processes must close what the faults left behind: the longest idle time-out of a
/// connection (`service.idle_timeout_ms`), and a margin.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time between two counts.
const COUNT_PERIOD: Duration = Duration::from_millis(500);

/// Number of open files by machine.
pub(crate) type Counts = BTreeMap<Machine, usize>;

/// Counts the open files of all processes that run.
pub(crate) fn count(soak: &Soak) -> Counts {
    let processes = soak.controls.iter();
    let processes = processes.filter_map(|(machine, host)| Some((*machine, host.process()?)));
    let counted = processes.filter_map(|(machine, process)| {
        let folder = format!("/proc/{}/fd", process.as_raw_nonzero());
        // A process that has just ended has none.
        Some((machine, fs::read_dir(folder).ok()?.count()))
    });
    counted.collect()
}

/// Waits until the files have come back to their number, or until [`CLOSE_TIMEOUT`] is over, and records the last count.
pub(crate) async fn record_remaining(soak: &Soak, before: &Counts) {
    let begun = Instant::now();
    loop {
        let after = count(soak);
        let counted = before.iter().filter_map(|(machine, before)| {
            let after = *after.get(machine)?;
            Some(OpenFiles {
                machine: *machine,
                before: *before,
                after,
            })
        });
        let counted: Vec<OpenFiles> = counted.collect();
        let have_come_back = check::open_files::excess(&counted).is_empty();
        if have_come_back || begun.elapsed() >= CLOSE_TIMEOUT {
            let seconds = begun.elapsed().as_secs_f64();
            println!("files counted {seconds:.1} s after the callers ended");
            soak.history.events().open_files = counted;
            return;
        }
        tokio::time::sleep(COUNT_PERIOD).await;
    }
}
