//! Retry budgets: how much of the fleet-wide bound on retries this daemon may use for each service.
//!
//! Rule: in any window, all daemons together send a service at most `ratio` times its first sends plus a fixed `slack`
//! beyond the first send of each request. Each daemon uses the ratio on its own first sends and an equal share of the
//! slack, so that the sum stays below the bound without any exchange, however requests are spread.
//!
//! Inputs: this daemon's first sends and retries to each service, counted over the window that ends now; the retried
//! share of each first send (0 to 1, [`FirstSend::retried_share`]); the number of daemons (from the directory, as of
//! its last update); the settings.
//!
//! Reason: a run that is retried makes its calls again, and each of them is a send beyond the first at the service it
//! goes to. A first send therefore counts as a retry by its retried share, and only the rest of it earns retries. If
//! such calls counted as first sends, each service would keep its own bound while a service downstream of all of them
//! would receive the sum: 2,007 arrivals beyond the first where 1,828 were allowed, of which the callers' daemons had
//! counted about 1,200.
//!
//! State: the counts. The retried share comes from [`crate::running_requests`].
//!
//! Observability: metrics `bramblewheel_retry_bound_used` and `bramblewheel_retry_bound_allowed` (sends, by service),
//! log line `retry bound` (`first_sends`, `repeats`, `calls_of_repeats`, `allowed`, `allowed_for_calls`), once a second
//! while anything is used.

mod window;

use bramblewheel_types::{ServiceName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;
use window::{Counts, Window};

/// Parts of its share of the bound that a daemon uses for one kind of send.
struct AllowedParts {
    /// Part of the ratio, 0 to 1.
    ratio: f64,
    /// Part of the daemon's share of the slack, 0 to 1.
    slack: f64,
}

/// For retries. The rest is left for calls of runs that were already being retried when the bound was nearly used up.
///
/// Of 2,000 random call trees (`tests/repeat_bound`), 3 exceeded the bound with 0.85 of the ratio and one with 0.8;
/// 0.603 of the callers' requests were served both times.
const FOR_RETRIES: AllowedParts = AllowedParts {
    ratio: 0.8,
    slack: 0.5,
};
/// For calls of retried runs. The rest of the ratio allows for errors, since the retried share of a call is inferred;
/// the rest of the slack allows for what daemons forget when they restart.
const FOR_CALLS: AllowedParts = AllowedParts {
    ratio: 0.9,
    slack: 0.5,
};
/// Part of the ratio that a daemon uses at its start, 0 to 1; it grows to 1 within the first window. A restarted daemon
/// has forgotten what it sent, and which runs of its endpoint are retries.
///
/// Of 6,000 random call trees one exceeded the bound with 0.5, in which 11 of 17 daemons restarted within 8 s; none did
/// with 0.3.
const RATIO_PART_AT_START: f64 = 0.3;

/// The bound on the retries of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBoundSettings {
    /// Sends beyond the first that are allowed per first send.
    pub ratio: f64,
    /// Further sends beyond the first that are allowed in each window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// How much of its part of the bound a daemon has used for one service, in the window that ends now. Unit: sends.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundUse {
    /// The service.
    pub service: ServiceName,
    /// First sends, less their retried shares.
    pub first_sends: f64,
    /// Sends after an earlier one that reached an endpoint, or may have.
    pub retries: f64,
    /// Retried shares of first sends: calls of runs that were retried.
    pub calls_of_retried_runs: f64,
    /// Limit on the sum of both for a request to be retried.
    pub allowed: f64,
    /// Limit on the sum of both for a call of a retried run to be sent.
    pub allowed_for_calls: f64,
}

impl BoundUse {
    /// Sends beyond the first.
    pub fn used(&self) -> f64 {
        self.retries + self.calls_of_retried_runs
    }

    /// Used part of the limit for calls, 0 to 1 or slightly more; this is reported upstream.
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
    /// Whether a request that the local endpoint runs likely made it.
    pub is_likely_nested: bool,
    /// Retried share of the run that makes it, 0 to 1.
    pub retried_share: f64,
}

