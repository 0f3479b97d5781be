//! Which routes are called by endpoints only, as the callers of their requests show.
//!
//! Callers from outside enter at every daemon, so that their requests come from the machines of all
//! services. The calls of an endpoint come from the machines of its own service only. A route none of
//! whose requests come from a good part of the machines is therefore taken to be one of nested calls:
//! for these much work has been done already, and they are refused last.

use crate::request_class::RequestClass;
use bramblewheel_types::ServiceName;
use std::collections::HashMap;

/// Probability, for a route of callers from outside, with which it is taken for one of nested calls.
/// Small, since a mistake lasts for hundreds of requests.
const MISTAKE: f64 = 0.000_1;
/// Largest part of the machines that the callers of a route of nested calls may stand for. A service
/// with few machines is seen seldom by chance, and its absence alone must not tell; the services that
/// make calls had at most half of the machines in the deployments seen.
const MOST_COVERED: f64 = 0.7;
/// Part of a route's requests that a caller service may have without counting as one of its callers:
/// single requests that operators send by hand.
const STRAY_PART: f64 = 0.03;
/// Requests after which all counts are halved, so that a change of callers is seen.
const MOST_COUNTED: u32 = 400;
/// Routes that are kept in mind.
const MAX_CLASSES: usize = 512;

/// Requests of one route by the service on the machine that they came from.
#[derive(Debug, Default)]
struct Callers {
    total: u32,
    by_service: HashMap<ServiceName, u32>,
}

/// Which part of the machines that requests may come from has each service.
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
    /// Notes where a request of a route came from.
    pub fn record(&mut self, class: RequestClass, caller: &ServiceName) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            self.classes.clear();
        }
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

    /// Whether the route's requests are nested calls.
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
