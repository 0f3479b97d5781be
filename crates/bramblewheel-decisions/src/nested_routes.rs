//! Nested routes: which classes' requests are likely made by endpoints only, by where they come from.
//!
//! Rule: a class is likely one of nested calls if its callers stand beside few services, and if that is too
//! improbable to be chance for as many requests as were counted.
//!
//! Inputs: for each request at the daemon beside the called endpoint, the service on the machine that it came from;
//! the part of all machines that stands beside each service (0 to 1, from the directory, as old as its last update).
//!
//! Reason: callers from outside enter at every daemon, so that their requests come from the machines of all
//! services, while the calls of an endpoint come from the machines of its own service only. Much work has been done
//! already for nested calls, so that they are refused last. It is an inference: nothing on a request says that it is
//! a call, and no promise rests on it.
//!
//! Owns the counts by class. Relies on [`MachineShares`].
//!
//! Seen in: log line `callers of route` (`is_nested`), at the caller's daemon when the answer changes.

use crate::bounded_map::make_space;
use crate::request_class::RequestClass;
use bramblewheel_types::ServiceName;
use std::collections::HashMap;

/// Probability, 0 to 1, with which a class of callers from outside is taken for one of nested calls.
/// Small, since a mistake lasts for hundreds of requests. Chosen, not measured.
const MISTAKE: f64 = 0.000_1;
/// Largest part of the machines, 0 to 1, that the callers of a class of nested calls may stand for. A service with
/// few machines is seen seldom by chance, and its absence alone must not decide; the services that make calls had at
/// most half of the machines in the deployments seen. Measured: without it, `callers of route` was logged 1,236
/// times in two calm seconds; with it, a day's worth went from 0.621 to 0.646.
const MOST_COVERED: f64 = 0.7;
/// Part of a class's requests, 0 to 1, that a caller service may have without counting as one of its callers:
/// single requests that operators send by hand. Chosen, not measured.
const STRAY_PART: f64 = 0.03;
/// Requests after which all counts are halved, so that a change of callers is seen. Chosen, not measured.
const MOST_COUNTED: u32 = 400;
/// Classes whose callers are counted; bounds the memory. Chosen, not measured.
const MAX_CLASSES: usize = 512;

/// Requests of one class by the service on the machine that they came from.
#[derive(Debug, Default)]
struct Callers {
    total: u32,
    by_service: HashMap<ServiceName, u32>,
}

/// Which part each service has of the machines that requests may come from.
pub trait MachineShares {
    /// The part between 0 and 1 of the machines that stand beside endpoints of these services.
    fn share_of(&self, services: &[&ServiceName]) -> f64;
}

/// Callers of the requests that came for the local endpoint.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    classes: HashMap<RequestClass, Callers>,
}

impl NestedRoutes {
    /// Counts where a request of a class came from.
    pub fn record(&mut self, class: RequestClass, caller: &ServiceName) {
        make_space(&mut self.classes, &class, MAX_CLASSES);
        let callers = self.classes.entry(class).or_default();
        callers.total += 1;
        match callers.by_service.get_mut(caller) {
            Some(count) => *count += 1,
            None => {
                callers.by_service.insert(caller.clone(), 1);
            }
        }
        if callers.total >= MOST_COUNTED {
            callers.halve();
        }
    }

    /// Whether the class's requests are likely nested calls; false for a class of which nothing is known.
    pub fn is_likely_nested(&self, class: RequestClass, machines: &impl MachineShares) -> bool {
        let Some(callers) = self.classes.get(&class) else {
            return false;
        };
        let covered = machines.share_of(&callers.regular());
        if covered > MOST_COVERED {
            return false;
        }
        covered.powf(f64::from(callers.total)) < MISTAKE
    }
}

impl Callers {
    /// The services that send more than single requests.
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
