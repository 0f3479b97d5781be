//! A bound on repeated sends that holds over all daemons together without a word between them.
//!
//! All daemons together may send a service, in any window, `ratio` times its requests plus a fixed
//! `slack` beyond the first send of each. Each daemon allows itself the ratio on its own first sends and an
//! even share of the slack, so that the sums stay below the bound however requests are spread.
//!
//! A run that is repeated makes its calls again, and each of these is a send beyond the first as well, at
//! whatever service it goes to. So a first send counts as repeated by the part to which the run that makes it
//! is repeated, and only the rest of it earns repeats. Were such calls first sends, each service would keep to
//! its own bound and the one below all of them get the sum: measured, 2,007 arrivals beyond the first where
//! 1,828 were allowed, of which its callers' daemons had counted some 1,200.

use bramblewheel_types::{ServiceName, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Part of the ratio up to which requests are sent again. The rest is for the calls that runs make which
/// are repeated already when the bound is nearly used up. At 0.85, 3 of 2,000 drawn trees broke the bound
/// in place of 1, with 0.603 of the callers' requests served both times.
const RATIO_PART: f64 = 0.8;
/// Part of the slack that is used together with that part of the ratio.
const SLACK_PART: f64 = 0.5;
/// Part of the ratio up to which calls of repeated runs are sent. What is left covers that the part to which a call is
/// made by a repeated run is a guess.
const RATIO_PART_FOR_CALLS: f64 = 0.9;
/// Part of the slack that is used together with that part of the ratio: what daemons forget when they
/// restart is the rest.
const SLACK_PART_FOR_CALLS: f64 = 0.5;
/// Part of the ratio that a daemon uses at its start; it grows to all within the first window. A daemon that was
/// restarted has forgotten what it sent, and which runs of its endpoint are repeated. With half of the bound, one of 6,000
/// drawn trees broke it, in which 11 of 17 daemons restarted within 8 s; with 0.3 none did.
const PART_AT_START: f64 = 0.3;
/// Parts of a window that are counted together.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The bound for all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBoundSettings {
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
    /// First sends, but for what counts as repeated of them.
    pub first_sends: f64,
    /// Sends after one that reached an endpoint.
    pub retries: f64,
    /// First sends of calls, as far as the runs that made them were repeated.
    pub calls_of_retried_runs: f64,
    /// What both may come to for a request to be sent again.
    pub allowed: f64,
    /// What both may come to for a call of a repeated run to be sent.
    pub allowed_for_calls: f64,
}

impl BoundUse {
    /// Sends beyond the first.
    pub fn used(&self) -> f64 {
        self.retries + self.calls_of_retried_runs
    }

    /// Used part of all that is allowed.
    pub fn used_part(&self) -> f64 {
        if self.used() == 0.0 {
            return 0.0;
        }
        self.used() / self.allowed_for_calls.max(f64::MIN_POSITIVE)
    }
}

/// A first send to a service.
#[derive(Clone, Copy, Debug)]
pub struct FirstSend {
    /// Whether the local endpoint makes it for a request that it runs.
    pub is_likely_nested: bool,
    /// Part to which the run that makes it is repeated, between 0 and 1.
    pub retried_share: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    first_sends: f64,
    retries: f64,
    calls_of_retried_runs: f64,
    nested: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begun: Timestamp,
    counts: Counts,
}

