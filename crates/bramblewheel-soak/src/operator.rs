//! Operators that change the configuration one after the other, sometimes two at once, and send a change again
//! when its outcome is unclear.

use crate::fleet::Addresses;
use crate::history::{History, Order, Read};
use crate::plan::Machine;
use crate::traffic::{Answer, Call, NoAnswer, send};
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Longest wait for the answer to a change or read.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause after a change whose outcome is unclear.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Share of the answers that the operator ignores, as if they were lost.
const LOST_ANSWER_PROBABILITY: f64 = 0.1;
/// Number of earlier versions whose routes a configuration keeps besides its own.
const KEPT_VERSIONS: usize = 30;

/// The operators of a soak.
#[derive(Debug)]
pub struct Operators {
    history: History,
    addresses: Addresses,
    replicas: usize,
    random: Pcg64Mcg,
    /// Newest version that was acknowledged or read.
    current: u64,
    kept_versions: Vec<u64>,
    /// Routes that are part of every configuration.
    routes: Vec<wire::Route>,
    /// Tenants of every configuration.
    tenants: &'static [wire::Tenant],
}

/// Outcome of sending a change.
enum Outcome {
    Acknowledged,
    Refused,
    Unclear,
}

impl Operators {
    /// Creates the operators of a control group.
    pub fn new(
        history: History,
        addresses: Addresses,
        replicas: usize,
        seed: u64,
        routes: Vec<wire::Route>,
        tenants: &'static [wire::Tenant],
    ) -> Self {
        Self {
            history,
            addresses,
            replicas,
            random: Pcg64Mcg::seed_from_u64(seed),
            current: 0,
            kept_versions: Vec::new(),
            routes,
            tenants,
        }
    }

    /// Makes one change, or two at once that build on the same version.
    pub async fn change(&mut self) {
        let is_race = self.random.random_bool(0.3);
        let step = self.random.random_range(1..4);
        let version = self.current + step;
        let first = self.add_order(version, "anna");
        if !is_race {
            return self.send_until_settled(first).await;
        }
        let second = self.add_order(version, "bjorn");
        let (one, other) = (self.pick_replica(), self.pick_replica());
        let (one, other) = tokio::join!(self.send(one, first), self.send(other, second));
        // Both outcomes are recorded, so that the check finds a group that acknowledges both.
        let is_first_acknowledged = self.record_outcome(first, &one);
        let is_second_acknowledged = self.record_outcome(second, &other);
        if is_first_acknowledged || is_second_acknowledged {
            return;
        }
        self.send_until_settled(first).await;
        self.send_until_settled(second).await;
    }

    fn add_order(&mut self, version: u64, author: &str) -> usize {
        let text = wire::configuration(
            version,
            &self.kept_versions,
            author,
            &self.routes,
            self.tenants,
        );
        let orders = &mut self.history.events().orders;
        orders.push(Order {
            version,
            parent: self.current,
            text,
            acknowledged: None,
            is_refused: false,
        });
        orders.len() - 1
    }

    fn pick_replica(&mut self) -> usize {
        self.random.random_range(0..self.replicas)
    }

    /// Sends a change until it is acknowledged or refused; gives up after `MAX_ATTEMPTS`.
    async fn send_until_settled(&mut self, number: usize) {
        const MAX_ATTEMPTS: u32 = 30;
        for _ in 0..MAX_ATTEMPTS {
            let replica = self.pick_replica();
            let outcome = self.send(replica, number).await;
            let is_lost = self.random.random_bool(LOST_ANSWER_PROBABILITY);
            if !is_lost {
                self.record_outcome(number, &outcome);
                if !matches!(outcome, Outcome::Unclear) {
                    return;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn send(&self, replica: usize, number: usize) -> Outcome {
        let (parent, text) = {
            let events = self.history.events();
            let order = &events.orders[number];
            (wire::version_text(order.parent), order.text.clone())
        };
        let call = Call {
            method: Method::POST,
            path: wire::REPLACE,
            headers: &[
                (wire::IF_VERSION, parent.as_str()),
                ("content-type", "application/json"),
            ],
            body: Bytes::from(text),
        };
        let address = self.addresses.admin(Machine::Control(replica));
        match send(address, call, ANSWER_TIMEOUT).await {
            Ok(answer) if answer.status == StatusCode::OK => Outcome::Acknowledged,
            Ok(answer) if answer.status.is_client_error() => Outcome::Refused,
            _ => Outcome::Unclear,
        }
    }

    /// Records the outcome of a change; returns whether it was acknowledged.
    fn record_outcome(&mut self, number: usize, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Acknowledged => {
                self.history.record_acknowledgement(number);
                let version = self.history.events().orders[number].version;
                self.record_version(version);
                true
            }
            Outcome::Refused => {
                self.history.events().orders[number].is_refused = true;
                false
            }
            Outcome::Unclear => false,
        }
    }

    fn record_version(&mut self, version: u64) {
        if version <= self.current {
            return;
        }
        self.current = version;
        self.kept_versions.push(version);
        if self.kept_versions.len() > KEPT_VERSIONS {
            self.kept_versions.remove(0);
        }
    }

    /// Newest version that was acknowledged or read.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Reads the configuration from a random replica; this also shows the outcome of an unclear change. Returns whether
    /// the read succeeded.
    pub async fn read(&mut self) -> bool {
        let replica = self.pick_replica();
        let sent = self.history.now();
        let Ok(answer) = fetch(self.addresses, replica, ANSWER_TIMEOUT).await else {
            return false;
        };
        if answer.status != StatusCode::OK {
            return false;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if let Some(version) = wire::version_of(&text) {
            self.record_version(version);
        }
        self.history.events().reads.push(Read { sent, text });
        true
    }
}

/// Requests the configuration from one replica.
pub(crate) async fn fetch(
    addresses: Addresses,
    replica: usize,
    time_limit: Duration,
) -> Result<Answer, NoAnswer> {
    let call = Call {
        method: Method::GET,
        path: wire::READ,
        headers: &[],
        body: Bytes::new(),
    };
    send(addresses.admin(Machine::Control(replica)), call, time_limit).await
}
