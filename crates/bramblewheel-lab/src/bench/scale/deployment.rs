//! The deployment of the size to design for, generated from a seed, at any number of daemons.
//!
//! Endpoints per service, services called by a daemon and callers of a service are the same at
//! every size, so that what a daemon needs does not grow with the fleet and slopes can be told
//! apart: a smaller fleet has fewer services.

use bramblewheel_protocol::control::{EndpointRegistration, Registration};
use bramblewheel_types::{DaemonId, EndpointId, RegionName, ServiceName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// Daemons at the size to design for; `CONTRIBUTING.md`.
pub const FULL_DAEMONS: usize = 3600;
/// Services at the size to design for; `CONTRIBUTING.md`.
pub const FULL_SERVICES: usize = 460;
/// Zones; `CONTRIBUTING.md`.
pub const ZONES: usize = 10;
/// Regions; `CONTRIBUTING.md`.
pub const REGIONS: usize = 3;
/// Services that a daemon calls. An assumption: the users' pages don't say.
pub const CALLED_SERVICES: usize = 15;
/// Of those, how many are among the few services that everybody calls. An assumption.
const CALLED_SHARED_SERVICES: usize = 2;
/// One service in so many is one that everybody calls. An assumption.
const SHARED_SERVICE_SHARE: usize = 92;
/// First port of the addresses that hollow endpoints state; nothing listens there.
const FIRST_PORT: u16 = 10_000;

/// A daemon and the endpoint beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedDaemon {
    /// Name of the daemon.
    pub name: DaemonId,
    /// Name of its endpoint.
    pub endpoint: EndpointId,
    /// Its service, an index of [`Deployment::services`].
    pub service: usize,
    /// Its zone, below [`ZONES`].
    pub zone: usize,
    /// Address it states.
    pub address: SocketAddr,
}

/// A deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Names of the services.
    pub services: Vec<ServiceName>,
    /// What each service calls, in the order of `services`.
    pub calls: Vec<Vec<ServiceName>>,
    /// The daemons.
    pub daemons: Vec<PlannedDaemon>,
}

impl Deployment {
    /// Generates a deployment of so many daemons.
    pub fn generate(daemons: usize, seed: u64) -> Self {
        let count = (daemons * FULL_SERVICES).div_ceil(FULL_DAEMONS).max(1);
        let services: Vec<ServiceName> = (0..count).map(service_name).collect();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let calls = (0..count).map(|service| called_by(service, &services, &mut random));
        Self {
            calls: calls.collect(),
            daemons: (0..daemons).map(|n| planned_daemon(n, count)).collect(),
            services,
        }
    }

    /// What a daemon says of itself.
    pub fn registration(&self, daemon: usize, incarnation: u64, draining: bool) -> Registration {
        let planned = &self.daemons[daemon];
        Registration {
            daemon: planned.name.clone(),
            incarnation,
            zone: zone_name(planned.zone),
            region: region_name(region_of(planned.zone)),
            endpoint: Some(EndpointRegistration {
                endpoint: planned.endpoint.clone(),
                service: self.services[planned.service].clone(),
                address: planned.address,
                draining,
            }),
        }
    }

    /// Services that a daemon calls.
    pub fn calls_of(&self, daemon: usize) -> &[ServiceName] {
        &self.calls[self.daemons[daemon].service]
    }
}

/// Name of a service by number.
pub fn service_name(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number:03}")).expect("the pattern follows the rules")
}

/// Name of a zone by number.
pub fn zone_name(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{number}")).expect("the pattern follows the rules")
}

/// Name of a region by number.
pub fn region_name(number: usize) -> RegionName {
    RegionName::new(&format!("region-{number}")).expect("the pattern follows the rules")
}

/// Region of a zone: the ten zones lie 4, 3 and 3 in the three regions.
pub fn region_of(zone: usize) -> usize {
    zone % REGIONS
}

fn planned_daemon(number: usize, services: usize) -> PlannedDaemon {
    let service = number % services;
    let instance = number / services;
    let name = format!("service-{service:03}-{instance}");
    let host = 1 + u8::try_from(number / 10_000).expect("a few ten thousand daemons");
    let port = FIRST_PORT + u16::try_from(number % 10_000).expect("below ten thousand");
    PlannedDaemon {
        name: DaemonId::new(&name).expect("the pattern follows the rules"),
        endpoint: EndpointId::new(&name).expect("the pattern follows the rules"),
        service,
        // Instances of one service stand in different zones.
        zone: (service + instance) % ZONES,
        address: SocketAddr::from((Ipv4Addr::new(127, 0, 1, host), port)),
    }
}

fn called_by(service: usize, services: &[ServiceName], random: &mut Pcg64Mcg) -> Vec<ServiceName> {
    let others = services.len() - 1;
    let shared = services.len().div_ceil(SHARED_SERVICE_SHARE);
    let shared_wanted = CALLED_SHARED_SERVICES.min(shared);
    let wanted = CALLED_SERVICES.min(others);
    let mut called = BTreeSet::new();
    let mut tries = 0;
    while called.len() < wanted {
        tries += 1;
        // A service doesn't call itself; the tries bound the case where it is a shared one.
        let is_shared_turn = called.len() < shared_wanted && tries < wanted * 8;
        let range = if is_shared_turn {
            shared
        } else {
            services.len()
        };
        let choice = random.random_range(0..range);
        if choice != service {
            called.insert(choice);
        }
    }
    called
        .into_iter()
        .map(|index| services[index].clone())
        .collect()
}
