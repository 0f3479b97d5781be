//! Counts requests and arrivals at endpoints, and compares them with the bound in every window.

use crate::scenario::{SECONDS, SETTINGS};
use std::fmt;

/// Time between two windows that are checked, in milliseconds.
const STEP_MILLIS: u64 = 100;

/// Arrivals beyond the first of their request and the allowed number, in one window of one service.
#[derive(Clone, Debug)]
pub struct Margin {
    pub service: usize,
    /// End of the window.
    pub end_millis: u64,
    pub extra: usize,
    pub requests: usize,
    pub allowed: f64,
}

impl fmt::Display for Margin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service,
            end_millis,
            extra,
            requests,
            allowed,
        } = self;
        write!(
            formatter,
            "service {service}, window before {end_millis} ms: {extra} beyond the first for {requests} requests, \
             {allowed:.0} allowed"
        )
    }
}

impl Margin {
    pub fn used(&self) -> f64 {
        self.extra as f64 / self.allowed
    }

    pub fn holds(&self) -> bool {
        self.extra as f64 <= self.allowed
    }

    pub fn worst_of(margins: impl Iterator<Item = Margin>) -> Margin {
        let worst = margins.max_by(|one, other| one.used().total_cmp(&other.used()));
        worst.expect("at least one margin")
    }
}

/// Requests and arrivals of one service.
#[derive(Debug, Default)]
struct Counted {
    /// Times of requests made by callers and by runs that are not retries.
    requests: Vec<u64>,
    /// Times of arrivals beyond the first of their request, or of calls of retried runs.
    extra: Vec<u64>,
}

/// Requests and arrivals of all services.
#[derive(Debug)]
pub struct BoundChecker {
    services: Vec<Counted>,
}

impl BoundChecker {
    pub fn new(services: usize) -> Self {
        Self {
            services: (0..services).map(|_| Counted::default()).collect(),
        }
    }

    pub fn request(&mut self, at: u64, service: usize) {
        self.services[service].requests.push(at);
    }

    pub fn extra_arrival(&mut self, at: u64, service: usize) {
        self.services[service].extra.push(at);
    }

    pub fn worst_margin(&self) -> Margin {
        let services = 0..self.services.len();
        Margin::worst_of(services.flat_map(|service| self.margins(service)))
    }

    fn margins(&self, service: usize) -> impl Iterator<Item = Margin> + '_ {
        let window = SETTINGS.window.as_millis() as u64;
        let counted = &self.services[service];
        (0..=SECONDS * 1_000)
            .step_by(STEP_MILLIS as usize)
            .map(move |end| {
                let extra = within(&counted.extra, end, window);
                // The most requests of this window, the one before it and the one half a window earlier.
                let ends = [
                    end,
                    end.saturating_sub(window / 2),
                    end.saturating_sub(window),
                ];
                let requests = ends.map(|end| within(&counted.requests, end, window));
                let requests = requests.into_iter().max().unwrap_or_default();
                Margin {
                    service,
                    end_millis: end,
                    extra,
                    requests,
                    allowed: SETTINGS.ratio * requests as f64 + SETTINGS.slack,
                }
            })
    }
}

/// Number of these times, which are in order, within the window before `end`.
fn within(times: &[u64], end: u64, window: u64) -> usize {
    let begin = end.saturating_sub(window);
    times.partition_point(|at| *at < end) - times.partition_point(|at| *at < begin)
}
