//! Derives the work times of runs at endpoints from the journals.

use crate::journal::{CallContext, Event, Record};
use bramblewheel_sim::requests::{CallPath, RouteIndex, RunDraws, Topology};
use bramblewheel_types::ServiceName;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A request that arrived at an endpoint.
struct Arrival<'a> {
    context: &'a CallContext,
    ran_at: Option<u64>,
    /// Time at which it ended or was cancelled.
    ended_at: Option<u64>,
    sub_calls: Vec<SubCall<'a>>,
}

struct SubCall<'a> {
    call: u64,
    service: &'a ServiceName,
    ended_at: u64,
}

/// Arrivals and calls from the journals.
struct Journals<'a> {
    topology: &'a Topology,
    /// Arrivals by their numbers.
    arrivals: BTreeMap<u64, Arrival<'a>>,
    /// Arrival for which each sub-call was made.
    parents: HashMap<u64, u64>,
    /// Time and path of the first arrival of each call at any endpoint.
    received: HashMap<u64, (u64, &'a str)>,
}

/// The draws of the runs for each send, in the order in which the runs began.
pub(super) fn draws(records: &[Record], topology: &Topology) -> BTreeMap<u64, Vec<RunDraws>> {
    let journals = Journals::new(records, topology);
    let mut ran: Vec<(u64, u64)> = journals
        .arrivals
        .iter()
        .filter_map(|(number, arrival)| Some((arrival.ran_at?, *number)))
        .collect();
    ran.sort_unstable();
    let mut draws: BTreeMap<u64, Vec<RunDraws>> = BTreeMap::new();
    for (_, number) in ran {
        let arrival = &journals.arrivals[&number];
        let Some(path) = journals.path(arrival) else {
            continue;
        };
        let work = journals.work(arrival).map(Duration::from_micros);
        draws
            .entry(arrival.context.send)
            .or_default()
            .push(RunDraws {
                path,
                work: work.into_iter().collect(),
                fails: false,
            });
    }
    draws
}

impl<'a> Journals<'a> {
    fn new(records: &'a [Record], topology: &'a Topology) -> Self {
        let mut journals = Self {
            topology,
            arrivals: BTreeMap::new(),
            parents: HashMap::new(),
            received: HashMap::new(),
        };
        for record in records {
            journals.add(record);
        }
        journals
    }

    fn add(&mut self, record: &'a Record) {
        let at = record.at_us;
        match &record.event {
            Event::Received { arrival, context } => {
                let first = (at, context.path.as_str());
                self.received.entry(context.call).or_insert(first);
                let received = Arrival {
                    context,
                    ran_at: None,
                    ended_at: None,
                    sub_calls: Vec::new(),
                };
                self.arrivals.insert(*arrival, received);
            }
            Event::Ran { arrival } => {
                if let Some(arrival) = self.arrivals.get_mut(arrival) {
                    arrival.ran_at = Some(at);
                }
            }
            Event::Ended { arrival, .. } | Event::Cancelled { arrival } => {
                if let Some(arrival) = self.arrivals.get_mut(arrival) {
                    arrival.ended_at = Some(at);
                }
            }
            Event::SubCall(end) => {
                self.parents.insert(end.call, end.arrival);
                if let Some(arrival) = self.arrivals.get_mut(&end.arrival) {
                    arrival.sub_calls.push(SubCall {
                        call: end.call,
                        service: &end.service,
                        ended_at: at,
                    });
                }
            }
            _ => {}
        }
    }

    fn route(&self, context: &CallContext) -> Option<RouteIndex> {
        let service = self.topology.service_index(&context.service)?;
        let mut routes = self.topology.routes.iter();
        let position =
            routes.position(|route| route.service == service && route.path == context.path);
        position.map(RouteIndex)
    }

    /// Position in the call tree; none if the end of the sub-call is not recorded by the calling endpoint.
    fn path(&self, arrival: &Arrival<'_>) -> Option<CallPath> {
        let context = arrival.context;
        if context.call == context.send {
            return Some(CallPath::default());
        }
        let parent = self.arrivals.get(self.parents.get(&context.call)?)?;
        let position = self.position(parent, context.call)?;
        Some(self.path(parent)?.sub_call(position))
    }

    /// Position of a sub-call in its route. Sub-calls are numbered in the order in which they are made; those with the
    /// same service and path are interchangeable.
    fn position(&self, parent: &Arrival<'_>, call: u64) -> Option<u32> {
        let route = &self.topology.routes[self.route(parent.context)?.0];
        let mut unassigned: Vec<u32> = (0u32..).take(route.calls.len()).collect();
        let mut sub_calls: Vec<&SubCall<'_>> = parent.sub_calls.iter().collect();
        sub_calls.sort_unstable_by_key(|sub_call| sub_call.call);
        for sub_call in sub_calls {
            let is_match = |position: &u32| {
                let called = &self.topology.routes[route.calls[*position as usize].0];
                let service = &self.topology.services[called.service.0].name;
                let received = self.received.get(&sub_call.call);
                let is_same_path = received.is_none_or(|(_, path)| *path == called.path);
                service == sub_call.service && is_same_path
            };
            let assigned = unassigned
                .iter()
                .position(is_match)
                .map(|index| unassigned.remove(index));
            if sub_call.call == call {
                return assigned;
            }
        }
        None
    }

    /// Total work time in microseconds. Endpoints do half of the work before the first sub-call and half after the last
    /// one. For a run that ended early, the time until its first sub-call arrived counts as the first half; it
    /// worked at least that long.
    fn work(&self, arrival: &Arrival<'_>) -> Option<u64> {
        let ran_at = arrival.ran_at?;
        let route = &self.topology.routes[self.route(arrival.context)?.0];
        if route.calls.is_empty() {
            return Some(arrival.ended_at?.saturating_sub(ran_at));
        }
        let call_ends = arrival.sub_calls.iter().map(|sub_call| sub_call.ended_at);
        if arrival.sub_calls.len() == route.calls.len() {
            return Some(2 * arrival.ended_at?.saturating_sub(call_ends.max()?));
        }
        let calls = arrival.sub_calls.iter().map(|sub_call| sub_call.call);
        let received = calls.filter_map(|call| Some(self.received.get(&call)?.0));
        Some(2 * received.min()?.saturating_sub(ran_at))
    }
}
