//! Endpoint crashes: which requests an endpoint was running when it crashed, and how often each content was running at
//! a crash.
//!
//! Rule: of the requests at an endpoint whose connections broke, those that broke within 250 ms before the last one
//! count as running at its crash.
//!
//! Inputs: requests whose connection broke, with the time of the break; the fact that an incarnation has crashed (a new
//! connection does not open, or another incarnation registers). Reason: all connections of a process break together;
//! requests that failed earlier for other causes must not be blamed.
//!
//! State: the unanswered requests, until it is known whether their endpoint crashed, and the number of crashes by
//! content at this daemon, which is used only for logging. The control group keeps the counts that decide on
//! quarantine.
//!
//! Observability: metrics `bramblewheel_endpoint_ends` and `bramblewheel_lost_with_endpoints`; log line `endpoint
//! ended` (`running`, `suspects`, `most_ends_here`). The metrics and log lines say "end" for a crash.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Most unanswered requests that are kept; more than an endpoint has slots.
const MAX_UNANSWERED: usize = 512;
/// A request counts as running at the crash if its connection broke within this time before the last one. All
/// connections of a process break within 2 ms of each other, as logs show. The window is longer because a request whose
/// caller gave up just before the crash keeps running until the endpoint notices.
const RUNNING_AT_CRASH: Duration = Duration::from_millis(250);
/// Most contents whose crashes are counted; bounds the memory.
const MAX_COUNTED: usize = 1_024;
/// Most contents that a log line names, those with the most crashes first.
const MAX_LOGGED: usize = 3;

/// A request that went to an endpoint and got no answer.
#[derive(Clone, Debug)]
struct Unanswered {
    endpoint: EndpointId,
    content: ContentDigest,
    at: Timestamp,
}

/// An incarnation that stopped without announcing it, and what it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// The incarnation that crashed.
    pub endpoint: EndpointId,
    /// Contents that ran there, without duplicates.
    pub contents: Vec<ContentDigest>,
}

/// Requests that got no answer, until it is known whether their endpoint crashed.
#[derive(Debug, Default)]
pub struct UnansweredRequests {
    recent: VecDeque<Unanswered>,
}

impl UnansweredRequests {
    /// Records that a request was sent to an endpoint and will get no answer.
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

    /// Removes and returns what a crashed endpoint was running; none if it was running nothing or if the crash was
    /// taken before.
    pub fn take_crash(&mut self, endpoint: &EndpointId) -> Option<EndpointCrash> {
        let of_endpoint = |request: &&Unanswered| request.endpoint == *endpoint;
        let last = self.recent.iter().rfind(of_endpoint)?.at;
        let was_running = |request: &&Unanswered| {
            of_endpoint(request) && last.since(request.at) <= RUNNING_AT_CRASH
        };
        let running = self.recent.iter().filter(was_running);
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

/// How many incarnations of the local endpoint crashed while running a content.
#[derive(Debug, Default)]
pub struct CrashesByContent {
    crashes: HashMap<ContentDigest, u32>,
}

impl CrashesByContent {
    /// Counts a crash. Returns up to three of its contents, with their crash counts, those with the most crashes first.
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
        counts.truncate(MAX_LOGGED);
        counts
    }
}
