//! What endpoints have stated of themselves in answers to this daemon: that they drain, or a rate limit.
//!
//! Rule: an endpoint that has stated that it drains gets no request from this daemon any more, whatever the control
//! group or the endpoint's heartbeats say. To an endpoint with a rate limit this daemon sends a part of its requests: the
//! part falls with each one that is refused for the limit and rises with each one that is not, and with time.
//!
//! Inputs: the reports of the daemons beside the endpoints; how this daemon's requests there ended.
//!
//! Reason: the daemon beside the endpoint may restart and forget, and the control group may be out of reach. The limit
//! itself is kept beside the endpoint; the part only avoids requests that would be refused there.
//!
//! State: one entry for each endpoint that drains or has a limit.

use crate::endpoint_limit::{KnownLimit, LimitChange, StatedLimit};
use bramblewheel_types::{EndpointId, RateLimit, Timestamp};
use std::collections::HashMap;

/// Most endpoints whose statements are kept, to bound memory. The oldest entry is dropped first.
const MAX_ENTRIES: usize = 4_096;
/// Part of the send share that a refusal for the limit takes away, 0 to 1.
const DECREASE: f64 = 0.2;
/// Growth of the send share by a request that was not refused.
const INCREASE: f64 = 0.02;
/// Growth of the send share in a second without requests.
const INCREASE_PER_SECOND: f64 = 0.1;
/// Least send share.
const MIN_SHARE: f64 = 0.02;

/// Part of the requests, 0 to 1, that this daemon sends to an endpoint with a rate limit.
#[derive(Clone, Copy, Debug)]
struct SendShare {
    share: f64,
    updated: Timestamp,
}

impl SendShare {
    fn at(&self, now: Timestamp) -> f64 {
        let grown = now.since(self.updated).as_secs_f64() * INCREASE_PER_SECOND;
        (self.share + grown).min(1.0)
    }

    fn record(&mut self, now: Timestamp, is_refused: bool) {
        let before = self.at(now);
        let after = if is_refused {
            before * (1.0 - DECREASE)
        } else {
            before + INCREASE
        };
        self.share = after.clamp(MIN_SHARE, 1.0);
        self.updated = now;
    }
}

#[derive(Clone, Debug)]
struct Entry {
    limit: StatedLimit,
    send_share: SendShare,
    is_draining: bool,
    recorded: Timestamp,
}

impl Entry {
    fn new(now: Timestamp) -> Self {
        Self {
            limit: StatedLimit::default(),
            send_share: SendShare {
                share: 1.0,
                updated: now,
            },
            is_draining: false,
            recorded: now,
        }
    }
}

/// Statements of endpoints.
#[derive(Debug, Default)]
pub(super) struct Statements {
    entries: HashMap<EndpointId, Entry>,
}

impl Statements {
    /// Records that an endpoint drains; returns whether that is new.
    pub(super) fn record_drain(&mut self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let entry = self.entry(now, endpoint);
        !std::mem::replace(&mut entry.is_draining, true)
    }

    /// Records what an answer to a request sent at `sent_at` states of the endpoint's limit.
    pub(super) fn record_limit(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        endpoint: &EndpointId,
        stated: Option<RateLimit>,
    ) -> Option<LimitChange> {
        if stated.is_none() && !self.entries.contains_key(endpoint) {
            return None;
        }
        let entry = self.entry(now, endpoint);
        let change = entry.limit.record_answer(now, sent_at, stated);
        if entry.limit.in_force(now).is_none() && !entry.is_draining {
            self.entries.remove(endpoint);
        }
        change
    }

    /// Records whether a request was refused for the endpoint's limit.
    pub(super) fn record_attempt(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        is_refused: bool,
    ) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.send_share.record(now, is_refused);
        }
    }

    /// Whether the endpoint has stated that it drains.
    pub(super) fn is_draining(&self, endpoint: &EndpointId) -> bool {
        let entry = self.entries.get(endpoint);
        entry.is_some_and(|entry| entry.is_draining)
    }

    /// The endpoint's limit in force.
    pub(super) fn limit(&self, now: Timestamp, endpoint: &EndpointId) -> Option<KnownLimit> {
        self.entries.get(endpoint)?.limit.in_force(now)
    }

    /// Part of the requests, 0 to 1, that may be sent to the endpoint.
    pub(super) fn send_share(&self, now: Timestamp, endpoint: &EndpointId) -> f64 {
        match self.entries.get(endpoint) {
            Some(entry) if entry.is_draining => 0.0,
            Some(entry) if entry.limit.in_force(now).is_some() => entry.send_share.at(now),
            _ => 1.0,
        }
    }

    /// Whether nothing is known of any endpoint.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, now: Timestamp, endpoint: &EndpointId) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(endpoint) {
            self.drop_oldest();
        }
        let entry = self.entries.entry(endpoint.clone());
        entry.or_insert_with(|| Entry::new(now))
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.is_draining, entry.recorded));
        if let Some(endpoint) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.entries.remove(&endpoint);
        }
    }
}
