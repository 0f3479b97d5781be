//! Indexes the records of a run for the checkers.

use crate::journal::{
    CallContext, Event, FaultKind, Record, ReplyFromDaemon, RootSend, SubCallEnd,
};
use bramblewheel_types::RequestId;
use std::collections::{BTreeMap, HashMap};

/// A request that arrived at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Context that came with the request.
    pub context: &'a CallContext,
    /// Time of the arrival.
    pub received_us: u64,
    /// Time at which it began to run, if it did.
    pub ran_us: Option<u64>,
    /// Time at which it was answered, refused or cancelled.
    pub ended_us: Option<u64>,
    /// Whether it was cancelled because the connection was closed.
    pub was_cancelled: bool,
}

/// A send by a caller, and how it ended.
#[derive(Clone, Debug)]
pub struct Send<'a> {
    /// The send.
    pub sent: &'a RootSend,
    /// Time of sending.
    pub sent_us: u64,
    /// End of the send, if recorded.
    pub end: Option<SendEnd>,
}

/// End of a send as seen by its caller.
#[derive(Clone, Copy, Debug)]
pub struct SendEnd {
    /// Time of the event.
    pub at_us: u64,
    /// The answer, or the reason why there is none.
    pub reply: ReplyFromDaemon,
}

/// An action on a process, or its exit.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEvent {
    /// Time of the event.
    pub at_us: u64,
    /// Kind of the event.
    pub kind: ProcessEventKind,
}

/// Kinds of [`ProcessEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// Action of the fleet runner.
    Fault(FaultKind),
    /// The process exited with this status; none when a signal terminated it.
    Exited(Option<i32>),
}

/// The records of a run, grouped by subject.
#[derive(Debug, Default)]
pub struct History<'a> {
    /// Arrivals at endpoints by their number.
    pub arrivals: BTreeMap<u64, Arrival<'a>>,
    /// Sends of callers by their number.
    pub sends: BTreeMap<u64, Send<'a>>,
    /// Sub-calls that ended, with the time of the end.
    pub sub_calls: Vec<(u64, &'a SubCallEnd)>,
    /// Events of each process in the order of time.
    pub processes: BTreeMap<&'a str, Vec<ProcessEvent>>,
    /// Bundle versions in force at each daemon, in the order of time.
    pub versions: BTreeMap<&'a str, Vec<u64>>,
    /// Number of requests that callers did not send, by flow.
    pub not_sent: BTreeMap<&'a str, u64>,
}

impl<'a> History<'a> {
    /// Groups records by subject.
    pub fn new(records: &'a [Record]) -> Self {
        let mut history = Self::default();
        for record in records {
            history.add(record);
        }
        history
    }

    fn add(&mut self, record: &'a Record) {
        let at_us = record.at_us;
        match &record.event {
            Event::Received { arrival, context } => {
                let received = Arrival {
                    endpoint: &record.source,
                    context,
                    received_us: at_us,
                    ran_us: None,
                    ended_us: None,
                    was_cancelled: false,
                };
                self.arrivals.insert(*arrival, received);
            }
            Event::Ran { arrival } => self.update(*arrival, |a| a.ran_us = Some(at_us)),
            Event::Refused { arrival, .. } | Event::Ended { arrival, .. } => {
                self.update(*arrival, |a| a.ended_us = Some(at_us));
            }
            Event::Cancelled { arrival } => self.update(*arrival, |a| {
                a.ended_us = Some(at_us);
                a.was_cancelled = true;
            }),
            Event::SubCall(sub_call) => self.sub_calls.push((at_us, sub_call)),
            Event::Sent(sent) => {
                let send = Send {
                    sent,
                    sent_us: at_us,
                    end: None,
                };
                self.sends.insert(sent.send, send);
            }
            Event::SendEnded { send, reply } => {
                if let Some(send) = self.sends.get_mut(send) {
                    let reply = *reply;
                    send.end = Some(SendEnd { at_us, reply });
                }
            }
            Event::NotSent { flow } => *self.not_sent.entry(flow).or_default() += 1,
            Event::Fault { process, kind } => {
                self.add_process(process, at_us, ProcessEventKind::Fault(*kind));
            }
            Event::Exited { process, status } => {
                self.add_process(process, at_us, ProcessEventKind::Exited(*status));
            }
            Event::BundleInForce { process, version } => {
                self.versions.entry(process).or_default().push(*version);
            }
        }
    }

    fn update(&mut self, arrival: u64, change: impl FnOnce(&mut Arrival<'a>)) {
        if let Some(arrival) = self.arrivals.get_mut(&arrival) {
            change(arrival);
        }
    }

    fn add_process(&mut self, process: &'a str, at_us: u64, kind: ProcessEventKind) {
        let event = ProcessEvent { at_us, kind };
        self.processes.entry(process).or_default().push(event);
    }

    /// Arrivals that ran, by the send at the root of their call tree.
    pub fn runs_by_send(&self) -> HashMap<u64, Vec<&Arrival<'a>>> {
        let mut runs: HashMap<u64, Vec<&Arrival<'a>>> = HashMap::new();
        for arrival in self.arrivals.values() {
            if arrival.ran_us.is_some() {
                runs.entry(arrival.context.send).or_default().push(arrival);
            }
        }
        runs
    }

    /// Sends by request, in the order of sending.
    pub fn sends_by_request(&self) -> BTreeMap<RequestId, Vec<&Send<'a>>> {
        let mut requests: BTreeMap<RequestId, Vec<&Send<'a>>> = BTreeMap::new();
        for send in self.sends.values() {
            requests.entry(send.sent.request).or_default().push(send);
        }
        for sends in requests.values_mut() {
            sends.sort_by_key(|send| send.sent_us);
        }
        requests
    }

    /// Planned stops of a process: time of the request to stop and time of the exit, if recorded.
    pub fn planned_stops(&self, process: &str) -> Vec<(u64, Option<u64>)> {
        self.spans(process, FaultKind::PlannedStop, |kind| {
            matches!(kind, ProcessEventKind::Exited(_))
        })
    }

    /// Time spans of a process from each `begin` action to the next event that `is_end` accepts.
    pub fn spans(
        &self,
        process: &str,
        begin: FaultKind,
        is_end: impl Fn(ProcessEventKind) -> bool,
    ) -> Vec<(u64, Option<u64>)> {
        let Some(events) = self.processes.get(process) else {
            return Vec::new();
        };
        let begins = events.iter().enumerate();
        let begins = begins.filter(|(_, e)| e.kind == ProcessEventKind::Fault(begin));
        let end_after = |index: usize| events[index..].iter().find(|event| is_end(event.kind));
        begins
            .map(|(index, event)| (event.at_us, end_after(index).map(|end| end.at_us)))
            .collect()
    }
}
