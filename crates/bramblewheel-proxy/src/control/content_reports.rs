//! Brings to the control group what is seen of requests under which endpoints end.

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
/// Longest time for one try to bring a report to the group.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(50);

/// What a daemon saw.
#[derive(Debug)]
enum Seen {
    End(EndpointCrash),
    EndedWell(Vec<ContentDigest>),
}

/// Takes what is seen; never waits.
#[derive(Clone, Debug)]
pub struct ContentReporter {
    seen: mpsc::Sender<Seen>,
    log: Logger,
}

/// What is to be brought to the group.
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

    /// The local endpoint ended without a word.
    pub fn endpoint_ended(&self, end: EndpointCrash) {
        self.send(Seen::End(end));
    }

    /// Contents that the group tells of ended well.
    pub fn ended_well(&self, contents: Vec<ContentDigest>) {
        if !contents.is_empty() {
            self.send(Seen::EndedWell(contents));
        }
    }

    /// Beyond the bound a report is left out: more ends of the same endpoint follow if there is a cause.
    fn send(&self, seen: Seen) {
        if let Err(error) = self.seen.try_send(seen) {
            slog::warn!(self.log, "report on contents left out"; "reason" => %error);
        }
    }
}

/// Brings reports to the control group, in order; never returns.
pub async fn run(shared: Arc<Shared>, mut waiting: WaitingReports) {
    while let Some(seen) = waiting.seen.recv().await {
        if let Some(report) = report_of(&shared, seen) {
            bring(&shared, report).await;
        }
    }
}

/// What the group is told; nothing of an end that left no suspect.
fn report_of(shared: &Shared, seen: Seen) -> Option<ContentReport> {
    match seen {
        Seen::EndedWell(contents) => {
            slog::info!(shared.log, "content ended well"; "contents" => named(&contents));
            Some(ContentReport::EndedWell { contents })
        }
        Seen::End(end) => {
            let now = shared.clock.now();
            let suspects = shared.quarantine().suspects(now, &end.contents);
            log_end(shared, &end, suspects.len());
            (!suspects.is_empty()).then_some(ContentReport::EndpointCrashed {
                endpoint: end.endpoint,
                contents: suspects,
            })
        }
    }
}

fn log_end(shared: &Shared, end: &EndpointCrash, suspects: usize) {
    let most_often = shared.local.count_crash(end);
    let most_often: Vec<String> = most_often
        .iter()
        .map(|(content, ends)| format!("{content}:{ends}"))
        .collect();
    shared.metrics.endpoint_ends.inc();
    let running = u64::try_from(end.contents.len()).unwrap_or(u64::MAX);
    shared.metrics.lost_with_endpoints.inc_by(running);
    slog::warn!(shared.log, "endpoint ended"; "endpoint" => %end.endpoint,
        "running" => running, "suspects" => suspects, "most_ends_here" => most_often.join(","));
}

async fn bring(shared: &Shared, report: ContentReport) {
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
