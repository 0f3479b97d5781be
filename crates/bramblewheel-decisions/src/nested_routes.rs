//! Nested routes: infers from where requests come which classes are likely called by endpoints only.
//!
//! Rule: a class likely consists of nested calls if its callers' machines belong to few services, and this is too
//! improbable to be chance for the number of requests counted.
//!
//! Inputs: for each request at the daemon beside the called endpoint, the service of the machine that it came from; the
//! part of all machines that belongs to each service (0 to 1, from the directory, as of its last update).
//!
//! Reason: callers from outside enter at every daemon, so their requests come from the machines of all services,
//! whereas an endpoint's calls come only from the machines of its own service. Much work has already been done for
//! nested calls, so they are refused last. This is an inference: a request does not state that it is a call, and no
//! guarantee depends on it.
//!
//! State: the counts by class. The parts of the machines come from [`MachineShares`].
//!
//! Observability: log line `callers of route` (`is_nested`), at the caller's daemon when the inference changes.

use crate::bounded_map::clear_if_full;
use crate::request_class::RequestClass;
use bramblewheel_types::ServiceName;
use std::collections::HashMap;

/// Probability, 0 to 1, with which a class called from outside is mistaken for one of nested calls. Small, since a
/// mistake lasts for hundreds of requests.
const MISTAKE_PROBABILITY: f64 = 0.000_1;
/// Largest part of the machines, 0 to 1, that the caller services of a nested class may have. A service with few
/// machines is rarely seen by chance, so its absence alone must not decide. In the deployments seen, the calling
/// services had at most half of the machines. Without this limit `callers of route` was logged 1,236 times in two
/// seconds of low load; with it the net value of a day rose from 0.621 to 0.646. The net value is the value of the
/// requests answered in time, as a part of the attainable, less the cost of resources and of refusals; 1 is the best.
const MAX_CALLER_PART: f64 = 0.7;
/// Part of a class's requests, 0 to 1, up to which a service does not count as a caller, to ignore single requests that
/// operators send by hand.
const STRAY_PART: f64 = 0.03;
/// Number of requests at which all counts are halved, so that a change of callers is noticed.
const MAX_COUNTED: u32 = 400;
/// Most classes whose callers are counted; bounds the memory.
const MAX_CLASSES: usize = 512;

/// Requests of one class, by the service of the machine that they came from.
#[derive(Debug, Default)]
struct Callers {
    total: u32,
    by_service: HashMap<ServiceName, u32>,
}

/// Provides the part of the machines that belongs to given services.
pub trait MachineShares {
    /// Part of the machines that requests may come from, 0 to 1, that belongs to these services.
    fn share_of(&self, services: &[&ServiceName]) -> f64;
}

/// Callers of the requests that were sent to the local endpoint.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    classes: HashMap<RequestClass, Callers>,
}

impl NestedRoutes {
    /// Counts a request of a class by its caller's service.
    pub fn record(&mut self, class: RequestClass, caller: &ServiceName) {
        clear_if_full(&mut self.classes, &class, MAX_CLASSES);
        let callers = self.classes.entry(class).or_default();
        callers.total += 1;
        match callers.by_service.get_mut(caller) {
            Some(count) => *count += 1,
            None => {
                callers.by_service.insert(caller.clone(), 1);
            }
        }
        if callers.total >= MAX_COUNTED {
            callers.halve();
        }
    }

    /// Whether the class's requests are likely nested calls; false for an unknown class.
    pub fn is_likely_nested(&self, class: RequestClass, machines: &impl MachineShares) -> bool {
        let Some(callers) = self.classes.get(&class) else {
            return false;
        };
        let caller_part = machines.share_of(&callers.regular());
        if caller_part > MAX_CALLER_PART {
            return false;
        }
        caller_part.powf(f64::from(callers.total)) < MISTAKE_PROBABILITY
    }
}

impl Callers {
    /// The services that send more than stray requests.
    fn regular(&self) -> Vec<&ServiceName> {
        let stray = f64::from(self.total) * STRAY_PART;
        let counts = self.by_service.iter();
        let regular = counts.filter(|(_, count)| f64::from(**count) > stray);
        regular.map(|(service, _)| service).collect()
    }

    fn halve(&mut self) {
        for count in self.by_service.values_mut() {
            *count /= 2;
        }
        self.by_service.retain(|_, count| *count > 0);
        self.total = self.by_service.values().sum();
    }
}
