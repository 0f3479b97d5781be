//! Reports to the control group which contents were running when the local endpoint crashed, and which succeeded.
//!
//! Reports are queued until the group has taken them. The group counts a report once even if it is sent twice.

use crate::shared::Shared;
use bramblewheel_decisions::endpoint_crash::EndpointCrash;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::ContentReport;
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of reports queued while the control group can't take them.
const MAX_QUEUED: usize = 256;
/// Time-out of one attempt to send a report to the group.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Event to be reported.
#[derive(Debug)]
enum ContentEvent {
    Crash(EndpointCrash),
    Succeeded(Vec<ContentDigest>),
}

/// Queues events to be reported; never waits.
#[derive(Clone, Debug)]
pub struct ContentReporter {
    events: mpsc::Sender<ContentEvent>,
    log: Logger,
}

/// Receiving end of the queue of events to be reported.
#[derive(Debug)]
pub struct QueuedReports {
    events: mpsc::Receiver<ContentEvent>,
}

impl ContentReporter {
    /// Creates a reporter and the queue for [`run`].
    pub fn new(log: Logger) -> (Self, QueuedReports) {
        let (sender, events) = mpsc::channel(MAX_QUEUED);
        (
            Self {
                events: sender,
                log,
            },
            QueuedReports { events },
        )
    }

    /// Reports a crash of the local endpoint.
    pub fn endpoint_crashed(&self, crash: EndpointCrash) {
        self.send(ContentEvent::Crash(crash));
    }

    /// Reports contents watched by the group that succeeded.
    pub fn succeeded(&self, contents: Vec<ContentDigest>) {
        if !contents.is_empty() {
            self.send(ContentEvent::Succeeded(contents));
        }
    }

    /// Queues an event. If the queue is full the report is dropped; content that crashes endpoints causes further
    /// reports.
    fn send(&self, event: ContentEvent) {
        if let Err(error) = self.events.try_send(event) {
            slog::warn!(self.log, "content report dropped"; "reason" => %error);
        }
    }
}

/// Sends reports to the control group, in order; never returns.
pub async fn run(shared: Arc<Shared>, mut queue: QueuedReports) {
    while let Some(event) = queue.events.recv().await {
        if let Some(report) = report_of(&shared, event) {
            deliver(&shared, report).await;
        }
    }
}

/// Report for the group; `None` for a crash without a suspect content.
fn report_of(shared: &Shared, event: ContentEvent) -> Option<ContentReport> {
    match event {
        ContentEvent::Succeeded(contents) => {
            slog::info!(shared.log, "content ended well"; "contents" => join_digests(&contents));
            Some(ContentReport::Succeeded { contents })
        }
        ContentEvent::Crash(crash) => {
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
    let most_crashes = shared.local.count_crash(crash);
    let most_crashes: Vec<String> = most_crashes
        .iter()
        .map(|(content, crashes)| format!("{content}:{crashes}"))
        .collect();
    shared.metrics.endpoint_ends.inc();
    let running = u64::try_from(crash.contents.len()).unwrap_or(u64::MAX);
    shared.metrics.lost_with_endpoints.inc_by(running);
    slog::warn!(shared.log, "endpoint ended"; "endpoint" => %crash.endpoint,
        "running" => running, "suspects" => suspects, "most_ends_here" => most_crashes.join(","));
}

async fn deliver(shared: &Shared, report: ContentReport) {
    let body = RequestBody::ReportContents(report);
    loop {
        let reply = shared.control.request(&body, REPORT_TIMEOUT).await;
        match reply {
            Ok(ReplyBody::Done) => return,
            Ok(ReplyBody::Rejected(reason)) => {
                slog::warn!(shared.log, "content report rejected"; "reason" => reason);
                return;
            }
            // Sending it again is safe: a report that is applied twice counts once.
            reply => slog::info!(shared.log, "content report not accepted yet"; "reply" => ?reply),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn join_digests(contents: &[ContentDigest]) -> String {
    let names: Vec<String> = contents.iter().map(ContentDigest::to_string).collect();
    names.join(",")
}
