//! What stands between callers and endpoints: nothing, a naive layer, or bramblewheel.

pub mod daemon;
pub mod direct;
mod ledger_client;
mod sessions;

use super::actor::RequestActor;
use super::double::UnsafeDouble;
use super::endpoint::{EndpointAction, EndpointModel, RunKey, RunRequest};
use super::host::SlotUse;
use super::message::{Message, Timer};
use super::process_layout::ProcessLayout;
use super::record::Record;
use super::topology::{EndpointIndex, Topology, ZoneIndex};
use crate::kernel::{Context, ProcessId};
use bramblewheel_bundle::Bundle;
use bramblewheel_core::event::DirectoryUpdate;
use daemon::DaemonLayer;
use direct::{DirectLayer, DirectSettings};
use std::sync::Arc;
use std::time::Duration;

/// Which layer a run uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LayerKind {
    /// Callers and endpoints choose an endpoint at random, once.
    None,
    /// Three tries at each hop, random routing, first in first out.
    Naive,
    /// The engines of bramblewheel.
    Bramblewheel,
}

impl LayerKind {
    /// All kinds, worst first.
    pub const ALL: [Self; 3] = [Self::None, Self::Naive, Self::Bramblewheel];

    /// Whether callers send to the gateway of their zone.
    pub const fn has_gateways(self) -> bool {
        !matches!(self, Self::None)
    }
}

/// A layer and what it is told at its start.
#[derive(Clone, Debug)]
pub struct LayerSettings {
    /// Which layer.
    pub kind: LayerKind,
    /// Bundle in force; only bramblewheel looks at it.
    pub bundle: Arc<Bundle>,
}

impl LayerSettings {
    pub(super) fn build(
        &self,
        topology: &Topology,
        zone: ZoneIndex,
        endpoint: Option<EndpointIndex>,
        options: &LayerOptions,
        context: &mut Context<'_, RequestActor>,
    ) -> Box<dyn Layer> {
        match self.kind {
            LayerKind::None => Box::new(DirectLayer::new(DirectSettings::NONE)),
            LayerKind::Naive => Box::new(DirectLayer::new(DirectSettings::NAIVE)),
            LayerKind::Bramblewheel => Box::new(DaemonLayer::new(
                topology,
                zone,
                endpoint,
                Arc::clone(&self.bundle),
                options,
                context,
            )),
        }
    }
}

/// What the layer of a scenario is told beside its settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct LayerOptions {
    /// What is wrong with it.
    pub double: Option<UnsafeDouble>,
    /// Control replicas that keep the ledger; 0 for the single process that stands for them.
    pub replicas: u32,
    /// Seed of the daemons' own draws, if they must not depend on those of their endpoints.
    pub seed: Option<u64>,
}

/// Something that happens to a layer from outside of the simulated world.
#[derive(Clone, Debug)]
pub enum Instruction {
    /// A bundle comes into force.
    Install(Arc<Bundle>),
    /// The directory says something new.
    Directory(DirectoryUpdate),
    /// New sessions are signed with the key of this number; older ones stay known.
    SignSessionsWith(u32),
    /// A planned stop; the process is started again after a while.
    StopPlanned {
        /// Time from its end to its next start.
        down: Duration,
    },
}

/// What layers count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LayerCounters {
    /// Calls by callers and endpoints.
    pub calls: u64,
    /// Tries of them that were sent.
    pub attempts: u64,
}

impl std::ops::AddAssign for LayerCounters {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.attempts += other.attempts;
    }
}

/// What a layer can do while it handles an event.
pub struct Environment<'a, 'b> {
    pub(super) context: &'a mut Context<'b, RequestActor>,
    pub(super) topology: &'a Topology,
    pub(super) layout: ProcessLayout,
    pub(super) endpoint_index: Option<EndpointIndex>,
    pub(super) endpoint: Option<&'a mut EndpointModel>,
    pub(super) actions: &'a mut Vec<EndpointAction>,
    pub(super) counters: &'a mut LayerCounters,
    pub(super) slot_uses: &'a mut Vec<SlotUse>,
}

impl Environment<'_, '_> {
    /// Hands a request to the endpoint; `None` if it does not take it.
    pub(super) fn run(&mut self, request: RunRequest) -> Option<RunKey> {
        let now = self.context.now();
        let endpoint = self.endpoint.as_mut()?;
        endpoint.accept(now, request, self.context.random(), self.actions)
    }

    /// Stops a request at the endpoint.
    pub(super) fn cancel_run(&mut self, run: RunKey) {
        let now = self.context.now();
        let Some(endpoint) = self.endpoint.as_mut() else {
            return;
        };
        let found = endpoint.run(run).map(|run| (run.id, run.request.request));
        let Some((id, request)) = found else {
            return;
        };
        let held = endpoint.cancel(now, run, self.context.random(), self.actions);
        if let Some(held) = held {
            self.record_at_endpoint(|endpoint| Record::Stopped { endpoint, run: id });
            let ended = self.context.virtual_now();
            self.slot_uses.push(SlotUse {
                request,
                ended,
                held,
            });
        }
    }

    /// Records something that concerns the local endpoint; a gateway records nothing.
    pub(super) fn record_at_endpoint(&mut self, record: impl FnOnce(EndpointIndex) -> Record) {
        if let Some(endpoint) = self.endpoint_index {
            self.context.record(record(endpoint));
        }
    }

    /// Tells the endpoint how a sub-call ended.
    pub(super) fn end_sub_call(&mut self, run: RunKey, is_success: bool) {
        let now = self.context.now();
        if let Some(endpoint) = self.endpoint.as_mut() {
            endpoint.sub_call_ended(now, run, is_success, self.context.random(), self.actions);
        }
    }
}

/// One machine's part of a layer.
pub trait Layer {
    /// The machine starts.
    fn start(&mut self, environment: &mut Environment<'_, '_>);

    /// A message arrives.
    fn receive(&mut self, environment: &mut Environment<'_, '_>, from: ProcessId, message: Message);

    /// A timer is due.
    fn timer(&mut self, environment: &mut Environment<'_, '_>, timer: Timer);

    /// A message reached a machine that is down.
    fn undelivered(
        &mut self,
        environment: &mut Environment<'_, '_>,
        to: ProcessId,
        message: Message,
    );

    /// The local endpoint asks for a sub-call.
    fn sub_call(&mut self, environment: &mut Environment<'_, '_>, run: RunKey, position: usize);

    /// The local endpoint ended a request.
    fn run_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        run: RunKey,
        request: &RunRequest,
        is_success: bool,
    );

    /// Something happens to the layer from outside of the simulated world.
    fn instruct(&mut self, _environment: &mut Environment<'_, '_>, _instruction: Instruction) {}
}
