//! A foreign sender: sends a daemon heartbeats that don't come from the endpoint beside it, and deregistrations of
//! endpoints beside other daemons.
//!
//! The soak's seed and the step determine the messages, which are derived from the identities of running endpoints.

use crate::endpoint::EndpointIdentity;
use crate::endpoint_interface;
use crate::fleet::service_of;
use crate::history::ForeignMessage;
use crate::plan::{Machine, Step};
use crate::run::Soak;
use bramblewheel_platform_client as wire;
use bramblewheel_platform_client::Heartbeat;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two foreign messages.
const MESSAGE_PERIOD: Duration = Duration::from_millis(40);
/// How far the sequence number of a [`Sequence::FarAhead`] heartbeat is ahead of the endpoint's own.
const FAR_AHEAD: u64 = 1_000_000;
/// How much later than the endpoint's own the start time of a [`Start::Later`] heartbeat is, in milliseconds.
const LATER_START_MILLIS: u64 = 600_000;
/// Slots that a foreign heartbeat reports.
const REPORTED_SLOTS: u32 = 4_000_000_000;
/// On average, one in this many messages is a deregistration of an endpoint beside another daemon.
const MESSAGES_PER_DEREGISTRATION: u32 = 8;

/// Which foreign messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignMessages {
    /// Heartbeats, and deregistrations of endpoints beside other daemons.
    All,
    /// Heartbeats only: control replicas that don't check which daemon reports the end of an endpoint accept such
    /// deregistrations.
    Heartbeats,
}

/// Endpoint whose id a heartbeat carries.
#[derive(Clone, Copy, Debug)]
enum Id {
    Own,
    Elsewhere,
    Unknown,
}

/// Start time that a heartbeat carries, relative to the endpoint's own.
#[derive(Clone, Copy, Debug)]
enum Start {
    Missing,
    Earlier,
    Same,
    Later,
}

/// Sequence number of a heartbeat, relative to the endpoint's own.
#[derive(Clone, Copy, Debug)]
enum Sequence {
    Behind,
    Next,
    FarAhead,
}

/// Form of a foreign heartbeat; its Debug text is the evidence when a daemon acknowledges one.
#[derive(Clone, Copy, Debug)]
struct Form {
    service: &'static str,
    id: Id,
    start: Start,
    sequence: Sequence,
    has_own_address: bool,
    state: &'static str,
}

/// Picks a random value of a list.
fn one_of<T: Copy>(random: &mut Pcg64Mcg, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

impl Form {
    fn draw(random: &mut Pcg64Mcg, other_service: &'static str) -> Self {
        Self {
            service: one_of(random, &[wire::UNKNOWN_SERVICE, other_service]),
            id: one_of(random, &[Id::Own, Id::Elsewhere, Id::Unknown]),
            start: one_of(
                random,
                &[Start::Missing, Start::Earlier, Start::Same, Start::Later],
            ),
            sequence: one_of(
                random,
                &[Sequence::Behind, Sequence::Next, Sequence::FarAhead],
            ),
            has_own_address: random.random_bool(0.5),
            state: one_of(random, &["ready", "draining"]),
        }
    }

    fn id(self, own: &EndpointIdentity, elsewhere: &EndpointIdentity, number: u64) -> String {
        match self.id {
            Id::Own => own.id.clone(),
            Id::Elsewhere => elsewhere.id.clone(),
            Id::Unknown => format!("w-{number}"),
        }
    }

    fn started(self, named: &EndpointIdentity) -> Option<u64> {
        match self.start {
            Start::Missing => None,
            Start::Earlier => Some(1),
            Start::Same => Some(named.started_unix_millis),
            Start::Later => Some(named.started_unix_millis + LATER_START_MILLIS),
        }
    }

    fn sequence(self, named: &EndpointIdentity) -> u64 {
        match self.sequence {
            Sequence::Behind => 0,
            Sequence::Next => named.sequence + 1,
            Sequence::FarAhead => named.sequence + FAR_AHEAD,
        }
    }
}

/// A foreign message, ready to be sent.
struct Message {
    is_deregistration: bool,
    form: String,
    path: String,
    body: String,
}

impl Message {
    fn draw(
        random: &mut Pcg64Mcg,
        own: &EndpointIdentity,
        elsewhere: &EndpointIdentity,
        other_service: &'static str,
    ) -> Self {
        if random.random_ratio(1, MESSAGES_PER_DEREGISTRATION) {
            return Self {
                is_deregistration: true,
                form: "deregistration of an endpoint elsewhere".to_owned(),
                path: wire::deregister_path(&elsewhere.id),
                body: wire::deregistration_body(elsewhere.started_unix_millis),
            };
        }
        let form = Form::draw(random, other_service);
        let named = match form.id {
            Id::Elsewhere => elsewhere,
            Id::Own | Id::Unknown => own,
        };
        let heartbeat = Heartbeat {
            service: form.service,
            address: if form.has_own_address {
                own.address
            } else {
                elsewhere.address
            },
            zone: "north",
            slots: REPORTED_SLOTS,
            state: form.state,
            sequence: form.sequence(named),
            started: form.started(named),
        };
        Self {
            is_deregistration: false,
            form: format!("{form:?}"),
            path: wire::heartbeat_path(&form.id(own, elsewhere, random.random())),
            body: heartbeat.body(),
        }
    }
}

impl Soak {
    /// Sends foreign messages to a daemon for the duration of the step.
    pub(crate) async fn send_foreign_heartbeats(&self, daemon: usize, step: Step) {
        let at = u64::try_from(step.at.as_millis()).unwrap_or(u64::MAX);
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ at.rotate_left(16));
        let end = Instant::now() + step.lasts;
        while Instant::now() < end {
            tokio::time::sleep(MESSAGE_PERIOD).await;
            let elsewhere = (daemon + random.random_range(1..self.daemons.max(2))) % self.daemons;
            let own = self.identity_beside(daemon).await;
            let elsewhere = self.identity_beside(elsewhere).await;
            let (Some(own), Some(elsewhere)) = (own, elsewhere) else {
                continue;
            };
            let other_service = service_of(daemon + 1, self.services());
            let message = Message::draw(&mut random, &own, &elsewhere, other_service);
            if message.is_deregistration && self.foreign_messages == ForeignMessages::Heartbeats {
                continue;
            }
            self.send_foreign(daemon, message).await;
        }
    }

    async fn identity_beside(&self, daemon: usize) -> Option<EndpointIdentity> {
        let endpoint = self.endpoints[daemon].lock().await;
        endpoint.as_ref().map(|endpoint| endpoint.identity())
    }

    async fn send_foreign(&self, daemon: usize, message: Message) {
        let admin = self.addresses.admin(Machine::Daemon(daemon));
        let is_acknowledged = endpoint_interface::post(admin, &message.path, message.body).await;
        self.history.events().foreign.push(ForeignMessage {
            daemon,
            form: message.form,
            is_acknowledged,
        });
    }
}
