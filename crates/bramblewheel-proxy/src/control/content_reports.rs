//! Reports to the control group which contents ran when the local endpoint crashed, and which succeeded.
//!
//! Owns the queue of reports that the group has not taken yet. Relies on the group to count a report
//! once that is sent twice.

use crate::shared::Shared;
use bramblewheel_decisions::endpoint_crash::EndpointCrash;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::ContentReport;
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Reports that wait while the control group can't take them.
const MAX_WAITING: usize = 256;
/// Longest time for one attempt to send a report to the group.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next attempt.
const PAUSE: Duration = Duration::from_millis(50);

/// What a daemon saw.
#[derive(Debug)]
enum Seen {
    Crash(EndpointCrash),
    Succeeded(Vec<ContentDigest>),
}

/// Takes what is seen; never waits.
#[derive(Clone, Debug)]
pub struct ContentReporter {
    seen: mpsc::Sender<Seen>,
    log: Logger,
}

/// Reports that are to be sent to the group.
#[derive(Debug)]
pub struct WaitingReports {
    seen: mpsc::Receiver<Seen>,
}

impl ContentReporter {
    /// A reporter, and what [`run`] takes.
    pub fn new(log: Logger) -> (Self, WaitingReports) {
        let (sender, seen) = mpsc::channel(MAX_WAITING);
        (Self { seen: sender, log }, WaitingReports { seen })
    }

    /// The local endpoint crashed.
    pub fn endpoint_crashed(&self, crash: EndpointCrash) {
        self.send(Seen::Crash(crash));
    }

    /// Contents that the group lets daemons watch succeeded.
    pub fn succeeded(&self, contents: Vec<ContentDigest>) {
        if !contents.is_empty() {
            self.send(Seen::Succeeded(contents));
        }
    }

    /// Beyond the bound a report is left out: more crashes of the same endpoint follow if there is a cause.
    fn send(&self, seen: Seen) {
        if let Err(error) = self.seen.try_send(seen) {
            slog::warn!(self.log, "report on contents left out"; "reason" => %error);
        }
    }
}

/// Sends reports to the control group, in order; never returns.
pub async fn run(shared: Arc<Shared>, mut waiting: WaitingReports) {
    while let Some(seen) = waiting.seen.recv().await {
        if let Some(report) = report_of(&shared, seen) {
            deliver(&shared, report).await;
        }
    }
}

/// Report for the group; none of a crash that left no suspect.
fn report_of(shared: &Shared, seen: Seen) -> Option<ContentReport> {
    match seen {
        Seen::Succeeded(contents) => {
            slog::info!(shared.log, "content ended well"; "contents" => named(&contents));
            Some(ContentReport::Succeeded { contents })
        }
        Seen::Crash(crash) => {
            let now = shared.clock.now();
            let suspects = shared.quarantine().suspects(now, &crash.contents);
            log_crash(shared, &crash, suspects.len());
            (!suspects.is_empty()).then_some(ContentReport::EndpointCrashed {
                endpoint: crash.endpoint,
                contents: suspects,
            })
        }
    }
}

fn log_crash(shared: &Shared, crash: &EndpointCrash, suspects: usize) {
    let most_often = shared.local.count_crash(crash);
    let most_often: Vec<String> = most_often
        .iter()
        .map(|(content, crashes)| format!("{content}:{crashes}"))
        .collect();
    shared.metrics.endpoint_ends.inc();
    let running = u64::try_from(crash.contents.len()).unwrap_or(u64::MAX);
    shared.metrics.lost_with_endpoints.inc_by(running);
    slog::warn!(shared.log, "endpoint ended"; "endpoint" => %crash.endpoint,
        "running" => running, "suspects" => suspects, "most_ends_here" => most_often.join(","));
}

async fn deliver(shared: &Shared, report: ContentReport) {
    let body = RequestBody::ReportContents(report);
    loop {
        let reply = shared.control.request(&body, REPORT_TIMEOUT).await;
        match reply {
            Ok(ReplyBody::Done) => return,
            Ok(ReplyBody::Rejected(reason)) => {
                slog::warn!(shared.log, "contents not reported"; "reason" => reason);
                return;
            }
            // It may be sent again: a report that is applied twice counts once.
            reply => slog::info!(shared.log, "contents not reported yet"; "reply" => ?reply),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn named(contents: &[ContentDigest]) -> String {
    let names: Vec<String> = contents.iter().map(ContentDigest::to_string).collect();
    names.join(",")
}
