//! A bound on repeated sends that holds over all daemons together without a word between them.
//!
//! All daemons together may send a service, in any window, `ratio` times the first sends plus a
//! fixed `slack` again. Each daemon allows itself a part of the ratio on its own first sends and an
//! even share of the slack, so that the sums stay below the bound however requests are spread. What
//! is left of both is for the calls that a repeated run makes again below.

use bramblewheel_types::{ServiceName, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Part of the ratio that a daemon uses. The rest is for the calls that repeated runs make again below.
const RATIO_PART: f64 = 0.85;
/// Part of the slack that the daemons use together.
const SLACK_PART: f64 = 0.5;
/// Part of the budget that may go to requests which an endpoint ran and failed: a quarter of the ratio.
const FAILURE_PART: f64 = 0.25 / RATIO_PART;
/// Part of the budget that may go to requests that are not of the most important rank. Where endpoints
/// reject much, trees of many calls end only if each of their calls is repeated; the rest is kept for
/// those that matter most.
const LESS_IMPORTANT_PART: f64 = 0.5;
/// Parts of a window that are counted together.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The bound for all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeated sends allowed for each first send.
    pub ratio: f64,
    /// Repeated sends allowed besides, in each window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// What a daemon has used of its part of the bound for one service, in the window that ends now.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundUse {
    /// The service.
    pub service: ServiceName,
    /// First sends.
    pub first_sends: u32,
    /// Repeated sends.
    pub repeats: u32,
    /// Repeated sends that the daemon allows itself.
    pub allowed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begun: Timestamp,
    first_sends: u32,
    repeats: u32,
}

/// First and repeated sends of this daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    daemons: u32,
    services: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// A budget of a daemon that may be the only one.
    pub fn new(terms: RetryTerms) -> Self {
        Self {
            terms,
            daemons: 1,
            services: HashMap::new(),
        }
    }

    /// Notes how many daemons share the slack.
    pub fn share_among(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Notes a first send.
    pub fn record_first(&mut self, now: Timestamp, service: &ServiceName) {
        self.bucket(now, service).first_sends += 1;
    }

    /// Takes one repeated send out of the budget, if there is one left for a request that is of the most
    /// important rank, or is not.
    pub fn withdraw(&mut self, now: Timestamp, service: &ServiceName, is_important: bool) -> bool {
        let part = if is_important {
            1.0
        } else {
            LESS_IMPORTANT_PART
        };
        self.withdraw_part(now, service, part)
    }

    /// The same for a request that the endpoint ran and failed: its calls are made again too, so
    /// that only part of the budget may go there.
    pub fn withdraw_for_failure(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.withdraw_part(now, service, FAILURE_PART)
    }

    /// What is used of the bound for each service that was sent anything within the window.
    pub fn uses(&mut self, now: Timestamp) -> Vec<BoundUse> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let uses = services.iter().map(|service| self.use_of(now, service));
        uses.collect()
    }

    /// What is used of the bound for one service.
    pub fn use_of(&mut self, now: Timestamp, service: &ServiceName) -> BoundUse {
        self.bucket(now, service);
        let buckets = &self.services[service];
        let first_sends: u32 = buckets.iter().map(|bucket| bucket.first_sends).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = self.terms.slack * SLACK_PART / f64::from(self.daemons);
        BoundUse {
            service: service.clone(),
            first_sends,
            repeats,
            allowed: self.terms.ratio * RATIO_PART * f64::from(first_sends) + share,
        }
    }

    fn withdraw_part(&mut self, now: Timestamp, service: &ServiceName, part: f64) -> bool {
        let BoundUse {
            repeats, allowed, ..
        } = self.use_of(now, service);
        if f64::from(repeats) + 1.0 > allowed * part {
            return false;
        }
        self.bucket(now, service).repeats += 1;
        true
    }

    /// The bucket of now; those that no window can hold any more are dropped.
    fn bucket(&mut self, now: Timestamp, service: &ServiceName) -> &mut Bucket {
        let window = self.terms.window;
        let length = window / BUCKETS_PER_WINDOW;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets
            .front()
            .is_some_and(|b| now.since(b.begun) > window + length)
        {
            buckets.pop_front();
        }
        let is_current = buckets.back().is_some_and(|b| now.since(b.begun) < length);
        if !is_current {
            buckets.push_back(Bucket {
                begun: now,
                first_sends: 0,
                repeats: 0,
            });
        }
        buckets
            .back_mut()
            .expect("a bucket was pushed if there was none")
    }
}