/// First sends and retries of this daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBoundSettings,
    daemons: u32,
    /// When counting began.
    begun: Timestamp,
    services: HashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// A budget that starts now, with the whole slack until [`set_daemon_count`](Self::set_daemon_count) is called.
    pub fn new(settings: RetryBoundSettings, now: Timestamp) -> Self {
        Self {
            settings,
            daemons: 1,
            begun: now,
            services: HashMap::new(),
        }
    }

    /// Sets how many daemons share the slack; 0 counts as 1.
    pub fn set_daemon_count(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Counts a first send.
    pub fn record_first(&mut self, now: Timestamp, service: &ServiceName, send: FirstSend) {
        let counts = self.counts(now, service);
        counts.first_sends += 1.0 - send.retried_share;
        counts.calls_of_retried_runs += send.retried_share;
        counts.nested += u32::from(send.is_likely_nested);
    }

    /// Whether the bound allows a call with this retried share (0 to 1).
    pub fn allows_call(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        retried_share: f64,
    ) -> bool {
        let bound = self.use_of(now, service);
        bound.used() + retried_share <= bound.allowed_for_calls
    }

    /// Counts one retry if it fits into `part` (0 to 1) of the limit; returns whether it does.
    pub fn withdraw(&mut self, now: Timestamp, service: &ServiceName, part: f64) -> bool {
        let bound = self.use_of(now, service);
        if bound.used() + 1.0 > bound.allowed * part {
            return false;
        }
        self.counts(now, service).retries += 1.0;
        true
    }

    /// Use of the bound for each service.
    pub fn uses(&mut self, now: Timestamp) -> Vec<BoundUse> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let uses = services.iter().map(|service| self.use_of(now, service));
        uses.collect()
    }

    /// Largest used part of the bound among the services that the local endpoint calls.
    pub fn used_by_calls(&mut self, now: Timestamp) -> f64 {
        let settings = self.settings;
        let share = self.share(now);
        let parts = self.services.iter_mut().map(|(service, window)| {
            let counts = window.sum(now, settings.window);
            if counts.nested == 0 {
                return 0.0;
            }
            share.use_of(service, counts, &settings).used_part()
        });
        parts.fold(0.0, f64::max)
    }

    /// Use of the bound for one service.
    pub fn use_of(&mut self, now: Timestamp, service: &ServiceName) -> BoundUse {
        let settings = self.settings;
        let share = self.share(now);
        let window = self.services.get_mut(service);
        let counts = window.map(|window| window.sum(now, settings.window));
        share.use_of(service, counts.unwrap_or_default(), &settings)
    }

    fn share(&self, now: Timestamp) -> DaemonShare {
        let age = now.since(self.begun);
        let grown = (age.as_secs_f64() / self.settings.window.as_secs_f64()).min(1.0);
        DaemonShare {
            daemons: self.daemons,
            ratio_part: RATIO_PART_AT_START + (1.0 - RATIO_PART_AT_START) * grown,
        }
    }

    fn counts(&mut self, now: Timestamp, service: &ServiceName) -> &mut Counts {
        let window = self.services.entry(service.clone()).or_default();
        window.current(now, self.settings.window)
    }
}

/// One daemon's share of the bound.
#[derive(Clone, Copy, Debug)]
struct DaemonShare {
    /// Daemons that share the slack.
    daemons: u32,
    /// Part of the ratio that the daemon uses, 0 to 1; below 1 just after its start.
    ratio_part: f64,
}

impl DaemonShare {
    fn use_of(
        &self,
        service: &ServiceName,
        counts: Counts,
        settings: &RetryBoundSettings,
    ) -> BoundUse {
        let allowed = |parts: AllowedParts| {
            let slack = settings.slack * parts.slack / f64::from(self.daemons);
            settings.ratio * parts.ratio * self.ratio_part * counts.first_sends + slack
        };
        BoundUse {
            service: service.clone(),
            first_sends: counts.first_sends,
            retries: counts.retries,
            calls_of_retried_runs: counts.calls_of_retried_runs,
            allowed: allowed(FOR_RETRIES),
            allowed_for_calls: allowed(FOR_CALLS),
        }
    }
}
