//! A daemon: the real engine, driven by simulated messages and timers instead of the tokio shell.

mod attempts;
mod calls;
mod directory;
mod dispatch;
mod doubles;
mod drive;
mod inbound;

use super::ledger_client::LedgerClient;
use super::sessions::Sessions;
use super::{LayerOptions, RequestActor};
use crate::kernel::{Context, ProcessId, Purpose, Streams};
use crate::requests::connections::Connections;
use crate::requests::content::Content;
use crate::requests::double::UnsafeDouble;
use crate::requests::endpoint::{RunKey, RunRequest};
use crate::requests::message::{CallerAnswer, SendId};
use crate::requests::topology::{EndpointIndex, Topology, ZoneIndex};
use attempts::OutAttempt;
use bramblewheel_bundle::Bundle;
use bramblewheel_core::engine::{Engine, EngineConfig, LocalEndpoint};
use bramblewheel_core::event::Event;
use bramblewheel_types::{AttemptId, CallId, DaemonId, Timestamp};
use calls::OutCall;
use rand::Rng;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Time-out of a claim; same value as in the real daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// A simulated daemon.
pub struct DaemonLayer {
    engine: Engine,
    bundle: Arc<Bundle>,
    endpoint: Option<EndpointIndex>,
    events: VecDeque<Event>,
    armed: Timestamp,
    calls: HashMap<CallId, OutCall>,
    sends: HashMap<SendId, CallId>,
    next_call: u64,
    attempts: HashMap<AttemptId, OutAttempt>,
    connections: Connections<ProcessId, AttemptId>,
    /// Number of starts of each other process when it was last called.
    last_seen_starts: HashMap<ProcessId, Option<u32>>,
    /// Unanswered inbound attempts: the waiting process and the request.
    inbound: HashMap<AttemptId, (ProcessId, RunRequest)>,
    runs: HashMap<AttemptId, RunKey>,
    ledger: LedgerClient,
    sessions: Sessions,
    /// Bodies of the answers that are being handled, by attempt.
    bodies: HashMap<AttemptId, Content>,
    double: Option<UnsafeDouble>,
    parked_refusals: Vec<(ProcessId, CallerAnswer)>,
    /// Time from the end of a planned stop to the restart; set when the stop begins.
    restarts_after: Option<Duration>,
}

impl DaemonLayer {
    /// Creates a daemon that starts now.
    pub(super) fn new(
        topology: &Topology,
        zone: ZoneIndex,
        endpoint: Option<EndpointIndex>,
        bundle: Arc<Bundle>,
        options: &LayerOptions,
        context: &mut Context<'_, RequestActor>,
    ) -> Self {
        let local = endpoint.map(|index| {
            let endpoint = &topology.endpoints[index.0];
            LocalEndpoint {
                endpoint: endpoint.name.clone(),
                service: topology.services[endpoint.service.0].name.clone(),
            }
        });
        let zone_name = topology.zones[zone.0].clone();
        let name = match &local {
            Some(local) => local.endpoint.to_string(),
            None => format!("gateway-{zone_name}"),
        };
        let daemon =
            DaemonId::new(&name).expect("endpoint and zone names give a valid daemon name");
        let is_tied = options.double == Some(UnsafeDouble::SessionTiedToDaemon);
        let sessions = Sessions::new(zone_name.clone(), is_tied);
        let [engine_seed, ledger_seed] = seeds(options, context);
        let config = EngineConfig {
            daemon,
            zone: zone_name,
            endpoint: local,
            seed: engine_seed,
            claim_timeout: CLAIM_TIMEOUT,
        };
        Self {
            engine: Engine::new(config),
            bundle,
            endpoint,
            events: VecDeque::new(),
            armed: Timestamp::NEVER,
            calls: HashMap::new(),
            sends: HashMap::new(),
            next_call: 0,
            attempts: HashMap::new(),
            connections: Connections::default(),
            last_seen_starts: HashMap::new(),
            inbound: HashMap::new(),
            runs: HashMap::new(),
            ledger: LedgerClient::new(options.replicas, ledger_seed),
            sessions,
            bodies: HashMap::new(),
            double: options.double,
            parked_refusals: Vec::new(),
            restarts_after: None,
        }
    }
}

/// Seeds of a daemon's engine and of its ledger client, which uses its seed as incarnation.
fn seeds(options: &LayerOptions, context: &mut Context<'_, RequestActor>) -> [u64; 2] {
    let Some(seed) = options.seed else {
        return [context.random().next_u64(), context.random().next_u64()];
    };
    let start = Purpose::Other(context.starts());
    let of_start = Streams::new(seed).stream(start).next_u64();
    let process = Purpose::Process(context.process().0);
    let mut random = Streams::new(of_start).stream(process);
    [random.next_u64(), random.next_u64()]
}
