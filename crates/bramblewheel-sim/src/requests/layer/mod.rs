//! The layer between callers and endpoints: none, a naive one, or bramblewheel.

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

/// Kind of layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LayerKind {
    /// Random routing, one attempt per call.
    None,
    /// Random routing, up to three attempts at each hop, first-in first-out queues.
    Naive,
    /// The engines of bramblewheel.
    Bramblewheel,
}

impl LayerKind {
    /// All kinds, from no protection to the most.
    pub const ALL: [Self; 3] = [Self::None, Self::Naive, Self::Bramblewheel];

    /// Whether callers send to the gateway of their zone.
    pub const fn has_gateways(self) -> bool {
        !matches!(self, Self::None)
    }
}

/// A layer and its configuration.
#[derive(Clone, Debug)]
pub struct LayerSettings {
    /// Kind of layer.
    pub kind: LayerKind,
    /// Bundle in force; used by bramblewheel only.
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

/// Further options of a layer.
#[derive(Clone, Copy, Debug, Default)]
pub struct LayerOptions {
    /// Unsafe double to use instead of the correct daemon.
    pub double: Option<UnsafeDouble>,
    /// Number of control replicas that hold the ledger; 0 for the single ledger process.
    pub replicas: u32,
    /// Seed of the daemons' draws, if they must not depend on the draws of their endpoints.
    pub seed: Option<u64>,
}

/// An instruction of the scenario to a layer.
#[derive(Clone, Debug)]
pub enum Instruction {
    /// A bundle comes into force.
    Install(Arc<Bundle>),
    /// The directory changes.
    Directory(DirectoryUpdate),
    /// New sessions are signed with the key of this number; older sessions stay valid.
    SignSessionsWith(u32),
    /// A planned stop, followed by a restart.
    StopPlanned {
        /// Time from the end of the stop to the restart.
        downtime: Duration,
    },
}

/// Counters of a layer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LayerCounters {
    /// Calls made by callers and endpoints.
    pub calls: u64,
    /// Attempts of these calls that were sent.
    pub attempts: u64,
}

impl std::ops::AddAssign for LayerCounters {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.attempts += other.attempts;
    }
}

/// Access of a layer to its machine while it handles an event.
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
    /// Passes a request to the endpoint; `None` if the endpoint does not accept it.
    pub(super) fn run(&mut self, request: RunRequest) -> Option<RunKey> {
        let now = self.context.now();
        let endpoint = self.endpoint.as_mut()?;
        endpoint.accept(now, request, self.context.random(), self.actions)
    }

    /// Cancels a run of the endpoint.
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

    /// Adds a record about the local endpoint to the history; does nothing on a gateway.
    pub(super) fn record_at_endpoint(&mut self, record: impl FnOnce(EndpointIndex) -> Record) {
        if let Some(endpoint) = self.endpoint_index {
            self.context.record(record(endpoint));
        }
    }

    /// Reports the end of a sub-call to the endpoint.
    pub(super) fn end_sub_call(&mut self, run: RunKey, is_success: bool) {
        let now = self.context.now();
        if let Some(endpoint) = self.endpoint.as_mut() {
            endpoint.sub_call_ended(now, run, is_success, self.context.random(), self.actions);
        }
    }
}

/// One machine's part of a layer.
pub trait Layer {
    /// Handles the start of the machine.
    fn start(&mut self, environment: &mut Environment<'_, '_>);

    /// Handles a message.
    fn receive(&mut self, environment: &mut Environment<'_, '_>, from: ProcessId, message: Message);

    /// Handles a timer.
    fn timer(&mut self, environment: &mut Environment<'_, '_>, timer: Timer);

    /// Handles a message that could not be delivered because the destination is down.
    fn undelivered(
        &mut self,
        environment: &mut Environment<'_, '_>,
        to: ProcessId,
        message: Message,
    );

    /// Handles a sub-call of the local endpoint.
    fn sub_call(&mut self, environment: &mut Environment<'_, '_>, run: RunKey, position: usize);

    /// Handles the end of a run at the local endpoint.
    fn run_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        run: RunKey,
        request: &RunRequest,
        is_success: bool,
    );

    /// Handles an instruction of the scenario.
    fn instruct(&mut self, _environment: &mut Environment<'_, '_>, _instruction: Instruction) {}
}
