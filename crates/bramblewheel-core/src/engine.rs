//! The decisions of one daemon: takes events and the time, returns actions.

use crate::action::Action;
use crate::event::Event;
use bramblewheel_types::{DaemonId, EndpointId, ServiceName, Timestamp, ZoneName};
use std::time::Duration;

/// What an engine is told at its start.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// The local endpoint, or none for a gateway.
    pub endpoint: Option<LocalEndpoint>,
    /// Seed of the engine's own random choices; also makes its ids differ from other daemons'.
    pub seed: u64,
    /// How long an unanswered claim is waited for before the answer is given up.
    pub claim_timeout: Duration,
}

/// The endpoint that a daemon stands beside.
#[derive(Clone, Debug)]
pub struct LocalEndpoint {
    /// Its name.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
}

impl Engine {
    /// Creates an engine that is not ready until a bundle is installed.
    pub fn new(config: EngineConfig) -> Self {
        Self { config }
    }

    /// What the engine was told at its start.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let _ = (now, event, actions);
    }

    /// When [`Event::Tick`] is due next, if at all.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
}
