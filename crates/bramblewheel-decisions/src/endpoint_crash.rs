//! Which requests an endpoint was running when it ended, and how often one was there.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Requests without an answer that are kept in mind: more than an endpoint has slots.
const MAX_UNANSWERED: usize = 512;
/// Time before the last connection broke in which requests count as running at the end. All connections
/// of a process break together, within 2 ms as logs show; a caller that gave up a moment before has
/// its request run on until the endpoint notices.
const ENDS_TOGETHER: Duration = Duration::from_millis(250);
/// Contents whose ends are counted.
const MAX_COUNTED: usize = 1_024;
/// Contents of the most ends that a log line names.
const NAMED: usize = 3;

/// A request that went to an endpoint and got no answer.
#[derive(Clone, Debug)]
struct Unanswered {
    endpoint: EndpointId,
    content: ContentDigest,
    at: Timestamp,
}

/// An endpoint that ended without a word, and what it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// The start of the endpoint that ended.
    pub endpoint: EndpointId,
    /// What ran there, each content once.
    pub contents: Vec<ContentDigest>,
}

/// Requests that got no answer, until it is known whether their endpoint ended.
#[derive(Debug, Default)]
pub struct UnansweredRequests {
    recent: VecDeque<Unanswered>,
}

impl UnansweredRequests {
    /// Notes that a request went to an endpoint and that its answer will not come.
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

    /// The endpoint has ended: returns what it was running, if anything. A second call for one end
    /// returns nothing.
    pub fn take_end(&mut self, endpoint: &EndpointId) -> Option<EndpointCrash> {
        let of_endpoint = |request: &&Unanswered| request.endpoint == *endpoint;
        let last = self.recent.iter().rfind(of_endpoint)?.at;
        let ran =
            |request: &&Unanswered| of_endpoint(request) && last.since(request.at) <= ENDS_TOGETHER;
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

/// How many starts of the local endpoint ended while they ran a content.
#[derive(Debug, Default)]
pub struct CrashesByContent {
    ends: HashMap<ContentDigest, u32>,
}

impl CrashesByContent {
    /// Counts an end; returns the contents that were there most often, with their counts.
    pub fn record(&mut self, end: &EndpointCrash) -> Vec<(ContentDigest, u32)> {
        if self.ends.len() + end.contents.len() > MAX_COUNTED {
            self.ends.retain(|_, ends| *ends > 1);
        }
        if self.ends.len() + end.contents.len() > MAX_COUNTED {
            self.ends.clear();
        }
        let mut counts: Vec<(ContentDigest, u32)> = Vec::new();
        for content in &end.contents {
            let ends = self.ends.entry(*content).or_default();
            *ends += 1;
            counts.push((*content, *ends));
        }
        counts.sort_by_key(|(content, ends)| (std::cmp::Reverse(*ends), *content));
        counts.truncate(NAMED);
        counts
    }
}
