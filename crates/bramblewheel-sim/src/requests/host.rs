//! A machine of the deployment: an endpoint with its part of the layer, or a gateway.

use super::actor::RequestActor;
use super::endpoint::{EndpointAction, EndpointModel, ReportFault};
use super::layer::{Environment, Instruction, Layer, LayerCounters, LayerOptions, LayerSettings};
use super::message::{Message, Timer};
use super::process_layout::ProcessLayout;
use super::record::Record;
use super::tape::Tape;
use super::topology::{EndpointIndex, Topology, ZoneIndex};
use crate::kernel::{Context, ProcessId, StartCause};
use bramblewheel_bundle::Bundle;
use bramblewheel_core::event::{DirectoryEndpoint, DirectoryUpdate};
use bramblewheel_types::{EndpointId, RequestId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Slot time spent for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUse {
    /// The original request.
    pub request: RequestId,
    /// When the slot became free.
    pub ended: Timestamp,
    /// Time in the slot: own work and waiting for sub-calls.
    pub held: Duration,
}

/// A machine.
pub struct Host {
    topology: Arc<Topology>,
    layout: ProcessLayout,
    zone: ZoneIndex,
    endpoint_index: Option<EndpointIndex>,
    settings: LayerSettings,
    slowdown: f64,
    endpoint: Option<EndpointModel>,
    layer: Option<Box<dyn Layer>>,
    actions: Vec<EndpointAction>,
    slot_uses: Vec<SlotUse>,
    counters: LayerCounters,
    /// Number of the endpoint's next run, across restarts.
    next_run: u64,
    failure_share: f64,
    report_fault: Option<ReportFault>,
    options: LayerOptions,
    tape: Option<Tape>,
    /// Directory entries that differ from the topology.
    directory_entries: BTreeMap<EndpointId, DirectoryEndpoint>,
}

/// Low bits of a run's number, which count within one endpoint; the high bits are the endpoint.
const RUN_BITS: u32 = 40;

impl Host {
    /// Creates a stopped machine; without an endpoint it is a gateway.
    pub fn new(
        topology: Arc<Topology>,
        zone: ZoneIndex,
        endpoint_index: Option<EndpointIndex>,
        settings: LayerSettings,
    ) -> Self {
        Self {
            layout: ProcessLayout::new(&topology),
            topology,
            zone,
            endpoint_index,
            settings,
            slowdown: 1.0,
            endpoint: None,
            layer: None,
            actions: Vec::new(),
            slot_uses: Vec::new(),
            counters: LayerCounters::default(),
            next_run: endpoint_index.map_or(0, |index| (index.0 as u64) << RUN_BITS),
            failure_share: 0.0,
            report_fault: None,
            options: LayerOptions::default(),
            tape: None,
            directory_entries: BTreeMap::new(),
        }
    }

    /// Sets the layer's options.
    pub(super) fn with_options(mut self, options: LayerOptions) -> Self {
        self.options = options;
        self
    }

    /// Sets the tape that records or plays the endpoint's draws.
    pub(super) fn with_tape(mut self, tape: Option<Tape>) -> Self {
        self.tape = tape;
        self
    }

    /// Sets a directory entry that applies from the next start; the running layer gets it separately.
    pub fn set_directory_entry(&mut self, entry: DirectoryEndpoint) {
        self.directory_entries.insert(entry.endpoint.clone(), entry);
    }

    /// Sets the bundle that applies from the next start; the running layer gets it separately.
    pub fn set_bundle(&mut self, bundle: Arc<Bundle>) {
        self.settings.bundle = bundle;
    }

    /// Sets the share of the endpoint's runs that end in an error, also after a restart.
    pub fn set_failure_share(&mut self, share: f64) {
        self.failure_share = share;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.set_failure_share(share);
        }
    }

    /// Sets the fault of the endpoint's load report, also after a restart.
    pub fn set_report_fault(&mut self, fault: Option<ReportFault>) {
        self.report_fault = fault;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.set_report_fault(fault);
        }
    }

    /// Makes the endpoint report that it drains; its daemon has to enforce that.
    pub fn announce_drain(&mut self) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.announce_drain();
        }
    }

    /// Passes an instruction of the scenario to the layer.
    pub(super) fn instruct(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        instruction: Instruction,
    ) {
        self.with_layer(context, |layer, environment| {
            layer.instruct(environment, instruction);
        });
    }

    /// Slot time spent so far, by request.
    pub fn slot_uses(&self) -> &[SlotUse] {
        &self.slot_uses
    }

    /// Counters of the layer, across restarts.
    pub fn counters(&self) -> LayerCounters {
        self.counters
    }

    /// Slows the endpoint's work by a factor, also after a restart.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.set_slowdown(factor);
        }
    }

    pub(super) fn start(&mut self, context: &mut Context<'_, RequestActor>, cause: StartCause) {
        let spec = self.endpoint_index.map(|index| {
            let spec = self.topology.endpoints[index.0].clone();
            let topology = Arc::clone(&self.topology);
            EndpointModel::new(topology, spec, self.next_run, context.now())
        });
        self.endpoint = spec;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.set_slowdown(self.slowdown);
            endpoint.set_failure_share(self.failure_share);
            endpoint.set_report_fault(self.report_fault);
            endpoint.set_tape(self.tape.clone());
            if cause == StartCause::First {
                endpoint.warm_up();
            }
        }
        self.layer = Some(self.settings.build(
            &self.topology,
            self.zone,
            self.endpoint_index,
            &self.options,
            context,
        ));
        self.with_layer(context, |layer, environment| layer.start(environment));
        if !self.directory_entries.is_empty() {
            let update = DirectoryUpdate {
                is_complete: false,
                live: self.directory_entries.values().cloned().collect(),
                removed: Vec::new(),
            };
            self.instruct(context, Instruction::Directory(update));
        }
    }

    pub(super) fn stop(&mut self) {
        if let Some(endpoint) = &self.endpoint {
            self.next_run = endpoint.next_run();
        }
        self.endpoint = None;
        self.layer = None;
        self.actions.clear();
    }

    pub(super) fn receive(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        from: ProcessId,
        message: Message,
    ) {
        self.with_layer(context, |layer, environment| {
            layer.receive(environment, from, message);
        });
    }

    pub(super) fn undelivered(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        to: ProcessId,
        message: Message,
    ) {
        self.with_layer(context, |layer, environment| {
            layer.undelivered(environment, to, message);
        });
    }

    pub(super) fn timer(&mut self, context: &mut Context<'_, RequestActor>, timer: Timer) {
        let Timer::Work(run) = timer else {
            return self.with_layer(context, |layer, environment| {
                layer.timer(environment, timer);
            });
        };
        if let Some(endpoint) = &mut self.endpoint {
            let now = context.now();
            endpoint.work_done(now, run, context.random(), &mut self.actions);
        }
        self.execute_actions(context);
    }

    fn with_layer(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        call: impl FnOnce(&mut dyn Layer, &mut Environment<'_, '_>),
    ) {
        self.call_layer(context, call);
        self.execute_actions(context);
    }

    fn call_layer(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        call: impl FnOnce(&mut dyn Layer, &mut Environment<'_, '_>),
    ) {
        let Some(layer) = &mut self.layer else {
            return;
        };
        let mut environment = Environment {
            context,
            topology: &self.topology,
            layout: self.layout,
            endpoint_index: self.endpoint_index,
            endpoint: self.endpoint.as_mut(),
            actions: &mut self.actions,
            counters: &mut self.counters,
            slot_uses: &mut self.slot_uses,
        };
        call(layer.as_mut(), &mut environment);
    }

    /// Executes the endpoint's actions until none are left.
    fn execute_actions(&mut self, context: &mut Context<'_, RequestActor>) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.execute_action(context, action);
            }
        }
    }

    fn execute_action(&mut self, context: &mut Context<'_, RequestActor>, action: EndpointAction) {
        match action {
            EndpointAction::Work { run, duration } => context.set_timer(duration, Timer::Work(run)),
            EndpointAction::Started { id, request } => {
                let Some(endpoint) = self.endpoint_index else {
                    return;
                };
                context.record(Record::Ran {
                    endpoint,
                    run: id,
                    content: request.content,
                    request: request.request,
                    attempt: request.attempt,
                    operation: request.operation,
                });
            }
            EndpointAction::SubCall { run, position } => {
                self.call_layer(context, |layer, environment| {
                    layer.sub_call(environment, run, position);
                });
            }
            EndpointAction::Ended {
                run,
                id,
                request,
                held,
                is_success,
            } => {
                if let Some(endpoint) = self.endpoint_index {
                    context.record(Record::Ended {
                        endpoint,
                        run: id,
                        is_success,
                    });
                }
                self.slot_uses.push(SlotUse {
                    request: request.request,
                    ended: context.virtual_now(),
                    held,
                });
                self.call_layer(context, |layer, environment| {
                    layer.run_ended(environment, run, &request, is_success);
                });
            }
        }
    }
}
