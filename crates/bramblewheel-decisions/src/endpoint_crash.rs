//! Crash of an endpoint: which requests it was running, and how often each was running at a crash.
//!
//! Rule: the requests at an endpoint whose connections broke within 250 ms before the last of them were running at
//! its crash.
//!
//! Inputs: requests whose connection broke, with the time of that; that an incarnation has crashed (a new connection
//! does not open, or another incarnation registers). Reason: all connections of a process break together; requests
//! that failed earlier, for other causes, must not be blamed.
//!
//! Owns the requests without an answer, until it is known whether their endpoint crashed, and the number of crashes
//! by content at this daemon, which serves the log alone. The control group counts for the quarantine.
//!
//! Seen in: metrics `bramblewheel_endpoint_ends` and `bramblewheel_lost_with_endpoints`; log line `endpoint ended`
//! (`running`, `suspects`, `most_ends_here`). The metrics and log lines say "end" for a crash.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Requests without an answer that are kept: more than an endpoint has slots. Chosen, not measured.
const MAX_UNANSWERED: usize = 512;
/// Time before the last connection broke in which requests count as running at the crash. All connections
/// of a process break together, within 2 ms as logs show; a caller that gave up a moment before has
/// its request run on until the endpoint notices. The longer time for that is chosen, not measured.
const RUNNING_AT_CRASH: Duration = Duration::from_millis(250);
/// Contents whose crashes are counted; bounds the memory. Chosen, not measured.
const MAX_COUNTED: usize = 1_024;
/// Contents of the most crashes that a log line names. Chosen, not measured.
const NAMED_IN_LOG: usize = 3;

/// A request that went to an endpoint and got no answer.
#[derive(Clone, Debug)]
struct Unanswered {
    endpoint: EndpointId,
    content: ContentDigest,
    at: Timestamp,
}

/// An incarnation that ended without announcing it, and what it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// The incarnation that crashed.
    pub endpoint: EndpointId,
    /// What ran there, each content once.
    pub contents: Vec<ContentDigest>,
}

/// Requests that got no answer, until it is known whether their endpoint crashed.
#[derive(Debug, Default)]
pub struct UnansweredRequests {
    recent: VecDeque<Unanswered>,
}

impl UnansweredRequests {
    /// Records that a request went to an endpoint and that its answer will not come.
    pub fn record(&mut self, now: Timestamp, endpoint: &EndpointId, content: ContentDigest) {
        if self.recent.len() >= MAX_UNANSWERED {
            self.recent.pop_front();
        }
        self.recent.push_back(Unanswered {
            endpoint: endpoint.clone(),
            content,
            at: now,
        });
    }

    /// The endpoint has crashed: returns what it was running, if anything. A second call for one crash
    /// returns nothing.
    pub fn take_end(&mut self, endpoint: &EndpointId) -> Option<EndpointCrash> {
        let of_endpoint = |request: &&Unanswered| request.endpoint == *endpoint;
        let last = self.recent.iter().rfind(of_endpoint)?.at;
        let ran = |request: &&Unanswered| {
            of_endpoint(request) && last.since(request.at) <= RUNNING_AT_CRASH
        };
        let running = self.recent.iter().filter(ran);
        let running: HashSet<ContentDigest> = running.map(|request| request.content).collect();
        let mut contents: Vec<ContentDigest> = running.into_iter().collect();
        contents.sort_unstable();
        self.recent.retain(|request| request.endpoint != *endpoint);
        Some(EndpointCrash {
            endpoint: endpoint.clone(),
            contents,
        })
    }
}

/// How many incarnations of the local endpoint crashed while they ran a content.
#[derive(Debug, Default)]
pub struct CrashesByContent {
    crashes: HashMap<ContentDigest, u32>,
}

impl CrashesByContent {
    /// Counts a crash; returns the contents that were running at the most crashes, with their counts, at most three.
    pub fn record(&mut self, crash: &EndpointCrash) -> Vec<(ContentDigest, u32)> {
        if self.crashes.len() + crash.contents.len() > MAX_COUNTED {
            self.crashes.retain(|_, crashes| *crashes > 1);
        }
        if self.crashes.len() + crash.contents.len() > MAX_COUNTED {
            self.crashes.clear();
        }
        let mut counts: Vec<(ContentDigest, u32)> = Vec::new();
        for content in &crash.contents {
            let crashes = self.crashes.entry(*content).or_default();
            *crashes += 1;
            counts.push((*content, *crashes));
        }
        counts.sort_by_key(|(content, crashes)| (std::cmp::Reverse(*crashes), *content));
        counts.truncate(NAMED_IN_LOG);
        counts
    }
}