/// First and repeated sends of this daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryBoundSettings,
    daemons: u32,
    /// When it began to count.
    begun: Timestamp,
    services: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// A budget of a daemon that may be the only one, and that starts now.
    pub fn new(terms: RetryBoundSettings, now: Timestamp) -> Self {
        Self {
            terms,
            daemons: 1,
            begun: now,
            services: HashMap::new(),
        }
    }

    /// Notes how many daemons share the slack.
    pub fn share_among(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Notes a first send.
    pub fn record_first(&mut self, now: Timestamp, service: &ServiceName, send: FirstSend) {
        let counts = self.counts(now, service);
        counts.first_sends += 1.0 - send.retried_share;
        counts.calls_of_retried_runs += send.retried_share;
        counts.nested += u32::from(send.is_likely_nested);
    }

    /// Whether the bound has room for the repeated part of a call.
    pub fn has_room_for_call(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        retried_share: f64,
    ) -> bool {
        let bound = self.use_of(now, service);
        bound.used() + retried_share <= bound.allowed_for_calls
    }

    /// Takes one repeated send out of the part of the budget that the request may use, if one is left there.
    pub fn withdraw(&mut self, now: Timestamp, service: &ServiceName, part: f64) -> bool {
        let bound = self.use_of(now, service);
        if bound.used() + 1.0 > bound.allowed * part {
            return false;
        }
        self.counts(now, service).retries += 1.0;
        true
    }

    /// What is used of the bound for each service.
    pub fn uses(&mut self, now: Timestamp) -> Vec<BoundUse> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let uses = services.iter().map(|service| self.use_of(now, service));
        uses.collect()
    }

    /// Largest used part of the bound among the services that the local endpoint calls.
    pub fn used_by_calls(&mut self, now: Timestamp) -> f64 {
        let terms = self.terms;
        let share = self.share(now);
        let parts = self.services.iter_mut().map(|(service, buckets)| {
            drop_old(buckets, now, &terms);
            let counts = sum(buckets, now, terms.window);
            if counts.nested == 0 {
                return 0.0;
            }
            use_of(service, counts, &terms, share).used_part()
        });
        parts.fold(0.0, f64::max)
    }

    /// What is used of the bound for one service.
    pub fn use_of(&mut self, now: Timestamp, service: &ServiceName) -> BoundUse {
        let terms = self.terms;
        let share = self.share(now);
        let counts = self.services.get_mut(service).map(|buckets| {
            drop_old(buckets, now, &terms);
            sum(buckets, now, terms.window)
        });
        use_of(service, counts.unwrap_or_default(), &terms, share)
    }

    fn share(&self, now: Timestamp) -> Share {
        let age = now.since(self.begun);
        let grown = (age.as_secs_f64() / self.terms.window.as_secs_f64()).min(1.0);
        Share {
            daemons: self.daemons,
            part: PART_AT_START + (1.0 - PART_AT_START) * grown,
        }
    }

    /// The counts of now; those that no window can hold any more are dropped.
    fn counts(&mut self, now: Timestamp, service: &ServiceName) -> &mut Counts {
        let length = self.terms.window / BUCKETS_PER_WINDOW;
        let buckets = self.services.entry(service.clone()).or_default();
        drop_old(buckets, now, &self.terms);
        let is_current = buckets.back().is_some_and(|b| now.since(b.begun) < length);
        if !is_current {
            let counts = Counts::default();
            buckets.push_back(Bucket { begun: now, counts });
        }
        let current = buckets.back_mut();
        &mut current
            .expect("a bucket was pushed if there was none")
            .counts
    }
}

fn drop_old(buckets: &mut VecDeque<Bucket>, now: Timestamp, terms: &RetryBoundSettings) {
    let longest = terms.window + terms.window / BUCKETS_PER_WINDOW;
    let is_old = |bucket: &Bucket| now.since(bucket.begun) > longest;
    while buckets.front().is_some_and(is_old) {
        buckets.pop_front();
    }
}

/// Sums over the window: what earns repeats over no more than its length, what uses them up over no less.
fn sum(buckets: &VecDeque<Bucket>, now: Timestamp, window: Duration) -> Counts {
    let mut total = Counts::default();
    for Bucket { begun, counts } in buckets {
        if now.since(*begun) <= window {
            total.first_sends += counts.first_sends;
        }
        total.retries += counts.retries;
        total.calls_of_retried_runs += counts.calls_of_retried_runs;
        total.nested += counts.nested;
    }
    total
}

/// What of the bound is one daemon's.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Daemons that share the slack.
    daemons: u32,
    /// Part that the daemon uses of the ratio.
    part: f64,
}

fn use_of(
    service: &ServiceName,
    counts: Counts,
    terms: &RetryBoundSettings,
    share: Share,
) -> BoundUse {
    let Counts {
        first_sends,
        retries,
        calls_of_retried_runs,
        ..
    } = counts;
    let allowed = |ratio_part: f64, slack_part: f64| {
        let slack = terms.slack * slack_part / f64::from(share.daemons);
        terms.ratio * ratio_part * share.part * first_sends + slack
    };
    BoundUse {
        service: service.clone(),
        first_sends,
        retries,
        calls_of_retried_runs,
        allowed: allowed(RATIO_PART, SLACK_PART),
        allowed_for_calls: allowed(RATIO_PART_FOR_CALLS, SLACK_PART_FOR_CALLS),
    }
}
