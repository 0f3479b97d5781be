//! Workloads: the kinds of request that a soak's services receive, with their times, sizes, calls and callers.
//!
//! A workload is read from a file ([`file::read`]) or drawn from a seed ([`draw::draw`]).

pub mod demand;
pub mod draw;
pub mod file;

use bramblewheel_platform_client::{Kind, Route, workload_path};
use rand::{Rng, RngExt};
use serde::Deserialize;
use std::time::Duration;

/// A workload.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// Number of services, from 1 to the number of names in [`SERVICES`](bramblewheel_platform_client::SERVICES).
    pub services: usize,
    /// Number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// Time after its start in which an endpoint works half as fast, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Kinds of request.
    #[serde(rename = "kind")]
    pub kinds: Vec<RequestKind>,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Its name, which is part of its path.
    pub name: String,
    /// Index of its service.
    pub service: usize,
    /// Whether a request may run more than once.
    pub may_repeat: bool,
    /// Rank; the most important is 0.
    pub rank: u32,
    /// Time limit of its route, in milliseconds.
    pub timeout_ms: u64,
    /// Time for which its callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// Latency objective of its route, in milliseconds.
    pub objective_ms: u64,
    /// Requests of callers per second and daemon; 0 for a kind that only endpoints call.
    #[serde(default)]
    pub per_second: f64,
    /// Time for which an endpoint works on a request, without its calls, in milliseconds.
    pub work_ms: Spread,
    /// Length of an answer, in bytes.
    pub answer_bytes: Spread,
    /// Length of a request's body, in bytes.
    #[serde(default)]
    pub body_bytes: Spread,
    /// Calls that an endpoint makes for a request.
    #[serde(default)]
    pub calls: Vec<Calls>,
    /// How callers use connections.
    #[serde(default)]
    pub connections: Connections,
    /// Share of the callers that read slowly, between 0 and 1.
    #[serde(default)]
    pub slow_readers: f64,
    /// Share of the callers that send their body slowly, between 0 and 1.
    #[serde(default)]
    pub slow_senders: f64,
}

/// A distribution with a usual range and a long tail.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// Lower bound of the usual range.
    pub least: u64,
    /// Upper bound of the usual range.
    pub most: u64,
    /// Share of values in the long tail, between 0 and 1.
    #[serde(default)]
    pub long_part: f64,
    /// Upper bound of the long tail, which begins at `most`.
    #[serde(default)]
    pub longest: u64,
}

/// Calls that an endpoint makes for one request.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Kind that is called.
    pub kind: String,
    /// Number of calls.
    pub times: u32,
    /// Whether the calls are made concurrently; one after the other otherwise.
    #[serde(default)]
    pub together: bool,
}

/// How callers use connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Connections {
    /// A new connection for each request.
    #[default]
    Fresh,
    /// One connection for one request after the other, used until the daemon closes it.
    Kept,
    /// A pool of connections that are used concurrently.
    Pooled,
}

impl Spread {
    /// A distribution with a single value.
    pub fn exactly(number: u64) -> Self {
        Self {
            least: number,
            most: number,
            ..Self::default()
        }
    }

    /// Mean value.
    pub fn mean(&self) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "bytes and milliseconds of one request"
        )]
        let middle = |from: u64, to: u64| (from as f64 + to as f64) / 2.0;
        let usual = middle(self.least, self.most);
        let long = middle(self.most, self.longest.max(self.most));
        usual * (1.0 - self.long_part) + long * self.long_part
    }

    /// Draws a value.
    pub fn draw(&self, random: &mut impl Rng) -> u64 {
        if self.long_part > 0.0 && random.random_bool(self.long_part) {
            random.random_range(self.most..=self.longest)
        } else {
            random.random_range(self.least..=self.most)
        }
    }
}

impl RequestKind {
    /// Time limit of a request of a caller: the caller's or the route's, whichever is shorter.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.min(self.timeout_ms))
    }

    /// Path of its requests.
    pub fn path(&self) -> String {
        workload_path(&self.name)
    }

    /// Whether its requests may run more than once.
    pub fn repeatability(&self) -> Kind {
        if self.may_repeat {
            Kind::Repeatable
        } else {
            Kind::Once
        }
    }
}

impl Workload {
    /// The workload of plain callers: no kinds of request, short work at two services.
    pub fn plain() -> Self {
        Self {
            name: "plain".to_owned(),
            services: 2,
            slots: 16,
            cold_ms: 0,
            kinds: Vec::new(),
        }
    }

    /// Probability that an endpoint refuses a request; the same holds for failing it and for truncating its answer.
    /// Lower where requests make calls: a tree of a dozen calls fails if any one of them does.
    pub fn fault_probability(&self) -> f64 {
        if self.kinds.is_empty() { 0.01 } else { 0.001 }
    }

    /// The routes of all kinds.
    pub fn routes(&self) -> Vec<Route> {
        let route = |kind: &RequestKind| Route {
            prefix: kind.path(),
            kind: kind.repeatability(),
            service: kind.service,
            timeout_ms: kind.timeout_ms,
            objective_ms: kind.objective_ms,
            rank: kind.rank,
        };
        self.kinds.iter().map(route).collect()
    }

    /// Returns the kind of the given name.
    pub fn kind(&self, name: &str) -> Option<&RequestKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }
}
