//! Writes traces as TOML.

use super::expect::{Expect, Subject};
use super::fault::{Fault, FaultAction, Machine};
use super::model::{Head, Request, Send, Trace};
use super::read::FAILED;
use crate::requests::{RunDraws, Topology, ZoneIndex};
use bramblewheel_bundle::{canonical, digest};
use std::fmt::Write;
use std::time::Duration;

/// Formats a trace as TOML; parsing the result gives the same trace.
pub fn to_toml(trace: &Trace) -> String {
    let topology = trace.head.deployment.value.as_ref();
    let mut writer = TomlWriter::default();
    writer.head(&trace.head);
    for fault in &trace.head.faults {
        writer.fault(fault, topology);
    }
    writer.expect(&trace.head.expect, topology);
    for request in &trace.requests {
        writer.request(request, topology);
    }
    writer.0
}

#[derive(Default)]
struct TomlWriter(String);

impl TomlWriter {
    fn line(&mut self, line: std::fmt::Arguments<'_>) {
        writeln!(self.0, "{line}").expect("writing to a string never fails");
    }

    fn text(&mut self, key: &str, value: impl std::fmt::Display) {
        let quoted = toml::Value::String(value.to_string());
        self.line(format_args!("{key} = {quoted}"));
    }

    fn number(&mut self, key: &str, value: impl std::fmt::Display) {
        self.line(format_args!("{key} = {value}"));
    }

    fn table(&mut self, header: &str) {
        self.line(format_args!("\n{header}"));
    }

    /// Writes a multi-line literal string, or an escaped string if the text can't stand in a literal.
    fn block(&mut self, key: &str, text: &str) {
        if text.contains("'''") || text.contains('\r') {
            return self.text(key, text);
        }
        self.line(format_args!("{key} = '''\n{text}'''"));
    }

    fn head(&mut self, head: &Head) {
        self.number("format", 1);
        self.text("origin", &head.origin);
        self.number("seed", head.seed);
        self.number("run_ms", head.ends.as_millis());
        self.table("[deployment]");
        self.block("text", &head.deployment.text);
        self.table("[bundle]");
        let bytes = canonical::encode(&head.bundle.value);
        self.text("digest", digest(&bytes));
        self.block("text", &head.bundle.text);
        self.table("[layer]");
        self.number("control_replicas", head.control_replicas);
        self.table("[callers]");
        self.number("patience_ms", millis(head.patience));
    }

    fn fault(&mut self, fault: &Fault, topology: &Topology) {
        self.table("[[fault]]");
        self.number("at_ms", fault.begins.as_millis());
        self.number("for_ms", millis(fault.lasts));
        match fault.action {
            FaultAction::Slow { service, percent } => {
                self.text("kind", "slow");
                self.text("service", &topology.services[service.0].name);
                self.number("percent", percent);
            }
            FaultAction::Kill(machine) => self.machine("kill", machine, topology),
            FaultAction::Freeze(machine) => self.machine("freeze", machine, topology),
            FaultAction::StopPlanned(machine) => self.machine("stop-planned", machine, topology),
            FaultAction::CutZone(zone) => {
                self.text("kind", "cut-zone");
                self.text("zone", zone_name(topology, zone));
            }
        }
    }

    fn machine(&mut self, kind: &str, machine: Machine, topology: &Topology) {
        self.text("kind", kind);
        match machine {
            Machine::Endpoint(endpoint) => {
                self.text("endpoint", &topology.endpoints[endpoint.0].name);
            }
            Machine::Gateway(zone) => self.text("gateway", zone_name(topology, zone)),
            Machine::Replica(number) => self.number("replica", number),
        }
    }

    fn expect(&mut self, expect: &Expect, topology: &Topology) {
        self.table("[expect]");
        self.number("operations_run_once", expect.operations_run_once);
        self.number("retries_within_bound", expect.retries_within_bound);
        self.number("not_run_is_true", expect.not_run_is_true);
        for completed in &expect.completed {
            self.table("[[expect.completed]]");
            match completed.subject {
                Subject::All => {}
                Subject::Flow(flow) => self.text("flow", &topology.flows[flow.0].model.name),
                Subject::Class(class) => self.text("criticality", class),
            }
            self.number("at_least", completed.at_least);
        }
        for recovery in &expect.recovery {
            self.table("[[expect.recovery]]");
            self.number("from_ms", recovery.from.as_millis());
            self.number("within_ms", millis(recovery.within));
            self.number("at_least_percent", recovery.at_least_percent);
        }
    }

    fn request(&mut self, request: &Request, topology: &Topology) {
        self.table("[[request]]");
        self.text("id", request.id);
        self.text("flow", &topology.flows[request.flow.0].model.name);
        self.text("caller", &request.caller);
        if let Some(deadline) = request.deadline {
            self.number("deadline_ms", millis(deadline));
        }
        if let Some(criticality) = request.criticality {
            self.text("criticality", criticality);
        }
        if request.in_session {
            self.number("session", true);
        }
        if let Some(operation) = &request.operation {
            self.text("operation", operation);
        }
        for send in &request.sends {
            self.send(send, topology);
        }
    }

    fn send(&mut self, send: &Send, topology: &Topology) {
        self.line(format_args!("[[request.send]]"));
        self.number("at_us", send.at.0);
        self.text("gateway", zone_name(topology, send.gateway));
        if let Some(zone) = send.from {
            self.text("from", zone_name(topology, zone));
        }
        if let Some(id) = send.id {
            self.text("id", id);
        }
        if let Some(resend) = send.resend {
            self.number("resend", resend);
        }
        if let Some(deadline) = send.deadline {
            self.number("deadline_ms", millis(deadline));
        }
        if let Some(outcome) = send.outcome {
            self.text("outcome", outcome);
        }
        if let Some(outcome) = send.recorded {
            self.text("recorded", outcome);
        }
        if !send.runs.is_empty() {
            let runs: Vec<String> = send.runs.iter().map(format_run).collect();
            self.line(format_args!("runs = [{}]", runs.join(", ")));
        }
    }
}

fn format_run(run: &RunDraws) -> String {
    let mut text = format!("\"{}", run.path);
    for part in &run.work {
        write!(text, " {}", part.as_micros()).expect("writing to a string never fails");
    }
    if run.fails {
        write!(text, " {FAILED}").expect("writing to a string never fails");
    }
    text + "\""
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}

fn zone_name(topology: &Topology, zone: ZoneIndex) -> &bramblewheel_types::ZoneName {
    &topology.zones[zone.0]
}
